#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "loopback.h"
#include "node/node.h"

namespace arbutusgrade {

namespace {

constexpr std::string_view healthy = R"({"status":"ok","draining":false,"startId":"s1",)"
                                     R"("holdings":[{"epoch":1,"version":1}]})";

std::string okReply(const std::string &request)
{
    const boost::json::value body =
        boost::json::parse(request.substr(request.find("\r\n\r\n") + 4));
    return R"({"attemptId":)" + std::to_string(body.at("attemptId").to_number<std::uint64_t>())
           + R"(,"requestId":")" + std::string(body.at("requestId").as_string())
           + R"(","shard":"s1","status":"ok","snapshot":{"epoch":1,"version":1},)"
             R"("holdings":[{"epoch":1,"version":1}],"draining":false,"startId":"s1","entries":[1]})";
}

//! @brief A node with one target and a platform, all scripted on loopback.
class NodeShellTest : public testing::Test
{
protected:
    NodeShellTest()
        : m_target(m_context,
                   [this](RawServer::Peer &peer, const std::string &text) { handle(peer, text); }),
          m_platform(m_context, [this](RawServer::Peer &peer,
                                       const std::string &text) { handleStoreCall(peer, text); }),
          m_log(LogOptions{"n1", testing::TempDir() + "node-shell-test.log"}),
          m_shell(m_context, options(), m_log)
    {
    }

    static NodeOptions options()
    {
        NodeOptions options;
        options.m_node = "n1";
        options.m_probeInterval = Duration(100'000);
        options.m_vmListInterval = Duration(100'000);
        return options;
    }

    Settings settings()
    {
        Settings settings;
        settings.m_dataCentres = {"dc1"};
        settings.m_store.m_address = "127.0.0.1";
        settings.m_store.m_port = m_platform.port();
        settings.m_nodes = {{"n1", "dc1", "127.0.0.1", 0, 0}};
        ServiceSettings service;
        service.m_name = "s1";
        service.m_connections = 4;
        service.m_targets = {{"t1", "dc1", "127.0.0.1", m_target.port(), false}};
        GroupSettings group;
        group.m_name = "g";
        group.m_services = {service};
        group.m_partitionings = {{1, {"s1"}}};
        settings.m_groups = {group};
        KindSettings kind;
        kind.m_name = "search";
        kind.m_group = "g";
        kind.m_deadline = Milliseconds(5000);
        KindSettings orderKind = kind;
        orderKind.m_name = "order";
        orderKind.m_mode = AnswerMode::Once;
        settings.m_kinds = {kind, orderKind};
        settings.m_shutdownLinger = Milliseconds(200);
        settings.m_shutdownBound = Milliseconds(1500);
        return settings;
    }

    //! @brief Starts the node and waits until a probe has told what the target holds.
    void start()
    {
        m_shell.addProbeListener([this](const TargetObservation &) { m_probed = true; });
        ASSERT_TRUE(m_shell.adoptSettings(settings(), 0));
        ASSERT_EQ(m_shell.start(), "");
        ASSERT_TRUE(runUntil(m_context, [&] { return m_probed; }));
    }

    void handle(RawServer::Peer &peer, const std::string &text)
    {
        if (text.starts_with("GET /v1/health")) {
            peer.reply(200, healthy);
            return;
        }
        m_executed.push_back(text);
        if (m_hold) {
            m_held.push_back(&peer);
        } else {
            peer.reply(200, okReply(text));
        }
    }

    void handleStoreCall(RawServer::Peer &peer, const std::string &text)
    {
        if (text.starts_with("GET /v1/vms")) {
            peer.reply(200, m_vms);
            return;
        }
        if (text.starts_with("POST /v1/leases")) {
            peer.reply(200, R"({"lease":"1"})");
            return;
        }
        if (m_holdStore) {
            m_heldStoreCalls.push_back(&peer);
        } else {
            peer.reply(200, storedReply);
        }
    }

    //! @brief Sends a query that its target holds, and waits until it is there.
    std::unique_ptr<RawClient> sendHeldQuery(std::string_view body)
    {
        m_hold = true;
        std::unique_ptr<RawClient> client = send("POST", "/v1/query", body);
        EXPECT_TRUE(runUntil(m_context, [&] { return m_held.size() == 1; }));
        return client;
    }

    //! @brief Number that the log gave last for a field.
    static std::string lastLoggedNumber(const std::string &field)
    {
        std::ifstream file(testing::TempDir() + "node-shell-test.log");
        const std::string log{std::istreambuf_iterator<char>(file),
                              std::istreambuf_iterator<char>()};
        const std::string name = '"' + field + "\":";
        const std::size_t found = log.rfind(name);
        if (found == std::string::npos) {
            return {};
        }
        const std::size_t start = found + name.size();
        return log.substr(start, log.find_first_not_of("0123456789", start) - start);
    }

    //! @brief Begins the shutdown; m_finished and m_finishedAt tell when it ended.
    void beginShutdown()
    {
        m_begunAt = steadyNow();
        m_shell.beginShutdown([this] {
            m_finished = true;
            m_finishedAt = steadyNow();
            m_connectionsAtEnd = m_shell.server().statistics().m_connections;
            m_unansweredAtEnd = lastLoggedNumber("unanswered");
        });
    }

    std::unique_ptr<RawClient> send(std::string_view method, std::string_view path,
                                    std::string_view body = {}, std::string_view headers = {})
    {
        std::unique_ptr<RawClient> client =
            std::make_unique<RawClient>(m_context, m_shell.server().port());
        client->send(std::string(method) + " " + std::string(path) + " HTTP/1.1\r\nHost: n\r\n"
                     + std::string(headers) + "Content-Length: " + std::to_string(body.size())
                     + "\r\n\r\n" + std::string(body));
        return client;
    }

    //! @brief Sends a request and returns the whole response.
    std::string exchange(std::string_view method, std::string_view path, std::string_view body = {},
                         std::string_view headers = {})
    {
        const std::unique_ptr<RawClient> client = send(method, path, body, headers);
        runUntil(m_context,
                 [&] { return client->received("\r\n\r\n") && client->text().back() != '\n'; });
        return client->text();
    }

    //! @brief Settings without targets come while the target works on the query.
    void expectAnswerAfterSettingsAreEmpty(std::string_view body)
    {
        const std::unique_ptr<RawClient> busy = sendHeldQuery(body);
        Settings changed = settings();
        changed.m_kinds.clear();
        changed.m_groups.clear();
        ASSERT_TRUE(m_shell.adoptSettings(changed, 1));
        runFor(m_context, std::chrono::milliseconds(300));
        m_held.front()->reply(200, okReply(m_executed.front()));
        EXPECT_TRUE(runUntil(m_context, [&] { return busy->received("\"traceId\""); }));
        EXPECT_TRUE(busy->received(R"("outcome":"complete")")) << busy->text();
    }

    bool statusShows(std::string_view text)
    {
        return runUntil(m_context, [&] {
            return exchange("GET", "/v1/status").find(text) != std::string::npos;
        });
    }

    static constexpr std::string_view query = R"({"requestId":"r1","kind":"search","payload":{}})";

    static constexpr std::string_view order = R"({"requestId":"o1","kind":"order","payload":{}})";
    static constexpr std::string_view storedReply = R"({"value":"","revision":1})";

    asio::io_context m_context;
    bool m_hold = false;
    bool m_holdStore = false;
    std::vector<RawServer::Peer *> m_heldStoreCalls;
    bool m_finished = false;
    TimePoint m_begunAt;
    TimePoint m_finishedAt;
    std::size_t m_connectionsAtEnd = 0;
    std::string m_unansweredAtEnd; //!< As the last line of the shutdown has it.
    bool m_probed = false;
    std::vector<std::string> m_executed;
    std::vector<RawServer::Peer *> m_held;
    std::string m_vms = R"({"vms":[]})";
    RawServer m_target;
    RawServer m_platform;
    Log m_log;
    NodeShell m_shell;
};

} // namespace

// Guards against a break anywhere between the caller, the core and the target, and against a trace
// that ends at the node.
TEST_F(NodeShellTest, AnswersQueryAndPassesTraceOn)
{
    start();
    const std::string answer =
        exchange("POST", "/v1/query", query,
                 "traceparent: 00-0000000000000000000000000000abcd-00000000000000ef-01\r\n");
    EXPECT_NE(answer.find(R"("outcome":"complete")"), std::string::npos) << answer;
    EXPECT_NE(answer.find(R"("traceId":"0000000000000000000000000000abcd")"), std::string::npos);
    ASSERT_EQ(m_executed.size(), 1U);
    EXPECT_NE(m_executed[0].find("traceparent: 00-0000000000000000000000000000abcd-"),
              std::string::npos);
}

// Guards against label values that callers can create without limit.
TEST_F(NodeShellTest, UnknownKindCreatesNoLabelValue)
{
    start();
    EXPECT_NE(exchange("POST", "/v1/query", R"({"requestId":"r","kind":"evil","payload":1})")
                  .find("404 Not Found"),
              std::string::npos);
    const std::unique_ptr<RawClient> client = send("GET", "/metrics");
    ASSERT_TRUE(runUntil(m_context, [&] { return client->received("kind=\"unknown\""); }));
    EXPECT_FALSE(client->received("evil"));
}

// Guards against a readiness page that says ready before there are settings or after SIGTERM, and
// against a shutdown that cuts off a request in flight or ends while one is being answered.
TEST_F(NodeShellTest, ShutdownAnswersRequestInFlight)
{
    start();
    EXPECT_NE(exchange("GET", "/readyz").find("200 OK"), std::string::npos);
    m_hold = true;
    const std::unique_ptr<RawClient> busy = send("POST", "/v1/query", query);
    ASSERT_TRUE(runUntil(m_context, [&] { return m_held.size() == 1; }));
    bool finished = false;
    m_shell.beginShutdown([&] { finished = true; });
    m_shell.beginShutdown([&] { FAIL() << "the second shutdown must change nothing"; });
    EXPECT_NE(exchange("GET", "/readyz").find("503"), std::string::npos);
    EXPECT_NE(exchange("GET", "/healthz").find("200 OK"), std::string::npos);
    runFor(m_context, std::chrono::milliseconds(400));
    EXPECT_FALSE(finished);
    m_held.front()->reply(200, okReply(m_executed.front()));
    EXPECT_TRUE(runUntil(m_context, [&] { return finished; }));
    EXPECT_TRUE(busy->received(R"("outcome":"complete")"));
}

// Guards against a shutdown that never ends because a target does not answer, and against one that
// gives up its request earlier than the bound requires.
TEST_F(NodeShellTest, ShutdownEndsAtItsBound)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(query);
    beginShutdown();
    ASSERT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_GE(m_finishedAt - m_begunAt, Duration(1'250'000));
    EXPECT_LE(m_finishedAt - m_begunAt, Duration(1'600'000));
    EXPECT_TRUE(busy->received("traceId")) << "ended without an answer";
}

// Guards against an exit that cuts off a query whose deadline lies beyond it.
TEST_F(NodeShellTest, ShutdownAnswersQueryThatOutlastsIt)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(query);
    beginShutdown();
    ASSERT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_TRUE(runUntil(
        m_context, [&] { return busy->received("\"traceId\""); }, std::chrono::milliseconds(200)));
    EXPECT_TRUE(busy->received("502 Bad Gateway")) << busy->text();
    EXPECT_TRUE(busy->received(R"("outcome":"failed","reason":"shutting-down")"));
}

// Guards against an exit that leaves a caller in doubt whether its order ran, without a word.
TEST_F(NodeShellTest, ShutdownSaysThatOrderMayHaveRun)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(order);
    beginShutdown();
    ASSERT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_TRUE(runUntil(
        m_context, [&] { return busy->received("\"traceId\""); }, std::chrono::milliseconds(200)));
    EXPECT_TRUE(busy->received(R"("outcome":"outcome-unknown","reason":"shutting-down")"))
        << busy->text();
}

// Guards against an exit that a configuration moves forward while requests count on the old one.
TEST_F(NodeShellTest, SettingsAdoptedDuringShutdownDoNotMoveItsEnd)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(query);
    beginShutdown();
    Settings changed = settings();
    changed.m_shutdownBound = Milliseconds(300);
    ASSERT_TRUE(m_shell.adoptSettings(changed, 1));
    runFor(m_context, std::chrono::milliseconds(600));
    EXPECT_FALSE(m_finished);
    m_held.front()->reply(200, okReply(m_executed.front()));
    EXPECT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_TRUE(busy->received(R"("outcome":"complete")")) << busy->text();
}

// Guards against an exit before the last answers when the process stalls near the end of its stop.
TEST_F(NodeShellTest, ShutdownAnswersRequestsAfterAStallAtItsEnd)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(query);
    beginShutdown();
    runFor(m_context, std::chrono::milliseconds(1'100));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    ASSERT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_EQ(m_unansweredAtEnd, "0");
}

// Guards against an exit while the peer of a connection has not yet read its answer to the end.
TEST_F(NodeShellTest, ShutdownWaitsUntilConnectionsAreClosed)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(query);
    beginShutdown();
    runFor(m_context, std::chrono::milliseconds(300));
    m_held.front()->reply(200, okReply(m_executed.front()));
    ASSERT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_EQ(m_connectionsAtEnd, 0U);
}

// Guards against a claim whose result is lost because the process ends while it is being recorded:
// a re-send would be told that the outcome is unknown.
TEST_F(NodeShellTest, ShutdownWaitsUntilResultOfOrderIsRecorded)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(order);
    m_holdStore = true;
    m_held.front()->reply(200, okReply(m_executed.front()));
    ASSERT_TRUE(runUntil(m_context, [&] { return m_heldStoreCalls.size() == 1; }));
    EXPECT_TRUE(runUntil(m_context, [&] { return busy->received(R"("outcome":"complete")"); }));
    beginShutdown();
    runFor(m_context, std::chrono::milliseconds(600));
    EXPECT_FALSE(m_finished);
    m_heldStoreCalls.front()->reply(200, storedReply);
    EXPECT_TRUE(runUntil(m_context, [&] { return m_finished; }));
    EXPECT_LT(m_finishedAt - m_begunAt, Duration(1'450'000));
}

// Guards against a request in flight that ends because its target, kind and service leave the
// settings.
TEST_F(NodeShellTest, SettingsWithoutTargetLeaveItsQueryInFlight)
{
    start();
    expectAnswerAfterSettingsAreEmpty(query);
}

// Guards against a request in flight that ends because its target gets another address.
TEST_F(NodeShellTest, SettingsWithOtherAddressLeaveQueryInFlight)
{
    start();
    const std::unique_ptr<RawClient> busy = sendHeldQuery(query);
    RawServer other(m_context,
                    [](RawServer::Peer &peer, const std::string &) { peer.reply(503, "{}"); });
    Settings changed = settings();
    changed.m_groups[0].m_services[0].m_targets[0].m_port = other.port();
    ASSERT_TRUE(m_shell.adoptSettings(changed, 1));
    runFor(m_context, std::chrono::milliseconds(300));
    m_held.front()->reply(200, okReply(m_executed.front()));
    EXPECT_TRUE(runUntil(m_context, [&] { return busy->received("traceId"); }));
    EXPECT_TRUE(busy->received(R"("outcome":"complete")")) << busy->text();
}

// Guards against an order that ran and whose caller gets another answer because the settings
// changed meanwhile.
TEST_F(NodeShellTest, SettingsWithoutTargetLeaveItsOrderInFlight)
{
    start();
    expectAnswerAfterSettingsAreEmpty(order);
}

// Guards against older settings that replace newer ones.
TEST_F(NodeShellTest, RefusesSettingsWithoutHigherRevision)
{
    EXPECT_TRUE(m_shell.adoptSettings(settings(), 0));
    EXPECT_TRUE(m_shell.adoptSettings(settings(), 7));
    EXPECT_FALSE(m_shell.adoptSettings(settings(), 7));
    EXPECT_FALSE(m_shell.adoptSettings(settings(), 3));
    EXPECT_EQ(m_shell.revision(), 7);
}

// Guards against a node that goes on sending work to a target whose VM is leaving, and against a
// status page that lacks what operators look for.
TEST_F(NodeShellTest, LeavingVmDrainsTarget)
{
    start();
    EXPECT_TRUE(statusShows(R"("target":"t1","service":"s1","draining":false)"));
    std::vector<std::string> drained;
    m_shell.addDrainListener(
        [&](const AnnounceDrain &drain) { drained.push_back(drain.m_target); });
    m_vms = R"({"vms":[{"name":"t1","dataCentre":"dc1","state":"leaving"}]})";
    EXPECT_TRUE(statusShows(R"("target":"t1","service":"s1","draining":true)"));
    EXPECT_EQ(drained, std::vector<std::string>{"t1"});
    EXPECT_EQ(exchange("GET", "/v1/status").find(R"("storeContactAgeSeconds":null)"),
              std::string::npos);
}

// Guards against a team token that is ignored when a rule is set.
TEST_F(NodeShellTest, TeamRuleRefusesUnknownToken)
{
    start();
    m_shell.setTeamRule([](std::string_view token) {
        return token == "good" ? std::optional<std::string>("desk") : std::nullopt;
    });
    EXPECT_NE(exchange("POST", "/v1/query", query).find("401"), std::string::npos);
    EXPECT_NE(exchange("POST", "/v1/query", query, "X-Team-Token: good\r\n").find("200 OK"),
              std::string::npos);
}

} // namespace arbutusgrade
