#pragma once

#include <string_view>

#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Returns a response whose body is a JSON object with the message.
//! @param message text that needs no escapes in JSON.
HttpResponse errorResponse(int status, std::string_view message);

} // namespace arbutusgrade
