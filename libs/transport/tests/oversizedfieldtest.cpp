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
const std::string chunkedRequest =
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";

//! @brief A request whose first line and header have this many bytes together.
std::string requestWithHeaderOf(std::size_t bytes)
{
    const std::string start = "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ";
    const std::string end = "\r\n\r\n";
    return start + std::string(bytes - start.size() - end.size(), 'h') + end;
}

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

// Guards against a header within the limits in force that ends the process or is refused as a
// library cannot hold one of its fields.
TEST_F(OversizedFieldTest, HeaderWithinTheLimitIsServed)
{
    constexpr std::uint32_t limit = 128 * 1024;
    setHeaderLimit(limit);
    EXPECT_EQ(answerTo(requestWithHeaderOf(hugeFieldBytes)), "HTTP/1.1 200 OK");
    EXPECT_EQ(answerTo(requestWithHeaderOf(limit)), "HTTP/1.1 200 OK");
    const std::string huge(hugeFieldBytes, 'h');
    EXPECT_EQ(answerTo("GET / HTTP/1.1\r\nHost: x\r\n" + huge + ": 1\r\n\r\n"), "HTTP/1.1 200 OK");
    EXPECT_EQ(answerTo("GET /" + huge + " HTTP/1.1\r\nHost: x\r\n\r\n"), "HTTP/1.1 200 OK");
    ASSERT_EQ(m_requests.size(), 4U);
    EXPECT_EQ(m_requests[0].header("X-Long").size() + 37U, hugeFieldBytes);
    EXPECT_EQ(m_requests[2].header(huge), "1");
    EXPECT_EQ(m_requests[3].m_path, "/" + huge);
}

// Guards against a first line and fields that are each within the limit and above it together, and
// against a header beyond the limit that is answered as if its body were too large.
TEST_F(OversizedFieldTest, HeaderBeyondTheLimitGets431)
{
    constexpr std::uint32_t limit = 128 * 1024;
    setHeaderLimit(limit);
    const std::string refused = "HTTP/1.1 431 Request Header Fields Too Large";
    // The spaces behind the two colons are not counted.
    EXPECT_EQ(answerTo(requestWithHeaderOf(limit + 3)), refused);
    const std::string huge(hugeFieldBytes, 'h');
    EXPECT_EQ(answerTo("GET /" + huge + " HTTP/1.1\r\nHost: x\r\nX-Long: " + huge + "\r\n\r\n"),
              refused);
    EXPECT_EQ(answerTo("GET /" + huge + huge + " HTTP/1.1\r\nHost: x\r\n\r\n"), refused);
    EXPECT_TRUE(m_requests.empty());
}

// Guards against a header whose fields arrive one by one and are only bounded each.
TEST_F(OversizedFieldTest, FieldsThatArriveOneByOneAreBoundedTogether)
{
    RawClient client(m_context, m_server.port());
    client.send("GET / HTTP/1.1\r\nHost: x\r\n");
    const std::string field = "X-Part: " + std::string(1000, 'p') + "\r\n";
    std::size_t sent = 0;
    while (client.text().empty() && sent < 64 * field.size()) {
        client.send(field);
        sent += field.size();
        runFor(m_context, std::chrono::milliseconds(1));
    }
    EXPECT_TRUE(client.received("HTTP/1.1 431")) << client.text();
    EXPECT_LT(sent, 20U * 1024);
}

// Guards against trailers of a caller that end the process, that are read without a limit, or that
// stand for fields of the header.
TEST_F(OversizedFieldTest, TrailersOfARequestAreBoundedAndDropped)
{
    const std::string huge(hugeFieldBytes, 't');
    EXPECT_EQ(answerTo(chunkedRequest + "X-Trailer: " + huge + "\r\n\r\n"),
              "HTTP/1.1 431 Request Header Fields Too Large");
    EXPECT_EQ(answerTo(chunkedRequest + huge + ": 1\r\n\r\n"),
              "HTTP/1.1 431 Request Header Fields Too Large");
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(answerTo(chunkedRequest + "Host: other\r\nX-Trailer: 1\r\n\r\n"), "HTTP/1.1 200 OK");
    ASSERT_EQ(m_requests.size(), 1U);
    EXPECT_EQ(m_requests[0].m_headers.size(), 2U);
    EXPECT_EQ(m_requests[0].header("Host"), "x");
    setHeaderLimit(128 * 1024);
    EXPECT_EQ(answerTo(chunkedRequest + "X-Trailer: " + huge + "\r\n\r\n"), "HTTP/1.1 200 OK");
}

// Guards against an exception while a request is handled or answered that ends more than the
// connection on which the request came.
TEST_F(OversizedFieldTest, ExceptionEndsOneConnectionOnly)
{
    RawClient kept(m_context, m_server.port());
    kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil(m_context, [&kept] { return kept.received("served"); }));
    EXPECT_EQ(answerTo("GET /throw HTTP/1.1\r\nHost: x\r\n\r\n"), "");
    EXPECT_EQ(answerTo("GET /long-response HTTP/1.1\r\nHost: x\r\n\r\n"), "");
    EXPECT_EQ(m_server.statistics().m_hop.m_exceptions, 2U);
    EXPECT_EQ(m_server.statistics().m_connections, 1U);
    const std::size_t before = kept.text().size();
    kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(runUntil(m_context, [&] { return kept.text().size() > before; }));
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
