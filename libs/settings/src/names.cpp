#include "details/names.h"

namespace arbutusgrade::details {

namespace {

std::string_view kindText(NameKind kind)
{
    switch (kind) {
    case NameKind::DataCentre:
        return "data centre";
    case NameKind::Group:
        return "group";
    case NameKind::Service:
        return "service";
    case NameKind::ServiceOfGroup:
        return "service in this group";
    case NameKind::Target:
        return "target";
    case NameKind::Node:
        return "node";
    case NameKind::Kind:
        return "kind";
    case NameKind::Team:
        return "team";
    case NameKind::Epoch:
        return "epoch";
    case NameKind::Endpoint:
        break;
    }
    return "address and port";
}

constexpr std::size_t maximumSuggestions = 200;

//! Declared names of a kind that begin with the scope, without it.
std::vector<std::string_view> namesInScope(const NameTable &table, NameKind kind,
                                           const std::string &scope)
{
    std::vector<std::string_view> names;
    for (auto name = table.m_declared.lower_bound({kind, scope});
         name != table.m_declared.end() && name->first.first == kind
         && name->first.second.starts_with(scope) && names.size() < maximumSuggestions;
         ++name) {
        names.push_back(std::string_view(name->first.second).substr(scope.size()));
    }
    return names;
}

} // namespace

void declareName(NameTable &table, NameKind kind, const std::string &name, const Place &place,
                 FindingList &findings)
{
    const auto declared = table.m_declared.find({kind, name});
    if (declared != table.m_declared.end()) {
        addFinding(findings, place,
                   std::string(kindText(kind)) + " " + quote(name) + " is used twice, first at "
                       + formatPlace(findings, declared->second));
        return;
    }
    table.m_declared.emplace(std::pair{kind, name}, place);
}

void referToName(NameTable &table, NameReference reference)
{
    table.m_references.push_back(std::move(reference));
}

void resolveReferences(const NameTable &table, FindingList &findings)
{
    for (const NameReference &reference : table.m_references) {
        if (table.m_incomplete.contains(reference.m_kind)
            || table.m_declared.contains({reference.m_kind, reference.m_name})) {
            continue;
        }
        const std::string &shown =
            reference.m_shownName.empty() ? reference.m_name : reference.m_shownName;
        const std::string scope =
            reference.m_name.substr(0, reference.m_name.size() - shown.size());
        addFinding(findings, reference.m_place,
                   "there is no " + std::string(kindText(reference.m_kind)) + " " + quote(shown)
                       + suggestion(shown, namesInScope(table, reference.m_kind, scope)));
    }
}

} // namespace arbutusgrade::details
