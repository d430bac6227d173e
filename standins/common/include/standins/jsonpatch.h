#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json/object.hpp>

namespace arbutusgrade::standins {

//! @brief A member of a JSON object and the variable that it sets.
struct PatchField
{
    std::string_view m_name;
    std::variant<bool *, std::int64_t *, double *> m_place;
};

//! @brief Sets the variables named in the object; those that it omits stay as they are.
//! @return empty, or what is wrong with a member. Members before it have been set.
std::string applyPatch(const boost::json::object &patch, std::span<const PatchField> fields);

} // namespace arbutusgrade::standins
