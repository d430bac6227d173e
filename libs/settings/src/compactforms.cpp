#include "details/compactforms.h"

#include <algorithm>
#include <map>
#include <optional>

#include "details/ipaddress.h"
#include "details/reader.h"

namespace arbutusgrade::details {

namespace {

constexpr Range<std::int64_t> countRange{1, 10'000};
constexpr Range<std::int64_t> portRange{1, 65'535};

//! How the targets of one compact form get names, data centres, addresses and ports.
struct TargetPlan
{
    std::size_t m_count = 0;
    std::optional<std::string> m_namePrefix;
    std::vector<std::string> m_dataCentres;
    std::optional<std::string> m_address; //!< One address, ports count up from m_port; or
    std::map<std::string, std::string, std::less<>> m_firstAddresses; //!< addresses count up.
    std::uint16_t m_port = 0;
    Place m_place;
};

YamlNode makeScalar(std::string_view key, std::string text, const Place &place)
{
    YamlNode node;
    node.m_kind = NodeKind::Scalar;
    node.m_place = place;
    node.m_text = std::move(text);
    node.m_key = key;
    node.m_keyPlace = place;
    return node;
}

//! Turns a compact form into an empty list that is filled, or ignored if it was faulty.
void becomeList(YamlNode &node, bool isFaulty)
{
    node.m_kind = NodeKind::List;
    node.m_items.clear();
    node.m_faulty = isFaulty;
}

void readAddresses(MapReader &reader, TargetPlan &plan)
{
    const YamlNode *const addresses = readEntry(reader, "firstAddresses", Presence::Optional);
    if (addresses == nullptr) {
        readIntegerInto(reader, "firstPort", portRange, plan.m_port, Presence::Required);
        plan.m_address = readAddress(reader, "address", Presence::Required);
        return;
    }
    readIntegerInto(reader, "port", portRange, plan.m_port, Presence::Required);
    MapReader addressReader = openMap(*addresses, *reader.m_findings);
    for (const std::string &dataCentre : plan.m_dataCentres) {
        std::optional<std::string> first =
            readAddress(addressReader, dataCentre, Presence::Required);
        if (first) {
            plan.m_firstAddresses.emplace(dataCentre, std::move(*first));
        }
    }
    closeMap(addressReader);
}

void readDataCentres(MapReader &reader, const Expansion &expansion, TargetPlan &plan)
{
    plan.m_dataCentres = expansion.m_dataCentres;
    const YamlNode *const list = readList(reader, "dataCentres", Presence::Optional);
    if (list == nullptr) {
        return;
    }
    if (list->m_items.empty()) {
        addFinding(*reader.m_findings, list->m_place, "'dataCentres' must not be empty");
    }
    plan.m_dataCentres.clear();
    for (const YamlNode &item : list->m_items) {
        const std::optional<std::string> name = nameOf(item, *reader.m_findings);
        const std::vector<std::string> &known = expansion.m_dataCentres;
        if (name && std::find(known.begin(), known.end(), *name) == known.end()) {
            addFinding(*reader.m_findings, item.m_place, "there is no data centre " + quote(*name));
        } else if (name) {
            plan.m_dataCentres.push_back(*name);
        }
    }
}

//! @return nothing if there were findings.
std::optional<TargetPlan> readTargetPlan(const YamlNode &node, const Expansion &expansion,
                                         FindingList &findings)
{
    const std::size_t findingsBefore = findings.m_total;
    TargetPlan plan;
    plan.m_place = node.m_place;
    MapReader reader = openMap(node, findings);
    readIntegerInto(reader, "count", countRange, plan.m_count, Presence::Required);
    plan.m_namePrefix = readName(reader, "namePrefix", Presence::Optional);
    readDataCentres(reader, expansion, plan);
    readAddresses(reader, plan);
    closeMap(reader);
    if (findings.m_total != findingsBefore || plan.m_dataCentres.empty()) {
        return std::nullopt;
    }
    return plan;
}

bool takeTargets(std::size_t count, const Place &place, Expansion &expansion, FindingList &findings)
{
    if (count > expansion.m_targetsLeft) {
        addFinding(findings, place,
                   "compact forms ask for more than " + std::to_string(maximumCompactTargets)
                       + " targets in total");
        return false;
    }
    expansion.m_targetsLeft -= count;
    return true;
}

//! Address and port of the target with this number among all targets of the plan. Targets take
//! turns through the data centres, beginning one further for each service.
std::optional<YamlNode> makeTarget(const TargetPlan &plan, std::string_view name,
                                   std::size_t serviceIndex, std::size_t targetIndex,
                                   std::map<std::string, std::uint32_t> &used)
{
    const std::string &dataCentre =
        plan.m_dataCentres[(serviceIndex + targetIndex) % plan.m_dataCentres.size()];
    std::optional<std::string> address = plan.m_address;
    std::size_t port = plan.m_port;
    if (address) {
        port += serviceIndex * plan.m_count + targetIndex;
    } else {
        address = addressAfter(plan.m_firstAddresses.find(dataCentre)->second, used[dataCentre]++);
    }
    if (!address || port > static_cast<std::size_t>(portRange.m_maximum)) {
        return std::nullopt;
    }
    YamlNode target;
    target.m_kind = NodeKind::Map;
    target.m_place = plan.m_place;
    target.m_items.push_back(makeScalar("name", std::string(name), plan.m_place));
    target.m_items.push_back(makeScalar("dataCentre", dataCentre, plan.m_place));
    target.m_items.push_back(makeScalar("address", *address, plan.m_place));
    target.m_items.push_back(makeScalar("port", std::to_string(port), plan.m_place));
    // Stated, so that an overlay can change it.
    target.m_items.push_back(makeScalar("draining", "false", plan.m_place));
    return target;
}

bool fillTargets(YamlNode &list, const TargetPlan &plan, const std::string &prefix,
                 std::size_t serviceIndex, std::map<std::string, std::uint32_t> &used,
                 FindingList &findings)
{
    for (std::size_t i = 0; i < plan.m_count; ++i) {
        std::optional<YamlNode> target =
            makeTarget(plan, prefix + std::to_string(i + 1), serviceIndex, i, used);
        if (!target) {
            addFinding(findings, plan.m_place,
                       "so many targets go past the last "
                           + std::string(plan.m_address ? "port" : "address"));
            return false;
        }
        list.m_items.push_back(std::move(*target));
    }
    return true;
}

void expandTargets(YamlNode &node, std::string_view serviceName, Expansion &expansion,
                   FindingList &findings)
{
    const std::optional<TargetPlan> plan = readTargetPlan(node, expansion, findings);
    const bool isUsable = plan && takeTargets(plan->m_count, node.m_place, expansion, findings);
    becomeList(node, !isUsable);
    if (isUsable) {
        std::map<std::string, std::uint32_t> used;
        const std::string prefix = plan->m_namePrefix.value_or(std::string(serviceName) + "-");
        node.m_faulty = !fillTargets(node, *plan, prefix, 0, used, findings);
    }
}

//! Numbers of equal width, at least two digits, so that names sort in order.
std::string paddedNumber(std::size_t number, std::size_t largest)
{
    const std::size_t width = std::max<std::size_t>(2, std::to_string(largest).size());
    const std::string digits = std::to_string(number);
    return std::string(width - std::min(width, digits.size()), '0') + digits;
}

struct ServicesPlan
{
    std::size_t m_count = 0;
    std::string m_namePrefix;
    std::vector<YamlNode> m_common; //!< Keys that each service takes over.
    std::optional<TargetPlan> m_targets;
};

std::optional<ServicesPlan> readServicesPlan(const YamlNode &node, const Expansion &expansion,
                                             FindingList &findings)
{
    const std::size_t findingsBefore = findings.m_total;
    ServicesPlan plan;
    MapReader reader = openMap(node, findings);
    readIntegerInto(reader, "count", countRange, plan.m_count, Presence::Required);
    readInto(reader, "namePrefix", Presence::Required, readName, plan.m_namePrefix);
    for (const std::string_view key : {"slots", "connections"}) {
        const YamlNode *const value = readEntry(reader, key, Presence::Optional);
        if (value != nullptr) {
            plan.m_common.push_back(*value);
        }
    }
    const YamlNode *const targets = readEntry(reader, "targets", Presence::Required);
    if (targets != nullptr) {
        plan.m_targets = readTargetPlan(*targets, expansion, findings);
    }
    closeMap(reader);
    if (plan.m_targets && plan.m_targets->m_namePrefix) {
        addFinding(findings, plan.m_targets->m_place,
                   "'namePrefix' must not be given here; targets are named after their service");
    }
    if (findings.m_total != findingsBefore || !plan.m_targets) {
        return std::nullopt;
    }
    return plan;
}

void expandServices(YamlNode &node, Expansion &expansion, FindingList &findings)
{
    const std::optional<ServicesPlan> plan = readServicesPlan(node, expansion, findings);
    const Place place = node.m_place;
    const bool isUsable =
        plan && takeTargets(plan->m_count * plan->m_targets->m_count, place, expansion, findings);
    becomeList(node, !isUsable);
    std::map<std::string, std::uint32_t> used;
    for (std::size_t i = 0; isUsable && i < plan->m_count; ++i) {
        const std::string name = plan->m_namePrefix + paddedNumber(i + 1, plan->m_count);
        YamlNode targets;
        targets.m_kind = NodeKind::List;
        targets.m_key = "targets";
        targets.m_place = plan->m_targets->m_place;
        targets.m_keyPlace = targets.m_place;
        if (!fillTargets(targets, *plan->m_targets, name + "-", i, used, findings)) {
            becomeList(node, true);
            return;
        }
        YamlNode service;
        service.m_kind = NodeKind::Map;
        service.m_place = place;
        service.m_items.push_back(makeScalar("name", name, place));
        service.m_items.insert(service.m_items.end(), plan->m_common.begin(), plan->m_common.end());
        service.m_items.push_back(std::move(targets));
        node.m_items.push_back(std::move(service));
    }
}

std::string_view textEntry(const YamlNode &map, std::string_view key)
{
    const YamlNode *const entry = findEntry(map, key);
    return entry == nullptr ? std::string_view() : std::string_view(entry->m_text);
}

void expandGroup(YamlNode &group, Expansion &expansion, FindingList &findings)
{
    YamlNode *const services = findEntry(group, "services");
    if (services == nullptr) {
        return;
    }
    expandCompactForm(*services, textEntry(group, "name"), expansion, findings);
    if (services->m_kind != NodeKind::List) {
        return;
    }
    for (YamlNode &service : services->m_items) {
        YamlNode *const targets = findEntry(service, "targets");
        if (targets != nullptr) {
            expandCompactForm(*targets, textEntry(service, "name"), expansion, findings);
        }
    }
}

} // namespace

Expansion startExpansion(const YamlNode &root)
{
    Expansion expansion;
    const YamlNode *const dataCentres = findEntry(root, "dataCentres");
    if (dataCentres != nullptr && dataCentres->m_kind == NodeKind::List) {
        for (const YamlNode &item : dataCentres->m_items) {
            if (expansion.m_dataCentres.size() < maximumDataCentres) {
                expansion.m_dataCentres.push_back(item.m_text);
            }
        }
    }
    return expansion;
}

void expandCompactForm(YamlNode &node, std::string_view parentName, Expansion &expansion,
                       FindingList &findings)
{
    if (node.m_kind != NodeKind::Map) {
        return;
    }
    if (node.m_key == "services") {
        expandServices(node, expansion, findings);
    } else if (node.m_key == "targets") {
        expandTargets(node, parentName, expansion, findings);
    }
}

void expandCompactForms(YamlNode &root, FindingList &findings)
{
    Expansion expansion = startExpansion(root);
    YamlNode *const groups = findEntry(root, "groups");
    if (groups == nullptr || groups->m_kind != NodeKind::List) {
        return;
    }
    for (YamlNode &group : groups->m_items) {
        expandGroup(group, expansion, findings);
    }
}

} // namespace arbutusgrade::details
