#include "standins/httpserver.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>

namespace arbutusgrade::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t bodyLimitBytes = 4U * 1024U * 1024U;

using Parser = http::request_parser<http::string_body>;
using Message = http::response<http::string_body>;

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    const boost::urls::result<boost::urls::url_view> url =
        boost::urls::parse_origin_form(message.target());
    if (url) {
        request.m_path = url->path();
        for (const boost::urls::param &parameter : url->params()) {
            request.m_parameters[parameter.key] = parameter.value;
        }
    }
    request.m_body = std::move(message.body());
    return request;
}

} // namespace

struct HttpServer::State
{
    State(asio::io_context &context, HttpHandler handler)
        : m_context(context), m_handler(std::move(handler)), m_acceptor(context)
    {
    }

    asio::io_context &m_context;
    HttpHandler m_handler;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_connectionLimit = 0;
    std::chrono::microseconds m_connectTime{0};
    std::size_t m_maximumConnections = 0;
    std::uint64_t m_refusedConnections = 0;
};

class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    Connection(tcp::socket socket, std::weak_ptr<State> state)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_state(std::move(state))
    {
    }

    void start(std::chrono::microseconds connectTime)
    {
        if (connectTime.count() == 0) {
            read();
            return;
        }
        m_timer.expires_after(connectTime);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->read();
            }
        });
    }

    void close()
    {
        error_code ignored;
        m_timer.cancel(ignored);
        m_socket.close(ignored);
        const std::shared_ptr<State> state = m_state.lock();
        if (state) {
            state->m_connections.erase(shared_from_this());
        }
    }

private:
    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(bodyLimitBytes);
        http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             self->handle();
                         });
    }

    void handle()
    {
        const std::shared_ptr<State> state = m_state.lock();
        if (!state) {
            return;
        }
        ++m_requestNumber;
        m_answered = false;
        http::request<http::string_body> message = m_parser->release();
        m_keepAlive = message.keep_alive();
        const Responder responder = [weak = weak_from_this(),
                                     number = m_requestNumber](const HttpResponse &response) {
            const std::shared_ptr<Connection> self = weak.lock();
            if (self && self->m_requestNumber == number && !self->m_answered) {
                self->respond(response);
            }
        };
        state->m_handler(toRequest(std::move(message)), responder);
        if (!m_answered && m_socket.is_open()) {
            watchForEnd();
        }
    }

    // While a request is in work nothing is read, so the end of the connection would go unseen and
    // the connection would count against the limit until the reply is written.
    void watchForEnd()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                                     number = m_requestNumber](error_code error) {
            if (error || self->m_answered || self->m_requestNumber != number) {
                return;
            }
            error_code failure;
            if (self->m_socket.available(failure) == 0 || failure) {
                self->close();
            }
        });
    }

    void respond(const HttpResponse &response)
    {
        m_answered = true;
        if (!m_socket.is_open()) {
            return;
        }
        if (response.m_mode == ReplyMode::Close) {
            close();
            return;
        }
        m_message = Message(http::int_to_status(response.m_status), 11);
        m_message.set(http::field::content_type, "application/json");
        for (const std::pair<std::string, std::string> &header : response.m_headers) {
            m_message.set(header.first, header.second);
        }
        m_message.keep_alive(m_keepAlive);
        m_message.body() = response.m_body;
        m_message.prepare_payload();
        write(response.m_mode == ReplyMode::Twice ? 2 : 1);
    }

    void write(int copies)
    {
        http::async_write(m_socket, m_message,
                          [self = shared_from_this(), copies](error_code error, std::size_t) {
                              if (error || (copies == 1 && !self->m_keepAlive)) {
                                  self->close();
                              } else if (copies > 1) {
                                  self->write(copies - 1);
                              } else {
                                  self->read();
                              }
                          });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::weak_ptr<State> m_state;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Message m_message;
    std::uint64_t m_requestNumber = 0;
    bool m_answered = true;
    bool m_keepAlive = true;
};

namespace {

template <typename State, typename Connection> void acceptNext(const std::shared_ptr<State> &state)
{
    state->m_acceptor.async_accept([state](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !state->m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            const std::size_t open = state->m_connections.size();
            if (state->m_connectionLimit != 0 && open >= state->m_connectionLimit) {
                ++state->m_refusedConnections;
                error_code ignored;
                socket.close(ignored);
            } else {
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const std::shared_ptr<Connection> connection =
                    std::make_shared<Connection>(std::move(socket), state);
                state->m_connections.insert(connection);
                state->m_maximumConnections = std::max(state->m_maximumConnections, open + 1);
                connection->start(state->m_connectTime);
            }
        }
        acceptNext<State, Connection>(state);
    });
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, HttpHandler handler)
    : m_state(std::make_shared<State>(context, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    close();
}

std::uint16_t HttpServer::listen(std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    tcp::acceptor acceptor(m_state->m_context);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    m_state->m_acceptor = std::move(acceptor);
    acceptNext<State, Connection>(m_state);
    return m_state->m_acceptor.local_endpoint().port();
}

void HttpServer::close()
{
    error_code ignored;
    m_state->m_acceptor.close(ignored);
    const std::set<std::shared_ptr<Connection>> connections = std::move(m_state->m_connections);
    m_state->m_connections.clear();
    for (const std::shared_ptr<Connection> &connection : connections) {
        connection->close();
    }
}

void HttpServer::setConnectionLimit(std::size_t limit)
{
    m_state->m_connectionLimit = limit;
}

void HttpServer::setConnectTime(std::chrono::microseconds time)
{
    m_state->m_connectTime = time;
}

std::size_t HttpServer::openConnections() const
{
    return m_state->m_connections.size();
}

std::size_t HttpServer::maximumConnections() const
{
    return m_state->m_maximumConnections;
}

std::uint64_t HttpServer::refusedConnections() const
{
    return m_state->m_refusedConnections;
}

std::int64_t numberParameter(const HttpRequest &request, std::string_view name,
                             std::int64_t fallback)
{
    const auto found = request.m_parameters.find(name);
    if (found == request.m_parameters.end()) {
        return fallback;
    }
    const std::string &text = found->second;
    std::int64_t value = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() ? value : fallback;
}

} // namespace arbutusgrade::standins
