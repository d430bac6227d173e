#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include "query/query.h"

//! @brief Sockets of a node: HTTP server for callers, clients for targets and for the store.
//!
//! All objects are used from the thread that runs the io_context. No function blocks, and no
//! callback runs inside the call that it belongs to.
namespace arbutusgrade {

namespace asio = boost::asio;

//! @brief Time of the steady clock in the unit that the cores use.
TimePoint steadyNow() noexcept;

//! @brief Runs handlers until the context is stopped or has no work left.
//!
//! An exception that leaves a handler ends that handler only, so that no peer can end the process.
//! @param report takes each such exception.
void runContext(asio::io_context &context,
                const std::function<void(const std::exception &)> &report);

//! @brief Bytes and messages of one side of a hop, since start.
struct HopStatistics
{
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytesIn = 0;
    std::uint64_t m_bytesOut = 0;
    std::size_t m_bufferedBytes = 0; //!< Now, of replies that are not complete.
    //! Exceptions while a message was read or handled. Each ended its own connection only.
    std::uint64_t m_exceptions = 0;
};

//! @brief Keeps bytes that a peer has sent counted in the budget of their client; held by whoever
//! keeps them. Null for replies that are too small to be counted.
using ReplyMemory = std::shared_ptr<const void>;

struct ReplyBudget;

//! @brief Creates a limit on the bytes of all replies that one or several clients keep at a time.
std::shared_ptr<ReplyBudget> makeReplyBudget(std::size_t limitBytes);

// HTTP server ------------------------------------------------------------------------------------

//! @brief A request whose headers and body have arrived completely.
struct HttpRequest
{
    std::string m_method;
    std::string m_target; //!< As it came, with the query part.
    std::string m_path;   //!< Without the query part, not percent-decoded.
    std::string m_query;  //!< After the question mark; empty if there is none.
    HttpHeaders m_headers;
    std::string m_body;
    std::uint64_t m_exchange = 0; //!< Names the exchange to the disconnect handler; never reused.
    //! Of the connection, measured by the system during its handshake; empty if it is not known.
    std::optional<Duration> m_roundTrip;
    bool m_isFirst = false;    //!< The first request on its connection.
    std::string m_peerAddress; //!< IP address of the caller; empty if it is not known.

    //! @brief Value of a header, compared without regard to case; empty if it is absent.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    int m_status = 200;
    std::string m_body;
    std::string m_contentType = "application/json"; //!< Empty for none of its own.
    HttpHeaders m_headers;
    ReplyMemory m_memory = nullptr; //!< Of the body, until the response has been written.
};

//! @brief Answers one request; may be kept and called later. Calls after the first have no effect,
//! and neither has a call after the caller disconnected.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, const HttpResponder &)>;

struct HttpServerOptions
{
    std::uint32_t m_headerLimitBytes = 16 * 1024; //!< With the request line; as much for trailers.
    std::uint32_t m_bodyLimitBytes = 1024 * 1024;
    //! For the framing of a request and for the requests that a caller sends ahead.
    std::uint32_t m_framingLimitBytes = 64 * 1024;
    Duration m_readTimeout{5'000'000};    //!< From the first byte of a request to its last.
    Duration m_writeTimeout{30'000'000};  //!< For a peer that does not read its response.
    Duration m_idleTimeout{75'000'000};   //!< Between requests of one connection.
    std::size_t m_connectionLimit = 4096; //!< Further connections are answered with 503.
    //! Unacknowledged bytes end a connection after this time; zero leaves it to the system.
    std::chrono::milliseconds m_peerTimeout{0};
};

struct HttpServerStatistics
{
    HopStatistics m_hop;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_rejectedRequests = 0; //!< Malformed, oversized, slow or truncated.
    std::size_t m_connections = 0;        //!< Open now.
    //! Idle connections that the server closed although bytes had arrived that it had not read.
    std::uint64_t m_closedWithUnreadBytes = 0;
};

//! @brief Open connections of a server by what they are doing.
struct HttpConnectionCounts
{
    std::size_t m_idle = 0;
    std::size_t m_reading = 0;  //!< A request has arrived in part.
    std::size_t m_handling = 0; //!< A request was read and has no response yet.
    std::size_t m_writing = 0;
    std::size_t m_draining = 0; //!< The last response was sent; the peer has not closed yet.
};

//! @brief HTTP/1.1 server with a table of routes.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, const HttpServerOptions &options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! @brief Serves a method and all paths with the prefix; the longest prefix wins.
    //!
    //! A prefix that does not end in '/' matches only whole path segments.
    void addRoute(std::string_view method, std::string_view pathPrefix, HttpHandler handler);

    //! @brief Handles the requests that no route matches, with any method and path.
    void setFallback(HttpHandler handler);

    //! @brief Called with the exchange of a request that is being handled when its caller closes
    //! the connection. Without a handler, callers that left are noticed only by the write.
    void setDisconnectHandler(std::function<void(std::uint64_t exchange)> handler);

    //! @brief Starts accepting; port 0 picks a free one.
    boost::system::error_code listen(std::string_view address, std::uint16_t port);

    //! @brief Port in use; 0 before listen.
    std::uint16_t port() const;

    //! @brief Applies to requests that start later.
    void setBodyLimit(std::uint32_t bytes);

    //! @brief Replaces limits and timeouts. They apply to requests that start later, also on
    //! connections that are waiting, and to the time that these have waited.
    void setOptions(const HttpServerOptions &options);

    //! @brief Makes responses close their connection from now on, so that callers move elsewhere.
    void announceClose();

    //! @brief Stops accepting and closes idle connections; requests in flight are still answered.
    void stopAccepting();

    //! @brief Number of requests that are read, handled or being answered.
    std::size_t requestsInFlight() const;

    HttpConnectionCounts connectionCounts() const;
    HttpServerStatistics statistics() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

// HTTP client ------------------------------------------------------------------------------------

class ClientConnection;

//! @brief A response as the clients read it.
struct ReplyContent
{
    int m_status = 0;
    std::string m_body;
    HttpHeaders m_headers; //!< Only where the exchange asked for them.
    ReplyMemory m_memory = nullptr;

    //! @brief Value of a header, compared without regard to case; empty if it is absent.
    std::string_view header(std::string_view name) const;
};

//! @brief What is special about one exchange.
struct ExchangeOptions
{
    bool m_keepHeaders = false;
    bool m_expectNoBody = false; //!< The request is a HEAD, whose response has no body.
};

//! @brief HTTP/1.1 client for calls that are few: a small pool to one address, with a timeout for
//! each call. Calls that find no free connection wait in order.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    struct Call
    {
        std::string m_method;
        std::string m_path;
        std::string m_body;
        TimePoint m_deadline;
        std::string m_contentType = "application/octet-stream";
        //! Hands over a reply that is too large or no HTTP, as one with status 0.
        bool m_reportUnreadable = false;
        bool m_keepHeaders = false; //!< The reply has its headers.
    };

    //! @brief Takes the reply, or null if there was none in time.
    using Handler = std::function<void(const ReplyContent *reply)>;

    HttpClient(asio::io_context &context, HopStatistics &hop, int connections);

    //! @brief Applies to connections opened later.
    void setEndpoint(const std::string &address, std::uint16_t port);

    //! @brief Ends connections whose peer has not acknowledged for this long.
    void setPeerTimeout(std::chrono::milliseconds timeout);

    //! @brief Limits replies; applies to connections opened later. A reply beyond a limit counts as
    //! unreadable.
    //! @param replyBytes largest reply, with its head and framing.
    //! @param budget for the replies of all clients that share it.
    void setReplyLimits(std::uint64_t replyBytes, std::shared_ptr<ReplyBudget> budget);

    void call(Call call, Handler handler);

    //! @brief Ends the calls that are waiting or in flight without calling their handlers.
    void stop();

private:
    struct Pending
    {
        Call m_call;
        Handler m_handler;
        std::shared_ptr<ClientConnection> m_connection; //!< Null while it waits.
    };
    using PendingPointer = std::shared_ptr<Pending>;

    void pump();
    void connect(const PendingPointer &pending);
    void exchange(const PendingPointer &pending);
    void finish(const PendingPointer &pending, const ReplyContent *reply);
    void handOver(const PendingPointer &pending, const ReplyContent *reply);
    void armTimer();
    void expire();

    asio::io_context &m_context;
    HopStatistics &m_hop;
    int m_limit;
    std::string m_host;
    asio::ip::tcp::endpoint m_endpoint;
    std::chrono::milliseconds m_peerTimeout{0};
    std::uint64_t m_replyLimit;
    std::shared_ptr<ReplyBudget> m_budget;
    asio::steady_timer m_timer;
    std::vector<std::shared_ptr<ClientConnection>> m_idle;
    std::vector<PendingPointer> m_active;
    std::deque<PendingPointer> m_waiting;
};

// Client for forwarded requests ------------------------------------------------------------------

using ForwardHandler = std::function<void(ForwardEnd end, const ReplyContent &reply)>;

struct ForwardClientOptions
{
    Duration m_connectTimeout{400'000};
    //! A connection idle for longer is not used again, unless the target states its own limit.
    Duration m_idleLimit{8'000'000};
    //! Requests that must not run twice use a kept connection only within this idle time, since a
    //! target that has closed it leaves open whether it ran the request.
    Duration m_freshIdleLimit{700'000};
    std::chrono::milliseconds m_peerTimeout{1500};
    std::uint32_t m_replyLimitBytes = 4 * 1024 * 1024; //!< With head and framing.
    //! For all replies together that are being read or whose content is in use. Above it, the
    //! largest one that is being read is given up.
    std::size_t m_bufferedLimitBytes = 24 * 1024 * 1024;
};

struct ForwardClientStatistics
{
    HopStatistics m_hop;
    std::uint64_t m_opened = 0;
    std::uint64_t m_connectFailures = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_givenUpReplies = 0; //!< As all replies together took too much memory.
    std::size_t m_heldBytes = 0;        //!< Now, of replies that count in the limit for all.
};

//! @brief One attempt to forward a request to a target.
struct ForwardAttempt
{
    std::uint64_t m_attempt = 0; //!< Unique; never reused.
    std::string m_target;        //!< Attempts with the same text share connections.
    asio::ip::tcp::endpoint m_endpoint;
    std::string_view m_text;  //!< Head and body; not used after the call.
    bool m_idempotent = true; //!< False: uses no kept connection on which bytes wait.
    bool m_expectNoBody = false;
    bool m_needsNewConnection = false; //!< Replaces a kept connection instead of using it.
};

//! @brief Connections to targets for requests that are passed through; one exchange at a time on
//! each. How many there may be is decided by whoever sends attempts.
class ForwardClient
{
public:
    ForwardClient(asio::io_context &context, const ForwardClientOptions &options);
    ~ForwardClient();
    ForwardClient(const ForwardClient &) = delete;
    ForwardClient &operator=(const ForwardClient &) = delete;

    //! @brief Sends an attempt; the handler is called once, unless the attempt is abandoned.
    void send(const ForwardAttempt &attempt, ForwardHandler handler);

    //! @brief Opens a connection and keeps it for later attempts.
    void probe(const std::string &target, const asio::ip::tcp::endpoint &endpoint,
               std::function<void(bool connected)> handler);

    //! @brief Closes the connection of an attempt in flight; its handler is not called.
    void abandon(std::uint64_t attempt);

    //! @brief Returns whether an attempt in flight has a connection on which its request is being
    //! or has been written.
    bool isSent(std::uint64_t attempt) const;

    //! @brief Closes the idle connections to all targets, for example after a suspension.
    void dropIdle();

    const ForwardClientStatistics &statistics() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

// Client for targets -----------------------------------------------------------------------------

//! @brief Address of a target and the connections that this node may have to it.
struct TargetEndpoint
{
    std::string m_name;
    std::string m_address; //!< IP number.
    std::uint16_t m_port = 0;
    int m_connectionCap = 0;
};

struct TargetClientOptions
{
    Duration m_connectTimeout{1'000'000};
    //! A cancelled attempt holds its connection this long; the request path counts on less than
    //! 200 ms before it gives the place to another attempt.
    Duration m_cancelLinger{150'000};
    Duration m_probeTimeout{1'000'000};
    std::uint32_t m_replyLimitBytes = 16 * 1024 * 1024;
    std::size_t m_bufferedLimitBytes = 64 * 1024 * 1024; //!< For all replies together.
};

struct TargetClientStatistics
{
    HopStatistics m_hop;
    std::uint64_t m_opened = 0;
    std::uint64_t m_connectFailures = 0;
    std::uint64_t m_cancels = 0;    //!< Cancel messages sent.
    std::uint64_t m_mismatches = 0; //!< Replies that echoed other identifiers.
    std::size_t m_connections = 0;  //!< Open or being opened now.
    std::size_t m_waiting = 0;      //!< Attempts that wait for a connection now.
};

//! @brief Where the results of attempts go.
struct TargetClientEvents
{
    std::function<void(std::string_view target, const AttemptReply &reply)> m_reply;
    std::function<void(AttemptId attempt, AttemptFailure failure)> m_failure;
};

//! @brief Answer of a probe: the observation with what the target said of itself.
using ProbeHandler = std::function<void(const TargetObservation &)>;

//! @brief Pools of HTTP/1.1 connections to targets, within a connection cap for each target.
//!
//! Every attempt ends in exactly one event, unless it was cancelled.
class TargetClient
{
public:
    TargetClient(asio::io_context &context, const TargetClientOptions &options,
                 TargetClientEvents events, InvariantCounters &invariants);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    //! @brief Replaces the targets. Pools whose address stays are kept; attempts in flight to
    //! targets that are gone end normally.
    void setTargets(std::span<const TargetEndpoint> targets);

    //! @brief Sends an attempt on a pooled connection, or when one becomes free.
    void send(const SendAttempt &attempt);

    //! @brief Drops an attempt that waits; tells the target if it was sent and another connection
    //! is free.
    void cancel(const CancelAttempt &cancel);

    //! @brief Asks GET /v1/health on a free connection within the cap.
    //! @return false if there is none. Then the handler is not called, and neither is it if an
    //! attempt takes the connection first.
    bool probe(std::string_view target, ProbeHandler handler);

    TargetClientStatistics statistics() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

// Client for the store ---------------------------------------------------------------------------

struct StoreClientOptions
{
    std::string m_address; //!< IP number.
    std::uint16_t m_port = 0;
    Duration m_timeout{2'000'000};
    int m_connections = 4;
};

//! @brief A VM in the platform's list.
struct VmEntry
{
    std::string m_name;
    std::string m_dataCentre;
    bool m_leaving = false;
};

using StoreHandler = std::function<void(const StoreReply &)>;
using VmListHandler = std::function<void(const std::optional<std::vector<VmEntry>> &)>;

struct StoreClientStatistics
{
    HopStatistics m_hop;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_leases = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_vmLists = 0;
    std::uint64_t m_unavailable = 0;        //!< Calls that ended without an answer.
    std::optional<TimePoint> m_lastContact; //!< Last answer of the store itself.
};

//! @brief Calls of the platform's key-value service and VM list.
class StoreClient
{
public:
    StoreClient(asio::io_context &context, const StoreClientOptions &options);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    //! @brief Applies to calls that start later.
    void setOptions(const StoreClientOptions &options);

    //! @brief Performs a call of the core. A leased key is attached to the claim lease, which is
    //! created first when there is none; a failure of that gives Unavailable.
    void call(const CallStore &call, StoreHandler handler);

    //! @brief Waits until the key has a revision above the given one. NotFound if it did not
    //! change in time or does not exist.
    void watch(std::string_view key, std::int64_t afterRevision, std::chrono::seconds wait,
               StoreHandler handler);

    void listVms(VmListHandler handler);

    const StoreClientStatistics &statistics() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

// Encodings --------------------------------------------------------------------------------------

//! @brief Writes a text so that it can stand in the path or the query of a URL; '/' is kept.
std::string percentEncode(std::string_view text);

//! @brief Base64 of the standard alphabet with padding.
std::string encodeBase64(std::string_view bytes);

//! @brief Returns nothing for a text that is not wholly base64 with padding.
std::optional<std::string> decodeBase64(std::string_view text);

// JSON text --------------------------------------------------------------------------------------

//! @brief A member of a JSON object as views into its text.
struct JsonMember
{
    std::string_view m_key;   //!< With quotes and escapes.
    std::string_view m_value; //!< With quotes, braces or brackets.
};

//! @brief Splits the text of an object, which a parser has accepted, into its direct members.
//!
//! Keeps opaque values as they are, and shows duplicate keys, which a parsed object hides.
std::vector<JsonMember> splitJsonObject(std::string_view text);

//! @brief Text of the last direct member with the key, written without escapes; empty if absent.
//! The text is that of an object which a parser has accepted.
std::string_view findJsonMember(std::string_view text, std::string_view key);

} // namespace arbutusgrade
