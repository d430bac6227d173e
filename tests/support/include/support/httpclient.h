#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace arbutusgrade::support {

//! @brief Reply to a call; status 0 if none came.
struct HttpReply
{
    unsigned m_status = 0;
    std::string m_body;
    std::string m_error;
};

//! @brief Blocking HTTP client of 127.0.0.1 that keeps its connection. One thread at a time.
class HttpClient
{
public:
    explicit HttpClient(std::uint16_t port);
    ~HttpClient();
    HttpClient(HttpClient &&other) noexcept;
    HttpClient &operator=(HttpClient &&other) noexcept;

    //! @brief Makes one call; it is not repeated when the connection ends.
    HttpReply call(std::string_view method, std::string_view path, std::string_view body = {},
                   std::chrono::milliseconds timeout = std::chrono::seconds(10));

private:
    struct State;
    std::unique_ptr<State> m_state;
};

//! @brief One call on a connection of its own.
HttpReply httpCall(std::uint16_t port, std::string_view method, std::string_view path,
                   std::string_view body = {},
                   std::chrono::milliseconds timeout = std::chrono::seconds(10));

//! @brief The body as a JSON object; throws std::runtime_error with the reply if it is none.
boost::json::object jsonBody(const HttpReply &reply);

} // namespace arbutusgrade::support
