#include <algorithm>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

#include "details/httpsession.h"

namespace arbutusgrade {

using boost::system::error_code;

namespace {

// Deadlines of sessions are seconds long, so one sweep replaces a timer for each request.
constexpr std::chrono::milliseconds sweepInterval{100};

// Wait after a failed accept, which is usually a lack of file descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

} // namespace

TimePoint steadyNow() noexcept
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &header : m_headers) {
        if (boost::beast::iequals(header.first, name)) {
            return header.second;
        }
    }
    return {};
}

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation>
{
    Implementation(asio::io_context &context, const HttpServerOptions &options)
        : m_context(context), m_acceptor(context), m_sweepTimer(context), m_acceptTimer(context)
    {
        m_state->m_options = options;
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, Tcp::socket socket) {
            const bool isOpen = self->m_acceptor.is_open();
            // A connection that was accepted just before the stop is still served.
            if (!error && (isOpen || self->m_state->m_stopping)) {
                self->addSession(std::move(socket));
            }
            if (!isOpen) {
                return;
            }
            if (error) {
                self->acceptLater();
                return;
            }
            self->accept();
        });
    }

    void acceptLater()
    {
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void addSession(Tcp::socket socket)
    {
        const bool full = m_state->m_sessions.size() >= m_state->m_options.m_connectionLimit;
        const std::shared_ptr<HttpSession> session =
            std::make_shared<HttpSession>(std::move(socket), m_state);
        m_state->m_sessions.insert(session);
        ++m_state->m_statistics.m_accepted;
        m_state->m_statistics.m_connections = m_state->m_sessions.size();
        if (full) {
            session->refuse();
        } else {
            session->start();
        }
    }

    //! @brief Accepts the connections that the system holds for this server.
    void acceptWaiting()
    {
        error_code error;
        m_acceptor.cancel(error);
        m_acceptor.non_blocking(true, error);
        while (!error) {
            Tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error) {
                addSession(std::move(socket));
            }
        }
    }

    void sweep()
    {
        m_sweepTimer.expires_after(sweepInterval);
        m_sweepTimer.async_wait([self = shared_from_this()](error_code error) {
            if (error) {
                return;
            }
            const TimePoint now = steadyNow();
            for (const std::shared_ptr<HttpSession> &session : self->sessions()) {
                session->checkDeadline(now);
            }
            self->sweep();
        });
    }

    //! @brief Copy, as sessions that close remove themselves.
    std::vector<std::shared_ptr<HttpSession>> sessions() const
    {
        return {m_state->m_sessions.begin(), m_state->m_sessions.end()};
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    asio::steady_timer m_sweepTimer;
    asio::steady_timer m_acceptTimer;
    std::shared_ptr<HttpServerState> m_state = std::make_shared<HttpServerState>();
};

HttpServer::HttpServer(asio::io_context &context, const HttpServerOptions &options)
    : m_implementation(std::make_shared<Implementation>(context, options))
{
}

HttpServer::~HttpServer()
{
    error_code ignored;
    m_implementation->m_acceptor.close(ignored);
    m_implementation->m_sweepTimer.cancel();
    m_implementation->m_acceptTimer.cancel();
    m_implementation->m_state->m_sessions.clear();
}

void HttpServer::addRoute(std::string_view method, std::string_view pathPrefix, HttpHandler handler)
{
    std::vector<HttpRoute> &routes = m_implementation->m_state->m_routes;
    routes.push_back(HttpRoute{std::string(method), std::string(pathPrefix), std::move(handler)});
    std::stable_sort(routes.begin(), routes.end(),
                     [](const HttpRoute &left, const HttpRoute &right) {
                         return left.m_prefix.size() > right.m_prefix.size();
                     });
}

void HttpServer::setFallback(HttpHandler handler)
{
    m_implementation->m_state->m_fallback = std::move(handler);
}

void HttpServer::setDisconnectHandler(std::function<void(std::uint64_t exchange)> handler)
{
    m_implementation->m_state->m_disconnectHandler = std::move(handler);
}

error_code HttpServer::listen(std::string_view address, std::uint16_t port)
{
    error_code error;
    Tcp::acceptor &acceptor = m_implementation->m_acceptor;
    const Tcp::endpoint endpoint(asio::ip::make_address(std::string(address), error), port);
    if (error) {
        return error;
    }
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        error_code ignored;
        acceptor.close(ignored);
        return error;
    }
    m_implementation->accept();
    m_implementation->sweep();
    return error;
}

std::uint16_t HttpServer::port() const
{
    error_code ignored;
    return m_implementation->m_acceptor.local_endpoint(ignored).port();
}

void HttpServer::setBodyLimit(std::uint32_t bytes)
{
    m_implementation->m_state->m_options.m_bodyLimitBytes = bytes;
}

void HttpServer::setOptions(const HttpServerOptions &options)
{
    m_implementation->m_state->m_options = options;
}

void HttpServer::announceClose()
{
    m_implementation->m_state->m_announceClose = true;
}

void HttpServer::stopAccepting()
{
    // Closing the acceptor would reset the connections that are not accepted yet.
    m_implementation->acceptWaiting();
    error_code ignored;
    m_implementation->m_acceptor.close(ignored);
    m_implementation->m_acceptTimer.cancel();
    m_implementation->m_state->m_stopping = true;
    for (const std::shared_ptr<HttpSession> &session : m_implementation->sessions()) {
        session->endIdle();
    }
}

std::size_t HttpServer::requestsInFlight() const
{
    const std::unordered_set<std::shared_ptr<HttpSession>> &sessions =
        m_implementation->m_state->m_sessions;
    return static_cast<std::size_t>(std::count_if(
        sessions.begin(), sessions.end(),
        [](const std::shared_ptr<HttpSession> &session) { return session->isBusy(); }));
}

HttpConnectionCounts HttpServer::connectionCounts() const
{
    HttpConnectionCounts counts;
    for (const std::shared_ptr<HttpSession> &session : m_implementation->m_state->m_sessions) {
        session->count(counts);
    }
    return counts;
}

HttpServerStatistics HttpServer::statistics() const
{
    return m_implementation->m_state->m_statistics;
}

} // namespace arbutusgrade
