#include "details/httpsession.h"

#include "details/socketoptions.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace arbutusgrade {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// A rejected request may still be arriving; closing with unread bytes would reset the connection
// before the peer has read the response. These limits bound how long that is waited for.
constexpr Duration drainTimeout{1'000'000};
constexpr std::size_t drainLimitBytes = 4 * 1024 * 1024;

std::string errorBody(std::string_view message)
{
    return boost::json::serialize(boost::json::object{{"error", message}});
}

const HttpRoute *findRoute(const std::vector<HttpRoute> &routes, std::string_view method,
                           std::string_view path, bool &pathKnown)
{
    for (const HttpRoute &route : routes) {
        const std::string_view prefix = route.m_prefix;
        const bool matches =
            path.substr(0, prefix.size()) == prefix
            && (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
        if (!matches) {
            continue;
        }
        pathKnown = true;
        if (route.m_method == method) {
            return &route;
        }
    }
    return nullptr;
}

//! @brief IP address of the peer; one that is mapped into IPv6 is returned as IPv4.
std::string peerAddress(const Tcp::socket &socket)
{
    error_code error;
    const asio::ip::address address = socket.remote_endpoint(error).address();
    if (error) {
        return {};
    }
    if (address.is_v6() && address.to_v6().is_v4_mapped()) {
        return asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6()).to_string();
    }
    return address.to_string();
}

} // namespace

HttpSession::HttpSession(Tcp::socket socket, std::weak_ptr<HttpServerState> state)
    : m_socket(std::move(socket)), m_state(std::move(state))
{
}

template <typename Step> void HttpSession::runGuarded(const Step &step)
{
    try {
        step();
    } catch (const std::exception &) {
        if (const std::shared_ptr<HttpServerState> state = m_state.lock()) {
            ++state->m_statistics.m_hop.m_exceptions;
        }
        close();
    }
}

void HttpSession::start()
{
    error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    if (const std::shared_ptr<HttpServerState> state = m_state.lock()) {
        details::setPeerTimeout(m_socket, state->m_options.m_peerTimeout);
    }
    m_roundTrip = details::roundTrip(m_socket);
    m_peerAddress = peerAddress(m_socket);
    waitForRequest();
}

void HttpSession::refuse()
{
    reject(503, "too many connections");
}

void HttpSession::checkDeadline(TimePoint now)
{
    if (m_phase == Phase::Idle) {
        checkIdleTime(now);
        return;
    }
    if (now < m_deadline) {
        return;
    }
    if (m_phase == Phase::Reading) {
        // The pending read ends with an error and is answered with 408.
        m_timedOut = true;
        m_deadline = farFuture;
        error_code ignored;
        m_socket.cancel(ignored);
        return;
    }
    close();
}

void HttpSession::checkIdleTime(TimePoint now)
{
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    // The timeout in force may have changed since the connection began to wait.
    if (!state || now >= m_idleSince + state->m_options.m_idleTimeout) {
        endIdle();
    }
}

void HttpSession::endIdle()
{
    if (m_phase != Phase::Idle) {
        return;
    }
    if (hasUnreadRequest()) {
        startReading();
    } else {
        close();
    }
}

void HttpSession::count(HttpConnectionCounts &counts) const
{
    switch (m_phase) {
    case Phase::Idle:
        ++counts.m_idle;
        break;
    case Phase::Reading:
        ++counts.m_reading;
        break;
    case Phase::Handling:
        ++counts.m_handling;
        break;
    case Phase::Writing:
        ++counts.m_writing;
        break;
    case Phase::Draining:
        ++counts.m_draining;
        break;
    case Phase::Closed:
        break;
    }
}

bool HttpSession::hasUnreadRequest()
{
    error_code ignored;
    return m_buffer.size() > 0 || m_socket.available(ignored) > 0;
}

void HttpSession::waitForRequest()
{
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    if (!state || (state->m_stopping && !hasUnreadRequest())) {
        close();
        return;
    }
    m_phase = Phase::Idle;
    m_idleSince = steadyNow();
    if (m_buffer.size() > 0) {
        startReading();
        return;
    }
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (self->m_phase != Phase::Idle) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->runGuarded([&self] { self->startReading(); });
    });
}

void HttpSession::applySizeLimits(const HttpServerOptions &options)
{
    m_parser->setLimits(options.m_headerLimitBytes, options.m_bodyLimitBytes);
    // The parser has no limit of its own for the framing of chunks and for trailers.
    m_buffer.max_size(std::max<std::size_t>(m_buffer.size(), options.m_framingLimitBytes)
                      + options.m_headerLimitBytes + options.m_bodyLimitBytes);
}

void HttpSession::startReading()
{
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    if (!state) {
        close();
        return;
    }
    m_phase = Phase::Reading;
    m_request = HttpRequest{};
    m_parser.emplace(m_request);
    m_timedOut = false;
    // Limits are those in force when a request begins, however long its connection has waited.
    applySizeLimits(state->m_options);
    m_deadline = steadyNow() + state->m_options.m_readTimeout;
    http::async_read_header(m_socket, m_buffer, *m_parser,
                            [self = shared_from_this()](error_code error, std::size_t bytes) {
                                if (const std::shared_ptr<HttpServerState> server =
                                        self->m_state.lock()) {
                                    server->m_statistics.m_hop.m_bytesIn += bytes;
                                }
                                self->runGuarded([&] { self->handleHeader(error); });
                            });
}

void HttpSession::handleHeader(error_code error)
{
    if (error || m_timedOut) {
        rejectRead(error);
        return;
    }
    if (m_request.header("expect") == "100-continue") {
        // The socket buffer of a connection without pending output takes these few bytes at once.
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored;
        m_socket.write_some(asio::buffer(proceed.data(), proceed.size()), ignored);
    }
    readBody();
}

void HttpSession::readBody()
{
    if (const std::shared_ptr<HttpServerState> state = m_state.lock()) {
        m_deadline = steadyNow() + state->m_options.m_readTimeout;
    }
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code error, std::size_t bytes) {
                         if (const std::shared_ptr<HttpServerState> server = self->m_state.lock()) {
                             server->m_statistics.m_hop.m_bytesIn += bytes;
                         }
                         self->runGuarded([&] { self->handleBody(error); });
                     });
}

void HttpSession::handleBody(error_code error)
{
    if (error || m_timedOut) {
        rejectRead(error);
        return;
    }
    dispatch();
}

void HttpSession::dispatch()
{
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    if (!state) {
        close();
        return;
    }
    m_phase = Phase::Handling;
    m_deadline = farFuture;
    ++state->m_statistics.m_hop.m_messages;
    m_keepAlive = m_parser->keep_alive();
    const std::uint64_t exchange = ++state->m_lastExchange;
    m_request.m_exchange = exchange;
    m_request.m_roundTrip = m_roundTrip;
    m_request.m_peerAddress = m_peerAddress;
    m_request.m_isFirst = m_requestNumber == 0;
    const std::uint64_t number = ++m_requestNumber;
    const HttpResponder responder = [weak = weak_from_this(), number](HttpResponse response) {
        if (const std::shared_ptr<HttpSession> self = weak.lock()) {
            self->runGuarded([&] { self->respond(number, std::move(response)); });
        }
    };
    bool pathKnown = false;
    const HttpRoute *route =
        findRoute(state->m_routes, m_request.m_method, m_request.m_path, pathKnown);
    if (route == nullptr && state->m_fallback) {
        if (state->m_disconnectHandler) {
            watchForDisconnect(exchange);
        }
        state->m_fallback(m_request, responder);
        return;
    }
    if (route == nullptr) {
        responder(HttpResponse{pathKnown ? 405 : 404,
                               errorBody(pathKnown ? "method not allowed" : "no such path"),
                               "application/json",
                               {}});
        return;
    }
    route->m_handler(m_request, responder);
}

void HttpSession::watchForDisconnect(std::uint64_t exchange)
{
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this(), exchange](error_code error) {
                            if (!error) {
                                self->runGuarded([&] { self->handleEarlyRead(exchange); });
                            }
                        });
}

void HttpSession::handleEarlyRead(std::uint64_t exchange)
{
    if (m_phase != Phase::Handling || m_request.m_exchange != exchange) {
        return;
    }
    char byte = 0;
    error_code error;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    if (!error || error == asio::error::would_block) {
        // Data is the next request of a caller that does not wait for responses.
        return;
    }
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    close();
    if (state && state->m_disconnectHandler) {
        state->m_disconnectHandler(exchange);
    }
}

void HttpSession::rejectRead(error_code error)
{
    const bool protocolError =
        error.category() == make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream;
    if (m_timedOut) {
        reject(408, "the request did not arrive in time");
    } else if (error == http::error::body_limit) {
        reject(413, "the body is larger than allowed");
    } else if (error == http::error::header_limit) {
        reject(431, "the header is larger than allowed");
    } else if (protocolError) {
        reject(400, "the request is truncated or malformed: " + error.message());
    } else {
        close();
    }
}

void HttpSession::reject(int status, std::string_view message)
{
    if (const std::shared_ptr<HttpServerState> state = m_state.lock()) {
        ++state->m_statistics.m_rejectedRequests;
    }
    ++m_requestNumber;
    write(HttpResponse{status, errorBody(message), "application/json", {}}, false);
}

void HttpSession::respond(std::uint64_t request, HttpResponse response)
{
    if (request != m_requestNumber || m_phase != Phase::Handling) {
        return;
    }
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    const bool isEnding = !state || state->m_announceClose || state->m_stopping;
    // Requests that a caller has sent ahead are answered before the connection is closed.
    const bool keepAlive = m_keepAlive && (!isEnding || hasUnreadRequest());
    write(std::move(response), keepAlive);
}

void HttpSession::write(HttpResponse response, bool keepAlive)
{
    m_phase = Phase::Writing;
    const std::shared_ptr<HttpServerState> state = m_state.lock();
    m_deadline = state ? steadyNow() + state->m_options.m_writeTimeout : farFuture;
    m_response.emplace(static_cast<http::status>(response.m_status), 11);
    if (!response.m_contentType.empty()) {
        m_response->set(http::field::content_type, response.m_contentType);
    }
    for (const std::pair<std::string, std::string> &header : response.m_headers) {
        m_response->insert(header.first, header.second);
    }
    m_response->keep_alive(keepAlive);
    m_response->body() = std::move(response.m_body);
    m_responseMemory = std::move(response.m_memory);
    m_response->prepare_payload();
    if (m_request.m_method == "HEAD") {
        // The caller would take a body for the beginning of the next response.
        m_response->body().clear();
    }
    http::async_write(m_socket, *m_response,
                      [self = shared_from_this()](error_code error, std::size_t bytes) {
                          self->runGuarded([&] { self->handleWritten(error, bytes); });
                      });
}

void HttpSession::handleWritten(error_code error, std::size_t bytes)
{
    if (const std::shared_ptr<HttpServerState> state = m_state.lock()) {
        state->m_statistics.m_hop.m_bytesOut += bytes;
    }
    if (error || m_phase != Phase::Writing) {
        close();
        return;
    }
    m_responseMemory.reset();
    if (m_response->keep_alive()) {
        waitForRequest();
        return;
    }
    error_code ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_phase = Phase::Draining;
    m_deadline = steadyNow() + drainTimeout;
    m_buffer.clear();
    drain();
}

void HttpSession::drain()
{
    m_socket.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](
                                                         error_code error, std::size_t bytes) {
        self->m_drainedBytes += bytes;
        if (error || self->m_phase != Phase::Draining || self->m_drainedBytes > drainLimitBytes) {
            self->close();
            return;
        }
        self->drain();
    });
}

void HttpSession::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    const bool hasUnreadBytes = m_phase == Phase::Idle && hasUnreadRequest();
    m_phase = Phase::Closed;
    m_deadline = farFuture;
    m_responseMemory.reset();
    error_code ignored;
    m_socket.close(ignored);
    if (const std::shared_ptr<HttpServerState> state = m_state.lock()) {
        state->m_statistics.m_closedWithUnreadBytes += hasUnreadBytes ? 1 : 0;
        state->m_sessions.erase(shared_from_this());
        state->m_statistics.m_connections = state->m_sessions.size();
    }
}

} // namespace arbutusgrade
