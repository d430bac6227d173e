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
    case ExchangeEnd::InvalidStatus:
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
        ForwardHandler m_handler;
        bool m_isSent = false;
    };

    Implementation(asio::io_context &context, const ForwardClientOptions &options)
        : m_context(context), m_options(options),
          m_budget(makeReplyBudget(options.m_bufferedLimitBytes))
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
                // After a pause of this process, what has arrived meanwhile is still unread.
                if (attempt.m_idempotent || link->m_connection->isOpen()) {
                    return link;
                }
            } else {
                links.pop_back();
            }
            close(link);
        }
        return nullptr;
    }

    void send(const ForwardAttempt &attempt, ForwardHandler handler)
    {
        if (attempt.m_needsNewConnection) {
            closeLastUsed(attempt.m_target);
        }
        const LinkPointer idle =
            attempt.m_needsNewConnection ? nullptr : takeIdle(attempt, steadyNow());
        if (idle) {
            m_flights[attempt.m_attempt] = Flight{idle, std::move(handler)};
            exchange(attempt.m_attempt, attempt.m_text, attempt.m_expectNoBody);
            return;
        }
        open(attempt, std::move(handler));
    }

    //! @brief Makes room for a new connection, so that repeated attempts do not add up to more
    //! connections than the target accepts.
    void closeLastUsed(const std::string &target)
    {
        const std::unordered_map<std::string, std::vector<LinkPointer>>::iterator found =
            m_idle.find(target);
        if (found == m_idle.end() || found->second.empty()) {
            return;
        }
        const LinkPointer link = found->second.back();
        found->second.pop_back();
        close(link);
    }

    void open(const ForwardAttempt &attempt, ForwardHandler handler)
    {
        const std::uint64_t id = attempt.m_attempt;
        const LinkPointer link = newLink(attempt.m_target);
        m_flights[id] = Flight{link, std::move(handler)};
        connect(link, attempt.m_endpoint,
                [this, id, expectNoBody = attempt.m_expectNoBody,
                 text = std::string(attempt.m_text)](bool connected) {
                    if (!connected) {
                        finish(id, ForwardEnd::ConnectFailed, {});
                    } else if (m_flights.contains(id)) {
                        exchange(id, text, expectNoBody);
                    }
                });
    }

    void probe(const std::string &target, const asio::ip::tcp::endpoint &endpoint,
               std::function<void(bool connected)> handler)
    {
        const LinkPointer link = newLink(target);
        connect(link, endpoint, [this, link, handler = std::move(handler)](bool connected) {
            if (connected) {
                link->m_idleSince = steadyNow();
                link->m_idleLimit = m_options.m_idleLimit;
                m_idle[link->m_target].push_back(link);
            } else {
                close(link);
            }
            handler(connected);
        });
    }

    //! @brief Opens the connection within the connect timeout. The handler is called once, unless
    //! the connection is closed or the client ends before.
    void connect(const LinkPointer &link, const asio::ip::tcp::endpoint &endpoint,
                 std::function<void(bool connected)> handler)
    {
        const std::shared_ptr<asio::steady_timer> timer =
            std::make_shared<asio::steady_timer>(m_context, m_options.m_connectTimeout);
        const std::function<void(bool)> end = [weak = weak_from_this(), link, timer,
                                               ended = std::make_shared<bool>(false),
                                               handler = std::move(handler)](bool connected) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (!self || std::exchange(*ended, true)) {
                return;
            }
            timer->cancel();
            if (!link->m_connection) {
                return;
            }
            if (connected) {
                self->watchIdle(link);
            }
            handler(connected);
        };
        timer->async_wait([end](error_code error) {
            if (!error) {
                end(false);
            }
        });
        link->m_connection->connect(endpoint, end);
    }

    //! @brief A connection that is not open yet.
    LinkPointer newLink(const std::string &target)
    {
        LinkPointer link = std::make_shared<Link>();
        link->m_target = target;
        link->m_connection = std::make_shared<ClientConnection>(m_context, m_statistics.m_hop,
                                                                m_options.m_replyLimitBytes);
        link->m_connection->setPeerTimeout(m_options.m_peerTimeout);
        link->m_connection->setReplyBudget(m_budget);
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
                self->removeIdle(closed);
                self->close(closed);
            }
        });
    }

    void removeIdle(const LinkPointer &link)
    {
        const std::unordered_map<std::string, std::vector<LinkPointer>>::iterator found =
            m_idle.find(link->m_target);
        if (found == m_idle.end()) {
            return;
        }
        std::erase(found->second, link);
        if (found->second.empty()) {
            m_idle.erase(found);
        }
    }

    void exchange(std::uint64_t id, std::string_view text, bool expectNoBody)
    {
        Flight &flight = m_flights[id];
        flight.m_isSent = true;
        flight.m_link->m_connection->exchange(
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

    void dropIdle()
    {
        for (const std::pair<const std::string, std::vector<LinkPointer>> &links : m_idle) {
            for (const LinkPointer &link : links.second) {
                close(link);
            }
        }
        m_idle.clear();
    }

    asio::io_context &m_context;
    ForwardClientOptions m_options;
    std::shared_ptr<ReplyBudget> m_budget;
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

bool ForwardClient::isSent(std::uint64_t attempt) const
{
    const std::unordered_map<std::uint64_t, Implementation::Flight>::const_iterator found =
        m_implementation->m_flights.find(attempt);
    return found != m_implementation->m_flights.end() && found->second.m_isSent;
}

void ForwardClient::dropIdle()
{
    m_implementation->dropIdle();
}

const ForwardClientStatistics &ForwardClient::statistics() const
{
    ForwardClientStatistics &statistics = m_implementation->m_statistics;
    statistics.m_givenUpReplies = m_implementation->m_budget->m_givenUpReplies;
    statistics.m_heldBytes = m_implementation->m_budget->m_usedBytes;
    return statistics;
}

} // namespace arbutusgrade
