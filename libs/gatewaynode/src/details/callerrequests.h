#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gatewaynode/gatewaynode.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief A request that is ready to be passed on, or why it is malformed.
struct CheckedCallerRequest
{
    ForwardRequestPointer m_request; //!< Null if it is malformed.
    std::string_view m_problem;
};

//! @brief Checks the request of a caller and prepares what is passed on.
CheckedCallerRequest checkCallerRequest(const HttpRequest &request, const ForwardHeaders &headers);

//! @brief Writes the bytes of an attempt into the text, whose capacity is reused.
void writeAttempt(std::string &text, const ForwardOrder &order, const ForwardHeaders &headers);

//! @brief Reads the headers of a target's reply that matter here; the others are passed back.
TargetReply readTargetReply(const ReplyContent &content, const ForwardHeaders &headers);

//! @brief Response for the caller.
HttpResponse callerResponse(const ForwardAnswer &answer, const ForwardHeaders &headers);

} // namespace arbutusgrade
