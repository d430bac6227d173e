#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gatewaynode/gatewaynode.h"

namespace arbutusgrade {

//! @brief Serializes the value under which a node with a link is registered in the store.
std::string encodeRegistration(const RegisteredNode &node);

//! @brief Parses the value of a registration.
//! @param name of the node, from the key.
//! @return nothing if the node has no link, or the value is invalid.
std::optional<RegisteredNode> decodeRegistration(std::string_view name, std::string_view value);

} // namespace arbutusgrade
