#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "gatewaynode/gatewaynode.h"
#include "peer/peer.h"

namespace arbutusgrade {

//! @brief Counters of a link since the start of the process.
struct QuotaLinkStatistics
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_unsent = 0; //!< No address, no socket, too large, or refused by the system.
    std::uint64_t m_received = 0;
    std::uint64_t m_receivedBytes = 0;
    // Received and dropped.
    std::uint64_t m_unregistered = 0; //!< From an address that no node is registered with.
    std::uint64_t m_wrongName = 0;    //!< The sender is registered with another address.
    std::uint64_t m_malformed = 0;
    std::uint64_t m_otherVersion = 0;
};

//! @brief Exchanges the messages of quotas with the registered nodes, as datagrams.
class QuotaLink
{
public:
    struct Handlers
    {
        std::function<void(std::string_view node, const QuotaReport &report)> m_report;
        std::function<void(std::string_view node, const QuotaReply &reply)> m_reply;
    };

    QuotaLink(boost::asio::io_context &context, std::string node, NodeLinkSettings link,
              Handlers handlers);

    //! @brief Binds the socket.
    //! @return an empty string on success, otherwise an error message.
    std::string open();
    void close();

    bool isOpen() const
    {
        return m_socket != nullptr;
    }

    //! @brief Sets the nodes that messages are sent to and accepted from.
    void setNodes(std::span<const RegisteredNode> nodes);

    void send(std::string_view node, const QuotaReport &report);
    void send(std::string_view node, const QuotaReply &reply);

    const QuotaLinkStatistics &statistics() const
    {
        return m_statistics;
    }

private:
    struct Endpoint
    {
        std::string m_address;
        std::uint16_t m_port = 0;

        std::strong_ordering operator<=>(const Endpoint &other) const = default;
    };

    void sendDatagram(std::string_view node, std::string_view datagram);
    bool receive(const Endpoint &sender, std::string_view bytes);
    bool countError(WireError error);

    boost::asio::io_context &m_context;
    std::string m_node;
    NodeLinkSettings m_link;
    Handlers m_handlers;
    std::unique_ptr<DatagramSocket> m_socket;                 //!< Null while the link is closed.
    std::map<std::string, Endpoint, std::less<>> m_endpoints; //!< By name of the node.
    std::set<Endpoint> m_accepted;
    QuotaLinkStatistics m_statistics;
};

} // namespace arbutusgrade
