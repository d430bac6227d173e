#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gatewaynode/gatewaynode.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Assumed where the system does not tell the round trip time to a caller. An estimate that
//! is too high costs a few milliseconds of a search; one that is too low makes its answer late.
inline constexpr Duration defaultCallerRoundTrip = std::chrono::milliseconds(10);

//! @brief Returns the path to the caller, with the default where the round trip time is not known.
CallerPath callerPath(const HttpRequest &request);

//! @brief Result of parsing a caller's request: the request to forward, or a parse error.
struct ParsedCallerRequest
{
    ForwardRequestPointer m_request; //!< Null if the request is malformed.
    std::string_view m_error;
};

//! @brief Validates a caller's request and prepares it for forwarding. Hop-by-hop headers and the
//! headers that the gateway sets on each attempt are removed.
ParsedCallerRequest parseCallerRequest(const HttpRequest &request, const ForwardHeaders &headers);

//! @brief Serializes one attempt into the text. The capacity of the text is reused.
void serializeAttempt(std::string &text, const ForwardCommand &command,
                      const ForwardHeaders &headers);

//! @brief Parses the gateway's headers in a target's reply and keeps all end-to-end headers for the
//! caller.
TargetReply parseTargetReply(const ReplyContent &content, const ForwardHeaders &headers);

//! @brief Builds the HTTP response to the caller from the result of the engine.
HttpResponse buildCallerResponse(const ForwardAnswer &answer, const ForwardHeaders &headers);

} // namespace arbutusgrade
