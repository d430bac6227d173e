#include "targets/targets.h"

#include <algorithm>
#include <limits>

namespace arbutusgrade {

namespace {

//! A remote target must be this much cheaper than a local one to be preferred.
constexpr double remoteCostFactor = 3.0;

//! Latency assumed for targets without observations, in microseconds.
constexpr double unknownLatency = 1000.0;

//! Reported load and measured latency lose half of their weight in this time, so that a target
//! that once was slow is tried again.
constexpr double knowledgeHalfLife = 500000.0;

//! A reservation that is not used ends by itself, so that a target is never shut off for long.
constexpr Duration reservationTime = std::chrono::seconds(1);

bool wasTried(const TargetState &target, std::uint64_t tried) noexcept
{
    return target.m_ordinal < 64 && ((tried >> target.m_ordinal) & 1U) != 0;
}

double freshness(TimePoint now, TimePoint then) noexcept
{
    const double age = static_cast<double>(std::max<std::int64_t>((now - then).count(), 0));
    return knowledgeHalfLife / (knowledgeHalfLife + age);
}

//! Expected time of an attempt at the target, relative to others of its service.
double expectedCost(const TargetTable &table, TimePoint now, const TargetState &target) noexcept
{
    const double median =
        static_cast<double>(table.m_services[target.m_service].m_latencies.m_p50.count());
    const double usual = median > 0 ? median : unknownLatency;
    double latency = usual;
    if (target.m_latency > 0) {
        latency += (target.m_latency - usual) * freshness(now, target.m_latencyAt);
    }
    double waiting = 0;
    if (target.m_load) {
        // What other nodes have running there; own attempts are known exactly.
        const int others = target.m_load->m_running + target.m_load->m_queued - target.m_inFlight;
        waiting = std::max(others, 0) * freshness(now, target.m_loadAt);
    }
    const double occupied = (target.m_inFlight + waiting) / target.m_slots;
    return std::max(latency, 1.0) * (1.0 + occupied) * (target.m_local ? 1.0 : remoteCostFactor);
}

bool isCandidate(const TargetState &target, const ChoiceCriteria &criteria) noexcept
{
    if (criteria.m_ignoreDraining) {
        return target.m_configured && target.m_connectionShare > 0;
    }
    return acceptsWork(target);
}

bool isReservedForOther(const TargetState &target, TimePoint now,
                        const ChoiceCriteria &criteria) noexcept
{
    return target.m_reservedUntil > now && target.m_reservedFor != criteria.m_fingerprint;
}

bool hasCapacity(const TargetTable &table, TimePoint now, const TargetState &target,
                 const ChoiceCriteria &criteria) noexcept
{
    if (isReservedForOther(target, now, criteria) || (criteria.m_alone && target.m_inFlight > 0)) {
        return false;
    }
    const int allowed =
        criteria.m_ignoreShare ? target.m_connectionShare + 2 : inFlightLimit(table, target);
    return target.m_inFlight < allowed;
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
    return std::min(std::max(static_cast<int>(target.m_limit), 1), target.m_connectionShare);
}

bool mayHold(const TargetState &target, const Snapshot &snapshot, bool isNewest) noexcept
{
    if (!target.m_holdingsKnown) {
        return isNewest;
    }
    return std::binary_search(target.m_holdings.begin(), target.m_holdings.end(), snapshot);
}

Choice chooseTarget(const TargetTable &table, TimePoint now, const ChoiceCriteria &criteria,
                    RandomGenerator &random)
{
    // Ranks: untried healthy, tried healthy. Ejected targets get trial requests only.
    Choice choice;
    double bestCost = std::numeric_limits<double>::max();
    bool bestTried = true;
    for (const TargetIndex index : table.m_services[criteria.m_service].m_targets) {
        const TargetState &target = table.m_targets[index];
        if (!isCandidate(target, criteria)) {
            continue;
        }
        if (criteria.m_snapshot
            && !mayHold(target, *criteria.m_snapshot, criteria.m_snapshotIsNewest)) {
            if (choice.m_result == ChoiceResult::NoReplica) {
                choice.m_result = ChoiceResult::NoSnapshot;
            }
            continue;
        }
        const bool tried = wasTried(target, criteria.m_tried);
        if (tried && criteria.m_avoidTried) {
            continue;
        }
        if (choice.m_result != ChoiceResult::Chosen) {
            choice.m_result = ChoiceResult::Busy;
        }
        if (target.m_ejected || !hasCapacity(table, now, target, criteria)) {
            continue;
        }
        // Jitter keeps nodes with the same knowledge from choosing the same target.
        const double cost = expectedCost(table, now, target) * (1.0 + 0.2 * nextRandomUnit(random));
        if (choice.m_target == noIndex || (bestTried && !tried)
            || (bestTried == tried && cost < bestCost)) {
            choice.m_result = ChoiceResult::Chosen;
            choice.m_target = index;
            bestCost = cost;
            bestTried = tried;
        }
    }
    return choice;
}

TargetIndex findTrialTarget(const TargetTable &table, TimePoint now, const ChoiceCriteria &criteria)
{
    const ServiceState &service = table.m_services[criteria.m_service];
    if (service.m_ejected == 0) {
        return noIndex;
    }
    for (const TargetIndex index : service.m_targets) {
        const TargetState &target = table.m_targets[index];
        const bool due = target.m_ejected && !target.m_trialInFlight && target.m_trialAt <= now;
        if (!due || !isCandidate(target, criteria) || wasTried(target, criteria.m_tried)
            || isReservedForOther(target, now, criteria)
            || target.m_inFlight >= target.m_connectionShare) {
            continue;
        }
        if (!criteria.m_snapshot
            || mayHold(target, *criteria.m_snapshot, criteria.m_snapshotIsNewest)) {
            return index;
        }
    }
    return noIndex;
}

void reserveTarget(TargetTable &table, TimePoint now, const ChoiceCriteria &criteria)
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
                && !mayHold(target, *criteria.m_snapshot, criteria.m_snapshotIsNewest))) {
            continue;
        }
        if (best == nullptr || target.m_inFlight < best->m_inFlight) {
            best = &target;
        }
    }
    if (best != nullptr) {
        best->m_reservedFor = criteria.m_fingerprint;
        best->m_reservedUntil = now + reservationTime;
    }
}

} // namespace arbutusgrade
