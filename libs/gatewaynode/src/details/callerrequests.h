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
    std::shared_ptr<ForwardRequest> m_request; //!< Null if the request is malformed.
    std::string_view m_error;
    std::string m_authorization; //!< Empty if there are no organisations, or several such headers.
};

//! @brief Validates a caller's request and prepares it for forwarding. Hop-by-hop headers and the
//! headers that the gateway sets on each attempt are removed, and so are API keys and names of
//! organisations if the table has organisations.
//! @param table the version to use for the request; null if there is none yet.
ParsedCallerRequest parseCallerRequest(const HttpRequest &request, const ForwardHeaders &headers,
                                       const RoutingTablePointer &table = nullptr);

//! @brief Identifies the caller by the request's own version of the routing table, and names its
//! organisation to the target.
//! @return the refusal, if the caller is not authorised. Requests without a table or a route are
//! left to the engine.
std::optional<ForwardRefusal> authorizeRequest(const ParsedCallerRequest &parsed,
                                               const ForwardHeaders &headers);

//! @brief Serializes one attempt into the text. The capacity of the text is reused.
void serializeAttempt(std::string &text, const ForwardCommand &command,
                      const ForwardHeaders &headers);

//! @brief Parses the gateway's headers in a target's reply and keeps all end-to-end headers for the
//! caller.
TargetReply parseTargetReply(const ReplyContent &content, const ForwardHeaders &headers);

//! @brief Builds the HTTP response to the caller from the result of the engine.
HttpResponse buildCallerResponse(const ForwardAnswer &answer, const ForwardHeaders &headers);

} // namespace arbutusgrade
