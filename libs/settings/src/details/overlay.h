#pragma once

#include <string>
#include <vector>

#include "details/findinglist.h"
#include "details/yamltree.h"

//! @brief Changes the tree of the base as the overlay of a site says.
namespace arbutusgrade::details {

//! @brief Applies the overlay; what the base lacks, or what all sites must share, is a finding.
void applyOverlay(YamlNode &base, const YamlNode &overlay, FindingList &findings);

} // namespace arbutusgrade::details
