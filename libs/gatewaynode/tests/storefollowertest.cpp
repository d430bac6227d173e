#include <gtest/gtest.h>

#include "details/storefollower.h"
#include "fakestore.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class StoreFollowerTest : public testing::Test
{
protected:
    StoreFollowerTest()
    {
        StoreFollower::Handlers handlers;
        handlers.m_snapshot = [this](const std::vector<MetadataItem> &items) {
            ++m_snapshots;
            m_items = items.size();
        };
        handlers.m_changes = [this](const std::vector<MetadataEvent> &events) {
            m_events += events.size();
        };
        handlers.m_availability = [this](bool available) { m_available = available; };
        m_follower = std::make_shared<StoreFollower>(
            m_context, m_store, "", StoreFollowerOptions{3s, 40ms}, std::move(handlers));
    }

    boost::asio::io_context m_context;
    FakeStore m_store;
    std::shared_ptr<StoreFollower> m_follower;
    std::size_t m_items = 0;
    std::size_t m_events = 0;
    int m_snapshots = 0;
    bool m_available = false;
};

} // namespace

// Guards against a reading that takes the first page for all of them.
TEST_F(StoreFollowerTest, ReadsAllPagesThenWatchesFromTheFirst)
{
    m_store.m_items = {{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "4"}, {"e", "5"}};
    m_follower->start();
    EXPECT_EQ(m_items, 5U);
    EXPECT_EQ(m_store.m_listCalls, 3);
    ASSERT_EQ(m_store.m_watches.size(), 1U);
    EXPECT_EQ(m_store.m_watches[0].m_after, 10U);
}

// Guards against a watch for each of many changes in a row, as each call is paid for.
TEST_F(StoreFollowerTest, LetsChangesGatherBeforeTheNextWatch)
{
    m_follower->start();
    m_store.answerWatch(MetadataStatus::Ok, {eventOf("a", "1", 11)}, 11);
    runFor(m_context, 10ms);
    EXPECT_TRUE(m_store.m_watches.empty());
    runFor(m_context, 60ms);
    ASSERT_EQ(m_store.m_watches.size(), 1U);
    EXPECT_EQ(m_store.m_watches[0].m_after, 11U);
}

// Guards against a node that works through what it missed in pauses: on sendersok-grown trouble-1 a
// node that the store had refused learned 5 s late that a target was leaving.
TEST_F(StoreFollowerTest, TakesABacklogWithoutPauses)
{
    m_follower->start();
    const std::vector<MetadataEvent> backlog(100, eventOf("a", "1", 200));
    for (int batch = 0; batch < 5; ++batch) {
        ASSERT_EQ(m_store.m_watches.size(), 1U);
        m_store.answerWatch(MetadataStatus::Ok, backlog, 200);
    }
    EXPECT_EQ(m_events, 500U);
}

// Guards against changes that are lost when the store has dropped its history.
TEST_F(StoreFollowerTest, ReadsEverythingAgainWhenTheHistoryIsGone)
{
    m_follower->start();
    m_store.answerWatch(MetadataStatus::HistoryGone, {}, 0);
    EXPECT_EQ(m_snapshots, 2);
    EXPECT_EQ(m_store.m_watches.size(), 1U);
}

// Guards against a node that gives up, or asks without pause, while the store is away.
TEST_F(StoreFollowerTest, GoesOnFromTheLastRevisionAfterAnOutage)
{
    m_follower->start();
    for (int failure = 0; failure < 2; ++failure) {
        ASSERT_EQ(m_store.m_watches.size(), 1U);
        m_store.answerWatch(MetadataStatus::NoAnswer, {}, 0);
        EXPECT_FALSE(m_available);
        EXPECT_TRUE(m_store.m_watches.empty());
        runFor(m_context, 400ms);
    }
    ASSERT_EQ(m_store.m_watches.size(), 1U);
    EXPECT_EQ(m_store.m_watches[0].m_after, 10U);
    m_store.answerWatch(MetadataStatus::Ok, {}, 15);
    EXPECT_TRUE(m_available);
    EXPECT_EQ(m_store.m_watches[0].m_after, 15U);
}

// Guards against a node that stays without knowledge because the first reading failed.
TEST_F(StoreFollowerTest, RepeatsAFailedReading)
{
    m_store.m_listStatus = MetadataStatus::Refused;
    m_follower->start();
    EXPECT_EQ(m_snapshots, 0);
    m_store.m_listStatus = MetadataStatus::Ok;
    runFor(m_context, 300ms);
    EXPECT_EQ(m_snapshots, 1);
}

// Guards against a node that takes a stale reading for the present state.
TEST_F(StoreFollowerTest, AppliesTheChangesSinceAStaleReading)
{
    m_store.m_answersCatchUp = false;
    m_store.m_items = {{"a", "1"}, {"b", "2"}};
    m_follower->start();
    EXPECT_EQ(m_snapshots, 0);
    m_store.answerWatch(
        MetadataStatus::Ok,
        {MetadataEvent{{"a", "", 11}, true}, eventOf("c", "3", 12), eventOf("d", "4", 13)}, 13);
    EXPECT_EQ(m_snapshots, 1);
    EXPECT_EQ(m_items, 3U);
    ASSERT_EQ(m_store.m_watches.size(), 1U);
    EXPECT_EQ(m_store.m_watches[0].m_after, 13U);
    EXPECT_EQ(m_store.m_exactLists, 0);
}

// Guards against a node that never gets ready when the store has dropped its history.
TEST_F(StoreFollowerTest, ReadsExactlyWhenTheChangesSinceAStaleReadingAreGone)
{
    m_store.m_answersCatchUp = false;
    m_store.m_items = {{"a", "1"}};
    m_follower->start();
    m_store.answerWatch(MetadataStatus::HistoryGone, {}, 0);
    EXPECT_EQ(m_store.m_exactLists, 1);
    EXPECT_EQ(m_snapshots, 1);
    EXPECT_EQ(m_items, 1U);
}

} // namespace arbutusgrade
