#include "details/overlay.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <unordered_set>

#include "details/compactforms.h"

namespace arbutusgrade::details {

namespace {

constexpr std::string_view siteKey = "site";
constexpr std::string_view nameKey = "name";

//! Keys that must be equal at all sites: a kind that is `once` at one site and `single` at another
//! could run a request twice, and snapshots of different partitionings cannot be compared.
constexpr std::array<std::string_view, 5> sharedKeys{"firm", "dataCentres", "partitionings", "mode",
                                                     "group"};

//! What stays the same through one merge.
struct Merge
{
    Expansion m_expansion;
    FindingList &m_findings;
};

void mergeNode(Merge &merge, YamlNode &base, const YamlNode &overlay, std::string_view parentName);

std::vector<std::string_view> keysOf(const YamlNode &map)
{
    std::vector<std::string_view> keys;
    for (const YamlNode &item : map.m_items) {
        keys.push_back(item.m_key);
    }
    return keys;
}

std::string_view itemName(const YamlNode &item)
{
    const YamlNode *const name = findEntry(item, nameKey);
    return name != nullptr && name->m_kind == NodeKind::Scalar ? name->m_text : std::string_view();
}

bool hasNamedItems(const YamlNode &list)
{
    return list.m_kind == NodeKind::List && !list.m_items.empty()
           && std::all_of(list.m_items.begin(), list.m_items.end(),
                          [](const YamlNode &item) { return item.m_kind == NodeKind::Map; });
}

void mergeEntry(Merge &merge, YamlNode &base, const YamlNode &entry)
{
    YamlNode *const present = findEntry(base, entry.m_key);
    if (present == nullptr) {
        addFinding(merge.m_findings, entry.m_keyPlace,
                   "the base has no key " + quote(entry.m_key) + " here"
                       + suggestion(entry.m_key, keysOf(base))
                       + "; an overlay changes only what the base states");
        return;
    }
    if (std::find(sharedKeys.begin(), sharedKeys.end(), entry.m_key) != sharedKeys.end()) {
        addFinding(merge.m_findings, entry.m_keyPlace,
                   quote(entry.m_key) + " must be the same at all sites; change it in the base");
        return;
    }
    mergeNode(merge, *present, entry, itemName(base));
}

void mergeMap(Merge &merge, YamlNode &base, const YamlNode &overlay)
{
    for (const YamlNode &entry : overlay.m_items) {
        if (entry.m_key != nameKey) {
            mergeEntry(merge, base, entry);
        }
    }
}

void mergeNamedItems(Merge &merge, YamlNode &base, const YamlNode &overlay)
{
    std::unordered_map<std::string_view, YamlNode *> baseItems;
    for (YamlNode &item : base.m_items) {
        baseItems.emplace(itemName(item), &item);
    }
    std::unordered_set<std::string_view> seen;
    for (const YamlNode &item : overlay.m_items) {
        const std::string_view name = itemName(item);
        if (name.empty()) {
            addFinding(merge.m_findings, valuePlace(item),
                       "each item needs a 'name', which says what item of the base it changes");
            continue;
        }
        if (!seen.insert(name).second) {
            addFinding(merge.m_findings, item.m_place,
                       quote(name) + " is given twice in this list of the overlay");
            continue;
        }
        const auto match = baseItems.find(name);
        if (match == baseItems.end()) {
            addFinding(merge.m_findings, findEntry(item, nameKey)->m_place,
                       "the base has no item named " + quote(name)
                           + " here; an overlay changes "
                             "only what the base states");
            continue;
        }
        mergeMap(merge, *match->second, item);
    }
}

void replaceValue(YamlNode &base, const YamlNode &overlay)
{
    YamlNode replacement = overlay;
    replacement.m_key = base.m_key;
    base = std::move(replacement);
}

void mergeNode(Merge &merge, YamlNode &base, const YamlNode &overlay, std::string_view parentName)
{
    if (base.m_kind == NodeKind::Map && overlay.m_kind == NodeKind::List) {
        expandCompactForm(base, parentName, merge.m_expansion, merge.m_findings);
    }
    const bool isEmpty = base.m_kind == NodeKind::Null || overlay.m_kind == NodeKind::Null;
    if (!isEmpty && base.m_kind != overlay.m_kind) {
        addFinding(merge.m_findings, overlay.m_place,
                   quote(overlay.m_key) + " is " + std::string(nodeKindName(base.m_kind))
                       + " in the base, but here it is "
                       + std::string(nodeKindName(overlay.m_kind)));
    } else if (!isEmpty && base.m_kind == NodeKind::Map) {
        mergeMap(merge, base, overlay);
    } else if (!isEmpty && hasNamedItems(base)) {
        mergeNamedItems(merge, base, overlay);
    } else {
        replaceValue(base, overlay);
    }
}

} // namespace

void applyOverlay(YamlNode &base, const YamlNode &overlay, FindingList &findings)
{
    Merge merge{startExpansion(base), findings};
    for (const YamlNode &entry : overlay.m_items) {
        if (entry.m_key == siteKey) {
            YamlNode site = entry;
            base.m_items.push_back(std::move(site));
        } else {
            mergeEntry(merge, base, entry);
        }
    }
}

} // namespace arbutusgrade::details
