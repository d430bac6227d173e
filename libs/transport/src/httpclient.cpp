#include "details/clientconnection.h"
#include "transport/transport.h"

#include <algorithm>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

namespace arbutusgrade {

namespace {

// Values of the store take up to 1 MB; their JSON form may be longer.
constexpr std::uint64_t defaultReplyLimitBytes = 8 * 1024 * 1024;
constexpr std::size_t defaultBudgetBytes = 16 * 1024 * 1024;

std::string requestText(const std::string &host, const HttpClient::Call &call)
{
    std::string text = call.m_method + " " + call.m_path + " HTTP/1.1\r\nHost: " + host;
    if (call.m_method != "GET") {
        text += "\r\nContent-Type: " + call.m_contentType
                + "\r\nContent-Length: " + std::to_string(call.m_body.size());
    }
    return text + "\r\n\r\n" + call.m_body;
}

} // namespace

std::string_view ReplyContent::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &header : m_headers) {
        if (boost::beast::iequals(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

HttpClient::HttpClient(asio::io_context &context, HopStatistics &hop, int connections)
    : m_context(context), m_hop(hop), m_limit(connections), m_replyLimit(defaultReplyLimitBytes),
      m_budget(makeReplyBudget(defaultBudgetBytes)), m_timer(context)
{
}

void HttpClient::setEndpoint(const std::string &address, std::uint16_t port)
{
    boost::system::error_code error;
    const Tcp::endpoint endpoint(asio::ip::make_address(address, error), port);
    if (endpoint == m_endpoint) {
        return;
    }
    m_endpoint = endpoint;
    m_host = address + ":" + std::to_string(port);
    for (const std::shared_ptr<ClientConnection> &connection : m_idle) {
        connection->close();
    }
    m_idle.clear();
}

void HttpClient::setPeerTimeout(std::chrono::milliseconds timeout)
{
    m_peerTimeout = timeout;
}

void HttpClient::setReplyLimits(std::uint64_t replyBytes, std::shared_ptr<ReplyBudget> budget)
{
    m_replyLimit = replyBytes;
    m_budget = std::move(budget);
}

void HttpClient::call(Call call, Handler handler)
{
    m_waiting.push_back(
        std::make_shared<Pending>(Pending{std::move(call), std::move(handler), nullptr}));
    pump();
    armTimer();
}

void HttpClient::stop()
{
    m_timer.cancel();
    for (const PendingPointer &pending : m_active) {
        pending->m_connection->close();
    }
    for (const std::shared_ptr<ClientConnection> &connection : m_idle) {
        connection->close();
    }
    m_active.clear();
    m_waiting.clear();
    m_idle.clear();
}

void HttpClient::pump()
{
    while (!m_waiting.empty() && static_cast<int>(m_active.size()) < m_limit) {
        const PendingPointer pending = m_waiting.front();
        m_waiting.pop_front();
        m_active.push_back(pending);
        while (!m_idle.empty() && !pending->m_connection) {
            if (m_idle.back()->isOpen()) {
                pending->m_connection = m_idle.back();
            }
            m_idle.pop_back();
        }
        if (pending->m_connection) {
            exchange(pending);
        } else {
            connect(pending);
        }
    }
}

void HttpClient::connect(const PendingPointer &pending)
{
    pending->m_connection = std::make_shared<ClientConnection>(m_context, m_hop, m_replyLimit);
    pending->m_connection->setPeerTimeout(m_peerTimeout);
    pending->m_connection->setReplyBudget(m_budget);
    pending->m_connection->connect(m_endpoint, [weak = weak_from_this(), pending](bool connected) {
        const std::shared_ptr<HttpClient> self = weak.lock();
        if (!self) {
            return;
        }
        if (connected) {
            self->exchange(pending);
        } else {
            self->finish(pending, nullptr);
        }
    });
}

void HttpClient::exchange(const PendingPointer &pending)
{
    ExchangeOptions options;
    options.m_keepHeaders = pending->m_call.m_keepHeaders;
    pending->m_connection->exchange(
        requestText(m_host, pending->m_call), options,
        [weak = weak_from_this(), pending](ExchangeEnd end, const ReplyContent &reply) {
            const std::shared_ptr<HttpClient> self = weak.lock();
            if (!self) {
                return;
            }
            const ReplyContent unreadable;
            if (end == ExchangeEnd::Malformed && pending->m_call.m_reportUnreadable) {
                self->finish(pending, &unreadable);
                return;
            }
            self->finish(pending, end == ExchangeEnd::Reply ? &reply : nullptr);
        });
}

void HttpClient::finish(const PendingPointer &pending, const ReplyContent *reply)
{
    if (std::erase(m_active, pending) == 0) {
        return;
    }
    if (reply != nullptr && pending->m_connection->isReusable()) {
        m_idle.push_back(pending->m_connection);
    } else {
        pending->m_connection->close();
    }
    // The handler may start another exchange on this connection, which reuses the reply's buffer.
    const ReplyContent content = reply != nullptr ? *reply : ReplyContent{};
    handOver(pending, reply != nullptr ? &content : nullptr);
    pump();
}

void HttpClient::handOver(const PendingPointer &pending, const ReplyContent *reply)
{
    // The calls that wait must go on, whatever one handler does.
    try {
        pending->m_handler(reply);
    } catch (const std::exception &) {
        ++m_hop.m_exceptions;
    }
}

void HttpClient::armTimer()
{
    TimePoint next = farFuture;
    for (const PendingPointer &pending : m_active) {
        next = std::min(next, pending->m_call.m_deadline);
    }
    for (const PendingPointer &pending : m_waiting) {
        next = std::min(next, pending->m_call.m_deadline);
    }
    if (next == farFuture) {
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const std::shared_ptr<HttpClient> self = weak.lock();
        if (!error && self) {
            self->expire();
        }
    });
}

void HttpClient::expire()
{
    const TimePoint now = steadyNow();
    std::vector<PendingPointer> expired;
    for (const PendingPointer &pending : m_active) {
        if (now >= pending->m_call.m_deadline) {
            expired.push_back(pending);
        }
    }
    for (const PendingPointer &pending : expired) {
        finish(pending, nullptr);
    }
    expired.clear();
    std::erase_if(m_waiting, [now, &expired](const PendingPointer &pending) {
        const bool due = now >= pending->m_call.m_deadline;
        if (due) {
            expired.push_back(pending);
        }
        return due;
    });
    for (const PendingPointer &pending : expired) {
        handOver(pending, nullptr);
    }
    armTimer();
}

} // namespace arbutusgrade
