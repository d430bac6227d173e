#include <csignal>
#include <future>

#include "systemtest.h"

//! Planned stops and SIGHUP of daemons as real processes, with requests that outlast them.
namespace arbutusgrade::support {
namespace {

using std::chrono::seconds;

constexpr milliseconds linger{500};
constexpr milliseconds bound{2500};

//! Time of a target for one request, beyond the rest of a stop that began before it.
constexpr double longServiceMs = 4000;

//! @brief One node whose targets need longer than a stop takes, and patient kinds.
SitePlan slowPlan()
{
    SitePlan plan = fanOutPlan(1, 2);
    plan.m_shutdownLingerMs = static_cast<int>(linger.count());
    plan.m_shutdownBoundMs = static_cast<int>(bound.count());
    for (KindSettings &kind : plan.m_kinds) {
        kind.m_deadline = Milliseconds(8000);
    }
    for (GroupPlan &group : plan.m_groups) {
        group.m_serviceMs = longServiceMs;
        group.m_serviceSpread = 0;
    }
    return plan;
}

std::future<HttpReply> queryLater(const Site &site, const std::string &id, const std::string &kind)
{
    return std::async(std::launch::async,
                      [&site, id, kind] { return site.query(0, makeRequest(id, kind)); });
}

//! @brief Waits until the node says that it has so many requests in flight.
bool waitForRequests(const Site &site, std::int64_t count)
{
    return waitUntil(
        [&site, count] {
            const HttpReply reply = httpCall(site.callerPort(0), "GET", "/v1/status");
            return reply.m_status == 200 && jsonBody(reply).at("requestsInFlight") == count;
        },
        seconds(5));
}

// Guards against SIGHUP, whose default action ends the process and cuts off everything in flight.
TEST(NodeStop, SighupEndsNothing)
{
    SitePlan plan = slowPlan();
    for (GroupPlan &group : plan.m_groups) {
        group.m_serviceMs = 600;
    }
    Site site(plan, programs);
    site.startNodes();
    std::future<HttpReply> calm = queryLater(site, "s1", "search");
    ASSERT_TRUE(waitForRequests(site, 1));
    site.node(0).sendSignal(SIGHUP);
    const HttpReply calmReply = calm.get();
    EXPECT_EQ(calmReply.m_status, 200U) << calmReply.m_error;
    ASSERT_TRUE(site.node(0).running());
    EXPECT_NE(site.nodeOutput(0).find("\"event\":\"reload-not-supported\""), std::string::npos);
    std::future<HttpReply> stopping = queryLater(site, "s2", "search");
    ASSERT_TRUE(waitForRequests(site, 1));
    site.node(0).sendSignal(SIGTERM);
    site.node(0).sendSignal(SIGHUP);
    const HttpReply stoppingReply = stopping.get();
    EXPECT_EQ(stoppingReply.m_status, 200U) << stoppingReply.m_error;
    const std::optional<ExitState> end = site.node(0).wait(milliseconds(4000));
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(end->m_code, 0);
}

} // namespace
} // namespace arbutusgrade::support
