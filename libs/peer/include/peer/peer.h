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

//! @brief Sockets between nodes: UDP datagrams, and frames over TCP.
//!
//! All classes are used from the thread of their io_context only. Addresses are IP numbers.
namespace arbutusgrade {

//! @brief Receives a decoded datagram with the address it came from.
using GossipHandler =
    std::function<void(const std::string &address, std::uint16_t port, const GossipMessage &)>;

//! @brief Counts since start, exported as metrics.
struct PeerStatistics
{
    std::uint64_t m_received = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_failures = 0; //!< Sends or calls that the network refused.
};

//! @brief UDP socket for gossip.
class GossipSocket
{
public:
    GossipSocket(boost::asio::io_context &context, GossipHandler handler);
    ~GossipSocket();
    GossipSocket(const GossipSocket &) = delete;
    GossipSocket &operator=(const GossipSocket &) = delete;

    //! @brief Binds the socket; port 0 chooses one. Returns the port, or 0 with the reason.
    std::uint16_t open(const std::string &address, std::uint16_t port, std::string &error);

    //! @brief Sends a datagram; losses are not reported.
    void send(const std::string &address, std::uint16_t port, const GossipMessage &message);

    void close();

    const PeerStatistics &statistics() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

//! @brief Answers a request; called once.
using PeerResponder = std::function<void(const PeerReply &)>;
using PeerRequestHandler = std::function<void(const PeerRequest &, const PeerResponder &)>;

//! @brief TCP server of frames. Requests of one connection are answered in turn.
//!
//! Connections are closed after 60 s without a request and on malformed input; at most 512 are
//! open.
class PeerServer
{
public:
    PeerServer(boost::asio::io_context &context, PeerRequestHandler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    //! @brief Listens; port 0 chooses one. Returns the port, or 0 with the reason.
    std::uint16_t listen(const std::string &address, std::uint16_t port, std::string &error);

    void close();

    const PeerStatistics &statistics() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

//! @brief Receives the reply, or none on failure or timeout.
using PeerReplyHandler = std::function<void(const std::optional<PeerReply> &)>;

//! @brief Calls a peer over a new connection and closes it after the reply.
//!
//! Calls are rare (a pull after a change or a join), so that no connections are kept.
//! @param statistics counts the call; must live as long as the io_context runs.
void callPeer(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
              const PeerRequest &request, Duration timeout, PeerStatistics &statistics,
              PeerReplyHandler handler);

} // namespace arbutusgrade
