#pragma once

#include <string>
#include <vector>

#include "query/query.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief One thing wrong with a caller's request.
struct RequestFinding
{
    std::string m_field; //!< Empty if it concerns the body as a whole.
    std::string m_message;
};

//! @brief Parses and checks the body of POST /v1/query.
//! @return all findings; the request is usable only if there are none.
std::vector<RequestFinding> parseCallerRequest(std::string_view body, CallerRequest &request);

//! @brief Response 400 with all findings.
HttpResponse findingsResponse(const std::vector<RequestFinding> &findings);

} // namespace arbutusgrade
