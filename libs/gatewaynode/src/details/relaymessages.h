#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "details/relaychoice.h"
#include "transport/transport.h"

//! @brief Messages between a relay and the nodes that follow it: HTTP with a JSON body, in which
//! keys and values are base64, since the store allows any bytes in them.
namespace arbutusgrade {

//! The version is part of the path: a relay of another release answers 404 to an unknown one.
inline constexpr std::string_view relayWatchPath = "/relay/v1/watch";

//! Status of the reply if the relay no longer has the changes after the revision.
inline constexpr int historyGoneStatus = 410;

//! @brief A watch that a node asks a relay to answer.
struct RelayRequest
{
    std::string m_prefix;
    std::uint64_t m_afterRevision = 0;
    std::chrono::milliseconds m_wait{0};
};

//! @brief Path and query of the request.
std::string encodeRelayRequest(const RelayRequest &request);

//! @brief Reads the query of a request; nothing if it is not one.
std::optional<RelayRequest> decodeRelayRequest(std::string_view query);

//! @brief Body of an answer.
std::string encodeRelayAnswer(const RelayAnswer &answer);

//! @brief Reads the body of an answer; nothing if it has a field of the wrong type or range.
std::optional<RelayAnswer> decodeRelayAnswer(std::string_view text);

} // namespace arbutusgrade
