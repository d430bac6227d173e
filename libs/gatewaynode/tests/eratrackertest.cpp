#include <gtest/gtest.h>

#include "details/crashpublisher.h"
#include "details/eratracker.h"
#include "details/membership.h"
#include "fakestore.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class EraTrackerTest : public testing::Test
{
protected:
    EraTrackerTest()
        : m_tracker(m_store, [this](std::uint64_t /*previous*/, std::uint64_t era) {
              m_changes.push_back(era);
              if (m_membership) {
                  m_membership->storeEraChanged();
              }
          })
    {
        m_store.m_era = 1;
    }

    MetadataStatus writeStatus()
    {
        MetadataStatus status = MetadataStatus::Refused;
        m_tracker.write("k" + std::to_string(++m_keys), "v", "1", 0,
                        [&status](const MetadataResult &result) { status = result.m_status; });
        return status;
    }

    void beginWatch()
    {
        m_tracker.watch("", 10, 1s, [this](const MetadataChanges &changes) {
            m_watchStatus.push_back(changes.m_status);
        });
    }

    boost::asio::io_context m_context;
    int m_keys = 0; //!< Each write has a key of its own, which does not exist.
    FakeStore m_store;
    std::vector<std::uint64_t> m_changes;
    std::vector<MetadataStatus> m_watchStatus;
    std::shared_ptr<Membership> m_membership;
    EraTracker m_tracker;
};

} // namespace

// Guards against changes of an earlier era that arrive late and are applied to the restored state.
TEST_F(EraTrackerTest, DiscardsALateReplyOfAnEarlierEra)
{
    EXPECT_EQ(writeStatus(), MetadataStatus::Ok);
    beginWatch();
    m_store.m_era = 2;
    EXPECT_EQ(writeStatus(), MetadataStatus::NoResponse);
    EXPECT_EQ(m_changes, std::vector<std::uint64_t>{2});
    m_store.m_era = 1;
    m_store.completeWatch(MetadataStatus::Ok, {makeEvent("a", "1", 11)}, 11);
    EXPECT_EQ(m_watchStatus, std::vector<MetadataStatus>{MetadataStatus::NoResponse});
    EXPECT_EQ(m_changes.size(), 1U);
    EXPECT_EQ(m_tracker.era(), StoreEra(2));
}

// Guards against a watch that was sent before a restore and ends after it: its revisions are those
// of the new era, while the state that it continues is not.
TEST_F(EraTrackerTest, DiscardsAReplyToACallOfTheEarlierEra)
{
    EXPECT_EQ(writeStatus(), MetadataStatus::Ok);
    beginWatch();
    m_store.m_era = 2;
    m_store.completeWatch(MetadataStatus::Ok, {makeEvent("a", "1", 11)}, 11);
    EXPECT_EQ(m_watchStatus, std::vector<MetadataStatus>{MetadataStatus::NoResponse});
    EXPECT_EQ(m_changes, std::vector<std::uint64_t>{2});
    EXPECT_EQ(writeStatus(), MetadataStatus::Ok);
}

// Guards against a store that was replaced by one with a lower era and is never followed again.
TEST_F(EraTrackerTest, FollowsALowerEraThatAStrongCallReturns)
{
    m_store.m_era = 5;
    EXPECT_EQ(writeStatus(), MetadataStatus::Ok);
    m_store.m_era = 3;
    m_tracker.list("", "", ReadConsistency::Stale, [](const MetadataPage & /*page*/) {});
    EXPECT_TRUE(m_changes.empty());
    EXPECT_EQ(writeStatus(), MetadataStatus::NoResponse);
    EXPECT_EQ(m_changes, std::vector<std::uint64_t>{3});
}

// Guards against listings without end while servers of two eras answer in turn.
TEST_F(EraTrackerTest, DoesNotFollowErasThatAlternate)
{
    for (int call = 0; call < 20; ++call) {
        m_store.m_era = static_cast<std::uint64_t>(1 + call % 2);
        writeStatus();
    }
    EXPECT_EQ(m_changes, std::vector<std::uint64_t>{2});
}

// Guards against a store without eras that is no longer followed.
TEST_F(EraTrackerTest, PassesThroughAStoreWithoutAnEra)
{
    m_store.m_era.reset();
    EXPECT_EQ(writeStatus(), MetadataStatus::Ok);
    EXPECT_EQ(writeStatus(), MetadataStatus::Ok);
    EXPECT_FALSE(m_tracker.era());
    EXPECT_TRUE(m_changes.empty());
}

// Guards against a node that takes its lease for held after a restore, which its write shows first.
TEST_F(EraTrackerTest, RegistersAgainUnderANewLease)
{
    m_membership = std::make_shared<Membership>(m_context, m_tracker, "own/nodes/", "n0", 1s);
    m_membership->start();
    EXPECT_EQ(m_store.m_createdLeases, 1);
    m_store.m_items.clear();
    m_store.m_era = 2;
    EXPECT_EQ(writeStatus(), MetadataStatus::NoResponse);
    runFor(m_context, 1100ms);
    EXPECT_EQ(m_store.m_createdLeases, 2);
    EXPECT_TRUE(m_store.m_items.contains("own/nodes/n0"));
}

// Guards against crash reports that a restore of the store has lost.
TEST(CrashPublisherEra, WritesItsReportsAgain)
{
    boost::asio::io_context context;
    FakeStore store;
    Log log(LogOptions{"n1", testing::TempDir() + "crashera.log"});
    const std::shared_ptr<CrashPublisher> publisher =
        std::make_shared<CrashPublisher>(context, store, "own/crashes/", 1s, log);
    publisher->publish(CrashReport{7, 1, 1});
    publisher->publish(CrashReport{7, 1, 2});
    store.m_items.clear();
    publisher->storeEraChanged();
    EXPECT_EQ(store.m_items, (std::map<std::string, std::string>{{"own/crashes/7/1", "2"}}));
    EXPECT_EQ(store.m_createdLeases, 2);
}

} // namespace arbutusgrade
