#include <array>

#include <boost/asio/ip/udp.hpp>

#include "peer/peer.h"

namespace arbutusgrade {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

//! Exceeds the largest valid datagram, so that a longer one is truncated and rejected as malformed.
constexpr std::size_t receiveBufferBytes = 2048;

} // namespace

struct GossipSocket::State
{
    explicit State(asio::io_context &context) : m_socket(context) { }

    udp::socket m_socket;
    GossipHandler m_handler;
    udp::endpoint m_senderEndpoint;
    std::array<char, receiveBufferBytes> m_receiveBuffer{};
    PeerStatistics m_statistics;

    static void receiveNext(const std::shared_ptr<State> &state);
    void handleDatagram(std::size_t bytes);
};

void GossipSocket::State::receiveNext(const std::shared_ptr<State> &state)
{
    state->m_socket.async_receive_from(asio::buffer(state->m_receiveBuffer),
                                       state->m_senderEndpoint,
                                       [state](error_code error, std::size_t bytes) {
                                           if (!state->m_socket.is_open()) {
                                               return;
                                           }
                                           // The error may stem from an earlier send to an
                                           // unreachable peer, so receiving continues.
                                           if (!error) {
                                               state->handleDatagram(bytes);
                                           }
                                           receiveNext(state);
                                       });
}

void GossipSocket::State::handleDatagram(std::size_t bytes)
{
    ++m_statistics.m_received;
    m_statistics.m_receivedBytes += bytes;
    const Decoded<GossipMessage> message =
        decodeGossip(std::string_view(m_receiveBuffer.data(), bytes));
    if (!message) {
        ++m_statistics.m_malformed;
        return;
    }
    if (m_handler) {
        m_handler(m_senderEndpoint.address().to_string(), m_senderEndpoint.port(), message.value());
    }
}

GossipSocket::GossipSocket(asio::io_context &context, GossipHandler handler)
    : m_state(std::make_shared<State>(context))
{
    m_state->m_handler = std::move(handler);
}

GossipSocket::~GossipSocket()
{
    close();
}

std::uint16_t GossipSocket::open(const std::string &address, std::uint16_t port, std::string &error)
{
    error_code code;
    const asio::ip::address parsed = asio::ip::make_address(address, code);
    const udp::endpoint endpoint(parsed, port);
    if (!code) {
        m_state->m_socket.open(endpoint.protocol(), code);
    }
    if (!code) {
        m_state->m_socket.bind(endpoint, code);
    }
    if (!code) {
        m_state->m_socket.non_blocking(true, code);
    }
    if (code) {
        error = "cannot bind UDP " + address + ":" + std::to_string(port) + ": " + code.message();
        close();
        return 0;
    }
    State::receiveNext(m_state);
    return m_state->m_socket.local_endpoint().port();
}

void GossipSocket::send(const std::string &address, std::uint16_t port,
                        const GossipMessage &message)
{
    error_code error;
    const asio::ip::address parsed = asio::ip::make_address(address, error);
    if (error || !m_state->m_socket.is_open()) {
        ++m_state->m_statistics.m_failures;
        return;
    }
    const std::string bytes = encodeGossip(message);
    // The socket is non-blocking: if the send buffer is full, the datagram is dropped and counted
    // as a failure.
    m_state->m_socket.send_to(asio::buffer(bytes), udp::endpoint(parsed, port), 0, error);
    if (error) {
        ++m_state->m_statistics.m_failures;
        return;
    }
    ++m_state->m_statistics.m_sent;
    m_state->m_statistics.m_sentBytes += bytes.size();
}

void GossipSocket::close()
{
    error_code ignored;
    m_state->m_socket.close(ignored);
    m_state->m_handler = nullptr;
}

const PeerStatistics &GossipSocket::statistics() const noexcept
{
    return m_state->m_statistics;
}

} // namespace arbutusgrade
