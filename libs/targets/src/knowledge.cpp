#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Probes lag, so what a reply said of holdings counts for longer than any probe's age.
constexpr Duration replyPrecedence = std::chrono::seconds(5);

//! A probe that says "not draining" cancels an earlier report only after this time, because a
//! lagging health endpoint still denies a drain that has begun.
constexpr Duration drainPrecedence = std::chrono::seconds(30);

void bumpKnowledge(TargetTable &table, const TargetState &target) noexcept
{
    if (target.m_service != noIndex) {
        ++table.m_groups[table.m_services[target.m_service].m_group].m_knowledgeRevision;
    }
}

void learnStart(TargetState &target, const std::string &startId)
{
    if (startId.empty() || startId == target.m_startId) {
        return;
    }
    if (!target.m_startId.empty()) {
        target.m_limit = 1.0;
        target.m_slowStart = true;
        target.m_drainingByReport = false;
        target.m_holdingsAt = TimePoint{};
    }
    target.m_previousStartId = target.m_startId;
    target.m_startId = startId;
}

void learnHoldings(TargetTable &table, TargetState &target, TimePoint now,
                   const std::vector<Snapshot> &reported)
{
    const bool replyIsFresh = target.m_holdingsKnown && now - target.m_holdingsAt < replyPrecedence;
    if (reported.empty() || replyIsFresh) {
        return;
    }
    std::vector<Snapshot> holdings = reported;
    std::sort(holdings.begin(), holdings.end());
    if (!target.m_holdingsKnown || holdings != target.m_holdings) {
        target.m_holdings = std::move(holdings);
        target.m_holdingsKnown = true;
        bumpKnowledge(table, target);
    }
}

bool learnDraining(TargetTable &table, TargetState &target, TimePoint now, bool draining)
{
    if (!draining) {
        if (target.m_drainingByReport && now - target.m_drainReportedAt >= drainPrecedence) {
            target.m_drainingByReport = false;
            bumpKnowledge(table, target);
        }
        return false;
    }
    const bool isNews = !isDraining(target);
    target.m_drainingByReport = true;
    target.m_drainReportedAt = now;
    bumpKnowledge(table, target);
    return isNews;
}

} // namespace

void learnSnapshotGone(TargetTable &table, TargetIndex index, TimePoint now,
                       const Snapshot &snapshot)
{
    TargetState &target = table.m_targets[index];
    target.m_holdingsAt = now;
    if (!target.m_holdingsKnown) {
        target.m_holdingsKnown = true;
        bumpKnowledge(table, target);
        return;
    }
    const auto found =
        std::lower_bound(target.m_holdings.begin(), target.m_holdings.end(), snapshot);
    if (found != target.m_holdings.end() && *found == snapshot) {
        target.m_holdings.erase(found);
        bumpKnowledge(table, target);
    }
}

bool learnFromObservation(TargetTable &table, TimePoint now, const TargetObservation &observation)
{
    const TargetIndex index = findTarget(table, observation.m_target);
    if (index == noIndex) {
        return false;
    }
    TargetState &target = table.m_targets[index];
    if (!observation.m_startId.empty() && observation.m_startId == target.m_previousStartId) {
        return false; // A lagging probe of the time before the last restart.
    }
    learnStart(target, observation.m_startId);
    learnHoldings(table, target, now, observation.m_holdings);
    const bool loadIsOld = now - target.m_loadAt >= replyPrecedence;
    if (observation.m_load && (!target.m_load || loadIsOld)) {
        target.m_load = observation.m_load;
        target.m_loadAt = now;
    }
    if (observation.m_reachable.value_or(false) && target.m_ejected && !target.m_trialInFlight) {
        // Health lags or misleads, so it brings the next trial forward but readmits nothing.
        target.m_trialAt = std::min(target.m_trialAt, now);
    }
    if (!observation.m_draining) {
        return false;
    }
    return learnDraining(table, target, now, *observation.m_draining);
}

} // namespace arbutusgrade
