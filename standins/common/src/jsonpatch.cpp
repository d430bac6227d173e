#include "standins/jsonpatch.h"

#include <boost/json/value.hpp>

namespace arbutusgrade::standins {

namespace {

bool assign(bool &place, const boost::json::value &value)
{
    if (!value.is_bool()) {
        return false;
    }
    place = value.as_bool();
    return true;
}

template <typename Number> bool assign(Number &place, const boost::json::value &value)
{
    boost::system::error_code error;
    const Number number = value.to_number<Number>(error);
    if (error) {
        return false;
    }
    place = number;
    return true;
}

} // namespace

std::string applyPatch(const boost::json::object &patch, std::span<const PatchField> fields)
{
    for (const boost::json::key_value_pair &member : patch) {
        const PatchField *field = nullptr;
        for (const PatchField &candidate : fields) {
            if (candidate.m_name == std::string_view(member.key())) {
                field = &candidate;
            }
        }
        if (field == nullptr) {
            return "unknown member: " + std::string(member.key());
        }
        const bool assigned = std::visit(
            [&member](auto *place) { return assign(*place, member.value()); }, field->m_place);
        if (!assigned) {
            return "wrong type of value: " + std::string(member.key());
        }
    }
    return {};
}

} // namespace arbutusgrade::standins
