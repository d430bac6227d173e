#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "details/fieldline.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Response parser that writes into buffers of the connection, which are reused. Header
//! fields are kept only where they are wanted, so that other replies cost no allocation for them.
class ReplyParser : public boost::beast::http::basic_parser<false>
{
public:
    ReplyParser(ReplyContent &content, std::uint64_t bodyLimit, const ExchangeOptions &options)
        : m_content(content), m_keepHeaders(options.m_keepHeaders)
    {
        m_content.m_status = 0;
        m_content.m_body.clear();
        m_content.m_headers.clear();
        m_content.m_memory.reset();
        skip(options.m_expectNoBody);
        eager(true);
        header_limit(headerLimitBytes);
        body_limit(bodyLimit);
    }

private:
    static constexpr std::uint32_t headerLimitBytes = 16 * 1024;

    // With those of trailers. A field takes more memory than its text.
    static constexpr std::size_t fieldLimit = 512;

    // Range of valid status codes; RFC 9110, section 15. The parser takes any three digits.
    static constexpr int minimumStatus = 100;
    static constexpr int maximumStatus = 599;

    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    //! @brief True for the rest of a line in which another reply begins. A target leaves it that
    //! breaks off in a head and goes on with its next reply: the two would pass for one.
    static bool holdsStatusLine(Text text)
    {
        static constexpr std::string_view version = "HTTP/1.";
        static constexpr std::size_t minorAndStatusBytes = 5; // As in "1 200".
        const std::string_view line(text.data(), text.size());
        const std::size_t start = line.find(version);
        if (start == std::string_view::npos) {
            return false;
        }
        const std::string_view rest = line.substr(start + version.size(), minorAndStatusBytes);
        return rest.size() == minorAndStatusBytes && rest[1] == ' '
               && rest.find_first_not_of("0123456789", 2) == std::string_view::npos;
    }

    void on_request_impl(boost::beast::http::verb /*verb*/, Text /*method*/, Text /*target*/,
                         int /*version*/, Error & /*error*/) override
    {
    }
    void on_response_impl(int status, Text reason, int /*version*/, Error &error) override
    {
        if (status < minimumStatus || status > maximumStatus) {
            error = boost::beast::http::error::bad_status;
            return;
        }
        if (holdsStatusLine(reason)) {
            error = boost::beast::http::error::bad_reason;
            return;
        }
        m_content.m_status = status;
    }
    void on_field_impl(boost::beast::http::field /*field*/, Text name, Text value,
                       Error &error) override
    {
        if (holdsStatusLine(value)) {
            error = boost::beast::http::error::bad_value;
            return;
        }
        // The parser's own limit covers neither trailers nor fields that arrive one by one.
        m_fieldBytes += fieldLineBytes(name, value);
        if (++m_fields > fieldLimit || m_fieldBytes > headerLimitBytes) {
            error = boost::beast::http::error::header_limit;
            return;
        }
        if (m_keepHeaders) {
            m_content.m_headers.emplace_back(std::string_view(name.data(), name.size()),
                                             std::string_view(value.data(), value.size()));
        }
    }
    void on_header_impl(Error & /*error*/) override
    {
        // Trailers get a limit of the same size.
        m_fieldBytes = 0;
    }
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
    bool m_keepHeaders;
    std::size_t m_fields = 0;
    std::size_t m_fieldBytes = 0; //!< Of the header, then of the trailers.
};

} // namespace arbutusgrade
