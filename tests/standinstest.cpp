#include <csignal>
#include <set>
#include <string>
#include <thread>

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "support/faultproxy.h"
#include "support/httpclient.h"
#include "support/process.h"
#include "support/site.h"

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;

const std::string programs = ARBUTUSGRADE_PROGRAMS;

//! A stand-in with the port that it printed.
struct StandIn
{
    StandIn(const std::string &program, std::vector<std::string> options)
    {
        options.insert(options.begin(), programs + "/" + program);
        m_process = ChildProcess(options, m_directory.path() + "/output");
        m_port = static_cast<std::uint16_t>(
            std::stoi(m_process.waitForOutput("port", milliseconds(5000))));
    }

    HttpReply call(std::string_view method, std::string_view path, std::string_view body = {}) const
    {
        return httpCall(m_port, method, path, body, milliseconds(2000));
    }

    TemporaryDirectory m_directory;
    ChildProcess m_process;
    std::uint16_t m_port = 0;
};

std::string execution(const std::string &attempt, const std::string &request,
                      const std::string &more = "")
{
    return R"({"attemptId":")" + attempt + R"(","requestId":")" + request
           + R"(","shard":"s1","epoch":1,"version":1,"deadlineMs":1000,"idempotent":false)" + more
           + "}";
}

json::object targetStatistics(const StandIn &host)
{
    return jsonBody(host.call("GET", "/v1/statistics?target=0"));
}

// Guards against a store that lets two creators of one key both win.
TEST(PlatformStandIn, CompareAndSwapLetsOneCreatorWin)
{
    const StandIn platform("platform-standin", {});
    EXPECT_EQ(platform.call("PUT", "/v1/keys/claims/g/r%201?expected=0", "one").m_status, 200U);
    const HttpReply second = platform.call("PUT", "/v1/keys/claims/g/r%201?expected=0", "two");
    EXPECT_EQ(second.m_status, 412U);
    EXPECT_EQ(jsonBody(second).at("value").as_string(), "one");
    EXPECT_EQ(
        jsonBody(platform.call("GET", "/v1/statistics")).at("calls").at("conflict").as_int64(), 1);
}

// Guards against a "lost reply" fault whose write never took effect.
TEST(PlatformStandIn, LostReplyStillTakesEffect)
{
    const StandIn platform("platform-standin", {});
    platform.call("PUT", "/v1/faults", R"({"loseReplies":1})");
    EXPECT_EQ(platform.call("PUT", "/v1/keys/a?expected=0", "x").m_status, 0U);
    platform.call("PUT", "/v1/faults", R"({"loseReplies":0})");
    EXPECT_EQ(jsonBody(platform.call("GET", "/v1/keys/a")).at("value").as_string(), "x");
}

// Guards against leases that never end, which would hide a claim kept without its holder.
TEST(PlatformStandIn, LapsedLeaseDeletesItsKeys)
{
    const StandIn platform("platform-standin", {});
    const json::object lease = jsonBody(platform.call("POST", "/v1/leases?ttlSeconds=1"));
    const std::string id = std::to_string(lease.at("lease").as_int64());
    EXPECT_EQ(platform.call("PUT", "/v1/keys/a?expected=0&lease=" + id, "x").m_status, 200U);
    EXPECT_TRUE(waitUntil([&] { return platform.call("GET", "/v1/keys/a").m_status == 404; },
                          milliseconds(3000)));
    EXPECT_EQ(platform.call("PUT", "/v1/leases/" + id).m_status, 404U);
}

// Guards against a watch that misses a change or is counted as more than one call.
TEST(PlatformStandIn, WatchEndsWithTheChangeAndCountsOnce)
{
    const StandIn platform("platform-standin", {});
    HttpReply seen;
    std::thread watcher([&] { seen = platform.call("GET", "/v1/watch/a?after=0&waitSeconds=2"); });
    waitUntil(
        [&] {
            return jsonBody(platform.call("GET", "/v1/statistics")).at("waitingWatches").as_int64()
                   == 1;
        },
        milliseconds(1000));
    platform.call("PUT", "/v1/keys/a", "x");
    watcher.join();
    EXPECT_EQ(jsonBody(seen).at("value").as_string(), "x");
    EXPECT_EQ(jsonBody(platform.call("GET", "/v1/statistics")).at("calls").at("watch").as_int64(),
              1);
}

// Guards against a store fault that shows the older state under the new revision.
TEST(PlatformStandIn, RollbackShowsTheOlderRevision)
{
    const StandIn platform("platform-standin", {});
    platform.call("PUT", "/v1/keys/a", "old");
    platform.call("PUT", "/v1/keys/a", "new");
    EXPECT_EQ(
        platform.call("PUT", "/v1/faults", R"({"rollback":{"key":"a","revision":1}})").m_status,
        200U);
    const json::object state = jsonBody(platform.call("GET", "/v1/keys/a"));
    EXPECT_EQ(state.at("value").as_string(), "old");
    EXPECT_EQ(state.at("revision").as_int64(), 1);
}

// Guards against a restore that only looks like one: revisions, leases and the era must show it.
TEST(PlatformStandIn, RestoreGoesBackToTheCopyInANewEra)
{
    const StandIn platform("platform-standin", {});
    const auto put = [&platform](const std::string &fault) {
        return platform.call("PUT", "/v1/faults", fault).m_status;
    };
    EXPECT_EQ(put(R"({"restore":true})"), 400U);
    platform.call("PUT", "/v1/keys/a", "old");
    const std::string lease =
        std::to_string(jsonBody(platform.call("POST", "/v1/leases")).at("lease").as_int64());
    EXPECT_EQ(put(R"({"copy":true})"), 200U);
    platform.call("PUT", "/v1/keys/a", "new");
    EXPECT_EQ(put(R"({"restore":true})"), 200U);
    EXPECT_EQ(jsonBody(platform.call("GET", "/v1/keys/a")).at("value").as_string(), "old");
    EXPECT_EQ(platform.call("PUT", "/v1/leases/" + lease).m_status, 404U);
    EXPECT_EQ(jsonBody(platform.call("PUT", "/v1/keys/b", "x")).at("revision").as_int64(), 2);
}

// Guards against a count of executions that a crash resets: at most once could not be proved.
TEST(TargetStandIn, CrashLosesConnectionsAndKeepsCounts)
{
    const StandIn host("target-standin", {"--behaviour={\"restartMs\":200}"});
    const std::uint16_t port = static_cast<std::uint16_t>(host.m_port + 1);
    const std::string crash = execution("a1", "r1", R"(,"payload":{"crash":true})");
    EXPECT_EQ(httpCall(port, "POST", "/v1/execute", crash).m_status, 0U);
    EXPECT_EQ(httpCall(port, "GET", "/v1/health").m_status, 0U);
    EXPECT_TRUE(waitUntil([&] { return httpCall(port, "GET", "/v1/health").m_status == 200; },
                          milliseconds(2000)));
    EXPECT_EQ(httpCall(port, "POST", "/v1/execute", execution("a2", "r1")).m_status, 200U);
    const json::object statistics = targetStatistics(host);
    EXPECT_EQ(statistics.at("starts").as_int64(), 2);
    EXPECT_EQ(statistics.at("onceExecutions").at("r1").as_int64(), 2);
}

// Guards against a connection limit that is counted but not held.
TEST(TargetStandIn, ConnectionsBeyondTheLimitAreClosed)
{
    const StandIn host("target-standin", {"--behaviour={\"connectionLimit\":1}"});
    const std::uint16_t port = static_cast<std::uint16_t>(host.m_port + 1);
    HttpClient first(port);
    EXPECT_EQ(first.call("GET", "/v1/health").m_status, 200U);
    EXPECT_EQ(httpCall(port, "GET", "/v1/health").m_status, 0U);
    EXPECT_EQ(first.call("GET", "/v1/health").m_status, 200U);
    EXPECT_EQ(targetStatistics(host).at("refusedConnections").as_int64(), 1);
}

// Guards against refusals that count as executions, and refusals without notStarted.
TEST(TargetStandIn, RefusalsBeforeStartSaySo)
{
    const StandIn host("target-standin",
                       {"--behaviour={\"draining\":false,\"refuseWhenDraining\":true}"});
    const std::uint16_t port = static_cast<std::uint16_t>(host.m_port + 1);
    host.call("POST", "/v1/snapshots", R"({"epoch":2,"version":1,"keepMs":0})");
    const HttpReply gone = httpCall(port, "POST", "/v1/execute", execution("a1", "r1"));
    EXPECT_EQ(gone.m_status, 409U);
    EXPECT_TRUE(jsonBody(gone).at("notStarted").as_bool());
    host.call("PUT", "/v1/faults", R"({"draining":true})");
    const HttpReply draining = httpCall(port, "POST", "/v1/execute", execution("a2", "r1"));
    EXPECT_EQ(draining.m_status, 503U);
    EXPECT_EQ(jsonBody(draining).at("status").as_string(), "draining");
    EXPECT_TRUE(jsonBody(draining).at("draining").as_bool());
    EXPECT_EQ(targetStatistics(host).at("executions").as_int64(), 0);
}

// Guards against a proxy whose cut leaves open connections alone.
TEST(FaultProxy, CutEndsOpenConnectionsAndDroppedRepliesTimeOut)
{
    const StandIn platform("platform-standin", {});
    FaultProxy proxy(platform.m_port);
    HttpClient client(proxy.port());
    EXPECT_EQ(client.call("PUT", "/v1/keys/a", "x").m_status, 200U);
    proxy.setFaults(ProxyFaults{true, false, false, milliseconds(0)});
    EXPECT_EQ(client.call("PUT", "/v1/keys/a", "y").m_status, 0U);
    proxy.setFaults(ProxyFaults{false, true, false, milliseconds(0)});
    EXPECT_EQ(client.call("PUT", "/v1/keys/a", "z", milliseconds(200)).m_status, 0U);
    EXPECT_EQ(jsonBody(platform.call("GET", "/v1/keys/a")).at("value").as_string(), "z");
}

// Guards against children that outlive the test or are signalled after they were reaped.
TEST(ChildProcess, TermEndsAStandInWithZero)
{
    StandIn platform("platform-standin", {});
    platform.m_process.sendSignal(SIGTERM);
    const std::optional<ExitState> state = platform.m_process.wait(milliseconds(2000));
    ASSERT_TRUE(state.has_value());
    EXPECT_EQ(state->m_code, 0);
    EXPECT_FALSE(platform.m_process.running());
}

// Guards against two tests that run beside each other with one port, of which the second finds it
// in use when it restarts a node.
TEST(FreePorts, PortIsHandedOutOnce)
{
    constexpr std::size_t sites = 30;
    constexpr std::size_t portsForEach = 20;
    std::set<std::uint16_t> ports;
    for (std::size_t site = 0; site < sites; ++site) {
        const std::vector<std::uint16_t> taken = freePorts(portsForEach);
        ports.insert(taken.begin(), taken.end());
    }
    EXPECT_EQ(ports.size(), sites * portsForEach);
}

// Guards against plans whose settings a daemon would refuse.
TEST(Site, SettingsOfAllPlansAreAccepted)
{
    for (const SitePlan &plan : {sendernettPlan(9), kilwaPlan(8), fanOutPlan(3, 30)}) {
        const Site site(plan, programs);
        const std::string text = site.settingsText();
        const Checked<Settings> settings =
            parseSettings(SettingsSource{"base.yaml", text}, SettingsSource{});
        ASSERT_TRUE(settings.has_value()) << formatFinding(settings.error().front());
        EXPECT_EQ(settings.value().m_nodes.size(), static_cast<std::size_t>(plan.m_nodes));
        EXPECT_EQ(settings.value().m_groups.size(), plan.m_groups.size());
    }
}

} // namespace
} // namespace arbutusgrade::support
