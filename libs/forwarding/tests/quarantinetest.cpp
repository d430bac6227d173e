#include <limits>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t fingerprint = 7;
const TimePoint start{std::chrono::hours(1)};

bool recordCrashAt(CrashTable &table, TimePoint now, std::uint64_t process,
                   TimePoint reachableAt = TimePoint())
{
    return recordCrash(table, now, LostRequest{fingerprint, now}, process, reachableAt);
}

} // namespace

// Guards against a request that can crash targets repeatedly, and against crash counts that
// decrease.
TEST(Crashes, QuarantinesAfterTheLimit)
{
    CrashTable table;
    EXPECT_TRUE(recordCrashAt(table, start, 1));
    mergeCrashCount(table, start, fingerprint, 2, 1);
    EXPECT_FALSE(isQuarantined(table, start, fingerprint));
    mergeCrashCount(table, start, fingerprint, 3, 1);
    EXPECT_TRUE(isQuarantined(table, start, fingerprint));
    EXPECT_FALSE(isQuarantined(table, start, fingerprint + 1));
    EXPECT_FALSE(isQuarantined(table, start + CrashTable::retention, fingerprint));
    mergeCrashCount(table, start, fingerprint, 3, 2);
    mergeCrashCount(table, start, fingerprint, 3, 1);
    mergeCrashCount(table, start, fingerprint, 2, 0);
    EXPECT_TRUE(isQuarantined(table, start, fingerprint)) << "1 and 2 crashes are left";
    mergeCrashCount(table, start, fingerprint, 3, 0);
    EXPECT_FALSE(isQuarantined(table, start, fingerprint));
    mergeCrashCount(table, start, fingerprint, 1, 0);
    EXPECT_TRUE(table.m_entries.empty());
}

// Guards against counts whose sum overflows, so that a request that crashes targets is sent again.
TEST(Crashes, QuarantinesWhenCountsOfOtherNodesAreHuge)
{
    CrashTable table;
    recordCrashAt(table, start, 1);
    for (const std::uint64_t process : {2U, 3U}) {
        mergeCrashCount(table, start, fingerprint, process, std::numeric_limits<int>::max());
    }
    EXPECT_TRUE(isQuarantined(table, start, fingerprint));
    mergeCrashCount(table, start, 2, 2, std::numeric_limits<int>::min());
    mergeCrashCount(table, start, 2, 3, 1);
    EXPECT_FALSE(isQuarantined(table, start, 2));
}

// Guards against one crash that counts once for each node that saw it.
TEST(Crashes, CountsACrashOnceThatSeveralNodesSaw)
{
    CrashTable table;
    mergeCrashCount(table, start, fingerprint, 1, 1);
    EXPECT_FALSE(recordCrashAt(table, start + 1s, 1, start - 1s));
    mergeCrashCount(table, start + 1s, fingerprint, 1, 1);
    mergeCrashCount(table, start + 2s, fingerprint, 1, 1);
    EXPECT_FALSE(isQuarantined(table, start + 2s, fingerprint));
    EXPECT_TRUE(takeUnsharedCrashes(table, start + 2s).empty());
}

// Guards against a target that starts again under the same entry and crashes again uncounted.
TEST(Crashes, CountsAProcessAgainThatWasReachableSince)
{
    CrashTable table;
    for (int crash = 0; crash < CrashTable::crashLimit; ++crash) {
        const TimePoint now = start + crash * 2s;
        EXPECT_FALSE(isQuarantined(table, now, fingerprint));
        EXPECT_TRUE(recordCrashAt(table, now, 1, now - 1s));
    }
    EXPECT_TRUE(isQuarantined(table, start + 5s, fingerprint));
}

// Guards against an answer that clears no crash, or one that clears those long after it.
TEST(Crashes, AnAnswerClearsEarlierCrashesAndThoseJustAfterIt)
{
    CrashTable table;
    recordCrashAt(table, start, 1);
    EXPECT_EQ(takeUnsharedCrashes(table, start).size(), 1U);
    recordCrashAt(table, start, 2);
    const std::vector<CrashReport> reports = recordAnswer(table, start + 1s, fingerprint);
    ASSERT_EQ(reports.size(), 1U) << "only what others know of is cleared there";
    EXPECT_EQ(reports[0].m_process, 1U);
    EXPECT_EQ(reports[0].m_crashes, 0);
    EXPECT_TRUE(table.m_entries.empty());
    const TimePoint lost = start + 1s + CrashTable::answerValidity;
    const TimePoint noticed = lost + CrashTable::attributionWindow - 1ms;
    recordAnswer(table, noticed, fingerprint + 1);
    EXPECT_FALSE(recordCrash(table, noticed, LostRequest{fingerprint, lost}, 3, TimePoint()));
    EXPECT_TRUE(recordCrashAt(table, lost + 1ms, 3));
}

// Guards against a memory of answers that grows without bound.
TEST(Crashes, RemembersABoundedNumberOfAnswers)
{
    CrashTable table;
    for (std::uint64_t request = 0; request < 2 * CrashTable::maximumAnswers; ++request) {
        recordAnswer(table, start, request);
    }
    EXPECT_LE(table.m_answers.size(), CrashTable::maximumAnswers);
    EXPECT_LE(table.m_lastAnswers.size(), CrashTable::maximumAnswers);
    recordAnswer(table, start + 10s, fingerprint);
    EXPECT_EQ(table.m_answers.size(), 1U);
    EXPECT_EQ(table.m_lastAnswers.size(), 1U);
}

// Guards against a report that is sent before its request had time to be cleared, or twice.
TEST(Crashes, SharesACrashOnceAndAfterTheDelay)
{
    CrashTable table;
    recordCrashAt(table, start, 1);
    EXPECT_TRUE(takeUnsharedCrashes(table, start - 1ms).empty());
    EXPECT_EQ(takeUnsharedCrashes(table, start).size(), 1U);
    EXPECT_TRUE(takeUnsharedCrashes(table, start).empty());
    EXPECT_TRUE(recordCrashAt(table, start + 1s, 1, start + 1s));
    const std::vector<CrashReport> reports = takeUnsharedCrashes(table, start + 1s);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].m_crashes, 2);
}

// Guards against nodes that name one process differently, and against a restarted target that is
// taken for the process before it.
TEST(Crashes, TellsTheProcessesOfATargetApart)
{
    TargetEntry first;
    first.m_id = "t";
    first.m_started = 1;
    TargetEntry second = first;
    second.m_slots = 9;
    EXPECT_EQ(processNumber(first), processNumber(second));
    second.m_started = 2;
    EXPECT_NE(processNumber(first), processNumber(second));
}

} // namespace arbutusgrade
