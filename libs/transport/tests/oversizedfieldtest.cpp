#include <optional>
#include <stdexcept>

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

namespace {

// Above what one field of Boost's message type holds.
constexpr std::size_t hugeFieldBytes = 70'000;

class OversizedFieldTest : public testing::Test
{
protected:
    OversizedFieldTest()
        : m_targets(m_context,
                    [this](RawServer::Peer &peer, const std::string & /*request*/) {
                        boost::system::error_code ignored;
                        boost::asio::write(peer.m_socket, boost::asio::buffer(m_reply), ignored);
                    }),
          m_client(m_context, {}), m_server(m_context, {})
    {
        m_server.setFallback([this](const HttpRequest &request, const HttpResponder &responder) {
            m_requests.push_back(request);
            if (request.m_path == "/throw") {
                throw std::length_error("as a library throws for input beyond its limits");
            }
            HttpResponse response{200, "served", "text/plain", {}};
            if (request.m_path == "/long-response") {
                response.m_headers.emplace_back("X-Long", std::string(hugeFieldBytes, 'r'));
            }
            responder(std::move(response));
        });
        m_server.listen("127.0.0.1", 0);
    }

    //! @brief Lets the target write the reply and returns how the attempt ended.
    std::optional<ForwardEnd> exchange(const std::string &reply)
    {
        m_reply = reply;
        std::optional<ForwardEnd> end;
        ForwardAttempt attempt;
        attempt.m_attempt = ++m_lastAttempt;
        attempt.m_target = "t";
        attempt.m_endpoint = {boost::asio::ip::address_v4::loopback(), m_targets.port()};
        attempt.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
        m_client.send(attempt, [this, &end](ForwardEnd result, const ReplyContent &content) {
            end = result;
            m_headers = content.m_headers;
        });
        runUntil(m_context, [&end] { return end.has_value(); });
        return end;
    }

    //! @brief Sends the text on a connection of its own and returns the first line of the answer.
    std::string answerTo(const std::string &text)
    {
        RawClient client(m_context, m_server.port());
        client.send(text);
        runUntil(m_context, [&client] { return !client.text().empty() || client.isClosed(); });
        return client.text().substr(0, client.text().find('\r'));
    }

    void setHeaderLimit(std::uint32_t bytes)
    {
        HttpServerOptions options;
        options.m_headerLimitBytes = bytes;
        m_server.setOptions(options);
    }

    boost::asio::io_context m_context;
    std::string m_reply;
    RawServer m_targets;
    ForwardClient m_client;
    HttpServer m_server;
    std::uint64_t m_lastAttempt = 0;
    HttpHeaders m_headers;
    std::vector<HttpRequest> m_requests;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

} // namespace

// Guards against a reply that is passed on with a trailer, header or first line which the writer of
// responses cannot hold: the exception ended the process.
TEST_F(OversizedFieldTest, ReplyIsMalformed)
{
    const std::string huge(hugeFieldBytes, 'h');
    const std::string replies[] = {
        chunked + huge + ": 1\r\n\r\n",
        chunked + "X-Trailer: " + huge + "\r\n\r\n",
        ok + "X-Long: " + huge + "\r\nContent-Length: 0\r\n\r\n",
        ok + huge + ": 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 " + huge + "\r\nContent-Length: 0\r\n\r\n",
    };
    for (const std::string &reply : replies) {
        EXPECT_EQ(exchange(reply), ForwardEnd::Malformed) << reply.substr(0, 100);
        EXPECT_EQ(m_client.statistics().m_connections, 0U);
    }
}

// Guards against trailers that are short each and take the memory of the node together.
TEST_F(OversizedFieldTest, TrailersOfAReplyAreBoundedTogether)
{
    std::string trailers;
    for (int number = 0; number < 20; ++number) {
        trailers += "X-Trailer-" + std::to_string(number) + ": " + std::string(1000, 't') + "\r\n";
    }
    EXPECT_EQ(exchange(chunked + trailers + "\r\n"), ForwardEnd::Malformed);
    EXPECT_EQ(exchange(chunked + trailers.substr(0, 3 * 1015) + "\r\n"), ForwardEnd::Reply);
}

// Guards against an exception while a reply is handled that leaves its caller without an end or
// ends the process.
TEST_F(OversizedFieldTest, ExceptionInAReplyHandlerEndsItsConnection)
{
    m_reply = ok + "Content-Length: 0\r\n\r\n";
    ForwardAttempt attempt;
    attempt.m_attempt = ++m_lastAttempt;
    attempt.m_target = "t";
    attempt.m_endpoint = {boost::asio::ip::address_v4::loopback(), m_targets.port()};
    attempt.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
    m_client.send(attempt, [](ForwardEnd, const ReplyContent &) -> void {
        throw std::length_error("as a library throws for input beyond its limits");
    });
    EXPECT_TRUE(
        runUntil(m_context, [this] { return m_client.statistics().m_hop.m_exceptions == 1; }));
    EXPECT_EQ(exchange(m_reply), ForwardEnd::Reply);
}

// Guards against an exception that leaves a handler and ends the process.
TEST_F(OversizedFieldTest, RunContextGoesOnAfterAnException)
{
    boost::asio::io_context context;
    std::vector<std::string> reported;
    bool ran = false;
    boost::asio::post(context, [] { throw std::length_error("first"); });
    boost::asio::post(context, [&ran] { ran = true; });
    runContext(context,
               [&reported](const std::exception &error) { reported.emplace_back(error.what()); });
    EXPECT_EQ(reported, std::vector<std::string>{"first"});
    EXPECT_TRUE(ran);
}

} // namespace arbutusgrade
