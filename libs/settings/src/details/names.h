#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "details/findinglist.h"

//! @brief Names that a file declares and refers to, with their places.
namespace arbutusgrade::details {

enum class NameKind {
    DataCentre,
    Group,
    Service,
    ServiceOfGroup,
    Target,
    Node,
    Kind,
    Team,
    Epoch,
    Endpoint
};

struct NameReference
{
    NameKind m_kind = NameKind::Group;
    std::string m_name;
    Place m_place;
    std::string m_shownName; //!< End of the name that findings show; empty for all of it.
};

struct NameTable
{
    std::map<std::pair<NameKind, std::string>, Place> m_declared;
    std::vector<NameReference> m_references;
    //! Kinds of which not all declarations could be read; references to them are not reported.
    std::set<NameKind> m_incomplete;
};

//! @brief Declares a name; a second declaration is a finding at its place.
void declareName(NameTable &table, NameKind kind, const std::string &name, const Place &place,
                 FindingList &findings);

//! @brief Notes a reference, which resolveReferences checks when all names are known.
void referToName(NameTable &table, NameReference reference);

//! @brief Reports references to names that nothing declares.
void resolveReferences(const NameTable &table, FindingList &findings);

} // namespace arbutusgrade::details
