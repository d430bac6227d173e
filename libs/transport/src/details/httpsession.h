#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "details/requestparser.h"
#include "transport/transport.h"

namespace arbutusgrade {

using Tcp = asio::ip::tcp;

class HttpSession;

struct HttpRoute
{
    std::string m_method;
    std::string m_prefix;
    HttpHandler m_handler;
};

//! @brief State that the server shares with its sessions.
struct HttpServerState
{
    HttpServerOptions m_options;
    HttpServerStatistics m_statistics;
    std::vector<HttpRoute> m_routes; //!< Longest prefix first.
    HttpHandler m_fallback;          //!< For requests that no route matches; may be empty.
    std::function<void(std::uint64_t exchange)> m_disconnectHandler; //!< May be empty.
    std::uint64_t m_lastExchange = 0;
    std::unordered_set<std::shared_ptr<HttpSession>> m_sessions;
    bool m_announceClose = false;
    bool m_stopping = false;
};

//! @brief Server side of one connection: reads a request, has it handled, writes the response.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(Tcp::socket socket, std::weak_ptr<HttpServerState> state);

    //! @brief Waits for the first request.
    void start();

    //! @brief Answers with 503 and closes, as the server has too many connections.
    void refuse();

    //! @brief Ends a request that took too long to read, or a peer that does not read or is idle.
    void checkDeadline(TimePoint now);

    //! @brief Closes the connection if no request is in progress and none has arrived unread.
    void endIdle();

    //! @brief Adds this connection to the counts.
    void count(HttpConnectionCounts &counts) const;

    bool isBusy() const
    {
        return m_phase != Phase::Idle && m_phase != Phase::Draining;
    }

private:
    enum class Phase { Idle, Reading, Handling, Writing, Draining, Closed };

    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    //! @brief Runs a completed operation; an exception in it ends this connection only.
    template <typename Step> void runGuarded(const Step &step);

    bool hasUnreadRequest();
    void checkIdleTime(TimePoint now);
    void applySizeLimits(const HttpServerOptions &options);
    void waitForRequest();
    void startReading();
    void handleHeader(boost::system::error_code error);
    void readBody();
    void handleBody(boost::system::error_code error);
    void dispatch();
    void watchForDisconnect(std::uint64_t exchange);
    void handleEarlyRead(std::uint64_t exchange);
    void rejectRead(boost::system::error_code error);
    void reject(int status, std::string_view message);
    void respond(std::uint64_t request, HttpResponse response);
    void write(HttpResponse response, bool keepAlive);
    void handleWritten(boost::system::error_code error, std::size_t bytes);
    void drain();
    void close();

    Tcp::socket m_socket;
    std::weak_ptr<HttpServerState> m_state;
    boost::beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::optional<RequestParser> m_parser; //!< Writes into the request.
    std::optional<Response> m_response;
    ReplyMemory m_responseMemory; //!< Until the response has been written.
    Phase m_phase = Phase::Idle;
    TimePoint m_deadline = farFuture; //!< Of all phases but the idle one.
    TimePoint m_idleSince;            //!< In the idle phase.
    std::uint64_t m_requestNumber = 0;
    //! Measured during the handshake: later measurements include delayed acknowledgements.
    std::optional<Duration> m_roundTrip;
    std::string m_peerAddress;
    std::size_t m_drainedBytes = 0;
    bool m_timedOut = false;
    bool m_keepAlive = false;
};

} // namespace arbutusgrade
