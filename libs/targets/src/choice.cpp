#include "targets/targets.h"

#include <algorithm>
#include <limits>

namespace arbutusgrade {

namespace {

//! A target in another data centre is selected only if its cost is lower by more than this factor.
constexpr double remoteDataCentreCostFactor = 3.0;

//! Assumed for services without latency observations.
constexpr double defaultLatencyMicroseconds = 1000.0;

//! Age at which the weight of reported load and measured latency is halved. Without this decay, a
//! target that was slow once would not be tried again.
constexpr double observationHalfLifeMicroseconds = 500000.0;

//! Unused reservations expire, so that they do not block a target for other requests for long.
constexpr Duration reservationTimeout = std::chrono::seconds(1);

//! Upper bound of the random share that is added to the cost of a target.
constexpr double costJitter = 0.2;

bool wasTried(const TargetState &target, std::uint64_t tried) noexcept
{
    return target.m_ordinal < 64 && ((tried >> target.m_ordinal) & 1U) != 0;
}

double observationWeight(TimePoint now, TimePoint observedAt) noexcept
{
    const double age = static_cast<double>(std::max<std::int64_t>((now - observedAt).count(), 0));
    return observationHalfLifeMicroseconds / (observationHalfLifeMicroseconds + age);
}

//! Estimated duration of an attempt at the target, for comparison with targets of the same service.
double relativeCost(const TargetTable &table, TimePoint now, const TargetState &target) noexcept
{
    const double medianLatency =
        static_cast<double>(table.m_services[target.m_service].m_latencies.m_p50.count());
    const double baseline = medianLatency > 0 ? medianLatency : defaultLatencyMicroseconds;
    double latency = baseline;
    if (target.m_averageLatencyMicroseconds > 0) {
        latency += (target.m_averageLatencyMicroseconds - baseline)
                   * observationWeight(now, target.m_latencyUpdatedAt);
    }
    double otherRequests = 0;
    if (target.m_load) {
        // Reported load includes the attempts of this node, which are known exactly.
        const int reportedOthers =
            target.m_load->m_running + target.m_load->m_queued - target.m_inFlight;
        otherRequests =
            std::max(reportedOthers, 0) * observationWeight(now, target.m_loadReportedAt);
    }
    const double requestsPerSlot = (target.m_inFlight + otherRequests) / target.m_slots;
    return std::max(latency, 1.0) * (1.0 + requestsPerSlot)
           * (target.m_inLocalDataCentre ? 1.0 : remoteDataCentreCostFactor);
}

bool isEligible(const TargetState &target, const TargetChoiceCriteria &criteria) noexcept
{
    if (criteria.m_ignoreDraining) {
        return target.m_configured && target.m_connectionShare > 0;
    }
    return acceptsWork(target);
}

bool isReservedForOther(const TargetState &target, TimePoint now,
                        const TargetChoiceCriteria &criteria) noexcept
{
    return target.m_reservedUntil > now && target.m_reservedFor != criteria.m_fingerprint;
}

bool hasCapacity(const TargetTable &table, TimePoint now, const TargetState &target,
                 const TargetChoiceCriteria &criteria) noexcept
{
    if (isReservedForOther(target, now, criteria) || (criteria.m_alone && target.m_inFlight > 0)) {
        return false;
    }
    const int limit = criteria.m_ignoreConnectionShare ? target.m_connectionShare + 2
                                                       : inFlightLimit(table, target);
    return target.m_inFlight < limit;
}

} // namespace

bool isDraining(const TargetState &target) noexcept
{
    return target.m_drainingBySettings || target.m_drainingByReport;
}

bool acceptsWork(const TargetState &target) noexcept
{
    return target.m_configured && target.m_connectionShare > 0 && !isDraining(target);
}

int inFlightLimit(const TargetTable &table, const TargetState &target) noexcept
{
    if (table.m_slotPolicy == SlotPolicy::StaticShare) {
        const int nodes = static_cast<int>(table.m_nodes);
        const int share = (target.m_slots + nodes - 1) / nodes;
        return std::min(share, target.m_connectionShare);
    }
    return std::min(std::max(static_cast<int>(target.m_adaptiveLimit), 1),
                    target.m_connectionShare);
}

bool mayHoldSnapshot(const TargetState &target, const Snapshot &snapshot, bool isNewest) noexcept
{
    if (!target.m_holdingsKnown) {
        return isNewest;
    }
    return std::binary_search(target.m_holdings.begin(), target.m_holdings.end(), snapshot);
}

TargetChoice chooseTarget(const TargetTable &table, TimePoint now,
                          const TargetChoiceCriteria &criteria, RandomGenerator &random)
{
    // Untried targets rank before tried ones. Ejected targets get trial requests only.
    TargetChoice choice;
    double bestCost = std::numeric_limits<double>::max();
    bool bestTried = true;
    for (const TargetIndex index : table.m_services[criteria.m_service].m_targets) {
        const TargetState &target = table.m_targets[index];
        if (!isEligible(target, criteria)) {
            continue;
        }
        if (criteria.m_snapshot
            && !mayHoldSnapshot(target, *criteria.m_snapshot, criteria.m_snapshotIsNewest)) {
            if (choice.m_result == TargetChoiceResult::NoReplica) {
                choice.m_result = TargetChoiceResult::NoSnapshot;
            }
            continue;
        }
        const bool tried = wasTried(target, criteria.m_tried);
        if (tried && criteria.m_excludeTried) {
            continue;
        }
        if (choice.m_result != TargetChoiceResult::Chosen) {
            choice.m_result = TargetChoiceResult::Busy;
        }
        if (target.m_ejected || !hasCapacity(table, now, target, criteria)) {
            continue;
        }
        // Jitter keeps nodes with the same observations from all selecting the same target.
        const double cost =
            relativeCost(table, now, target) * (1.0 + costJitter * nextRandomUnit(random));
        if (choice.m_target == noIndex || (bestTried && !tried)
            || (bestTried == tried && cost < bestCost)) {
            choice.m_result = TargetChoiceResult::Chosen;
            choice.m_target = index;
            bestCost = cost;
            bestTried = tried;
        }
    }
    return choice;
}

TargetIndex findTrialTarget(const TargetTable &table, TimePoint now,
                            const TargetChoiceCriteria &criteria)
{
    const ServiceState &service = table.m_services[criteria.m_service];
    if (service.m_ejected == 0) {
        return noIndex;
    }
    for (const TargetIndex index : service.m_targets) {
        const TargetState &target = table.m_targets[index];
        const bool isTrialDue =
            target.m_ejected && !target.m_trialInFlight && target.m_nextTrialAt <= now;
        if (!isTrialDue || !isEligible(target, criteria) || wasTried(target, criteria.m_tried)
            || isReservedForOther(target, now, criteria)
            || target.m_inFlight >= target.m_connectionShare) {
            continue;
        }
        if (!criteria.m_snapshot
            || mayHoldSnapshot(target, *criteria.m_snapshot, criteria.m_snapshotIsNewest)) {
            return index;
        }
    }
    return noIndex;
}

void reserveTarget(TargetTable &table, TimePoint now, const TargetChoiceCriteria &criteria)
{
    TargetState *best = nullptr;
    for (const TargetIndex index : table.m_services[criteria.m_service].m_targets) {
        TargetState &target = table.m_targets[index];
        const bool reserved = target.m_reservedUntil > now;
        if (reserved && target.m_reservedFor == criteria.m_fingerprint) {
            return;
        }
        if (reserved || target.m_ejected || !acceptsWork(target)
            || (criteria.m_snapshot
                && !mayHoldSnapshot(target, *criteria.m_snapshot, criteria.m_snapshotIsNewest))) {
            continue;
        }
        if (best == nullptr || target.m_inFlight < best->m_inFlight) {
            best = &target;
        }
    }
    if (best != nullptr) {
        best->m_reservedFor = criteria.m_fingerprint;
        best->m_reservedUntil = now + reservationTimeout;
    }
}

} // namespace arbutusgrade
