#include <algorithm>

#include <gtest/gtest.h>

#include "loopback.h"
#include "transport/transport.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

//! @brief Peer that answers each connection with a prefix and then repeats a text until it is
//! closed.
class EndlessPeer
{
public:
    EndlessPeer(boost::asio::io_context &context, std::string prefix, const std::string &text)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_prefix(std::move(prefix))
    {
        constexpr std::size_t writeBytes = 64 * 1024;
        while (m_block.size() < writeBytes) {
            m_block += text;
        }
        accept();
    }

    Tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (error) {
                return;
            }
            write(std::make_shared<Tcp::socket>(std::move(socket)), m_prefix);
            accept();
        });
    }

    void write(const std::shared_ptr<Tcp::socket> &socket, const std::string &text)
    {
        boost::asio::async_write(
            *socket, boost::asio::buffer(text),
            [this, socket](boost::system::error_code error, std::size_t /*bytes*/) {
                if (!error) {
                    write(socket, m_block);
                }
            });
    }

    Tcp::acceptor m_acceptor;
    std::string m_prefix;
    std::string m_block;
};

struct EndlessReply
{
    const char *m_name;
    std::string m_prefix;
    std::string m_text;
};

class EndlessRepliesTest : public testing::Test
{
protected:
    void send(ForwardClient &client, const EndlessPeer &peer, std::uint64_t attempt)
    {
        ForwardAttempt order;
        order.m_attempt = attempt;
        order.m_target = "t" + std::to_string(attempt);
        order.m_endpoint = peer.endpoint();
        order.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
        client.send(order, [this](ForwardEnd end, const ReplyContent & /*reply*/) {
            m_ends.push_back(end);
        });
    }

    boost::asio::io_context m_context;
    std::vector<ForwardEnd> m_ends;
};

class EndlessReplyTest : public EndlessRepliesTest, public testing::WithParamInterface<EndlessReply>
{
};

std::string paramName(const testing::TestParamInfo<EndlessReply> &info)
{
    return info.param.m_name;
}

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a target that sends bytes which are no answer until its connection is closed: they
// would fill the memory of the node.
TEST_P(EndlessReplyTest, EndsAsMalformedWithinTheLimit)
{
    constexpr std::uint32_t limitBytes = 256 * 1024;
    ForwardClientOptions options;
    options.m_replyLimitBytes = limitBytes;
    ForwardClient client(m_context, options);
    EndlessPeer peer(m_context, GetParam().m_prefix, GetParam().m_text);
    send(client, peer, 1);
    EXPECT_TRUE(runUntil(m_context, [this, &client] {
        return !m_ends.empty() || client.statistics().m_hop.m_bytesIn > 8 * limitBytes;
    }));
    EXPECT_EQ(m_ends, std::vector<ForwardEnd>{ForwardEnd::Malformed});
    EXPECT_LE(client.statistics().m_hop.m_bytesIn, 2 * limitBytes);
    EXPECT_EQ(client.statistics().m_connections, 0U);
}

// Guards against many such targets at once that each stay below the limit of one reply.
TEST_P(EndlessReplyTest, FiftyAtOnceStayWithinTheLimitForAll)
{
    constexpr int targets = 50;
    constexpr std::size_t limitBytes = 4 * 1024 * 1024;
    constexpr std::size_t readBytes = 64 * 1024; // Of the last read of each connection.
    ForwardClientOptions options;
    options.m_replyLimitBytes = 1024 * 1024;
    options.m_bufferedLimitBytes = limitBytes;
    ForwardClient client(m_context, options);
    EndlessPeer peer(m_context, GetParam().m_prefix, GetParam().m_text);
    for (int target = 1; target <= targets; ++target) {
        send(client, peer, static_cast<std::uint64_t>(target));
    }
    std::size_t peak = 0;
    EXPECT_TRUE(runUntil(m_context, [this, &client, &peak] {
        peak = std::max(peak, client.statistics().m_hop.m_bufferedBytes);
        return m_ends.size() == targets;
    }));
    EXPECT_TRUE(std::all_of(m_ends.begin(), m_ends.end(),
                            [](ForwardEnd end) { return end == ForwardEnd::Malformed; }));
    EXPECT_LE(peak, limitBytes + targets * readBytes);
    EXPECT_EQ(client.statistics().m_hop.m_bufferedBytes, 0U);
    EXPECT_EQ(client.statistics().m_connections, 0U);
}

// Guards against the same from the store and from other nodes, whose calls share a limit, and
// against a client that takes such bytes for a reply.
TEST_P(EndlessReplyTest, CallsOfTheStoreAndOfNodesStayWithinTheirLimit)
{
    constexpr int calls = 8;
    constexpr std::size_t limitBytes = 1024 * 1024;
    constexpr std::size_t readBytes = 64 * 1024;
    HopStatistics hop;
    EndlessPeer peer(m_context, GetParam().m_prefix, GetParam().m_text);
    const std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(m_context, hop, calls);
    client->setEndpoint("127.0.0.1", peer.endpoint().port());
    client->setReplyLimits(512 * 1024, makeReplyBudget(limitBytes));
    int ended = 0;
    std::size_t peak = 0;
    for (int call = 0; call < calls; ++call) {
        HttpClient::Call request;
        request.m_method = "GET";
        request.m_path = "/";
        request.m_deadline = steadyNow() + std::chrono::seconds(10);
        client->call(std::move(request), [&ended](const ReplyContent *reply) {
            EXPECT_EQ(reply, nullptr);
            ++ended;
        });
    }
    EXPECT_TRUE(runUntil(m_context, [&hop, &peak, &ended] {
        peak = std::max(peak, hop.m_bufferedBytes);
        return ended == calls;
    }));
    EXPECT_LE(peak, limitBytes + calls * readBytes);
    EXPECT_EQ(hop.m_bufferedBytes, 0U);
    client->stop();
}

// Guards against replies of sound targets that are given up in place of the endless ones which use
// up the memory.
TEST_F(EndlessRepliesTest, TheLargestReplyIsGivenUpFirst)
{
    constexpr int endlessTargets = 20;
    constexpr std::size_t soundBodyBytes = 100'000;
    ForwardClientOptions options;
    options.m_replyLimitBytes = 1024 * 1024;
    options.m_bufferedLimitBytes = 2 * 1024 * 1024;
    ForwardClient client(m_context, options);
    EndlessPeer peer(m_context, okHead + "\r\n", "body");
    RawServer sound(m_context, [](RawServer::Peer &soundPeer, const std::string &) {
        soundPeer.reply(200, std::string(soundBodyBytes, 's'));
    });
    std::size_t soundBytes = 0;
    ForwardAttempt order;
    order.m_attempt = endlessTargets + 1;
    order.m_target = "sound";
    order.m_endpoint = {boost::asio::ip::address_v4::loopback(), sound.port()};
    order.m_text = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
    for (int target = 1; target <= endlessTargets; ++target) {
        send(client, peer, static_cast<std::uint64_t>(target));
    }
    client.send(order, [&soundBytes](ForwardEnd end, const ReplyContent &reply) {
        EXPECT_EQ(end, ForwardEnd::Reply);
        soundBytes = reply.m_body.size();
    });
    EXPECT_TRUE(runUntil(m_context, [this] { return m_ends.size() == endlessTargets; }));
    EXPECT_TRUE(runUntil(m_context, [&soundBytes] { return soundBytes != 0; }));
    EXPECT_EQ(soundBytes, soundBodyBytes);
    EXPECT_GT(client.statistics().m_givenUpReplies, 0U);
    EXPECT_EQ(client.statistics().m_heldBytes, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, EndlessReplyTest,
    testing::Values(EndlessReply{"NoHttp", "", "0123456789"},
                    EndlessReply{"StatusLine", "HTTP/1.1 200 ", "very "},
                    EndlessReply{"InterimReplies", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                    EndlessReply{"HeaderLine", okHead + "X-Long: ", "long"},
                    EndlessReply{"Headers", okHead, "X-Another: value\r\n"},
                    EndlessReply{"BodyWithoutLength", okHead + "\r\n", "body"},
                    EndlessReply{"Chunks", chunkedHead, "4\r\nbody\r\n"},
                    EndlessReply{"ChunkSize", chunkedHead, "0"},
                    EndlessReply{"ChunkExtension", chunkedHead + "4;name=", "value"},
                    EndlessReply{"Trailers", chunkedHead + "0\r\n", "X-Trailer: value\r\n"}),
    paramName);

} // namespace arbutusgrade
