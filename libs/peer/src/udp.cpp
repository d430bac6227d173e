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

struct DatagramSocket::State
{
    explicit State(asio::io_context &context) : m_socket(context) { }

    udp::socket m_socket;
    DatagramHandler m_handler;
    udp::endpoint m_senderEndpoint;
    std::array<char, receiveBufferBytes> m_receiveBuffer{};
    PeerStatistics m_statistics;

    static void receiveNext(const std::shared_ptr<State> &state);
    void handleDatagram(std::size_t bytes);
};

void DatagramSocket::State::receiveNext(const std::shared_ptr<State> &state)
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

void DatagramSocket::State::handleDatagram(std::size_t bytes)
{
    ++m_statistics.m_received;
    m_statistics.m_receivedBytes += bytes;
    if (!m_handler) {
        return;
    }
    const std::string_view datagram(m_receiveBuffer.data(), bytes);
    // Receiving goes on, whatever one datagram holds.
    try {
        if (!m_handler(m_senderEndpoint.address().to_string(), m_senderEndpoint.port(), datagram)) {
            ++m_statistics.m_malformed;
        }
    } catch (const std::exception &) {
        ++m_statistics.m_exceptions;
    }
}

DatagramSocket::DatagramSocket(asio::io_context &context, DatagramHandler handler)
    : m_state(std::make_shared<State>(context))
{
    m_state->m_handler = std::move(handler);
}

DatagramSocket::~DatagramSocket()
{
    close();
}

std::uint16_t DatagramSocket::open(const std::string &address, std::uint16_t port,
                                   std::string &error)
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

bool DatagramSocket::send(const std::string &address, std::uint16_t port, std::string_view bytes)
{
    error_code error;
    const asio::ip::address parsed = asio::ip::make_address(address, error);
    if (error || !m_state->m_socket.is_open()) {
        ++m_state->m_statistics.m_failures;
        return false;
    }
    // The socket is non-blocking: if the send buffer is full, the datagram is dropped and counted
    // as a failure.
    m_state->m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), udp::endpoint(parsed, port),
                              0, error);
    if (error) {
        ++m_state->m_statistics.m_failures;
        return false;
    }
    ++m_state->m_statistics.m_sent;
    m_state->m_statistics.m_sentBytes += bytes.size();
    return true;
}

void DatagramSocket::close()
{
    error_code ignored;
    m_state->m_socket.close(ignored);
    m_state->m_handler = nullptr;
}

const PeerStatistics &DatagramSocket::statistics() const noexcept
{
    return m_state->m_statistics;
}

GossipSocket::GossipSocket(asio::io_context &context, GossipHandler handler)
    : m_socket(context, [handler = std::move(handler)](const std::string &address,
                                                       std::uint16_t port, std::string_view bytes) {
          const Decoded<GossipMessage> message = decodeGossip(bytes);
          if (message && handler) {
              handler(address, port, message.value());
          }
          return message.has_value();
      })
{
}

std::uint16_t GossipSocket::open(const std::string &address, std::uint16_t port, std::string &error)
{
    return m_socket.open(address, port, error);
}

void GossipSocket::send(const std::string &address, std::uint16_t port,
                        const GossipMessage &message)
{
    m_socket.send(address, port, encodeGossip(message));
}

void GossipSocket::close()
{
    m_socket.close();
}

const PeerStatistics &GossipSocket::statistics() const noexcept
{
    return m_socket.statistics();
}

} // namespace arbutusgrade
