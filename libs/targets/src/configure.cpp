#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

std::string serviceKey(std::string_view group, std::string_view service)
{
    std::string key(group);
    key += '/';
    key += service;
    return key;
}

GroupIndex findOrAddGroup(TargetTable &table, const std::string &name)
{
    const auto found = table.m_groupByName.find(name);
    if (found != table.m_groupByName.end()) {
        return found->second;
    }
    const GroupIndex index = static_cast<GroupIndex>(table.m_groups.size());
    table.m_groups.emplace_back().m_name = name;
    table.m_groupByName.emplace(name, index);
    return index;
}

ServiceIndex findOrAddService(TargetTable &table, GroupIndex group, const std::string &name)
{
    const std::string key = serviceKey(table.m_groups[group].m_name, name);
    const auto found = table.m_serviceByName.find(key);
    if (found != table.m_serviceByName.end()) {
        return found->second;
    }
    const ServiceIndex index = static_cast<ServiceIndex>(table.m_services.size());
    ServiceState &service = table.m_services.emplace_back();
    service.m_name = name;
    service.m_group = group;
    table.m_serviceByName.emplace(key, index);
    return index;
}

TargetIndex findOrAddTarget(TargetTable &table, const std::string &name)
{
    const auto found = table.m_targetByName.find(name);
    if (found != table.m_targetByName.end()) {
        return found->second;
    }
    const TargetIndex index = static_cast<TargetIndex>(table.m_targets.size());
    table.m_targets.emplace_back().m_name = name;
    table.m_targetByName.emplace(name, index);
    return index;
}

void resetConfiguration(TargetTable &table)
{
    for (TargetState &target : table.m_targets) {
        target.m_configured = false;
    }
    for (ServiceState &service : table.m_services) {
        service.m_configured = false;
        service.m_targets.clear();
        service.m_ejected = 0;
    }
    for (GroupState &group : table.m_groups) {
        group.m_partitionings.clear();
        ++group.m_stateRevision;
    }
}

void configureTarget(TargetTable &table, const Settings &settings, std::string_view node,
                     ServiceIndex serviceIndex, const ServiceSettings &serviceSettings,
                     const TargetSettings &targetSettings)
{
    const TargetIndex index = findOrAddTarget(table, targetSettings.m_name);
    TargetState &target = table.m_targets[index];
    ServiceState &service = table.m_services[serviceIndex];
    if (target.m_configured) {
        return; // Target names are unique; later duplicates are ignored.
    }
    target.m_configured = true;
    target.m_service = serviceIndex;
    target.m_ordinal = static_cast<std::uint32_t>(service.m_targets.size());
    target.m_inLocalDataCentre = targetSettings.m_dataCentre == settings.m_site;
    target.m_slots = std::max(serviceSettings.m_slots, 1);
    target.m_connectionShare =
        connectionShare(settings, target.m_name, serviceSettings.m_connections, node);
    target.m_drainingBySettings = targetSettings.m_draining;
    service.m_targets.push_back(index);
    service.m_ejected += target.m_ejected ? 1 : 0;
}

void configurePartitionings(TargetTable &table, GroupIndex groupIndex,
                            const GroupSettings &groupSettings)
{
    GroupState &group = table.m_groups[groupIndex];
    for (const PartitioningSettings &settings : groupSettings.m_partitionings) {
        PartitioningState &partitioning = group.m_partitionings.emplace_back();
        partitioning.m_epoch = settings.m_epoch;
        for (const std::string &name : settings.m_services) {
            const ServiceIndex service = findService(table, groupIndex, name);
            if (service != noIndex) {
                partitioning.m_services.push_back(service);
            }
        }
    }
    if (group.m_partitionings.empty()) {
        PartitioningState &partitioning = group.m_partitionings.emplace_back();
        for (const ServiceSettings &service : groupSettings.m_services) {
            partitioning.m_services.push_back(findService(table, groupIndex, service.m_name));
        }
    }
    std::stable_sort(group.m_partitionings.begin(), group.m_partitionings.end(),
                     [](const PartitioningState &left, const PartitioningState &right) {
                         return left.m_epoch > right.m_epoch;
                     });
}

} // namespace

int connectionShare(const Settings &settings, std::string_view target, int connections,
                    std::string_view node)
{
    const int nodes = std::max<int>(static_cast<int>(settings.m_nodes.size()), 1);
    if (connections >= nodes) {
        return connections / nodes;
    }
    const std::uint64_t ownWeight = rendezvousWeight(target, node);
    int nodesWithHigherWeight = 0;
    for (const NodeSettings &other : settings.m_nodes) {
        const std::uint64_t weight = rendezvousWeight(target, other.m_name);
        const bool hasHigherWeight =
            weight > ownWeight || (weight == ownWeight && other.m_name < node);
        nodesWithHigherWeight += other.m_name != node && hasHigherWeight ? 1 : 0;
    }
    return nodesWithHigherWeight < connections ? 1 : 0;
}

void configureTargets(TargetTable &table, const Settings &settings, std::string_view node)
{
    resetConfiguration(table);
    table.m_nodes = std::max<std::size_t>(settings.m_nodes.size(), 1);
    for (const GroupSettings &groupSettings : settings.m_groups) {
        const GroupIndex group = findOrAddGroup(table, groupSettings.m_name);
        for (const ServiceSettings &serviceSettings : groupSettings.m_services) {
            const ServiceIndex service = findOrAddService(table, group, serviceSettings.m_name);
            table.m_services[service].m_configured = true;
            for (const TargetSettings &target : serviceSettings.m_targets) {
                configureTarget(table, settings, node, service, serviceSettings, target);
            }
        }
        configurePartitionings(table, group, groupSettings);
    }
}

TargetIndex findTarget(const TargetTable &table, std::string_view name)
{
    const auto found = table.m_targetByName.find(std::string(name));
    return found == table.m_targetByName.end() ? noIndex : found->second;
}

GroupIndex findGroup(const TargetTable &table, std::string_view name)
{
    const auto found = table.m_groupByName.find(std::string(name));
    return found == table.m_groupByName.end() ? noIndex : found->second;
}

ServiceIndex findService(const TargetTable &table, GroupIndex group, std::string_view service)
{
    const auto found =
        table.m_serviceByName.find(serviceKey(table.m_groups[group].m_name, service));
    return found == table.m_serviceByName.end() ? noIndex : found->second;
}

} // namespace arbutusgrade
