#include <map>
#include <string>

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

namespace {

std::string okReply(std::uint64_t attempt, std::string_view requestId, std::string_view shard)
{
    return R"({"attemptId":)" + std::to_string(attempt) + R"(,"requestId":")"
           + std::string(requestId) + R"(","shard":")" + std::string(shard)
           + R"(","status":"ok","snapshot":{"epoch":1,"version":7},"holdings":[{"epoch":1,"version":7}],)"
             R"("load":{"running":1,"queued":2,"slots":3},"draining":false,"startId":"s1",)"
             R"("entries":[{"id":1,"text":"a ] \" b"}, 2]})";
}

std::uint64_t attemptOf(const std::string &request)
{
    const std::string body = request.substr(request.find("\r\n\r\n") + 4);
    return boost::json::parse(body).at("attemptId").to_number<std::uint64_t>();
}

class TargetClientTest : public testing::Test
{
protected:
    TargetClientTest()
        : m_target(m_context,
                   [this](RawServer::Peer &peer, const std::string &text) { handle(peer, text); }),
          m_client(m_context, quickOptions(), events(), m_invariants)
    {
        setCap(1);
    }

    static TargetClientOptions quickOptions()
    {
        TargetClientOptions options;
        options.m_cancelLinger = Duration(300'000);
        return options;
    }

    TargetClientEvents events()
    {
        TargetClientEvents events;
        events.m_reply = [this](std::string_view, const AttemptReply &reply) {
            m_replies[reply.m_attempt] = reply;
        };
        events.m_failure = [this](AttemptId attempt, AttemptFailure failure) {
            m_failures[attempt] = failure;
        };
        return events;
    }

    void setCap(int cap)
    {
        const TargetEndpoint endpoint{"t1", "127.0.0.1", m_target.port(), cap};
        m_client.setTargets({&endpoint, 1});
    }

    void handle(RawServer::Peer &peer, const std::string &text)
    {
        m_requests.push_back(text);
        if (m_script) {
            m_script(peer, text);
        } else {
            peer.reply(200, okReply(attemptOf(text), "r1", "shard-1"));
        }
    }

    void send(AttemptId attempt, Duration time = Duration(5'000'000))
    {
        SendAttempt action;
        action.m_attempt = attempt;
        action.m_target = "t1";
        action.m_service = "shard-1";
        action.m_requestId = "r1";
        action.m_snapshot = Snapshot{1, 7};
        action.m_deadline = steadyNow() + time;
        action.m_payload = std::make_shared<const std::string>(R"({"q":1})");
        m_client.send(action);
    }

    bool failed(AttemptId attempt, AttemptFailure failure)
    {
        runUntil(m_context, [&] { return m_failures.contains(attempt); });
        return m_failures.contains(attempt) && m_failures[attempt] == failure;
    }

    bool replied(AttemptId attempt)
    {
        return runUntil(m_context, [&] { return m_replies.contains(attempt); });
    }

    asio::io_context m_context;
    InvariantCounters m_invariants;
    RawServer m_target;
    std::function<void(RawServer::Peer &, const std::string &)> m_script;
    std::vector<std::string> m_requests;
    std::map<AttemptId, AttemptReply> m_replies;
    std::map<AttemptId, AttemptFailure> m_failures;
    TargetClient m_client;
};

} // namespace

// Guards against fields of the protocol that are lost between the message and the core.
TEST_F(TargetClientTest, SendsAndParsesWholeMessage)
{
    send(41);
    ASSERT_TRUE(replied(41));
    const AttemptReply &reply = m_replies[41];
    EXPECT_EQ(reply.m_status, AttemptStatus::Ok);
    EXPECT_EQ(reply.m_snapshot, (Snapshot{1, 7}));
    EXPECT_EQ(reply.m_holdings.size(), 1U);
    EXPECT_EQ(reply.m_load->m_queued, 2);
    EXPECT_EQ(reply.m_startId, "s1");
    EXPECT_EQ(boost::json::parse(reply.m_entries),
              boost::json::parse(R"([{"id":1,"text":"a ] \" b"},2])"));
    const std::string body = m_requests.front().substr(m_requests.front().find("\r\n\r\n") + 4);
    const boost::json::value sent = boost::json::parse(body);
    EXPECT_EQ(sent.at("shard").as_string(), "shard-1");
    EXPECT_EQ(sent.at("version").as_int64(), 7);
    EXPECT_EQ(sent.at("payload").at("q").as_int64(), 1);
    EXPECT_GT(sent.at("deadlineMs").as_int64(), 4000);
}

// Guards against more connections than the share, and against a new connection for each attempt.
TEST_F(TargetClientTest, StaysWithinConnectionCapAndReuses)
{
    setCap(2);
    for (AttemptId attempt = 1; attempt <= 20; ++attempt) {
        send(attempt);
    }
    ASSERT_TRUE(runUntil(m_context, [&] { return m_replies.size() == 20; }));
    EXPECT_EQ(m_target.m_peers.size(), 2U);
    EXPECT_EQ(m_client.statistics().m_opened, 2U);
    EXPECT_GT(totalChecks(m_invariants), 0U);
    EXPECT_EQ(totalViolations(m_invariants), 0U);
}

// Guards against calling an attempt lost when nothing was sent, which would spend a claim.
TEST_F(TargetClientTest, ReportsNotSentWhenConnectionIsRefused)
{
    Tcp::acceptor closed(m_context, {asio::ip::address_v4::loopback(), 0});
    const TargetEndpoint endpoint{"t1", "127.0.0.1", closed.local_endpoint().port(), 1};
    closed.close();
    m_client.setTargets({&endpoint, 1});
    send(1);
    EXPECT_TRUE(failed(1, AttemptFailure::NotSent));
}

// Guards against an attempt that is sent after its deadline because it waited for a connection.
TEST_F(TargetClientTest, ReportsNotSentWhenDeadlinePassedWhileWaiting)
{
    m_script = [](RawServer::Peer &, const std::string &) {};
    send(1);
    send(2, Duration(100'000));
    EXPECT_TRUE(failed(2, AttemptFailure::NotSent));
    EXPECT_EQ(m_requests.size(), 1U);
}

// Guards against calling a request not sent when the target may have run it.
TEST_F(TargetClientTest, ReportsConnectionLostAfterBytesLeft)
{
    m_script = [](RawServer::Peer &peer, const std::string &) { peer.close(); };
    send(1);
    EXPECT_TRUE(failed(1, AttemptFailure::ConnectionLost));
}

// Guards against an attempt that is lost on a connection that the target closed while idle.
TEST_F(TargetClientTest, NoticesIdleConnectionClosedByTarget)
{
    send(1);
    ASSERT_TRUE(replied(1));
    m_target.m_peers.front()->close();
    send(2);
    ASSERT_TRUE(
        runUntil(m_context, [&] { return m_replies.contains(2) || m_failures.contains(2); }));
    // Used again within the trusted time, the close may go unnoticed; then bytes have left.
    if (m_failures.contains(2)) {
        EXPECT_EQ(m_failures[2], AttemptFailure::ConnectionLost);
    }
    m_target.m_peers.back()->close();
    runFor(m_context, std::chrono::milliseconds(50));
    send(3);
    EXPECT_TRUE(replied(3));
}

// Guards against a reply for another attempt, request or shard that reaches the core as a result.
TEST_F(TargetClientTest, RefusesCrossedReplyAndClosesConnection)
{
    const std::vector<std::string> crossed{okReply(99, "r1", "shard-1"),
                                           okReply(2, "r9", "shard-1"), okReply(3, "r1", "shard-9"),
                                           R"({"status":"ok"})", "{"};
    m_script = [&](RawServer::Peer &peer, const std::string &) {
        peer.reply(200, crossed[m_requests.size() - 1]);
    };
    for (AttemptId attempt = 1; attempt <= crossed.size(); ++attempt) {
        send(attempt);
        EXPECT_TRUE(failed(attempt, AttemptFailure::BadReply)) << attempt;
    }
    EXPECT_TRUE(m_replies.empty());
    EXPECT_EQ(m_target.m_peers.size(), crossed.size());
    EXPECT_EQ(m_client.statistics().m_mismatches, 3U);
}

// Guards against taking a refusal for "not started" when the target did not say so.
TEST_F(TargetClientTest, TrustsOnlyExplicitNotStarted)
{
    const std::string common = R"("requestId":"r1","shard":"shard-1","status":"shed")";
    m_script = [&](RawServer::Peer &peer, const std::string &text) {
        const std::uint64_t attempt = attemptOf(text);
        const std::string suffix = attempt == 1 ? R"(,"notStarted":true})" : "}";
        peer.reply(503, R"({"attemptId":)" + std::to_string(attempt) + "," + common + suffix);
    };
    send(1);
    ASSERT_TRUE(replied(1));
    EXPECT_EQ(m_replies[1].m_status, AttemptStatus::Shed);
    send(2);
    ASSERT_TRUE(replied(2));
    EXPECT_EQ(m_replies[2].m_status, AttemptStatus::Error);
}

// Guards against reuse of the connection of a cancelled attempt before its reply came, and against
// connections that a silent target holds for ever.
TEST_F(TargetClientTest, CancelTellsTargetAndFreesConnectionAfterLinger)
{
    setCap(2);
    send(1);
    send(2);
    ASSERT_TRUE(replied(1) && replied(2));
    m_script = [](RawServer::Peer &peer, const std::string &text) {
        if (text.starts_with("POST /v1/cancel")) {
            peer.reply(200, "{}");
        }
    };
    send(3);
    m_client.cancel(CancelAttempt{3, "t1"});
    ASSERT_TRUE(runUntil(m_context, [&] { return m_client.statistics().m_connections == 1; }));
    EXPECT_EQ(m_client.statistics().m_cancels, 1U);
    EXPECT_FALSE(m_failures.contains(3));
    EXPECT_TRUE(m_requests.back().starts_with("POST /v1/cancel"));
}

// Guards against a probe that takes a connection beyond the cap or hides a refused target.
TEST_F(TargetClientTest, ProbesWithinCap)
{
    std::optional<TargetObservation> seen;
    m_script = [](RawServer::Peer &peer, const std::string &text) {
        if (text.starts_with("GET /v1/health")) {
            peer.reply(200,
                       R"({"status":"draining","draining":true,"startId":"s2","holdings":[]})");
        }
    };
    ASSERT_TRUE(m_client.probe("t1", [&](const TargetObservation &item) { seen = item; }));
    ASSERT_TRUE(runUntil(m_context, [&] { return seen.has_value(); }));
    EXPECT_EQ(seen->m_reachable, true);
    EXPECT_EQ(seen->m_draining, true);
    EXPECT_EQ(seen->m_startId, "s2");
    send(1);
    EXPECT_FALSE(m_client.probe("t1", [](const TargetObservation &) {}));
    EXPECT_EQ(m_target.m_peers.size(), 1U);
}

// Guards against a reply that is cut off and reaches the core as a result, and against one that the
// next attempt on the connection gets.
TEST_F(TargetClientTest, CutReplyIsAFailureOfItsAttempt)
{
    constexpr AttemptId idOfOneLength =
        10'000; // All ids have five digits, and all replies one length.
    const std::string whole = okReply(idOfOneLength, "r1", "shard-1");
    const std::vector<std::string> heads{
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(whole.size()) + "\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"};
    std::size_t cut = 0;
    std::string head;
    m_script = [&](RawServer::Peer &peer, const std::string &text) {
        const std::string reply = head + okReply(attemptOf(text), "r1", "shard-1");
        boost::system::error_code ignored;
        asio::write(peer.m_socket, asio::buffer(reply, cut), ignored);
        if (cut % 3 == 1) {
            peer.m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        peer.close();
    };
    AttemptId attempt = idOfOneLength;
    for (const std::string &next : heads) {
        head = next;
        for (cut = 0; cut < head.size() + whole.size(); ++cut) {
            send(++attempt);
            ASSERT_TRUE(runUntil(m_context, [&] { return m_failures.contains(attempt); })) << cut;
            EXPECT_NE(m_failures[attempt], AttemptFailure::NotSent) << cut;
        }
    }
    EXPECT_TRUE(m_replies.empty());
    EXPECT_EQ(m_failures.size(), m_requests.size());
    m_script = nullptr;
    send(++attempt);
    EXPECT_TRUE(replied(attempt));
}

} // namespace arbutusgrade
