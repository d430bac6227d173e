#include <gtest/gtest.h>

#include "details/crashpublisher.h"
#include "fakestore.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class CrashPublisherTest : public testing::Test
{
protected:
    CrashPublisherTest()
        : m_log(LogOptions{"n1", testing::TempDir() + "crashpublisher.log"}),
          m_publisher(
              std::make_shared<CrashPublisher>(m_context, m_store, "own/crashes/", 1s, m_log))
    {
    }

    boost::asio::io_context m_context;
    FakeStore m_store;
    Log m_log;
    std::shared_ptr<CrashPublisher> m_publisher;
};

} // namespace

// Guards against nodes that write different keys for one crash, and against reports that end with
// the lease of the process that wrote them.
TEST_F(CrashPublisherTest, WritesAKeyForEachProcessUnderALeaseOfItsOwn)
{
    m_publisher->publish(CrashReport{7, 1, 1});
    m_publisher->publish(CrashReport{7, 2, 1});
    m_publisher->publish(CrashReport{7, 1, 0});
    EXPECT_EQ(m_store.m_items, (std::map<std::string, std::string>{{"own/crashes/7/1", "0"},
                                                                   {"own/crashes/7/2", "1"}}));
    EXPECT_EQ(m_store.m_createdLeases, 1);
    EXPECT_GE(m_store.m_leaseTimeToLive, CrashTable::retention);
}

// Guards against crashes that other nodes never learn of, as the store was away when they happened.
TEST_F(CrashPublisherTest, WritesLaterWhatTheStoreDoesNotTake)
{
    m_store.m_writeStatus = MetadataStatus::NoResponse;
    m_publisher->publish(CrashReport{7, 1, 1});
    m_publisher->publish(CrashReport{7, 2, 1});
    m_publisher->publish(CrashReport{7, 2, 2});
    runFor(m_context, 1200ms);
    EXPECT_TRUE(m_store.m_items.empty());
    m_store.m_writeStatus = MetadataStatus::Ok;
    runFor(m_context, 1200ms);
    EXPECT_EQ(m_store.m_items, (std::map<std::string, std::string>{{"own/crashes/7/1", "1"},
                                                                   {"own/crashes/7/2", "2"}}));
}

// Guards against a report that the store does late and that undoes a later one: a request that was
// cleared would be refused again by all nodes.
TEST_F(CrashPublisherTest, LateWriteUndoesNoLaterOne)
{
    m_store.m_writeStatus = MetadataStatus::NoResponse;
    m_publisher->publish(CrashReport{7, 1, 1});
    m_store.m_writeStatus = MetadataStatus::Ok;
    m_publisher->publish(CrashReport{7, 1, 0});
    runFor(m_context, 1200ms);
    EXPECT_EQ(m_store.m_items.at("own/crashes/7/1"), "0");
    m_store.performLateWrites();
    EXPECT_EQ(m_store.m_items.at("own/crashes/7/1"), "0");
}

// Guards against reports that are never shared as another node, or a late write of this one, has
// written their key.
TEST_F(CrashPublisherTest, WritesAKeyThatAnotherNodeHasWritten)
{
    m_store.m_items["own/crashes/7/1"] = "1";
    m_publisher->publish(CrashReport{7, 1, 0});
    EXPECT_EQ(m_store.m_items.at("own/crashes/7/1"), "0");
    m_store.m_writeStatus = MetadataStatus::NoResponse;
    m_publisher->publish(CrashReport{7, 2, 1});
    m_store.performLateWrites();
    m_store.m_writeStatus = MetadataStatus::Ok;
    m_publisher->publish(CrashReport{7, 2, 2});
    runFor(m_context, 1200ms);
    EXPECT_EQ(m_store.m_items.at("own/crashes/7/2"), "2");
    EXPECT_LE(m_store.m_writeCalls, 6);
}

// Guards against reports that are lost with a lease that the store has dropped.
TEST_F(CrashPublisherTest, TakesANewLeaseWhenItsLeaseHasEnded)
{
    m_publisher->publish(CrashReport{7, 1, 1});
    m_store.m_writeStatus = MetadataStatus::NotFound;
    m_publisher->publish(CrashReport{7, 2, 1});
    m_store.m_writeStatus = MetadataStatus::Ok;
    runFor(m_context, 1200ms);
    EXPECT_EQ(m_store.m_items.size(), 2U);
    EXPECT_EQ(m_store.m_createdLeases, 2);
}

} // namespace arbutusgrade
