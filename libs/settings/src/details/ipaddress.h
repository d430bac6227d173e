#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

//! @brief IP addresses as text.
namespace arbutusgrade::details {

//! @brief Returns the usual form of a unicast IPv4 or IPv6 address; nothing for any other text.
std::optional<std::string> normalizeAddress(std::string_view text);

//! @brief Returns the address that lies the given number after the first; nothing past the end of
//! the address range.
std::optional<std::string> addressAfter(std::string_view first, std::uint32_t distance);

//! @brief "10.20.0.7:80" or "[fd00::7]:80".
std::string formatEndpoint(std::string_view address, std::uint16_t port);

} // namespace arbutusgrade::details
