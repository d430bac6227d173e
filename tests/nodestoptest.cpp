#include <csignal>
#include <future>
#include <thread>

#include "systemtest.h"

//! Planned stops and SIGHUP of daemons as real processes, with requests that outlast them.
namespace arbutusgrade::support {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds linger{500};
constexpr milliseconds bound{2500};

//! Time of a target for one request, longer than a whole stop.
constexpr milliseconds longService{4000};

//! @brief One node with patient kinds.
SitePlan patientPlan()
{
    SitePlan plan = fanOutPlan(1, 2);
    plan.m_shutdownLingerMs = static_cast<int>(linger.count());
    plan.m_shutdownBoundMs = static_cast<int>(bound.count());
    for (KindSettings &kind : plan.m_kinds) {
        kind.m_deadline = Milliseconds(8000);
    }
    return plan;
}

//! @brief Starts the node, waits until it has answered a search, then slows the targets down.
void startWithTargetsOf(Site &site, milliseconds serviceTime)
{
    site.startNodes();
    const bool served =
        waitUntil([&site] { return site.query(0, makeRequest("first", "search")).m_status == 200; },
                  seconds(5));
    ASSERT_TRUE(served);
    const std::string behaviour = boost::json::serialize(
        boost::json::object{{"serviceMs", serviceTime.count()}, {"serviceSpread", 0}});
    for (const GroupPlan &group : site.plan().m_groups) {
        site.callGroup(group.m_name, "PUT", "/v1/faults", behaviour);
    }
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

std::string text(const boost::json::object &answer, std::string_view field)
{
    const boost::json::value *value = answer.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

// Guards against a process that ends while callers wait: each request in flight at SIGTERM has a
// whole answer before the exit, and says truthfully whether it may have run.
TEST(NodeStop, EachRequestInFlightIsAnsweredBeforeTheExit)
{
    Site site(patientPlan(), programs);
    startWithTargetsOf(site, longService);
    std::future<HttpReply> search = queryLater(site, "s1", "search");
    std::future<HttpReply> urgent = queryLater(site, "u1", "urgent");
    std::future<HttpReply> order = queryLater(site, "o1", "order");
    ASSERT_TRUE(waitForRequests(site, 3));
    const steady_clock::time_point signalled = steady_clock::now();
    site.node(0).sendSignal(SIGTERM);
    const std::optional<ExitState> end = site.node(0).wait(milliseconds(4000));
    const steady_clock::duration taken = steady_clock::now() - signalled;
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(end->m_code, 0);
    EXPECT_LT(taken, bound + milliseconds(500));
    for (std::future<HttpReply> *const idempotent : {&search, &urgent}) {
        const HttpReply reply = idempotent->get();
        ASSERT_EQ(reply.m_status, 502U) << reply.m_body << reply.m_error;
        EXPECT_EQ(text(jsonBody(reply), "reason"), "shutting-down");
    }
    const HttpReply ordered = order.get();
    ASSERT_EQ(ordered.m_status, 504U) << ordered.m_body << ordered.m_error;
    EXPECT_EQ(text(jsonBody(ordered), "outcome"), "outcome-unknown");
}

// Guards against a request that a stopping node takes although it cannot end it: it is refused at
// once, truthfully as not run.
TEST(NodeStop, RequestThatCannotEndIsRefusedAtOnce)
{
    SitePlan plan = patientPlan();
    plan.m_shutdownLingerMs = 2000;
    Site site(plan, programs);
    startWithTargetsOf(site, longService);
    // The node learns from a few searches how long they take.
    constexpr int slowSearches = 4;
    std::vector<std::future<HttpReply>> searches;
    searches.reserve(slowSearches);
    for (int number = 0; number < slowSearches; ++number) {
        searches.push_back(queryLater(site, "s" + std::to_string(number), "search"));
    }
    for (std::future<HttpReply> &search : searches) {
        search.wait();
    }
    site.node(0).sendSignal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(200));
    const steady_clock::time_point sent = steady_clock::now();
    const HttpReply reply = site.query(0, makeRequest("late", "search"));
    EXPECT_LT(steady_clock::now() - sent, milliseconds(500));
    ASSERT_EQ(reply.m_status, 503U) << reply.m_body << reply.m_error;
    EXPECT_EQ(text(jsonBody(reply), "outcome"), "not-run");
    EXPECT_EQ(text(jsonBody(reply), "reason"), "shutting-down");
}

// Guards against an operator who is left without an answer when the node that carries a change
// stops while the store does not answer.
TEST(NodeStop, ChangeInFlightIsAnsweredBeforeTheExit)
{
    Site site(patientPlan(), programs);
    startWithTargetsOf(site, longService);
    site.callStore("PUT", "/v1/faults", R"({"hang":true})");
    const boost::json::object change{{"changeId", "change-first"},
                                     {"expectedRevision", 0},
                                     {"author", "kari"},
                                     {"base", site.settingsText()},
                                     {"overlays", boost::json::object()}};
    std::future<HttpReply> write = std::async(std::launch::async, [&site, &change] {
        return httpCall(site.callerPort(0), "POST", "/v1/admin/configuration",
                        boost::json::serialize(change));
    });
    std::future<HttpReply> lookUp = std::async(std::launch::async, [&site] {
        return httpCall(site.callerPort(0), "GET", "/v1/admin/changes/change-other");
    });
    std::this_thread::sleep_for(milliseconds(300));
    site.node(0).sendSignal(SIGTERM);
    const std::optional<ExitState> end = site.node(0).wait(milliseconds(4000));
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(end->m_code, 0);
    const HttpReply written = write.get();
    ASSERT_EQ(written.m_status, 503U) << written.m_body << written.m_error;
    EXPECT_EQ(text(jsonBody(written), "applied"), "unknown");
    const HttpReply lookedUp = lookUp.get();
    ASSERT_EQ(lookedUp.m_status, 200U) << lookedUp.m_body << lookedUp.m_error;
    EXPECT_EQ(text(jsonBody(lookedUp), "state"), "unknown");
}

// Guards against SIGHUP, whose default action ends the process and cuts off everything in flight.
TEST(NodeStop, SighupEndsNothing)
{
    Site site(patientPlan(), programs);
    startWithTargetsOf(site, milliseconds(600));
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
