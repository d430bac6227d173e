#pragma once

#include <cstddef>
#include <string_view>

#include <boost/beast/core/string_type.hpp>

namespace arbutusgrade {

//! @brief Bytes that the line of a header or trailer field has at least, with its end.
inline std::size_t fieldLineBytes(boost::beast::string_view name, boost::beast::string_view value)
{
    constexpr std::string_view separatorAndEnd = ":\r\n"; // The space between them is optional.
    return name.size() + value.size() + separatorAndEnd.size();
}

} // namespace arbutusgrade
