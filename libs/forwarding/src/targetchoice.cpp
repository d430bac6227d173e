#include <algorithm>
#include <cmath>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

// Beliefs about slowness and failures fade with these time constants, so that a target that is
// avoided is tried again without health checks.
constexpr double slownessMemorySeconds = 1.5;
constexpr double failureMemorySeconds = 2.5;

// Weight of a new observation in the smoothed values.
constexpr double observationWeight = 0.25;

// A single pause is long against usual times; the cap keeps it from being held against the target
// for seconds after its end.
constexpr double slownessCap = 5.0;

constexpr double refusalWeight = 0.25;

constexpr Duration failureAvoidance{300'000};
constexpr Duration silenceAvoidance{700'000};
constexpr Duration fullAvoidance{60'000};
constexpr Duration connectAvoidance{250'000};
constexpr int connectAvoidanceDoublings = 2;

// Costs in units of the usual time of a request at a healthy target.
constexpr double inFlightCost = 0.35;
constexpr double otherDataCentreCost = 0.6;
constexpr double warmingCost = 0.8;
constexpr double failureCost = 6.0;
constexpr double avoidedCost = 30.0;
constexpr double stalledCost = 12.0;
constexpr double removedCost = 3.0;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

void fadeBeliefs(Target &target, TimePoint now)
{
    const double elapsed = std::max(0.0, secondsBetween(target.m_learnedAt, now));
    target.m_slowness =
        1.0 + (target.m_slowness - 1.0) * std::exp(-elapsed / slownessMemorySeconds);
    target.m_failureShare *= std::exp(-elapsed / failureMemorySeconds);
    target.m_learnedAt = now;
}

double expectedCost(Target &target, TimePoint now, const TargetCriteria &criteria)
{
    fadeBeliefs(target, now);
    double cost = target.m_slowness * (1.0 + inFlightCost * target.m_inFlight.size());
    cost += failureCost * target.m_failureShare;
    if (target.m_entry.m_dataCentre != criteria.m_dataCentre) {
        cost += otherDataCentreCost;
    }
    if (now < target.m_warmUntil) {
        cost += warmingCost;
    }
    if (now < target.m_avoidUntil) {
        cost += avoidedCost;
    }
    if (isStalled(target, now)) {
        cost += stalledCost;
    }
    if (target.m_removed) {
        cost += removedCost;
    }
    return cost;
}

bool isEligible(const Target &target, TimePoint now, const TargetCriteria &criteria)
{
    if (target.m_down || !acceptsRequests(target, now)) {
        return false;
    }
    if (static_cast<int>(target.m_inFlight.size()) >= criteria.m_inFlightLimit) {
        return false;
    }
    if (criteria.m_healthyOnly && (now < target.m_avoidUntil || isStalled(target, now))) {
        return false;
    }
    return std::find(criteria.m_exclude.begin(), criteria.m_exclude.end(), target.m_entry.m_id)
           == criteria.m_exclude.end();
}

} // namespace

bool isStalled(const Target &target, TimePoint now)
{
    return std::any_of(
        target.m_inFlight.begin(), target.m_inFlight.end(),
        [now](const OutstandingAttempt &attempt) { return now >= attempt.m_overdueAt; });
}

void endOutstanding(Target &target, std::uint64_t attempt)
{
    std::erase_if(target.m_inFlight, [attempt](const OutstandingAttempt &outstanding) {
        return outstanding.m_attempt == attempt;
    });
}

TargetPointer selectTarget(std::span<const TargetPointer> targets, TimePoint now,
                           const TargetCriteria &criteria)
{
    TargetPointer best;
    double bestCost = 0.0;
    for (const TargetPointer &target : targets) {
        if (!isEligible(*target, now, criteria)) {
            continue;
        }
        const double cost = expectedCost(*target, now, criteria);
        if (!best || cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    return best;
}

void learnDuration(Target &target, TimePoint now, Duration taken, Duration expected)
{
    fadeBeliefs(target, now);
    const double ratio =
        static_cast<double>(taken.count()) / std::max<double>(1.0, expected.count());
    target.m_slowness +=
        observationWeight * (std::clamp(ratio, 0.3, slownessCap) - target.m_slowness);
    target.m_failureShare *= 1.0 - observationWeight;
    learnReachable(target, now);
}

bool isAvailable(std::span<const TargetPointer> targets, TimePoint now)
{
    return std::any_of(targets.begin(), targets.end(), [now](const TargetPointer &target) {
        return !target->m_down && acceptsRequests(*target, now);
    });
}

void learnReachable(Target &target, TimePoint now)
{
    target.m_down = false;
    target.m_lost.clear();
    target.m_connectFailures = 0;
    target.m_avoidUntil = std::min(target.m_avoidUntil, now);
}

void learnFailure(Target &target, TimePoint now, TargetFailure failure)
{
    fadeBeliefs(target, now);
    if (failure == TargetFailure::Displaced) {
        target.m_displaced = true;
        return;
    }
    Duration avoidance = failureAvoidance;
    if (failure == TargetFailure::Full) {
        // A target that refuses part of the requests comes after one that takes them all.
        target.m_failureShare += refusalWeight * (1.0 - target.m_failureShare);
        target.m_avoidUntil = std::max(target.m_avoidUntil, now + fullAvoidance);
        return;
    }
    if (failure == TargetFailure::ConnectFailed) {
        avoidance =
            connectAvoidance * (1 << std::min(target.m_connectFailures, connectAvoidanceDoublings));
        ++target.m_connectFailures;
        target.m_down = true;
        target.m_probeAt = now + avoidance;
    } else if (failure == TargetFailure::Silent) {
        avoidance = silenceAvoidance;
    } else {
        // Single failures of a target that works otherwise do not take it out of use.
        avoidance = target.m_failureShare > 0.3 ? failureAvoidance : Duration::zero();
    }
    target.m_failureShare += observationWeight * (1.0 - target.m_failureShare);
    target.m_avoidUntil = std::max(target.m_avoidUntil, now + avoidance);
}

} // namespace arbutusgrade
