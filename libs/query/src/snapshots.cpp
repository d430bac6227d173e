#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Limits the work for a request whose snapshots repeatedly become unavailable.
constexpr int maximumRestarts = 4;

bool isUsable(const TargetState &target) noexcept
{
    return acceptsWork(target) && !target.m_ejected;
}

void collectSnapshots(const QueryEngine &engine, const PartitioningState &partitioning,
                      std::vector<SnapshotCoverage> &snapshots)
{
    for (const ServiceIndex service : partitioning.m_services) {
        for (const TargetIndex index : engine.m_table.m_services[service].m_targets) {
            for (const Snapshot &holding : engine.m_table.m_targets[index].m_holdings) {
                const auto known = std::find_if(snapshots.begin(), snapshots.end(),
                                                [&holding](const SnapshotCoverage &candidate) {
                                                    return candidate.m_snapshot == holding;
                                                });
                if (holding.m_epoch == partitioning.m_epoch && known == snapshots.end()) {
                    snapshots.push_back(SnapshotCoverage{holding, 0, 0, noIndex});
                }
            }
        }
    }
}

bool isCovered(const QueryEngine &engine, ServiceIndex service, const Snapshot &snapshot,
               bool isNewest) noexcept
{
    const std::vector<TargetIndex> &targets = engine.m_table.m_services[service].m_targets;
    return std::any_of(targets.begin(), targets.end(),
                       [&engine, &snapshot, isNewest](TargetIndex index) {
                           const TargetState &target = engine.m_table.m_targets[index];
                           return isUsable(target) && mayHoldSnapshot(target, snapshot, isNewest);
                       });
}

void countCoverage(const QueryEngine &engine, const PartitioningState &partitioning,
                   GroupRuntime &runtime)
{
    for (SnapshotCoverage &candidate : runtime.m_snapshots) {
        if (candidate.m_snapshot.m_epoch != partitioning.m_epoch) {
            continue;
        }
        const bool isNewest = isNewestOfEpoch(runtime, candidate.m_snapshot);
        candidate.m_totalServices = partitioning.m_services.size();
        for (const ServiceIndex service : partitioning.m_services) {
            candidate.m_coveredServices +=
                isCovered(engine, service, candidate.m_snapshot, isNewest) ? 1U : 0U;
        }
    }
}

//! Returns the newest snapshot with full coverage, or else the newest of those with most coverage.
std::optional<Snapshot> chooseSnapshot(const std::vector<SnapshotCoverage> &snapshots)
{
    const SnapshotCoverage *best = nullptr;
    for (const SnapshotCoverage &candidate : snapshots) {
        if (candidate.m_totalServices > 0
            && candidate.m_coveredServices == candidate.m_totalServices) {
            return candidate.m_snapshot;
        }
        if (best == nullptr || candidate.m_coveredServices > best->m_coveredServices) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<Snapshot>(best->m_snapshot);
}

const PartitioningState *findPartitioning(const QueryEngine &engine, GroupIndex group,
                                          std::uint64_t epoch) noexcept
{
    for (const PartitioningState &partitioning : engine.m_table.m_groups[group].m_partitionings) {
        if (partitioning.m_epoch == epoch) {
            return &partitioning;
        }
    }
    return nullptr;
}

std::size_t coveredServices(const GroupRuntime &runtime, const Snapshot &snapshot) noexcept
{
    for (const SnapshotCoverage &candidate : runtime.m_snapshots) {
        if (candidate.m_snapshot == snapshot) {
            return candidate.m_coveredServices;
        }
    }
    return 0;
}

void planShards(Request &request, const PartitioningState &partitioning)
{
    request.m_shards.clear();
    request.m_shards.resize(partitioning.m_services.size());
    for (std::size_t index = 0; index < partitioning.m_services.size(); ++index) {
        request.m_shards[index].m_service = partitioning.m_services[index];
    }
    request.m_openShards = static_cast<std::uint32_t>(request.m_shards.size());
    request.m_mergedShards = 0;
    request.m_awaitingProbe = 0;
}

} // namespace

void refreshSnapshots(QueryEngine &engine, GroupIndex groupIndex)
{
    const GroupState &group = engine.m_table.m_groups[groupIndex];
    GroupRuntime &runtime = engine.m_groups[groupIndex];
    if (runtime.m_snapshotsRevision == group.m_stateRevision) {
        return;
    }
    runtime.m_snapshotsRevision = group.m_stateRevision;
    runtime.m_snapshots.clear();
    for (const PartitioningState &partitioning : group.m_partitionings) {
        collectSnapshots(engine, partitioning, runtime.m_snapshots);
    }
    if (runtime.m_snapshots.empty() && !group.m_partitionings.empty()) {
        // No target has reported its holdings. All targets refuse version 0, and the refusal lists
        // the snapshots that they hold.
        const Snapshot unknown{group.m_partitionings.front().m_epoch, 0};
        runtime.m_snapshots.push_back(SnapshotCoverage{unknown, 0, 0, noIndex});
    }
    std::sort(runtime.m_snapshots.begin(), runtime.m_snapshots.end(),
              [](const SnapshotCoverage &left, const SnapshotCoverage &right) {
                  return left.m_snapshot > right.m_snapshot;
              });
    for (const PartitioningState &partitioning : group.m_partitionings) {
        countCoverage(engine, partitioning, runtime);
    }
    runtime.m_chosenSnapshot = chooseSnapshot(runtime.m_snapshots);
}

bool isNewestOfEpoch(const GroupRuntime &group, const Snapshot &snapshot) noexcept
{
    for (const SnapshotCoverage &candidate : group.m_snapshots) {
        if (candidate.m_snapshot.m_epoch == snapshot.m_epoch) {
            return candidate.m_snapshot <= snapshot;
        }
    }
    return true;
}

bool pinSnapshot(QueryEngine &engine, Request &request)
{
    refreshSnapshots(engine, request.m_group);
    const std::optional<Snapshot> choice = engine.m_groups[request.m_group].m_chosenSnapshot;
    if (!choice) {
        return false;
    }
    const PartitioningState *partitioning =
        findPartitioning(engine, request.m_group, choice->m_epoch);
    if (partitioning == nullptr || partitioning->m_services.empty()) {
        return false;
    }
    request.m_snapshot = choice;
    planShards(request, *partitioning);
    return true;
}

bool repinUnsent(QueryEngine &engine, Request &request)
{
    if (!isFanOut(request) || request.m_attemptsSent > 0) {
        return false;
    }
    refreshSnapshots(engine, request.m_group);
    const GroupRuntime &runtime = engine.m_groups[request.m_group];
    if (!runtime.m_chosenSnapshot || *runtime.m_chosenSnapshot == *request.m_snapshot) {
        return false;
    }
    for (SubRequest &shard : request.m_shards) {
        dequeueShard(engine, request, shard);
    }
    return pinSnapshot(engine, request);
}

bool restartOnOtherSnapshot(QueryEngine &engine, const Event &event, Request &request)
{
    refreshSnapshots(engine, request.m_group);
    const GroupRuntime &runtime = engine.m_groups[request.m_group];
    if (request.m_answered || !request.m_snapshot || !runtime.m_chosenSnapshot
        || request.m_restarts >= maximumRestarts
        || *runtime.m_chosenSnapshot == *request.m_snapshot) {
        return false;
    }
    const bool inTime = event.m_now + runtime.m_latencies.m_p50 < request.m_deadline;
    const bool better = coveredServices(runtime, *runtime.m_chosenSnapshot)
                            > coveredServices(runtime, *request.m_snapshot)
                        || runtime.m_chosenSnapshot->m_epoch != request.m_snapshot->m_epoch;
    const std::size_t repeated = static_cast<std::size_t>(
        std::count_if(request.m_shards.begin(), request.m_shards.end(),
                      [](const SubRequest &shard) { return shard.m_attemptsSent > 0; }));
    if (!inTime || !better || !spendRestartBudget(engine, request.m_group, repeated)) {
        return false;
    }
    ++request.m_restarts;
    request.m_earlyAnswerScheduled = false;
    ++engine.m_statistics.m_restarts;
    for (SubRequest &shard : request.m_shards) {
        dequeueShard(engine, request, shard);
        cancelAttempts(engine, event, shard);
    }
    return pinSnapshot(engine, request);
}

} // namespace arbutusgrade
