#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "base/base.h"
#include "wire/wire.h"

//! @brief Transport between nodes: datagrams over UDP, and length-prefixed request and reply
//! frames over TCP.
//!
//! All classes must be used on the thread that runs their io_context. Addresses are numeric IP
//! addresses; host names are not resolved.
namespace arbutusgrade {

//! @brief Traffic counters since start, exported as metrics.
struct PeerStatistics
{
    std::uint64_t m_received = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_exceptions = 0; //!< While a datagram was handled; receiving went on.
    //! Datagrams that could not be sent, and calls without a valid reply.
    std::uint64_t m_failures = 0;
};

//! @brief Called with each datagram and the address and port of its sender. Returns false if the
//! datagram is malformed, which is counted.
using DatagramHandler =
    std::function<bool(const std::string &address, std::uint16_t port, std::string_view bytes)>;

//! @brief UDP socket.
class DatagramSocket
{
public:
    DatagramSocket(boost::asio::io_context &context, DatagramHandler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    //! @brief Binds the socket and starts to receive; port 0 selects a free port.
    //! @return the bound port, or 0 with a message in error.
    std::uint16_t open(const std::string &address, std::uint16_t port, std::string &error);

    //! @brief Sends a datagram without waiting; a failure is only counted in the statistics.
    //! @return false if it could not be sent.
    bool send(const std::string &address, std::uint16_t port, std::string_view bytes);

    void close();

    const PeerStatistics &statistics() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

//! @brief Called with each valid gossip message and the address and port of its sender.
using GossipHandler =
    std::function<void(const std::string &address, std::uint16_t port, const GossipMessage &)>;

//! @brief UDP socket that sends and receives gossip messages; see DatagramSocket.
class GossipSocket
{
public:
    GossipSocket(boost::asio::io_context &context, GossipHandler handler);

    //! @brief Binds the socket and starts to receive, like DatagramSocket::open().
    std::uint16_t open(const std::string &address, std::uint16_t port, std::string &error);

    //! @brief Sends a message without waiting; a failure is only counted in the statistics.
    void send(const std::string &address, std::uint16_t port, const GossipMessage &message);
    void close();

    const PeerStatistics &statistics() const noexcept;

private:
    DatagramSocket m_socket;
};

//! @brief Sends the reply to a request; must be called at most once.
using PeerResponder = std::function<void(const PeerReply &)>;

//! @brief Called with each valid request and the function that sends its reply.
using PeerRequestHandler = std::function<void(const PeerRequest &, const PeerResponder &)>;

//! @brief TCP server for requests of peers.
//!
//! Handles one request per connection at a time. A connection is closed after 60 s without a
//! complete exchange or on malformed input. At most 512 connections are open.
class PeerServer
{
public:
    PeerServer(boost::asio::io_context &context, PeerRequestHandler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    //! @brief Starts to accept connections; port 0 selects a free port.
    //! @return the bound port, or 0 with a message in error.
    std::uint16_t listen(const std::string &address, std::uint16_t port, std::string &error);

    void close();

    const PeerStatistics &statistics() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

//! @brief Called once with the reply, or with std::nullopt after a failure or timeout.
using PeerReplyHandler = std::function<void(const std::optional<PeerReply> &)>;

//! @brief Sends a request to a peer over a new connection, which is closed after the reply.
//!
//! Connections are not reused, because calls are rare: a pull after a change or a join.
//! @param statistics updated by the call; must outlive the run of the io_context.
void callPeer(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
              const PeerRequest &request, Duration timeout, PeerStatistics &statistics,
              PeerReplyHandler handler);

} // namespace arbutusgrade
