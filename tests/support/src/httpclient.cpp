#include "support/httpclient.h"

#include <optional>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace arbutusgrade::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

struct HttpClient::State
{
    explicit State(std::uint16_t port) : m_endpoint(asio::ip::address_v4::loopback(), port) { }

    void run(beast::error_code &error);

    tcp::endpoint m_endpoint;
    asio::io_context m_context;
    std::optional<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
};

// The stream's own expiry ends the operations, so run returns at the timeout at the latest.
void HttpClient::State::run(beast::error_code &error)
{
    m_context.restart();
    m_context.run();
    if (error) {
        m_stream.reset();
        m_buffer.clear();
    }
}

HttpClient::HttpClient(std::uint16_t port) : m_state(std::make_unique<State>(port)) { }

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient &&other) noexcept = default;
HttpClient &HttpClient::operator=(HttpClient &&other) noexcept = default;

HttpReply HttpClient::call(std::string_view method, std::string_view path, std::string_view body,
                           std::chrono::milliseconds timeout)
{
    State &state = *m_state;
    beast::error_code error;
    const auto keepError = [&error](beast::error_code result, auto &&...) { error = result; };
    if (!state.m_stream) {
        state.m_stream.emplace(state.m_context);
        state.m_stream->expires_after(timeout);
        state.m_stream->async_connect(state.m_endpoint, keepError);
        state.run(error);
        if (error) {
            return HttpReply{0, {}, error.message()};
        }
        state.m_stream->socket().set_option(tcp::no_delay(true));
    }
    http::request<http::string_body> request(http::string_to_verb(method), path, 11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    state.m_stream->expires_after(timeout);
    http::async_write(*state.m_stream, request, keepError);
    state.run(error);
    if (error) {
        return HttpReply{0, {}, error.message()};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(64U * 1024U * 1024U);
    http::async_read(*state.m_stream, state.m_buffer, parser, keepError);
    state.run(error);
    if (error) {
        return HttpReply{0, {}, error.message()};
    }
    const http::response<http::string_body> response = parser.release();
    if (!response.keep_alive()) {
        state.m_stream.reset();
        state.m_buffer.clear();
    }
    return HttpReply{response.result_int(), response.body(), {}};
}

HttpReply httpCall(std::uint16_t port, std::string_view method, std::string_view path,
                   std::string_view body, std::chrono::milliseconds timeout)
{
    return HttpClient(port).call(method, path, body, timeout);
}

boost::json::object jsonBody(const HttpReply &reply)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(reply.m_body, error);
    if (error || !value.is_object()) {
        throw std::runtime_error("not a JSON object: status " + std::to_string(reply.m_status)
                                 + ", body \"" + reply.m_body + "\", error \"" + reply.m_error
                                 + "\"");
    }
    return value.as_object();
}

} // namespace arbutusgrade::support
