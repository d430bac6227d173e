#include <gtest/gtest.h>

#include "details/membership.h"
#include "details/registration.h"
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

// Guards against a registration of an earlier process of the node that the store does late: other
// nodes would use the link of the earlier one.
TEST(Membership, LateRegistrationOfAnEarlierProcessIsNotWritten)
{
    boost::asio::io_context context;
    FakeStore store;
    RegisteredNode self{"n0", "a", NodeLinkSettings{}};
    const auto process = [&](std::uint16_t port) {
        self.m_link.m_address = "127.0.0.1";
        self.m_link.m_port = port;
        std::shared_ptr<Membership> membership =
            std::make_shared<Membership>(context, store, "own/nodes/", "n0", 1s, self);
        membership->start();
        return membership;
    };
    store.m_writeStatus = MetadataStatus::NoResponse;
    process(1000)->stop();
    store.m_writeStatus = MetadataStatus::Ok;
    const std::shared_ptr<Membership> restarted = process(2000);
    store.performLateWrites();
    const std::optional<RegisteredNode> registered =
        decodeRegistration("n0", store.m_items.at("own/nodes/n0"));
    ASSERT_TRUE(registered);
    EXPECT_EQ(registered->m_link.m_port, 2000);
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

// Guards against a node that others cannot reach, or that is chosen for a role although its
// registration is invalid or from an earlier release.
TEST(Membership, ReadsTheLinksOfValidRegistrations)
{
    const RegisteredNode node{"n0", "a", {"10.0.0.1", 7000, 0.25}};
    const std::string valid = encodeRegistration(node);
    const std::optional<RegisteredNode> decoded = decodeRegistration("n0", valid);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(encodeRegistration(*decoded), valid);
    EXPECT_FALSE(decodeRegistration("n1", valid));
    for (const std::string_view value :
         {"n0", "", "{", "[]", "{}",
          R"({"name":"n0","dataCentre":"a","address":"10.0.0","port":7000,"weight":1})",
          R"({"name":"n0","dataCentre":"a","address":"0.0.0.0","port":7000,"weight":1})",
          R"({"name":"n0","dataCentre":"a","address":"10.0.0.1","port":0,"weight":1})",
          R"({"name":"n0","dataCentre":"a","address":"10.0.0.1","port":65536,"weight":1})",
          R"({"name":"n0","dataCentre":"a","address":"10.0.0.1","port":7000,"weight":0})",
          R"({"name":"n0","dataCentre":"a","address":"10.0.0.1","port":7000,"weight":"1"})"}) {
        EXPECT_FALSE(decodeRegistration("n0", value)) << value;
    }
    EXPECT_FALSE(decodeRegistration("n0", valid + std::string(2'000, ' ')));
}

// Guards against a share of the quotas that others take over while its node, which is cut off from
// the store, still uses it, and against work for registrations that have not changed.
TEST(Membership, CountsSharesOfNodesWhoseRegistrationEnded)
{
    boost::asio::io_context context;
    FakeStore store;
    const std::shared_ptr<Membership> membership =
        std::make_shared<Membership>(context, store, "own/nodes/", "n0", 1s);
    membership->applySnapshot({{"own/nodes/n0", "n0", 1}, {"own/nodes/n1", "n1", 1}});
    membership->applyChanges({MetadataEvent{{"own/nodes/n1", "", 2}, true}});
    EXPECT_EQ(membership->quotaShareCount(bootTimeNow() + 59min), 2);
    const std::uint64_t revision = membership->revision();
    membership->applyChanges({MetadataEvent{{"own/nodes/n0", "n0", 3}, false}});
    EXPECT_EQ(membership->revision(), revision);
    EXPECT_EQ(membership->quotaShareCount(bootTimeNow() + 61min), 1);
}

// Guards against links that are lost when registrations lapse while their nodes still run, and
// against a count that the assumption for the start makes too high.
TEST(Membership, KeepsLinksForAWhileAfterTheirRegistration)
{
    boost::asio::io_context context;
    FakeStore store;
    const RegisteredNode self{"n0", "a", {"10.0.0.1", 7000, 1.0}};
    const std::shared_ptr<Membership> membership =
        std::make_shared<Membership>(context, store, "own/nodes/", "n0", 1s, self);
    membership->start();
    EXPECT_FALSE(membership->isRegistered());
    EXPECT_EQ(store.m_items["own/nodes/n0"], encodeRegistration(self));
    const RegisteredNode other{"n1", "b", {"10.0.0.2", 7000, 1.0}};
    membership->applySnapshot({{"own/nodes/n0", encodeRegistration(self), 1},
                               {"own/nodes/n1", encodeRegistration(other), 1},
                               {"own/nodes/n2", "n2", 1}});
    EXPECT_TRUE(membership->isRegistered());
    EXPECT_EQ(membership->quotaShareCount(bootTimeNow()), 3);
    ASSERT_EQ(membership->linkedNodes().size(), 2U);
    const std::uint64_t revision = membership->revision();
    membership->applyChanges({MetadataEvent{{"own/nodes/n1", "", 2}, true}});
    EXPECT_EQ(membership->linkedNodes().size(), 2U);
    EXPECT_GT(membership->revision(), revision);
    membership->nodeCount(bootTimeNow() + 60s);
    EXPECT_EQ(membership->linkedNodes().size(), 1U);
}

} // namespace arbutusgrade
