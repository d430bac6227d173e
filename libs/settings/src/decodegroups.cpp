#include <algorithm>
#include <array>
#include <limits>
#include <unordered_set>

#include "details/decoder.h"

namespace arbutusgrade::details {

namespace {

struct ModeName
{
    std::string_view m_name;
    AnswerMode m_mode;
};

constexpr std::array<ModeName, 4> modeNames{{{"complete", AnswerMode::Complete},
                                             {"best-by-deadline", AnswerMode::BestByDeadline},
                                             {"single", AnswerMode::Single},
                                             {"once", AnswerMode::Once}}};

TargetSettings decodeTarget(const YamlNode &node, Decoder &decoder)
{
    TargetSettings target;
    MapReader reader = openMap(node, decoder.m_findings);
    target.m_name = readDeclaredName(reader, NameKind::Target, decoder);
    target.m_dataCentre = readReference(reader, "dataCentre", NameKind::DataCentre, decoder);
    readInto(reader, "address", Presence::Required, readAddress, target.m_address);
    readIntegerInto(reader, "port", portRange, target.m_port, Presence::Required);
    readInto(reader, "draining", Presence::Optional, readBoolean, target.m_draining);
    // Two targets at one endpoint would take twice the connections that it accepts.
    declareEndpoint(reader, "port", target.m_address, target.m_port, decoder);
    closeMap(reader);
    return target;
}

ServiceSettings decodeService(const YamlNode &node, Decoder &decoder)
{
    ServiceSettings service;
    MapReader reader = openMap(node, decoder.m_findings);
    service.m_name = readDeclaredName(reader, NameKind::Service, decoder);
    readIntegerInto(reader, "slots", {1, 10'000}, service.m_slots);
    readIntegerInto(reader, "connections", {1, 100'000}, service.m_connections);
    service.m_targets = decodeList(reader, "targets", Presence::Required, decoder, decodeTarget);
    closeMap(reader);
    return service;
}

//! Services are known by their own name everywhere; a partitioning may only use those of its group.
std::string nameInGroup(std::string_view group, std::string_view service)
{
    return std::string(group) + "/" + std::string(service);
}

void readEpoch(MapReader &reader, std::string_view group, PartitioningSettings &partitioning,
               Decoder &decoder)
{
    const std::optional<std::int64_t> epoch = readInteger(
        reader, "epoch", Presence::Required, {1, std::numeric_limits<std::int64_t>::max()});
    if (epoch) {
        partitioning.m_epoch = static_cast<std::uint64_t>(*epoch);
        declareName(decoder.m_names, NameKind::Epoch, nameInGroup(group, std::to_string(*epoch)),
                    findEntry(*reader.m_node, "epoch")->m_place, decoder.m_findings);
    }
}

void readPartitionedServices(MapReader &reader, std::string_view group,
                             PartitioningSettings &partitioning, Decoder &decoder)
{
    const YamlNode *const list = readList(reader, "services", Presence::Required);
    if (list == nullptr) {
        return;
    }
    std::unordered_set<std::string> seen;
    for (const YamlNode &item : list->m_items) {
        const std::optional<std::string> name = nameOf(item, decoder.m_findings);
        if (!name) {
            continue;
        }
        if (!seen.insert(*name).second) {
            addFinding(decoder.m_findings, item.m_place,
                       quote(*name) + " is given twice in this partitioning");
            continue;
        }
        referToName(decoder.m_names, NameReference{NameKind::ServiceOfGroup,
                                                   nameInGroup(group, *name), item.m_place, *name});
        partitioning.m_services.push_back(*name);
    }
}

PartitioningSettings decodePartitioning(const YamlNode &node, std::string_view group,
                                        Decoder &decoder)
{
    PartitioningSettings partitioning;
    MapReader reader = openMap(node, decoder.m_findings);
    readEpoch(reader, group, partitioning, decoder);
    readPartitionedServices(reader, group, partitioning, decoder);
    closeMap(reader);
    return partitioning;
}

//! Groups that state no partitioning have one that spans all services.
PartitioningSettings wholePartitioning(const std::vector<ServiceSettings> &services)
{
    PartitioningSettings partitioning;
    for (const ServiceSettings &service : services) {
        partitioning.m_services.push_back(service.m_name);
    }
    return partitioning;
}

void decodePartitionings(MapReader &reader, GroupSettings &group, Decoder &decoder)
{
    const YamlNode *const list = readList(reader, "partitionings", Presence::Optional);
    if (list == nullptr) {
        group.m_partitionings.push_back(wholePartitioning(group.m_services));
        return;
    }
    for (const YamlNode &item : list->m_items) {
        group.m_partitionings.push_back(decodePartitioning(item, group.m_name, decoder));
    }
}

void declareServicesOfGroup(const YamlNode &node, const GroupSettings &group, Decoder &decoder)
{
    for (const ServiceSettings &service : group.m_services) {
        // A repeated name is already a finding as the name of a service.
        decoder.m_names.m_declared.emplace(
            std::pair{NameKind::ServiceOfGroup, nameInGroup(group.m_name, service.m_name)},
            node.m_place);
    }
}

AnswerMode readMode(MapReader &reader)
{
    const std::optional<std::string> text = readText(reader, "mode", Presence::Required);
    if (!text) {
        return AnswerMode::Complete;
    }
    std::vector<std::string_view> known;
    for (const ModeName &candidate : modeNames) {
        if (candidate.m_name == *text) {
            return candidate.m_mode;
        }
        known.push_back(candidate.m_name);
    }
    addFinding(*reader.m_findings, findEntry(*reader.m_node, "mode")->m_place,
               "'mode' must be complete, best-by-deadline, single or once, not " + quote(*text)
                   + suggestion(*text, known));
    return AnswerMode::Complete;
}

//! Work that may run only once must not be sent twice, whatever the file says.
void checkOnce(const MapReader &reader, KindSettings &kind)
{
    const YamlNode *const retries = findEntry(*reader.m_node, "retries");
    const YamlNode *const hedge = findEntry(*reader.m_node, "hedge");
    if (retries != nullptr && kind.m_retries > 0) {
        addFinding(*reader.m_findings, retries->m_place,
                   "'retries' must be 0 for mode once, which runs at most once");
    }
    if (hedge != nullptr && kind.m_hedge) {
        addFinding(*reader.m_findings, hedge->m_place,
                   "'hedge' must be false for mode once, which runs at most once");
    }
    kind.m_retries = 0;
    kind.m_hedge = false;
}

//! A key without effect makes the reader of the file believe in a policy that is not in force.
void checkModeKey(const MapReader &reader, const KindSettings &kind, std::string_view key,
                  AnswerMode mode)
{
    const YamlNode *const entry = findEntry(*reader.m_node, key);
    if (entry != nullptr && kind.m_mode != mode) {
        addFinding(*reader.m_findings, entry->m_keyPlace,
                   quote(key) + " has a meaning only for mode "
                       + std::string(modeNames[static_cast<std::size_t>(mode)].m_name));
    }
}

} // namespace

GroupSettings decodeGroup(const YamlNode &node, Decoder &decoder)
{
    GroupSettings group;
    MapReader reader = openMap(node, decoder.m_findings);
    group.m_name = readDeclaredName(reader, NameKind::Group, decoder);
    readMillisecondsInto(reader, "connectMilliseconds", {0, 10'000}, group.m_connectTime);
    group.m_services = decodeList(reader, "services", Presence::Required, decoder, decodeService);
    noteUnreadableList(reader, "services", NameKind::ServiceOfGroup, decoder);
    declareServicesOfGroup(node, group, decoder);
    decodePartitionings(reader, group, decoder);
    closeMap(reader);
    return group;
}

KindSettings decodeKind(const YamlNode &node, Decoder &decoder)
{
    KindSettings kind;
    MapReader reader = openMap(node, decoder.m_findings);
    kind.m_name = readDeclaredName(reader, NameKind::Kind, decoder);
    kind.m_group = readReference(reader, "group", NameKind::Group, decoder);
    kind.m_mode = readMode(reader);
    readIntegerInto(reader, "priority", {0, 9}, kind.m_priority);
    readMillisecondsInto(reader, "deadlineMilliseconds", {1, 600'000}, kind.m_deadline);
    readInto(reader, "hedge", Presence::Optional, readBoolean, kind.m_hedge);
    readIntegerInto(reader, "retries", {0, 10}, kind.m_retries);
    const std::optional<double> coverage =
        readFraction(reader, "enoughCoverage", Presence::Optional, {0.01, 1.0});
    kind.m_enoughCoverage = coverage.value_or(kind.m_enoughCoverage);
    readInto(reader, "partialAllowed", Presence::Optional, readBoolean, kind.m_partialAllowed);
    closeMap(reader);
    if (reader.m_node != nullptr && kind.m_mode == AnswerMode::Once) {
        checkOnce(reader, kind);
    }
    if (reader.m_node != nullptr) {
        checkModeKey(reader, kind, "enoughCoverage", AnswerMode::BestByDeadline);
        checkModeKey(reader, kind, "partialAllowed", AnswerMode::Complete);
    }
    return kind;
}

} // namespace arbutusgrade::details
