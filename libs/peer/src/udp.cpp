#include <array>

#include <boost/asio/ip/udp.hpp>

#include "peer/peer.h"

namespace arbutusgrade {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

//! Larger than any datagram of a peer, so that longer ones are seen as malformed.
constexpr std::size_t receiveBytes = 2048;

} // namespace

struct GossipSocket::State
{
    explicit State(asio::io_context &context) : m_socket(context) { }

    udp::socket m_socket;
    GossipHandler m_handler;
    udp::endpoint m_source;
    std::array<char, receiveBytes> m_buffer{};
    PeerStatistics m_statistics;

    static void receive(const std::shared_ptr<State> &state);
    void take(std::size_t bytes);
};

void GossipSocket::State::receive(const std::shared_ptr<State> &state)
{
    state->m_socket.async_receive_from(asio::buffer(state->m_buffer), state->m_source,
                                       [state](error_code error, std::size_t bytes) {
                                           if (!state->m_socket.is_open()) {
                                               return;
                                           }
                                           // An unreachable peer is reported on the next receive.
                                           if (!error) {
                                               state->take(bytes);
                                           }
                                           receive(state);
                                       });
}

void GossipSocket::State::take(std::size_t bytes)
{
    ++m_statistics.m_received;
    m_statistics.m_receivedBytes += bytes;
    const Decoded<GossipMessage> message = decodeGossip(std::string_view(m_buffer.data(), bytes));
    if (!message) {
        ++m_statistics.m_malformed;
        return;
    }
    if (m_handler) {
        m_handler(m_source.address().to_string(), m_source.port(), message.value());
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
    State::receive(m_state);
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
    // Does not block: a full send buffer counts as a lost datagram.
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
