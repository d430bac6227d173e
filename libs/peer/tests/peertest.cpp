#include "peer/peer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

namespace asio = boost::asio;

constexpr const char *loopback = "127.0.0.1";
constexpr Duration timeout{2'000'000};

class PeerTest : public testing::Test
{
protected:
    std::uint16_t listen(PeerServer &server)
    {
        const std::uint16_t port = server.listen(loopback, 0, m_error);
        EXPECT_NE(port, 0) << m_error;
        return port;
    }

    //! Calls the port and returns the reply.
    std::optional<PeerReply> call(std::uint16_t port, Duration limit = timeout)
    {
        std::optional<PeerReply> result;
        bool done = false;
        callPeer(m_context, loopback, port, PeerRequest{5, PullRequest{"n1", 3, true, true}}, limit,
                 m_statistics, [&](const std::optional<PeerReply> &reply) {
                     result = reply;
                     done = true;
                 });
        m_context.restart();
        while (!done && m_context.run_one() > 0) {
        }
        EXPECT_TRUE(done);
        return result;
    }

    asio::io_context m_context;
    PeerStatistics m_statistics;
    std::string m_error;
};

// Guards against datagrams that do not arrive, and against malformed ones that stop the socket.
TEST_F(PeerTest, DatagramsArriveAndMalformedOnesAreCounted)
{
    std::vector<GossipMessage> received;
    GossipSocket receiver(m_context,
                          [&](const std::string &, std::uint16_t, const GossipMessage &message) {
                              received.push_back(message);
                          });
    GossipSocket sender(m_context, nullptr);
    const std::uint16_t port = receiver.open(loopback, 0, m_error);
    ASSERT_NE(port, 0) << m_error;
    ASSERT_NE(sender.open(loopback, 0, m_error), 0) << m_error;
    asio::ip::udp::socket stranger(m_context, asio::ip::udp::v4());
    stranger.send_to(asio::buffer("garbage", 7),
                     asio::ip::udp::endpoint(asio::ip::make_address(loopback), port));
    GossipMessage message;
    message.m_sender = "n1";
    message.m_revision = 8;
    sender.send(loopback, port, message);
    m_context.run_for(std::chrono::milliseconds(200));
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received[0].m_revision, 8);
    EXPECT_EQ(receiver.statistics().m_malformed, 1U);
}

// Guards against a document near the limit that does not pass between nodes.
TEST_F(PeerTest, CallReturnsALargeReply)
{
    PeerServer server(m_context, [](const PeerRequest &request, const PeerResponder &respond) {
        respond({request.m_id, PullReply{"n2", 4, std::string(1'000'000, 'x'), {}}});
    });
    const std::uint16_t port = listen(server);
    for (int round = 0; round < 3; ++round) {
        const std::optional<PeerReply> reply = call(port);
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->m_pull.value().m_configuration.value().size(), 1'000'000U);
    }
}

// Guards against a call that never ends because the peer is silent or gone, and against a reply
// of another call that is taken.
TEST_F(PeerTest, CallEndsWithoutAReply)
{
    PeerServer silent(m_context, [](const PeerRequest &, const PeerResponder &) {});
    const std::uint16_t port = listen(silent);
    EXPECT_FALSE(call(port, Duration(100'000)));
    silent.close();
    EXPECT_FALSE(call(port));
    PeerServer confused(m_context, [](const PeerRequest &request, const PeerResponder &respond) {
        respond({request.m_id + 1, std::nullopt});
    });
    EXPECT_FALSE(call(listen(confused)));
    EXPECT_EQ(m_statistics.m_failures, 3U);
}

// Guards against a server that keeps memory or a connection for a forged frame.
TEST_F(PeerTest, ServerClosesAConnectionWithAForgedFrame)
{
    PeerServer server(m_context, [](const PeerRequest &, const PeerResponder &) {});
    const std::uint16_t port = listen(server);
    asio::ip::tcp::socket stranger(m_context);
    stranger.connect({asio::ip::make_address(loopback), port});
    asio::write(stranger, asio::buffer("\xff\xff\xff\xff", 4));
    bool closed = false;
    std::array<char, 1> buffer{};
    stranger.async_read_some(asio::buffer(buffer),
                             [&closed](boost::system::error_code error, std::size_t) {
                                 closed = static_cast<bool>(error);
                             });
    m_context.run_for(std::chrono::milliseconds(300));
    EXPECT_TRUE(closed);
}

} // namespace
} // namespace arbutusgrade
