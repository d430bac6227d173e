#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class BrokenReplyTest : public testing::Test
{
protected:
    BrokenReplyTest()
        : m_server(m_context,
                   [this](RawServer::Peer &peer, const std::string & /*request*/) {
                       ++m_requests;
                       boost::system::error_code ignored;
                       boost::asio::write(peer.m_socket, boost::asio::buffer(m_reply), ignored);
                       if (m_end == End::Reset) {
                           peer.m_socket.set_option(boost::asio::socket_base::linger(true, 0));
                       }
                       if (m_end != End::KeepOpen) {
                           peer.close();
                       }
                   }),
          m_client(m_context, {})
    {
    }

    enum class End { KeepOpen, Close, Reset };

    //! @brief Sends a request, lets the peer write the reply and end, and returns how it ended.
    ForwardEnd exchange(const std::string &reply, End end)
    {
        m_reply = reply;
        m_end = end;
        std::vector<ForwardEnd> ends;
        ForwardAttempt order;
        order.m_attempt = ++m_lastAttempt;
        order.m_target = "t";
        order.m_endpoint = {boost::asio::ip::address_v4::loopback(), m_server.port()};
        order.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
        m_client.send(order, [this, &ends](ForwardEnd result, const ReplyContent &content) {
            ends.push_back(result);
            m_body = content.m_body;
        });
        EXPECT_TRUE(runUntil(m_context, [&ends] { return !ends.empty(); }));
        return ends.empty() ? ForwardEnd::Malformed : ends.front();
    }

    boost::asio::io_context m_context;
    std::string m_reply;
    End m_end = End::KeepOpen;
    int m_requests = 0;
    RawServer m_server;
    ForwardClient m_client;
    std::uint64_t m_lastAttempt = 0;
    std::string m_body;
};

const std::string head = "HTTP/1.1 200 OK\r\n";

} // namespace

// Guards against a reply that breaks off halfway and reaches the caller as a complete success.
TEST_F(BrokenReplyTest, IsNeverAReply)
{
    const std::string partial[] = {
        "HTTP/1.1 20",
        head + "Content-Le",
        head + "Content-Length: 8\r\n\r\n",
        head + "Content-Length: 8\r\n\r\nhalf",
        head + "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    };
    for (const std::string &reply : partial) {
        for (const End end : {End::Close, End::Reset}) {
            EXPECT_NE(exchange(reply, end), ForwardEnd::Reply) << reply;
            EXPECT_EQ(m_client.statistics().m_connections, 0U);
        }
    }
}

// Guards against a reply without a length that is taken as complete although its connection was
// reset, and against one that is refused although it ended in order.
TEST_F(BrokenReplyTest, WithoutALengthIsAReplyOnlyAtAnOrderlyEnd)
{
    EXPECT_EQ(exchange(head + "\r\nwhole", End::Close), ForwardEnd::Reply);
    EXPECT_EQ(m_body, "whole");
    EXPECT_EQ(exchange(head + "\r\nhalf", End::Reset), ForwardEnd::Reset);
}

// Guards against a reply with an invalid status code that is passed on, or that leaves its
// connection in use, and against valid codes at the limits that are refused.
TEST_F(BrokenReplyTest, StatusCodeIsInTheRangeOfHttp)
{
    const auto reply = [](std::string_view status) {
        std::string text = "HTTP/1.1 ";
        text.append(status).append(" OK\r\nContent-Length: 0\r\n\r\n");
        return text;
    };
    for (const std::string_view status : {"000", "001", "099", "600", "999"}) {
        EXPECT_EQ(exchange(reply(status), End::KeepOpen), ForwardEnd::Malformed) << status;
        EXPECT_EQ(m_client.statistics().m_connections, 0U) << status;
    }
    for (const std::string_view status : {"200", "599"}) {
        EXPECT_EQ(exchange(reply(status), End::KeepOpen), ForwardEnd::Reply) << status;
    }
    EXPECT_EQ(exchange("HTTP/1.1 100 OK\r\n\r\n" + reply("000"), End::KeepOpen),
              ForwardEnd::Malformed);
}

// Guards against a second copy of a reply that the next request on the connection takes for its
// own: right behind the first one, and later on the idle connection.
TEST_F(BrokenReplyTest, SecondCopyEndsTheConnection)
{
    const std::string reply = head + "Content-Length: 5\r\n\r\nfirst";
    EXPECT_EQ(exchange(reply + reply, End::KeepOpen), ForwardEnd::Reply);
    EXPECT_EQ(m_client.statistics().m_connections, 0U);
    EXPECT_EQ(exchange(reply, End::KeepOpen), ForwardEnd::Reply);
    EXPECT_EQ(m_client.statistics().m_connections, 1U);
    boost::system::error_code ignored;
    boost::asio::write(m_server.m_peers.back()->m_socket, boost::asio::buffer(reply), ignored);
    EXPECT_TRUE(runUntil(
        m_context, [this] { return m_client.statistics().m_connections == 0; }, 500ms));
    EXPECT_EQ(exchange(head + "Content-Length: 6\r\n\r\nsecond", End::KeepOpen), ForwardEnd::Reply);
    EXPECT_EQ(m_body, "second");
    EXPECT_EQ(m_server.m_peers.size(), 3U);
}

} // namespace arbutusgrade
