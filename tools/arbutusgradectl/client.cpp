#include "client.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "administration/administration.h"

namespace arbutusgrade::control {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Milliseconds = std::chrono::milliseconds;

//! Nodes that are up accept within a few milliseconds.
constexpr Milliseconds connectTimeout{1'500};

//! A document of 1 MB can double in size by JSON escapes, with overlays beside it.
constexpr std::uint64_t maximumAnswerBytes = 16U << 20U;

std::string formatNode(const Endpoint &node)
{
    const bool isVersionSix = node.m_address.find(':') != std::string::npos;
    const std::string host = isVersionSix ? "[" + node.m_address + "]" : node.m_address;
    return host + ":" + std::to_string(node.m_port);
}

HttpAnswer failedCall(CallResult result, const Endpoint &node, const beast::error_code &error)
{
    HttpAnswer answer;
    answer.m_result = result;
    answer.m_error = formatNode(node) + ": "
                     + (error == beast::error::timeout ? "no answer in time" : error.message());
    return answer;
}

http::request<http::string_body> makeRequest(const Endpoint &node, const HttpCall &call)
{
    http::request<http::string_body> request;
    request.method_string(call.m_method);
    request.target(call.m_path);
    request.version(11);
    request.set(http::field::host, formatNode(node));
    request.set(http::field::user_agent, "arbutusgradectl");
    request.set(http::field::connection, "close");
    if (!call.m_body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    if (!call.m_token.empty()) {
        request.set(beast::string_view(teamTokenHeader.data(), teamTokenHeader.size()),
                    call.m_token);
    }
    request.body() = call.m_body;
    request.prepare_payload();
    return request;
}

//! Time limits of a tcp_stream hold only for asynchronous operations, so each step is started and
//! the context then run until it ends.
void runStep(asio::io_context &context)
{
    context.restart();
    context.run();
}

beast::error_code connect(asio::io_context &context, beast::tcp_stream &stream,
                          const Endpoint &node)
{
    beast::error_code result;
    const asio::ip::address address = asio::ip::make_address(node.m_address, result);
    if (result) {
        return result;
    }
    stream.expires_after(connectTimeout);
    stream.async_connect(asio::ip::tcp::endpoint(address, node.m_port),
                         [&result](const beast::error_code &error) { result = error; });
    runStep(context);
    return result;
}

beast::error_code exchange(asio::io_context &context, beast::tcp_stream &stream,
                           const http::request<http::string_body> &request,
                           http::response_parser<http::string_body> &parser)
{
    beast::error_code result;
    const auto finish = [&result](const beast::error_code &error, std::size_t /*bytes*/) {
        result = error;
    };
    http::async_write(stream, request, finish);
    runStep(context);
    if (result) {
        return result;
    }
    beast::flat_buffer buffer;
    http::async_read(stream, buffer, parser, finish);
    runStep(context);
    return result;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    Endpoint endpoint;
    const char *const end = text.data() + text.size();
    const std::from_chars_result port =
        std::from_chars(text.data() + colon + 1, end, endpoint.m_port);
    boost::system::error_code error;
    endpoint.m_address = asio::ip::make_address(std::string(host), error).to_string();
    if (error || port.ec != std::errc() || port.ptr != end || endpoint.m_port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

HttpAnswer callNode(const Endpoint &node, const HttpCall &call)
{
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    const beast::error_code unconnected = connect(context, stream, node);
    if (unconnected) {
        return failedCall(CallResult::NotSent, node, unconnected);
    }
    stream.expires_after(call.m_answerTimeout);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumAnswerBytes);
    const beast::error_code error = exchange(context, stream, makeRequest(node, call), parser);
    if (error) {
        return failedCall(CallResult::NoAnswer, node, error);
    }
    HttpAnswer answer;
    answer.m_result = CallResult::Answered;
    answer.m_status = static_cast<int>(parser.get().result_int());
    answer.m_body = std::move(parser.get().body());
    return answer;
}

HttpAnswer callAnyNode(const std::vector<Endpoint> &nodes, const HttpCall &call, Repeat repeat)
{
    HttpAnswer last;
    std::string errors;
    for (const Endpoint &node : nodes) {
        last = callNode(node, call);
        const bool isDone =
            last.m_result == CallResult::Answered
            || (last.m_result == CallResult::NoAnswer && repeat == Repeat::Forbidden);
        if (isDone) {
            return last;
        }
        errors += (errors.empty() ? "" : "\n") + last.m_error;
    }
    last.m_error = errors;
    return last;
}

} // namespace arbutusgrade::control
