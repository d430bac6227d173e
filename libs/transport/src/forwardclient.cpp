#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "details/clientconnection.h"
#include "transport/transport.h"

namespace arbutusgrade {

using boost::system::error_code;

namespace {

// A target closes at the end of the idle time that it states; the margin covers the way there.
constexpr Duration idleSafetyMargin{500'000};

//! @brief Idle time that a reply's Keep-Alive header grants, for example "timeout=5"; zero if none.
Duration statedIdleTime(const ReplyContent &reply)
{
    static constexpr std::string_view key = "timeout=";
    for (const std::pair<std::string, std::string> &header : reply.m_headers) {
        const std::size_t start = header.second.find(key);
        if (start == std::string::npos || !boost::beast::iequals(header.first, "keep-alive")) {
            continue;
        }
        int seconds = 0;
        const char *first = header.second.data() + start + key.size();
        std::from_chars(first, header.second.data() + header.second.size(), seconds);
        return std::chrono::seconds(std::max(0, seconds));
    }
    return Duration::zero();
}

ForwardEnd forwardEnd(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Reply:
        return ForwardEnd::Reply;
    case ExchangeEnd::NotSent:
        return ForwardEnd::ConnectFailed;
    case ExchangeEnd::Lost:
        return ForwardEnd::Closed;
    case ExchangeEnd::Reset:
        return ForwardEnd::Reset;
    case ExchangeEnd::Malformed:
        break;
    }
    return ForwardEnd::Malformed;
}

} // namespace

struct ForwardClient::Implementation : std::enable_shared_from_this<ForwardClient::Implementation>
{
    struct Link
    {
        std::shared_ptr<ClientConnection> m_connection;
        std::string m_target;
        TimePoint m_idleSince;
        Duration m_idleLimit{0};
    };
    using LinkPointer = std::shared_ptr<Link>;

    //! @brief An attempt whose connection is being opened, or which waits for its reply.
    struct Flight
    {
        LinkPointer m_link;
        std::shared_ptr<asio::steady_timer> m_connectTimer;
        ForwardHandler m_handler;
    };

    Implementation(asio::io_context &context, const ForwardClientOptions &options)
        : m_context(context), m_options(options)
    {
    }

    LinkPointer takeIdle(const ForwardAttempt &attempt, TimePoint now)
    {
        const std::unordered_map<std::string, std::vector<LinkPointer>>::iterator found =
            m_idle.find(attempt.m_target);
        if (found == m_idle.end()) {
            return nullptr;
        }
        std::vector<LinkPointer> &links = found->second;
        while (!links.empty()) {
            LinkPointer link = links.back();
            const Duration idle = now - link->m_idleSince;
            if (idle <= link->m_idleLimit) {
                if (!attempt.m_idempotent && idle > m_options.m_freshIdleLimit) {
                    return nullptr;
                }
                links.pop_back();
                return link;
            }
            links.pop_back();
            close(link);
        }
        return nullptr;
    }

    void send(const ForwardAttempt &attempt, ForwardHandler handler)
    {
        const LinkPointer idle = takeIdle(attempt, steadyNow());
        if (idle) {
            m_flights[attempt.m_attempt] = Flight{idle, nullptr, std::move(handler)};
            exchange(attempt.m_attempt, attempt.m_text, attempt.m_expectNoBody);
            return;
        }
        open(attempt, std::move(handler));
    }

    void open(const ForwardAttempt &attempt, ForwardHandler handler)
    {
        const LinkPointer link = newLink(attempt.m_target);
        const std::uint64_t id = attempt.m_attempt;
        const std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(m_context, m_options.m_connectTimeout);
        m_flights[id] = Flight{link, timer, std::move(handler)};
        timer->async_wait([weak = weak_from_this(), id](error_code error) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (!error && self) {
                self->finish(id, ForwardEnd::ConnectFailed, {});
            }
        });
        const bool expectNoBody = attempt.m_expectNoBody;
        link->m_connection->connect(
            attempt.m_endpoint, [weak = weak_from_this(), id, expectNoBody,
                                 text = std::string(attempt.m_text)](bool connected) {
                if (const std::shared_ptr<Implementation> self = weak.lock()) {
                    self->handleConnected(id, connected, text, expectNoBody);
                }
            });
    }

    void handleConnected(std::uint64_t id, bool connected, const std::string &text,
                         bool expectNoBody)
    {
        const std::unordered_map<std::uint64_t, Flight>::iterator flight = m_flights.find(id);
        if (flight == m_flights.end()) {
            return;
        }
        if (!connected) {
            finish(id, ForwardEnd::ConnectFailed, {});
            return;
        }
        flight->second.m_connectTimer->cancel();
        watchIdle(flight->second.m_link);
        exchange(id, text, expectNoBody);
    }

    void probe(const std::string &target, const asio::ip::tcp::endpoint &endpoint,
               std::function<void(bool connected)> handler)
    {
        const LinkPointer link = newLink(target);
        const std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(m_context, m_options.m_connectTimeout);
        const std::shared_ptr<bool> ended = std::make_shared<bool>(false);
        const std::function<void(bool)> finish = [weak = weak_from_this(), link, timer, ended,
                                                  handler = std::move(handler)](bool connected) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (!self || std::exchange(*ended, true)) {
                return;
            }
            timer->cancel();
            if (connected) {
                self->watchIdle(link);
                link->m_idleSince = steadyNow();
                link->m_idleLimit = self->m_options.m_idleLimit;
                self->m_idle[link->m_target].push_back(link);
            } else {
                self->close(link);
            }
            handler(connected);
        };
        timer->async_wait([finish](error_code error) {
            if (!error) {
                finish(false);
            }
        });
        link->m_connection->connect(endpoint, finish);
    }

    //! @brief A connection that is not open yet.
    LinkPointer newLink(const std::string &target)
    {
        LinkPointer link = std::make_shared<Link>();
        link->m_target = target;
        link->m_connection = std::make_shared<ClientConnection>(m_context, m_statistics.m_hop,
                                                                m_options.m_replyLimitBytes);
        link->m_connection->setPeerTimeout(m_options.m_peerTimeout);
        ++m_statistics.m_opened;
        ++m_statistics.m_connections;
        return link;
    }

    //! @brief Forgets the connection when the target closes it between exchanges.
    void watchIdle(const LinkPointer &link)
    {
        const std::weak_ptr<Link> weakLink = link;
        link->m_connection->setIdleCloseHandler([weak = weak_from_this(), weakLink] {
            const std::shared_ptr<Implementation> self = weak.lock();
            const LinkPointer closed = weakLink.lock();
            if (self && closed) {
                std::erase(self->m_idle[closed->m_target], closed);
                self->close(closed);
            }
        });
    }

    void exchange(std::uint64_t id, std::string_view text, bool expectNoBody)
    {
        m_flights[id].m_link->m_connection->exchange(
            text, ExchangeOptions{true, expectNoBody},
            [weak = weak_from_this(), id](ExchangeEnd end, const ReplyContent &reply) {
                if (const std::shared_ptr<Implementation> self = weak.lock()) {
                    self->finish(id, forwardEnd(end), reply);
                }
            });
    }

    void finish(std::uint64_t id, ForwardEnd end, const ReplyContent &reply)
    {
        const std::unordered_map<std::uint64_t, Flight>::iterator found = m_flights.find(id);
        if (found == m_flights.end()) {
            return;
        }
        const Flight flight = std::move(found->second);
        m_flights.erase(found);
        if (flight.m_connectTimer) {
            flight.m_connectTimer->cancel();
        }
        if (end == ForwardEnd::ConnectFailed) {
            ++m_statistics.m_connectFailures;
        }
        const LinkPointer link = flight.m_link;
        const bool reusable = end == ForwardEnd::Reply && link->m_connection->isReusable();
        if (reusable) {
            const Duration stated = statedIdleTime(reply);
            link->m_idleSince = steadyNow();
            link->m_idleLimit =
                stated > Duration::zero() ? stated - idleSafetyMargin : m_options.m_idleLimit;
        }
        flight.m_handler(end, reply);
        // The handler reads the reply from the connection's buffer, and a reply that belongs to
        // another request makes the connection unusable, which the handler tells by abandoning.
        if (reusable && m_rejected != id) {
            m_idle[link->m_target].push_back(link);
        } else {
            close(link);
        }
        m_rejected = 0;
    }

    void abandon(std::uint64_t id)
    {
        const std::unordered_map<std::uint64_t, Flight>::iterator found = m_flights.find(id);
        if (found == m_flights.end()) {
            m_rejected = id;
            return;
        }
        const Flight flight = std::move(found->second);
        m_flights.erase(found);
        if (flight.m_connectTimer) {
            flight.m_connectTimer->cancel();
        }
        close(flight.m_link);
    }

    void close(const LinkPointer &link)
    {
        if (!link->m_connection) {
            return;
        }
        link->m_connection->close();
        link->m_connection = nullptr;
        --m_statistics.m_connections;
    }

    void dropTarget(const std::string &target)
    {
        const std::unordered_map<std::string, std::vector<LinkPointer>>::iterator found =
            m_idle.find(target);
        if (found == m_idle.end()) {
            return;
        }
        for (const LinkPointer &link : found->second) {
            close(link);
        }
        m_idle.erase(found);
    }

    asio::io_context &m_context;
    ForwardClientOptions m_options;
    ForwardClientStatistics m_statistics;
    std::unordered_map<std::string, std::vector<LinkPointer>> m_idle; //!< Latest used last.
    std::unordered_map<std::uint64_t, Flight> m_flights;
    std::uint64_t m_rejected = 0; //!< Attempt whose handler rejected the connection.
};

ForwardClient::ForwardClient(asio::io_context &context, const ForwardClientOptions &options)
    : m_implementation(std::make_shared<Implementation>(context, options))
{
}

ForwardClient::~ForwardClient()
{
    m_implementation->m_flights.clear();
}

void ForwardClient::send(const ForwardAttempt &attempt, ForwardHandler handler)
{
    m_implementation->send(attempt, std::move(handler));
}

void ForwardClient::probe(const std::string &target, const asio::ip::tcp::endpoint &endpoint,
                          std::function<void(bool connected)> handler)
{
    m_implementation->probe(target, endpoint, std::move(handler));
}

void ForwardClient::abandon(std::uint64_t attempt)
{
    m_implementation->abandon(attempt);
}

void ForwardClient::dropTarget(std::string_view target)
{
    m_implementation->dropTarget(std::string(target));
}

void ForwardClient::dropIdle()
{
    std::vector<std::string> targets;
    for (const std::pair<const std::string, std::vector<Implementation::LinkPointer>> &entry :
         m_implementation->m_idle) {
        targets.push_back(entry.first);
    }
    for (const std::string &target : targets) {
        m_implementation->dropTarget(target);
    }
}

const ForwardClientStatistics &ForwardClient::statistics() const
{
    return m_implementation->m_statistics;
}

} // namespace arbutusgrade
