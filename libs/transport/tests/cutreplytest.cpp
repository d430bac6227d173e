#include <algorithm>
#include <array>
#include <optional>
#include <ostream>

#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

namespace {

namespace asio = boost::asio;

enum class End { Close, Reset, HalfClose, Silence };

struct GoodReply
{
    const char *m_name;
    std::string m_text;
    std::string m_body;
    int m_status = 200;
    bool m_isHead = false;       //!< Answers a HEAD request.
    bool m_endsWithPeer = false; //!< Without a length.
};

std::ostream &operator<<(std::ostream &stream, const GoodReply &reply)
{
    return stream << reply.m_name;
}

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string receipt = "X-Receipt: r1.07.5a2\r\n";
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\nX-Receipt: no.answer\r\n\r\n";

const std::vector<GoodReply> goodReplies{
    {"Length", okHead + receipt + "Content-Length: 12\r\nX-Last: 1\r\n\r\nHTTP/1.1 200",
     "HTTP/1.1 200"},
    {"ReceiptLast", okHead + "Content-Length: 3\r\nKeep-Alive: timeout=5\r\n" + receipt + "\r\nabc",
     "abc"},
    {"EmptyBody", okHead + receipt + "Content-Length: 0\r\n\r\n", ""},
    {"Folded",
     okHead + "X-Long: one\r\n two\r\n\tthree\r\n" + receipt + "Content-Length: 2\r\n\r\nab", "ab"},
    {"Chunked",
     okHead + "Transfer-Encoding: chunked\r\n" + receipt
         + "\r\n4\r\nbody\r\n10;name=value\r\n0123456789abcdef\r\n0\r\n\r\n",
     "body0123456789abcdef"},
    {"Trailers",
     okHead + "Transfer-Encoding: chunked\r\nTrailer: X-Receipt\r\n\r\n1\r\n0\r\n00\r\n" + receipt
         + "X-Sum: 1\r\n\r\n",
     "0"},
    {"NoLength", okHead + receipt + "Connection: close\r\n\r\nto the end", "to the end", 200, false,
     true},
    {"Http10", "HTTP/1.0 200 OK\r\n" + receipt + "\r\nto the end", "to the end", 200, false, true},
    {"Http10Length", "HTTP/1.0 200 OK\r\nContent-Length: 11\r\n\r\nhello world", "hello world"},
    {"Head", okHead + receipt + "Content-Length: 120\r\n\r\n", "", 200, true},
    {"HeadNoLength", okHead + receipt + "\r\n", "", 200, true},
    {"NoContent", "HTTP/1.1 204 No Content\r\n" + receipt + "\r\n", "", 204},
    {"NotModified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", "", 304},
    {"Refusal", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", "no", 503},
    {"Interim", interim + okHead + receipt + "Content-Length: 2\r\n\r\nok", "ok", 200},
};

std::vector<std::string> inOnePiece(const std::string &text)
{
    return {text};
}

std::vector<std::string> inBytes(const std::string &text)
{
    std::vector<std::string> pieces;
    for (const char byte : text) {
        pieces.emplace_back(1, byte);
    }
    return pieces;
}

std::vector<std::string> inRandomPieces(const std::string &text, RandomGenerator &random)
{
    std::vector<std::string> pieces;
    for (std::size_t start = 0; start < text.size(); start += pieces.back().size()) {
        pieces.push_back(text.substr(start, 1 + nextRandomBelow(random, 20)));
    }
    return pieces;
}

bool isWhole(const GoodReply &reply, std::size_t cut, End end)
{
    if (!reply.m_endsWithPeer) {
        return cut == reply.m_text.size();
    }
    const bool orderly = end == End::Close || end == End::HalfClose;
    return orderly && cut >= reply.m_text.find("\r\n\r\n") + 4;
}

//! @brief True for whole interim replies, behind which the reply proper may come.
bool endsWithInterim(std::string_view text)
{
    return interim.starts_with(text) && text.ends_with("\r\n\r\n");
}

//! @brief Cuts from here on cannot be told from a whole reply when bytes follow: those of a body
//! that is counted in bytes or goes on to the end of the connection.
std::size_t joinableFrom(const GoodReply &reply)
{
    if (reply.m_text.find("chunked") != std::string::npos) {
        return reply.m_text.size();
    }
    const std::size_t start = reply.m_text.starts_with(interim) ? interim.size() : 0;
    return reply.m_text.find("\r\n\r\n", start) + 4;
}

//! @brief Peer that is told what to write once it has read a request.
class CutReplyTest : public testing::TestWithParam<GoodReply>
{
protected:
    CutReplyTest()
        : m_server(m_context, [this](RawServer::Peer &peer,
                                     const std::string & /*request*/) { m_peer = &peer; }),
          m_client(m_context, {})
    {
    }

    //! @brief How an exchange ended; nothing if the client still waits.
    struct Outcome
    {
        std::optional<ForwardEnd> m_end;
        ReplyContent m_content;
    };

    //! @brief Sends a request. The peer writes each piece after the client has read the one before.
    Outcome exchange(const std::vector<std::string> &pieces, End end, bool isHead = false)
    {
        Outcome outcome;
        m_peer = nullptr;
        ForwardAttempt order;
        order.m_attempt = ++m_lastAttempt;
        order.m_target = "t";
        order.m_endpoint = {asio::ip::address_v4::loopback(), m_server.port()};
        order.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
        order.m_expectNoBody = isHead;
        m_client.send(order, [&outcome](ForwardEnd result, const ReplyContent &content) {
            EXPECT_FALSE(outcome.m_end) << "two results of one attempt";
            outcome = {result, content};
        });
        EXPECT_TRUE(runUntil(m_context, [this, &outcome] { return m_peer || outcome.m_end; }));
        if (!m_peer) {
            ADD_FAILURE() << "the request did not reach the peer";
            return outcome;
        }
        const std::size_t readBefore = m_client.statistics().m_hop.m_bytesIn;
        std::size_t written = 0;
        for (const std::string &piece : pieces) {
            write(piece);
            written += piece.size();
            EXPECT_TRUE(runUntil(m_context, [this, &outcome, readBefore, written] {
                return outcome.m_end
                       || m_client.statistics().m_hop.m_bytesIn == readBefore + written;
            }));
        }
        finish(end);
        if (end == End::Silence) {
            m_context.restart();
            m_context.poll();
        } else {
            runUntil(m_context, [&outcome] { return outcome.m_end.has_value(); });
        }
        if (!outcome.m_end) {
            m_client.abandon(order.m_attempt);
        }
        return outcome;
    }

    void write(const std::string &text)
    {
        boost::system::error_code ignored;
        asio::write(m_peer->m_socket, asio::buffer(text), ignored);
    }

    void finish(End end)
    {
        boost::system::error_code ignored;
        if (end == End::HalfClose) {
            m_peer->m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
        } else if (end != End::Silence) {
            if (end == End::Reset) {
                m_peer->m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            m_peer->close();
        }
    }

    //! @brief Cuts the reply and checks its result and that of the next request.
    void expectCut(const GoodReply &reply, std::size_t cut, End end,
                   const std::vector<std::string> &pieces)
    {
        SCOPED_TRACE("cut at " + std::to_string(cut) + ", end "
                     + std::to_string(static_cast<int>(end)));
        const Outcome outcome = exchange(pieces, end, reply.m_isHead);
        if (isWhole(reply, cut, end)) {
            ASSERT_EQ(outcome.m_end, ForwardEnd::Reply);
            EXPECT_EQ(outcome.m_content.m_status, reply.m_status);
            EXPECT_TRUE(reply.m_endsWithPeer ? reply.m_body.starts_with(outcome.m_content.m_body)
                                             : outcome.m_content.m_body == reply.m_body);
        } else {
            ASSERT_NE(outcome.m_end, ForwardEnd::Reply);
            ASSERT_EQ(m_client.statistics().m_connections, 0U);
        }
        if (end != End::Silence) {
            ASSERT_TRUE(
                runUntil(m_context, [this] { return m_client.statistics().m_connections == 0; }));
        }
        const Outcome next = exchange({okHead + "Content-Length: 4\r\n\r\nnext"}, End::Silence);
        ASSERT_EQ(next.m_end, ForwardEnd::Reply);
        EXPECT_EQ(next.m_content.m_body, "next");
        m_client.dropIdle();
        m_server.m_peers.clear();
    }

    asio::io_context m_context;
    RawServer::Peer *m_peer = nullptr; //!< Of the last request.
    RawServer m_server;
    ForwardClient m_client;
    std::uint64_t m_lastAttempt = 0;
};

std::string paramName(const testing::TestParamInfo<GoodReply> &info)
{
    return info.param.m_name;
}

} // namespace

// Guards against a reply that is cut anywhere and reaches the caller as a success, and against a
// connection that is kept after it.
TEST_P(CutReplyTest, IsAReplyOnlyIfWhole)
{
    const GoodReply &reply = GetParam();
    for (std::size_t cut = 0; cut <= reply.m_text.size(); ++cut) {
        for (const End end : {End::Close, End::Reset, End::HalfClose, End::Silence}) {
            expectCut(reply, cut, end, inOnePiece(reply.m_text.substr(0, cut)));
        }
    }
}

// Guards against a cut that shows only when the bytes before it come in pieces.
TEST_P(CutReplyTest, IsAReplyOnlyIfWholeInPieces)
{
    const GoodReply &reply = GetParam();
    RandomGenerator random{7};
    for (std::size_t cut = 0; cut <= reply.m_text.size(); ++cut) {
        const std::string text = reply.m_text.substr(0, cut);
        const End end = std::array{End::Close, End::Reset, End::HalfClose, End::Silence}[cut % 4];
        expectCut(reply, cut, end, inRandomPieces(text, random));
        if (cut % 8 == 0 || cut == reply.m_text.size()) {
            expectCut(reply, cut, End::Close, inBytes(text));
        }
    }
}

// Guards against a reply that is cut in its head and taken for a part of the reply behind it, and
// against a next request that gets what is left of the two.
TEST_P(CutReplyTest, IsNoReplyTogetherWithTheNext)
{
    const GoodReply &reply = GetParam();
    const std::string second = okHead + "X-Receipt: second\r\nContent-Length: 6\r\n\r\nsecond";
    for (std::size_t cut = 1; cut < joinableFrom(reply); ++cut) {
        if (endsWithInterim(reply.m_text.substr(0, cut))) {
            continue;
        }
        for (const std::vector<std::string> &pieces :
             {std::vector<std::string>{reply.m_text.substr(0, cut), second},
              std::vector<std::string>{reply.m_text.substr(0, cut) + second}}) {
            SCOPED_TRACE("cut at " + std::to_string(cut));
            EXPECT_NE(exchange(pieces, End::Silence, reply.m_isHead).m_end, ForwardEnd::Reply)
                << reply.m_text.substr(0, cut);
            const Outcome next = exchange({okHead + "Content-Length: 4\r\n\r\nnext"}, End::Silence);
            ASSERT_EQ(next.m_end, ForwardEnd::Reply);
            EXPECT_EQ(next.m_content.m_body, "next");
            m_client.dropIdle();
            m_server.m_peers.clear();
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Replies, CutReplyTest, testing::ValuesIn(goodReplies), paramName);

// Guards against a reply without a length that is taken for whole when a reset ends the connection
// while the request is still being written: the failed write must not hide the reset.
TEST_F(CutReplyTest, ResetDuringALongRequestIsNoOrderlyEnd)
{
    constexpr std::size_t longerThanTheBuffers = 16 * 1024 * 1024;
    Tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
    const std::string request =
        "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(longerThanTheBuffers)
        + "\r\n\r\n" + std::string(longerThanTheBuffers, 'x');
    for (int run = 0; run < 10; ++run) {
        std::optional<ForwardEnd> end;
        ForwardAttempt order;
        order.m_attempt = ++m_lastAttempt;
        order.m_target = "t";
        order.m_endpoint = acceptor.local_endpoint();
        order.m_text = request;
        m_client.send(order,
                      [&end](ForwardEnd result, const ReplyContent & /*reply*/) { end = result; });
        Tcp::socket peer = acceptor.accept();
        const std::string half = okHead + receipt + "\r\nhalf";
        const std::size_t readBefore = m_client.statistics().m_hop.m_bytesIn;
        asio::write(peer, asio::buffer(half));
        ASSERT_TRUE(runUntil(m_context, [this, readBefore, &half] {
            return m_client.statistics().m_hop.m_bytesIn == readBefore + half.size();
        }));
        peer.set_option(asio::socket_base::linger(true, 0));
        peer.close();
        ASSERT_TRUE(runUntil(m_context, [&end] { return end.has_value(); }));
        EXPECT_EQ(end, ForwardEnd::Reset);
    }
}

// Guards against an interim reply that reaches the caller as the answer, with the reply proper left
// for the next request on the connection.
TEST_F(CutReplyTest, InterimReplyIsNotTheAnswer)
{
    const std::string good = okHead + "Content-Length: 4\r\n\r\ngood";
    const Outcome outcome = exchange({interim, good}, End::Silence);
    EXPECT_EQ(outcome.m_end, ForwardEnd::Reply);
    EXPECT_EQ(outcome.m_content.m_status, 200);
    EXPECT_EQ(outcome.m_content.m_body, "good");
    EXPECT_EQ(outcome.m_content.m_headers.size(), 1U);
    EXPECT_EQ(m_client.statistics().m_connections, 1U);
    const std::string switching = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n";
    EXPECT_EQ(exchange({switching, good}, End::Silence).m_end, ForwardEnd::Malformed);
    EXPECT_EQ(m_client.statistics().m_connections, 0U);
}

} // namespace arbutusgrade
