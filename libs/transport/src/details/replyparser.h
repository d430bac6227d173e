#pragma once

#include <cstdint>
#include <string>

#include <boost/beast/http/basic_parser.hpp>

namespace arbutusgrade {

//! @brief The parts of a response that the clients use.
struct ReplyContent
{
    int m_status = 0;
    std::string m_body;
};

//! @brief Response parser that keeps only status and body, so that a reply costs no allocation for
//! header fields and the body buffer is reused.
class ReplyParser : public boost::beast::http::basic_parser<false>
{
public:
    ReplyParser(ReplyContent &content, std::uint64_t bodyLimit) : m_content(content)
    {
        m_content.m_status = 0;
        m_content.m_body.clear();
        eager(true);
        header_limit(headerLimitBytes);
        body_limit(bodyLimit);
    }

private:
    static constexpr std::uint32_t headerLimitBytes = 16 * 1024;

    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb /*verb*/, Text /*method*/, Text /*target*/,
                         int /*version*/, Error & /*error*/) override
    {
    }
    void on_response_impl(int status, Text /*reason*/, int /*version*/, Error & /*error*/) override
    {
        m_content.m_status = status;
    }
    void on_field_impl(boost::beast::http::field /*field*/, Text /*name*/, Text /*value*/,
                       Error & /*error*/) override
    {
    }
    void on_header_impl(Error & /*error*/) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           Error & /*error*/) override
    {
    }
    std::size_t on_body_impl(Text body, Error & /*error*/) override
    {
        m_content.m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                              Error & /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, Text body, Error & /*error*/) override
    {
        m_content.m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(Error & /*error*/) override { }

    ReplyContent &m_content;
};

} // namespace arbutusgrade
