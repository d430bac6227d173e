#include <gtest/gtest.h>

#include "details/membership.h"
#include "fakestore.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

std::vector<MetadataItem> registrations(int nodes)
{
    std::vector<MetadataItem> items{{"op/config", "", 1}};
    for (int node = 0; node < nodes; ++node) {
        items.push_back(MetadataItem{"own/nodes/n" + std::to_string(node), "", 1});
    }
    return items;
}

} // namespace

// Guards against nodes that use a larger share of the limits as soon as registrations expire, while
// the other nodes may still be running.
TEST(Membership, DelaysDecreasesOfTheNodeCount)
{
    boost::asio::io_context context;
    FakeStore store;
    const std::shared_ptr<Membership> membership =
        std::make_shared<Membership>(context, store, "own/nodes/", "n0", 1s);
    membership->start();
    membership->applySnapshot(registrations(20));
    EXPECT_EQ(membership->nodeCount(bootTimeNow()), 20);
    std::vector<MetadataEvent> removals;
    for (int node = 1; node < 20; ++node) {
        removals.push_back(MetadataEvent{{"own/nodes/n" + std::to_string(node), "", 2}, true});
    }
    membership->applyChanges(removals);
    EXPECT_EQ(membership->nodeCount(bootTimeNow()), 20);
    EXPECT_EQ(membership->nodeCount(bootTimeNow() + 60s), 1);
}

// Guards against a node that is no longer counted after its registration was removed.
TEST(Membership, RegistersAgainWhenItsKeyIsRemoved)
{
    boost::asio::io_context context;
    FakeStore store;
    const std::shared_ptr<Membership> membership =
        std::make_shared<Membership>(context, store, "own/nodes/", "n0", 1s);
    membership->start();
    EXPECT_EQ(store.m_createdLeases, 1);
    membership->applySnapshot(registrations(3));
    membership->applyChanges({MetadataEvent{{"own/nodes/n0", "", 2}, true}});
    runFor(context, 50ms);
    EXPECT_EQ(store.m_createdLeases, 2);
}

} // namespace arbutusgrade
