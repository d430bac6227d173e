#pragma once

#include "query/query.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Formats an answer of the engine as the response to its caller.
HttpResponse formatAnswer(const CallerAnswer &answer);

} // namespace arbutusgrade
