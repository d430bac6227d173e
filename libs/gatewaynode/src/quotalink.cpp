#include "details/quotalink.h"

#include <utility>
#include <variant>

#include "wire/wire.h"

namespace arbutusgrade {

QuotaLink::QuotaLink(boost::asio::io_context &context, std::string node, NodeLinkSettings link,
                     Handlers handlers)
    : m_context(context), m_node(std::move(node)), m_link(std::move(link)),
      m_handlers(std::move(handlers))
{
}

std::string QuotaLink::open()
{
    std::unique_ptr<DatagramSocket> socket = std::make_unique<DatagramSocket>(
        m_context, [this](const std::string &address, std::uint16_t port, std::string_view bytes) {
            return receive(Endpoint{address, port}, bytes);
        });
    std::string error;
    if (socket->open(m_link.m_address, m_link.m_port, error) != 0) {
        m_socket = std::move(socket);
    }
    return error;
}

void QuotaLink::close()
{
    m_socket.reset();
}

void QuotaLink::setNodes(std::span<const RegisteredNode> nodes)
{
    m_endpoints.clear();
    m_accepted.clear();
    for (const RegisteredNode &node : nodes) {
        const Endpoint endpoint{node.m_link.m_address, node.m_link.m_port};
        m_endpoints[node.m_name] = endpoint;
        m_accepted.insert(endpoint);
    }
}

void QuotaLink::send(std::string_view node, const QuotaReport &report)
{
    sendDatagram(node, encodeQuota(m_node, report));
}

void QuotaLink::send(std::string_view node, const QuotaReply &reply)
{
    sendDatagram(node, encodeQuota(m_node, reply));
}

void QuotaLink::sendDatagram(std::string_view node, std::string_view datagram)
{
    const std::map<std::string, Endpoint, std::less<>>::const_iterator found =
        m_endpoints.find(node);
    if (found == m_endpoints.end() || m_socket == nullptr || datagram.size() > quotaLimitBytes
        || !m_socket->send(found->second.m_address, found->second.m_port, datagram)) {
        ++m_statistics.m_unsent;
        return;
    }
    ++m_statistics.m_sent;
    m_statistics.m_sentBytes += datagram.size();
}

bool QuotaLink::receive(const Endpoint &sender, std::string_view bytes)
{
    ++m_statistics.m_received;
    m_statistics.m_receivedBytes += bytes.size();
    if (!m_accepted.contains(sender)) {
        ++m_statistics.m_unregistered;
        return true;
    }
    const Decoded<QuotaMessage> decoded = decodeQuota(bytes);
    if (!decoded) {
        return countError(decoded.error());
    }
    const QuotaMessage &message = decoded.value();
    const std::map<std::string, Endpoint, std::less<>>::const_iterator found =
        m_endpoints.find(message.m_sender);
    if (found == m_endpoints.end() || found->second != sender) {
        ++m_statistics.m_wrongName;
        return true;
    }
    if (const QuotaReport *const report = std::get_if<QuotaReport>(&message.m_content)) {
        m_handlers.m_report(message.m_sender, *report);
    } else {
        m_handlers.m_reply(message.m_sender, std::get<QuotaReply>(message.m_content));
    }
    return true;
}

bool QuotaLink::countError(WireError error)
{
    if (error == WireError::OtherVersion) {
        ++m_statistics.m_otherVersion;
    } else {
        ++m_statistics.m_malformed;
    }
    return false;
}

} // namespace arbutusgrade
