#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "details/replyparser.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Writes POST /v1/execute with headers and body into the text, whose capacity is reused.
//! @param host value of the Host header.
void writeExecuteRequest(std::string &text, std::string_view host, const SendAttempt &attempt,
                         TimePoint now);

//! @brief Returns POST /v1/cancel with headers and body.
std::string cancelRequest(std::string_view host, AttemptId attempt, std::string_view requestId);

//! @brief Returns GET for a path.
std::string getRequest(std::string_view host, std::string_view path);

//! @brief Parses the reply of an attempt; empty if it is no reply as the protocol has it.
std::optional<AttemptReply> parseExecuteReply(const ReplyContent &reply);

//! @brief Parses the reply of GET /v1/health; empty if it is malformed.
std::optional<TargetObservation> parseHealthReply(const ReplyContent &reply);

} // namespace arbutusgrade
