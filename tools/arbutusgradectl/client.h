#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

//! @brief Blocking HTTP client for the nodes.
namespace arbutusgrade::control {

//! @brief Where a node listens for callers.
struct Endpoint
{
    std::string m_address;
    std::uint16_t m_port = 0;
};

//! Reads are answered from memory; a node that takes longer is passed over.
inline constexpr std::chrono::milliseconds readTimeout{2'000};

struct HttpCall
{
    std::string m_method = "GET";
    std::string m_path;
    std::string m_body;
    std::string m_token; //!< Of the team; empty for none.
    std::chrono::milliseconds m_answerTimeout{10'000};
};

enum class CallResult {
    Answered,
    NotSent,  //!< No connection could be made, so the node has not seen the call.
    NoAnswer, //!< The call may have been carried out.
};

struct HttpAnswer
{
    CallResult m_result = CallResult::NotSent;
    int m_status = 0;
    std::string m_body;
    std::string m_error; //!< Why there is no answer, with the endpoint.
};

//! @brief Parses "10.20.0.7:8080" or "[fd00::7]:8080"; host names are refused.
std::optional<Endpoint> parseEndpoint(std::string_view text);

//! @brief Makes one call to one node.
HttpAnswer callNode(const Endpoint &node, const HttpCall &call);

//! @brief Whether a call may be repeated at another node although the first may have run it.
enum class Repeat { Allowed, Forbidden };

//! @brief Tries the nodes in order until one answers. Where repeating is forbidden, goes on to the
//! next node only while the call was not sent.
HttpAnswer callAnyNode(const std::vector<Endpoint> &nodes, const HttpCall &call, Repeat repeat);

} // namespace arbutusgrade::control
