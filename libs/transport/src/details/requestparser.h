#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "details/fieldline.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Request parser that writes into a HttpRequest.
//!
//! Boost's own message type holds no field above 64 KiB and throws for a longer one; here only the
//! limits of the server bound a field. Trailers are read and dropped: they may not stand for header
//! fields (RFC 9110, section 6.5.1).
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
    explicit RequestParser(HttpRequest &request) : m_request(request) { }

    //! @brief Sets the limits of this request.
    //! @param headerBytes for the request line and the header together, and once more for trailers.
    //! @param bodyBytes for the body without its framing.
    void setLimits(std::uint32_t headerBytes, std::uint32_t bodyBytes)
    {
        m_headerLimitBytes = headerBytes;
        header_limit(headerBytes);
        body_limit(bodyBytes);
    }

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb /*verb*/, Text method, Text target,
                         int /*version*/, Error & /*error*/) override
    {
        m_request.m_method = std::string_view(method.data(), method.size());
        m_request.m_target = std::string_view(target.data(), target.size());
        const std::string_view text = m_request.m_target;
        const std::size_t path = std::min(text.find('?'), text.size());
        m_request.m_path = text.substr(0, path);
        m_request.m_query = text.substr(std::min(path + 1, text.size()));
        constexpr std::string_view restOfLineAndEmptyLine = "  HTTP/1.1\r\n\r\n";
        m_headerBytes = method.size() + target.size() + restOfLineAndEmptyLine.size();
    }
    void on_response_impl(int /*status*/, Text /*reason*/, int /*version*/,
                          Error & /*error*/) override
    {
    }
    void on_field_impl(boost::beast::http::field /*field*/, Text name, Text value,
                       Error &error) override
    {
        // The parser's own limit covers neither trailers nor fields that arrive one by one.
        m_headerBytes += fieldLineBytes(name, value);
        if (m_headerBytes > m_headerLimitBytes) {
            error = boost::beast::http::error::header_limit;
            return;
        }
        if (!m_readsTrailers) {
            m_request.m_headers.emplace_back(std::string_view(name.data(), name.size()),
                                             std::string_view(value.data(), value.size()));
        }
    }
    void on_header_impl(Error & /*error*/) override
    {
        m_readsTrailers = true;
        m_headerBytes = 0;
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           Error & /*error*/) override
    {
    }
    std::size_t on_body_impl(Text body, Error & /*error*/) override
    {
        m_request.m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                              Error & /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, Text body, Error & /*error*/) override
    {
        m_request.m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(Error & /*error*/) override { }

    HttpRequest &m_request;
    std::uint32_t m_headerLimitBytes = 0;
    std::size_t m_headerBytes = 0; //!< Of the request line and the header, then of the trailers.
    bool m_readsTrailers = false;  //!< Fields after the header are trailers.
};

} // namespace arbutusgrade
