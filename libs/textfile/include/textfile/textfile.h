#pragma once

#include <optional>
#include <string>

//! @brief Files that are read as a whole, such as settings.
namespace arbutusgrade {

//! @brief Returns the bytes of a file, or nothing if it cannot be read or is a directory.
std::optional<std::string> readTextFile(const std::string &path);

} // namespace arbutusgrade
