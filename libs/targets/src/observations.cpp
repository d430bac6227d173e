#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Probe results may be outdated, so they don't replace snapshots from a reply, or load from any
//! source, that are younger than this. The value exceeds the age of any probe result.
constexpr Duration replyPrecedenceTime = std::chrono::seconds(5);

//! A probe result without draining ends a reported drain only after this time, because a health
//! endpoint that lags reports "not draining" after the drain has begun.
constexpr Duration drainReportMinimumTime = std::chrono::seconds(30);

void incrementStateRevision(TargetTable &table, const TargetState &target) noexcept
{
    if (target.m_service != noIndex) {
        ++table.m_groups[table.m_services[target.m_service].m_group].m_stateRevision;
    }
}

void updateStartId(TargetState &target, const std::string &startId)
{
    if (startId.empty() || startId == target.m_startId) {
        return;
    }
    if (!target.m_startId.empty()) {
        target.m_adaptiveLimit = 1.0;
        target.m_slowStart = true;
        target.m_drainingByReport = false;
        target.m_holdingsReportedAt = TimePoint{};
    }
    target.m_previousStartId = target.m_startId;
    target.m_startId = startId;
}

void updateHoldings(TargetTable &table, TargetState &target, TimePoint now,
                    const std::vector<Snapshot> &reported)
{
    const bool hasRecentReply =
        target.m_holdingsKnown && now - target.m_holdingsReportedAt < replyPrecedenceTime;
    if (reported.empty() || hasRecentReply) {
        return;
    }
    std::vector<Snapshot> holdings = reported;
    std::sort(holdings.begin(), holdings.end());
    if (!target.m_holdingsKnown || holdings != target.m_holdings) {
        target.m_holdings = std::move(holdings);
        target.m_holdingsKnown = true;
        incrementStateRevision(table, target);
    }
}

bool updateDraining(TargetTable &table, TargetState &target, TimePoint now, bool draining)
{
    if (!draining) {
        if (target.m_drainingByReport && now - target.m_drainReportedAt >= drainReportMinimumTime) {
            target.m_drainingByReport = false;
            incrementStateRevision(table, target);
        }
        return false;
    }
    const bool isNewlyDraining = !isDraining(target);
    target.m_drainingByReport = true;
    target.m_drainReportedAt = now;
    incrementStateRevision(table, target);
    return isNewlyDraining;
}

} // namespace

void recordSnapshotGone(TargetTable &table, TargetIndex index, TimePoint now,
                        const Snapshot &snapshot)
{
    TargetState &target = table.m_targets[index];
    target.m_holdingsReportedAt = now;
    if (!target.m_holdingsKnown) {
        target.m_holdingsKnown = true;
        incrementStateRevision(table, target);
        return;
    }
    const auto found =
        std::lower_bound(target.m_holdings.begin(), target.m_holdings.end(), snapshot);
    if (found != target.m_holdings.end() && *found == snapshot) {
        target.m_holdings.erase(found);
        incrementStateRevision(table, target);
    }
}

bool updateFromObservation(TargetTable &table, TimePoint now, const TargetObservation &observation)
{
    const TargetIndex index = findTarget(table, observation.m_target);
    if (index == noIndex) {
        return false;
    }
    TargetState &target = table.m_targets[index];
    if (!observation.m_startId.empty() && observation.m_startId == target.m_previousStartId) {
        return false; // Outdated observation of the process before the last restart.
    }
    updateStartId(target, observation.m_startId);
    updateHoldings(table, target, now, observation.m_holdings);
    const bool isLoadOutdated = now - target.m_loadReportedAt >= replyPrecedenceTime;
    if (observation.m_load && (!target.m_load || isLoadOutdated)) {
        target.m_load = observation.m_load;
        target.m_loadReportedAt = now;
    }
    if (observation.m_reachable.value_or(false) && target.m_ejected && !target.m_trialInFlight) {
        // Health endpoints may lag or report wrongly, so a success only advances the next trial
        // request. The ejection ends when the target replies to a request.
        target.m_nextTrialAt = std::min(target.m_nextTrialAt, now);
    }
    if (!observation.m_draining) {
        return false;
    }
    return updateDraining(table, target, now, *observation.m_draining);
}

} // namespace arbutusgrade
