#pragma once

#include <vector>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Reports invalid and duplicate names, empty keys and keys that two organisations hold.
void validateOrganisations(const RoutingTable &table, std::vector<Finding> &findings);

} // namespace arbutusgrade
