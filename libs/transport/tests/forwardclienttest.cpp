#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class ForwardClientTest : public testing::Test
{
protected:
    ForwardClientTest() : m_server(m_context, HttpServerOptions{}), m_client(m_context, {})
    {
        m_server.setFallback(
            [this](const HttpRequest & /*request*/, const HttpResponder &responder) {
                m_pending = responder;
                if (m_answers) {
                    responder(HttpResponse{});
                }
            });
        EXPECT_FALSE(m_server.listen("127.0.0.1", 0));
        m_endpoint = {asio::ip::address_v4::loopback(), m_server.port()};
    }

    void run(std::chrono::milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    static ForwardAttempt attemptTo(const asio::ip::tcp::endpoint &endpoint, std::uint64_t attempt)
    {
        ForwardAttempt order;
        order.m_attempt = attempt;
        order.m_target = "t";
        order.m_endpoint = endpoint;
        order.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
        return order;
    }

    void send(std::uint64_t attempt, std::vector<ForwardEnd> &ends)
    {
        m_client.send(
            attemptTo(m_endpoint, attempt),
            [&ends](ForwardEnd end, const ReplyContent & /*reply*/) { ends.push_back(end); });
    }

    asio::io_context m_context;
    HttpServer m_server;
    ForwardClient m_client;
    asio::ip::tcp::endpoint m_endpoint;
    HttpResponder m_pending;
    bool m_answers = true;
};

} // namespace

// Guards against a probe whose connection is thrown away, and against one that never ends.
TEST_F(ForwardClientTest, KeepsTheConnectionOfAProbeForLaterAttempts)
{
    std::vector<bool> probes;
    m_client.probe("t", m_endpoint, [&probes](bool connected) { probes.push_back(connected); });
    run(50ms);
    ASSERT_EQ(probes, std::vector<bool>{true});
    std::vector<ForwardEnd> ends;
    send(1, ends);
    run(50ms);
    EXPECT_EQ(ends, std::vector<ForwardEnd>{ForwardEnd::Reply});
    EXPECT_EQ(m_client.statistics().m_opened, 1U);
    m_server.stopAccepting();
    m_client.dropIdle();
    EXPECT_EQ(m_client.statistics().m_connections, 0U);
    m_client.probe("t", m_endpoint, [&probes](bool connected) { probes.push_back(connected); });
    run(600ms);
    EXPECT_EQ(probes, (std::vector<bool>{true, false}));
    EXPECT_EQ(m_client.statistics().m_connections, 0U);
}

// Guards against results of attempts that were abandoned while connecting or waiting.
TEST_F(ForwardClientTest, ReportsNothingOfAbandonedAttempts)
{
    m_answers = false;
    std::vector<ForwardEnd> ends;
    send(1, ends);
    m_client.abandon(1);
    send(2, ends);
    run(50ms);
    m_client.abandon(2);
    run(600ms);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(m_client.statistics().m_connections, 0U);
}

// Guards against an attempt at a port without a listener that is reported as sent.
TEST_F(ForwardClientTest, ReportsAFailedConnection)
{
    m_server.stopAccepting();
    std::vector<ForwardEnd> ends;
    send(1, ends);
    run(600ms);
    EXPECT_EQ(ends, std::vector<ForwardEnd>{ForwardEnd::ConnectFailed});
    EXPECT_EQ(m_client.statistics().m_connections, 0U);
}

// Guards against a repeated request that is answered by a copy of an earlier reply, which waits on
// the connection of that reply, and against more and more connections from repeated requests.
TEST_F(ForwardClientTest, UsesNoKeptConnectionWhereANewOneIsNeeded)
{
    std::vector<ForwardEnd> ends;
    send(1, ends);
    run(50ms);
    ForwardAttempt repeat = attemptTo(m_endpoint, 2);
    repeat.m_needsNewConnection = true;
    m_client.send(repeat,
                  [&ends](ForwardEnd end, const ReplyContent & /*reply*/) { ends.push_back(end); });
    run(50ms);
    EXPECT_EQ(ends, (std::vector<ForwardEnd>{ForwardEnd::Reply, ForwardEnd::Reply}));
    EXPECT_EQ(m_client.statistics().m_opened, 2U);
    EXPECT_EQ(m_client.statistics().m_connections, 1U);
}

// Guards against a non-idempotent request on a connection that holds an unread copy of an earlier
// reply, as after a pause of this process: the copy would end it with an unknown outcome.
TEST_F(ForwardClientTest, SendsNothingThatMustNotRunTwiceBehindUnreadBytes)
{
    RawServer server(m_context, [](RawServer::Peer &peer, const std::string & /*text*/) {
        peer.reply(200, "reply");
    });
    const asio::ip::tcp::endpoint endpoint{asio::ip::address_v4::loopback(), server.port()};
    std::vector<std::string> bodies;
    const ForwardHandler handler = [&bodies](ForwardEnd /*end*/, const ReplyContent &reply) {
        bodies.push_back(reply.m_body);
    };
    ForwardAttempt attempt = attemptTo(endpoint, 1);
    attempt.m_idempotent = false;
    m_client.send(attempt, handler);
    run(50ms);
    ASSERT_EQ(server.m_peers.size(), 1U);
    server.m_peers[0]->reply(200, "copy");
    attempt.m_attempt = 2;
    m_client.send(attempt, handler);
    run(50ms);
    EXPECT_EQ(bodies, (std::vector<std::string>{"reply", "reply"}));
    EXPECT_EQ(m_client.statistics().m_opened, 2U);
}

} // namespace arbutusgrade
