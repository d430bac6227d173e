#include "peer/peer.h"

#include <array>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

namespace asio = boost::asio;

constexpr const char *loopbackAddress = "127.0.0.1";
constexpr Duration callTimeout{std::chrono::seconds(2)};

class PeerTest : public testing::Test
{
protected:
    std::uint16_t listen(PeerServer &server)
    {
        const std::uint16_t port = server.listen(loopbackAddress, 0, m_error);
        EXPECT_NE(port, 0) << m_error;
        return port;
    }

    //! Sends a pull request to the port and waits for the reply, failure or timeout.
    std::optional<PeerReply> call(std::uint16_t port, Duration timeout = callTimeout)
    {
        std::optional<PeerReply> result;
        bool finished = false;
        callPeer(m_context, loopbackAddress, port, PeerRequest{5, PullRequest{"n1", 3, true, true}},
                 timeout, m_statistics, [&](const std::optional<PeerReply> &reply) {
                     result = reply;
                     finished = true;
                 });
        m_context.restart();
        while (!finished && m_context.run_one() > 0) {
        }
        EXPECT_TRUE(finished);
        return result;
    }

    asio::io_context m_context;
    PeerStatistics m_statistics;
    std::string m_error;
};

// Guards against datagrams that are not delivered, and against a malformed one that stops the
// socket from receiving.
TEST_F(PeerTest, DatagramsAreReceivedAndMalformedOnesAreCounted)
{
    std::vector<GossipMessage> received;
    GossipSocket receiver(m_context,
                          [&](const std::string &, std::uint16_t, const GossipMessage &message) {
                              received.push_back(message);
                          });
    GossipSocket sender(m_context, nullptr);
    const std::uint16_t port = receiver.open(loopbackAddress, 0, m_error);
    ASSERT_NE(port, 0) << m_error;
    ASSERT_NE(sender.open(loopbackAddress, 0, m_error), 0) << m_error;
    asio::ip::udp::socket rawSocket(m_context, asio::ip::udp::v4());
    rawSocket.send_to(asio::buffer("garbage", 7),
                      asio::ip::udp::endpoint(asio::ip::make_address(loopbackAddress), port));
    GossipMessage message;
    message.m_sender = "n1";
    message.m_revision = 8;
    sender.send(loopbackAddress, port, message);
    m_context.run_for(std::chrono::milliseconds(200));
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received[0].m_revision, 8);
    EXPECT_EQ(receiver.statistics().m_malformed, 1U);
}

// Guards against a datagram whose handling ends with an exception and that ends the process, or the
// receiving of all others.
TEST_F(PeerTest, ExceptionEndsOneDatagramOnly)
{
    int received = 0;
    DatagramSocket receiver(m_context,
                            [&](const std::string &, std::uint16_t, std::string_view bytes) {
                                if (bytes == "throw") {
                                    throw std::length_error("as a library throws");
                                }
                                ++received;
                                return true;
                            });
    DatagramSocket sender(m_context, nullptr);
    const std::uint16_t port = receiver.open(loopbackAddress, 0, m_error);
    ASSERT_NE(sender.open(loopbackAddress, 0, m_error), 0) << m_error;
    sender.send(loopbackAddress, port, "throw");
    sender.send(loopbackAddress, port, "good");
    m_context.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(received, 1);
    EXPECT_EQ(receiver.statistics().m_exceptions, 1U);
}

// Guards against a configuration document of the maximum size that a peer cannot pull.
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

// Guards against a call that never ends because the peer does not reply or refuses the connection,
// and against accepting the reply to another request.
TEST_F(PeerTest, CallEndsWithoutAReply)
{
    PeerServer unresponsiveServer(m_context, [](const PeerRequest &, const PeerResponder &) {});
    const std::uint16_t port = listen(unresponsiveServer);
    EXPECT_FALSE(call(port, Duration(100'000)));
    unresponsiveServer.close();
    EXPECT_FALSE(call(port));
    PeerServer wrongIdServer(m_context,
                             [](const PeerRequest &request, const PeerResponder &respond) {
                                 respond({request.m_id + 1, std::nullopt});
                             });
    EXPECT_FALSE(call(listen(wrongIdServer)));
    EXPECT_EQ(m_statistics.m_failures, 3U);
}

// Guards against a server that allocates memory or keeps the connection open for a frame with a
// forged length.
TEST_F(PeerTest, ServerClosesAConnectionWithAForgedFrameLength)
{
    PeerServer server(m_context, [](const PeerRequest &, const PeerResponder &) {});
    const std::uint16_t port = listen(server);
    asio::ip::tcp::socket rawSocket(m_context);
    rawSocket.connect({asio::ip::make_address(loopbackAddress), port});
    asio::write(rawSocket, asio::buffer("\xff\xff\xff\xff", 4));
    bool closed = false;
    std::array<char, 1> buffer{};
    rawSocket.async_read_some(asio::buffer(buffer),
                              [&closed](boost::system::error_code error, std::size_t) {
                                  closed = static_cast<bool>(error);
                              });
    m_context.run_for(std::chrono::milliseconds(300));
    EXPECT_TRUE(closed);
}

std::string frameOf(const std::string &body)
{
    const std::array<std::uint8_t, frameHeaderBytes> header =
        encodeFrameHeader(static_cast<std::uint32_t>(body.size()));
    return std::string(header.begin(), header.end()) + body;
}

//! @brief Writes the first bytes of a frame and ends: in order, or with a reset.
void writeCut(asio::ip::tcp::socket &socket, std::string_view frame, std::size_t cut, bool reset)
{
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(frame.data(), cut), ignored);
    if (reset) {
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    } else {
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

// Guards against a reply of a peer that is cut off and taken for its state or configuration.
TEST_F(PeerTest, CutReplyIsAFailure)
{
    const PullReply pull{"n2", 9, R"({"revision":9})", {}};
    const std::string frame = frameOf(encodeReply({5, pull}));
    asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::make_address(loopbackAddress), 0});
    for (std::size_t cut = 0; cut <= frame.size(); ++cut) {
        for (const bool reset : {false, true}) {
            asio::ip::tcp::socket peer(m_context);
            acceptor.async_accept(peer, [&](boost::system::error_code error) {
                ASSERT_FALSE(error);
                writeCut(peer, frame, cut, reset);
            });
            const std::optional<PeerReply> reply = call(acceptor.local_endpoint().port());
            if (cut < frame.size()) {
                EXPECT_FALSE(reply) << cut;
            } else if (!reset) {
                ASSERT_TRUE(reply && reply->m_pull);
                EXPECT_EQ(reply->m_pull->m_configuration, pull.m_configuration);
            }
        }
    }
}

// Guards against a request of a peer that is cut off and handled.
TEST_F(PeerTest, CutRequestIsNotHandled)
{
    int handled = 0;
    PeerServer server(m_context, [&](const PeerRequest &request, const PeerResponder &respond) {
        ++handled;
        respond({request.m_id, std::nullopt});
    });
    const std::uint16_t port = listen(server);
    const std::string frame = frameOf(encodeRequest({5, PullRequest{"n1", 3, true, true}}));
    for (std::size_t cut = 0; cut < frame.size(); ++cut) {
        for (const bool reset : {false, true}) {
            asio::ip::tcp::socket socket(m_context);
            socket.connect({asio::ip::make_address(loopbackAddress), port});
            writeCut(socket, frame, cut, reset);
            m_context.restart();
            m_context.run_for(std::chrono::milliseconds(1));
        }
    }
    EXPECT_EQ(handled, 0);
    EXPECT_TRUE(call(port));
    EXPECT_EQ(handled, 1);
}

} // namespace
} // namespace arbutusgrade
