#include "details/errorresponse.h"

#include <string>

namespace arbutusgrade {

HttpResponse errorResponse(int status, std::string_view message)
{
    HttpResponse response;
    response.m_status = status;
    response.m_body = R"({"error":")" + std::string(message) + "\"}";
    return response;
}

} // namespace arbutusgrade
