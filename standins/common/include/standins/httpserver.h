#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

//! @brief HTTP server of the stand-ins. Independent of libs/transport, so that a fault there cannot
//! hide on both sides of a connection.
namespace arbutusgrade::standins {

struct HttpRequest
{
    std::string m_method;
    std::string m_path; //!< Percent-decoded, without the query.
    std::map<std::string, std::string, std::less<>> m_parameters;
    std::string m_body;
};

//! @brief What happens on the connection once the response is known.
enum class ReplyMode {
    Once,
    Twice, //!< The response is written two times.
    Close, //!< The connection is closed without a byte of the response.
};

struct HttpResponse
{
    unsigned m_status = 200;
    std::string m_body;
    ReplyMode m_mode = ReplyMode::Once;
    std::vector<std::pair<std::string, std::string>> m_headers{};
};

//! @brief Completes a request; may be called at once, later or never, from the server's thread.
using Responder = std::function<void(const HttpResponse &)>;
using HttpHandler = std::function<void(const HttpRequest &, const Responder &)>;

//! @brief Keep-alive HTTP/1.1 server on 127.0.0.1. Not thread-safe: all calls come from the thread
//! that runs the io_context.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! @brief Starts to accept; 0 chooses a free port.
    //! @return the port. Throws boost::system::system_error if the port is taken.
    std::uint16_t listen(std::uint16_t port);

    //! @brief Stops to accept and closes all connections; listen may be called again.
    void close();

    //! @brief Connections beyond the limit are closed at once; 0 sets no limit.
    void setConnectionLimit(std::size_t limit);

    //! @brief Time for which the first request of each new connection is not read.
    void setConnectTime(std::chrono::microseconds time);

    std::size_t openConnections() const;
    std::size_t maximumConnections() const; //!< Highest number of connections held at a time.
    std::uint64_t refusedConnections() const;

private:
    struct State;
    class Connection;
    std::shared_ptr<State> m_state;
};

//! @brief Value of a query parameter, or the fallback if it is absent or not a number.
std::int64_t numberParameter(const HttpRequest &request, std::string_view name,
                             std::int64_t fallback);

} // namespace arbutusgrade::standins
