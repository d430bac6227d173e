#include "callerpool.h"

#include <optional>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace arbutusgrade::load {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t bodyLimitBytes = 64U * 1024U * 1024U;

} // namespace

struct CallerPool::Idle
{
    std::vector<std::shared_ptr<Connection>> m_connections;
};

class CallerPool::Connection : public std::enable_shared_from_this<CallerPool::Connection>
{
public:
    Connection(boost::asio::io_context &context, std::weak_ptr<Idle> idle)
        : m_stream(context), m_idle(std::move(idle))
    {
    }

    void start(const tcp::endpoint &server, http::request<http::string_body> request,
               std::chrono::microseconds timeout, CallDone done)
    {
        m_request = std::move(request);
        m_done = std::move(done);
        m_stream.expires_after(timeout);
        if (m_stream.socket().is_open()) {
            write();
            return;
        }
        m_stream.async_connect(server, [self = shared_from_this()](error_code error) {
            if (error) {
                self->fail();
                return;
            }
            error_code ignored;
            self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    //! An idle connection that the daemon has closed would lose the next request.
    bool usable()
    {
        error_code error;
        char byte = 0;
        m_stream.socket().non_blocking(true, error);
        m_stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == boost::asio::error::would_block;
    }

private:
    void write()
    {
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (error) {
                                  self->fail();
                              } else {
                                  self->read();
                              }
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(bodyLimitBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->fail();
                             } else {
                                 self->finish();
                             }
                         });
    }

    void finish()
    {
        const http::response<http::string_body> response = m_parser->release();
        const CallDone done = std::move(m_done);
        const std::shared_ptr<Idle> idle = m_idle.lock();
        if (response.keep_alive() && idle) {
            m_stream.expires_never();
            idle->m_connections.push_back(shared_from_this());
        } else {
            m_stream.close();
        }
        done(response.result_int(), response.body());
    }

    void fail()
    {
        m_stream.close();
        const CallDone done = std::move(m_done);
        done(0, {});
    }

    beast::tcp_stream m_stream;
    std::weak_ptr<Idle> m_idle;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    CallDone m_done;
};

CallerPool::CallerPool(boost::asio::io_context &context, const tcp::endpoint &server)
    : m_context(context), m_server(server), m_idle(std::make_shared<Idle>())
{
}

void CallerPool::call(const std::string &method, const std::string &path, const std::string &body,
                      std::chrono::microseconds timeout, CallDone done)
{
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, m_server.address().to_string());
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    std::shared_ptr<Connection> connection;
    while (!connection && !m_idle->m_connections.empty()) {
        const std::shared_ptr<Connection> idle = m_idle->m_connections.back();
        m_idle->m_connections.pop_back();
        if (idle->usable()) {
            connection = idle;
        }
    }
    if (!connection) {
        connection = std::make_shared<Connection>(m_context, m_idle);
    }
    connection->start(m_server, std::move(request), timeout, std::move(done));
}

void CallerPool::closeIdle()
{
    m_idle->m_connections.clear();
}

} // namespace arbutusgrade::load
