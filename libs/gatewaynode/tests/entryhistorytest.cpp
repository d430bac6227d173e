#include <gtest/gtest.h>

#include "details/entryhistory.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

class EntryHistoryTest : public testing::Test
{
protected:
    bool isOutdated(std::int64_t started, std::int64_t sequence, Duration at = 0s,
                    std::string_view id = "a")
    {
        TargetEntry entry;
        entry.m_id = id;
        entry.m_started = started;
        entry.m_sequence = sequence;
        entry.m_revision = ++m_revision;
        return m_history.isOutdated(start + at, entry);
    }

    EntryHistory m_history;
    std::uint64_t m_revision = 0;
};

} // namespace

// Guards against reports of a process that another one has replaced: older ones, and ones that were
// not seen before it was replaced.
TEST_F(EntryHistoryTest, ReplacedProcessIsOutdated)
{
    EXPECT_FALSE(isOutdated(10, 5));
    EXPECT_FALSE(isOutdated(20, 1));
    EXPECT_TRUE(isOutdated(10, 4));
    EXPECT_TRUE(isOutdated(10, 6));
    EXPECT_TRUE(isOutdated(10, 7, 20s));
    EXPECT_FALSE(isOutdated(20, 2));
}

// Guards against late reports of a process that end the use of the one that started after it with
// its clock set back.
TEST_F(EntryHistoryTest, ProcessWithItsClockSetBackReplacesTheEarlierOne)
{
    EXPECT_FALSE(isOutdated(20, 5));
    EXPECT_FALSE(isOutdated(10, 1));
    EXPECT_TRUE(isOutdated(20, 5));
    EXPECT_TRUE(isOutdated(20, 6));
    EXPECT_FALSE(isOutdated(10, 2));
    EXPECT_FALSE(isOutdated(20, 7, EntryHistory::lateWriteBound));
}

// Guards against a process that is taken for a replaced one, as a late report of an earlier process
// that was never seen came behind its own.
TEST_F(EntryHistoryTest, ProcessThatGoesOnReportingIsUsed)
{
    EXPECT_FALSE(isOutdated(20, 1));
    EXPECT_FALSE(isOutdated(10, 50));
    EXPECT_FALSE(isOutdated(20, 2));
    EXPECT_TRUE(isOutdated(10, 50));
    EXPECT_FALSE(isOutdated(10, 51));
    EXPECT_TRUE(isOutdated(20, 2));
}

// Guards against a target whose entry was once overwritten by another writer with a large number:
// its own reports would be outdated for good.
TEST_F(EntryHistoryTest, LowerNumberIsUsedAfterAWhile)
{
    EXPECT_FALSE(isOutdated(10, 5));
    EXPECT_FALSE(isOutdated(10, 1'000'000));
    EXPECT_TRUE(isOutdated(10, 6));
    EXPECT_FALSE(isOutdated(10, 7, EntryHistory::lateWriteBound));
}

// Guards against an entry without a start time that replaces a process, and against targets that
// state none and are not used after a restart.
TEST_F(EntryHistoryTest, WithoutAStartTimeNumbersAreNotCompared)
{
    EXPECT_FALSE(isOutdated(10, 5));
    EXPECT_TRUE(isOutdated(0, 6));
    EXPECT_FALSE(isOutdated(0, 5, 0s, "b"));
    EXPECT_FALSE(isOutdated(0, 1, 0s, "b"));
}

// Guards against a second copy of the last report, done after the removal of the entry.
TEST_F(EntryHistoryTest, LastReportIsOutdatedAfterTheRemoval)
{
    EXPECT_FALSE(isOutdated(10, 5));
    m_history.recordRemoval(start, "a", true);
    EXPECT_TRUE(isOutdated(10, 5, 60s));
    EXPECT_FALSE(isOutdated(10, 6, 61s));
}

// Guards against memory that grows with each target that comes and goes.
TEST_F(EntryHistoryTest, RemembersABoundedNumber)
{
    for (std::size_t number = 0; number < 2 * EntryHistory::maximumRemovals; ++number) {
        const std::string id = "t" + std::to_string(number);
        EXPECT_FALSE(isOutdated(10, 5, 0s, id));
        m_history.recordRemoval(start, id, true);
    }
    EXPECT_LE(m_history.size(), EntryHistory::maximumRemovals);
    for (std::int64_t started = 100; started > 0; --started) {
        EXPECT_FALSE(isOutdated(started, 1, EntryHistory::removalRetention));
    }
    EXPECT_EQ(m_history.size(), 1U);
}

// Guards against an entry that is outdated for good as its revision is that of an outdated entry
// from before a restore of the store, which gives out revisions again.
TEST_F(EntryHistoryTest, RevisionsOfARestoredStoreAreNew)
{
    EXPECT_FALSE(isOutdated(10, 5));
    EXPECT_TRUE(isOutdated(10, 4));
    const std::uint64_t outdatedRevision = m_revision;
    m_history.beginRestored(outdatedRevision - 1);
    m_revision = outdatedRevision - 1;
    EXPECT_FALSE(isOutdated(10, 6));
}

// Guards against outdated entries that are remembered after they have left the store.
TEST_F(EntryHistoryTest, OutdatedEntryIsForgottenOnceItIsMissing)
{
    EXPECT_FALSE(isOutdated(10, 5));
    m_history.recordRemoval(start, "a", true);
    EXPECT_TRUE(isOutdated(10, 4));
    m_history.recordRemoval(start + EntryHistory::removalRetention, "other", true);
    EXPECT_EQ(m_history.size(), 1U);
    m_history.forgetMissingEntries(start + EntryHistory::removalRetention, {});
    m_history.recordRemoval(start + 2 * EntryHistory::removalRetention, "other", true);
    EXPECT_EQ(m_history.size(), 0U);
}

} // namespace arbutusgrade
