#include <gmock/gmock.h>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class RouteStateTest : public EngineTest
{
protected:
    Route &orders()
    {
        return m_table.m_routes[1];
    }

    //! @brief Sends a request on the route of the orders and returns the service that got it.
    std::string serviceOfNextRequest()
    {
        submit("/orders/x");
        const ForwardCommand sent = m_output.m_orders.back();
        replySuccess(sent);
        return sent.m_target->m_entry.m_service;
    }

    //! @brief Has the targets of a search reply after the time, until estimates come from samples.
    void measureSearches(Duration latency)
    {
        for (int search = 0; search < 40; ++search) {
            const std::size_t before = m_output.m_orders.size();
            submit("/search/" + std::to_string(search));
            const std::size_t after = m_output.m_orders.size();
            m_now += latency;
            for (std::size_t order = before; order < after; ++order) {
                replySuccess(m_output.m_orders[order]);
            }
        }
    }

    //! @brief True if a shard without a reply is asked once more within the time.
    bool isHedgedWithin(Duration time)
    {
        const std::size_t before = m_output.m_orders.size();
        submit("/search/hedged");
        replySuccess(m_output.m_orders[before + 1]);
        advanceTime(time);
        return m_output.m_orders.size() > before + 2;
    }
};

} // namespace

// Guards against credits of an earlier scale of the weights: they sent up to 50 requests to a
// service after its weight became 0.
TEST_F(RouteStateTest, SplitFollowsTheWeightsOfItsVersion)
{
    addTarget("other-a", "other", "a");
    orders().m_services = {{"orders", 50.0}, {"other", 50.0}};
    applyTable(2);
    EXPECT_EQ(serviceOfNextRequest(), "orders"); // Leaves a credit of 50 for the other one.
    orders().m_services = {{"orders", 1.0}, {"other", 0.0}};
    applyTable(3);
    for (int request = 0; request < 60; ++request) {
        EXPECT_EQ(serviceOfNextRequest(), "orders");
    }
}

// Guards against credits that stand for other services of the same number, so that the shares are
// wrong for as many requests as the earlier weights were large.
TEST_F(RouteStateTest, SplitFollowsTheServicesOfItsVersion)
{
    addTarget("other-a", "other", "a");
    orders().m_services = {{"gone", 0.0}, {"orders", 100.0}, {"other", 100.0}};
    applyTable(2);
    EXPECT_EQ(serviceOfNextRequest(), "orders"); // Leaves a credit of 100 for the last one.
    orders().m_services = {{"gone", 0.0}, {"other", 1.0}, {"orders", 1.0}};
    applyTable(3);
    int ordersCount = 0;
    for (int request = 0; request < 20; ++request) {
        ordersCount += serviceOfNextRequest() == "orders" ? 1 : 0;
    }
    EXPECT_EQ(ordersCount, 10);
}

// Guards against a split that begins anew with each version that leaves it as it is: with frequent
// versions, a service of small weight would get nothing.
TEST_F(RouteStateTest, UnchangedSplitGoesOnAcrossVersions)
{
    addTarget("other-a", "other", "a");
    orders().m_services = {{"orders", 9.0}, {"other", 1.0}};
    int otherCount = 0;
    for (std::uint64_t version = 2; version < 42; ++version) {
        applyTable(version);
        otherCount += serviceOfNextRequest() == "other" ? 1 : 0;
    }
    EXPECT_EQ(otherCount, 4);
}

// Guards against latencies of the services that a route had in an earlier version: hedges are sent
// by them long after the route leads elsewhere.
TEST_F(RouteStateTest, LatenciesAreMeasuredAnewForOtherServices)
{
    measureSearches(2ms);
    EXPECT_TRUE(isHedgedWithin(10ms));
    for (const std::string service : {"next-1", "next-2"}) {
        addTarget(service + "a", service, "a");
        addTarget(service + "b", service, "b");
    }
    m_table.m_routes[0].m_shards = {"next-1", "next-2"};
    applyTable(2);
    EXPECT_FALSE(isHedgedWithin(10ms));
}

// Guards against latencies that are measured anew with each version, though the route leads to the
// same services.
TEST_F(RouteStateTest, LatenciesAreKeptForTheSameServices)
{
    measureSearches(2ms);
    m_table.m_routes[0].m_timeout = 3s;
    applyTable(2);
    EXPECT_TRUE(isHedgedWithin(10ms));
}

} // namespace arbutusgrade
