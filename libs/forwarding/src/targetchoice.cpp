#include <algorithm>
#include <cmath>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

// Time constants of the exponential decay of target statistics. The decay lets a target with poor
// statistics be tried again without health checks.
constexpr double latencyRatioDecaySeconds = 1.5;
constexpr double failureRateDecaySeconds = 2.5;

// Where requests are rare, the statistics last for this many requests to the service instead, so
// that trying poor targets again costs a bounded share of the requests.
constexpr double latencyRatioDecayRequests = 15.0;
constexpr double failureRateDecayRequests = 25.0;
constexpr double maximumDecaySeconds = 15.0;

// A reply with at least this ratio of actual to expected latency is slow. A single slow reply may
// be due to a pause, which is over before the next request.
constexpr double slowReplyRatio = 3.0;
constexpr int slowReplyThreshold = 2;

// Weight of a new sample in the moving averages.
constexpr double smoothingFactor = 0.25;

// Limits a single sample. Without the limit, one pause would keep requests away from a target for
// seconds after its end.
constexpr double minimumLatencyRatio = 0.3;
constexpr double maximumLatencyRatio = 5.0;

constexpr double rejectionSmoothingFactor = 0.25;

// Failure rate above which failed requests cause a backoff.
constexpr double backoffFailureRate = 0.3;

constexpr Duration failureBackoff = 300ms;
constexpr Duration unresponsiveBackoff = 700ms;
constexpr Duration rejectionBackoff = 60ms;
constexpr Duration connectBackoff = 250ms;
constexpr int maximumConnectBackoffDoublings = 2;

// Costs in units of the typical latency of a healthy target.
constexpr double inFlightCost = 0.35;
constexpr double otherDataCentreCost = 0.7;
// Lets nodes prefer different targets. Below otherDataCentreCost, so that spreading the load keeps
// requests in the data centre.
constexpr double tieBreakerCost = 0.2;
constexpr double warmingCost = 0.8;
constexpr double failureCost = 6.0;
constexpr double backoffCost = 30.0;
constexpr double stalledCost = 12.0;
constexpr double removedCost = 3.0;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

double decaySeconds(double minimumSeconds, double requests, Duration requestInterval)
{
    const double interval = std::chrono::duration<double>(requestInterval).count();
    return std::clamp(requests * interval, minimumSeconds, maximumDecaySeconds);
}

void decayStatistics(Target &target, TimePoint now)
{
    const double elapsed = std::max(0.0, secondsBetween(target.m_statisticsUpdatedAt, now));
    const bool isSlow = target.m_consecutiveSlowReplies >= slowReplyThreshold;
    const double latencySeconds =
        isSlow ? decaySeconds(latencyRatioDecaySeconds, latencyRatioDecayRequests,
                              target.m_requestInterval)
               : latencyRatioDecaySeconds;
    const double failureSeconds =
        decaySeconds(failureRateDecaySeconds, failureRateDecayRequests, target.m_requestInterval);
    target.m_latencyRatio =
        1.0 + (target.m_latencyRatio - 1.0) * std::exp(-elapsed / latencySeconds);
    target.m_failureRate *= std::exp(-elapsed / failureSeconds);
    target.m_statisticsUpdatedAt = now;
}

double expectedCost(Target &target, TimePoint now, const TargetCriteria &criteria)
{
    target.m_requestInterval = criteria.m_requestInterval;
    decayStatistics(target, now);
    double cost = tieBreakerCost * target.m_tieBreaker;
    cost += target.m_latencyRatio * (1.0 + inFlightCost * target.m_inFlight.size());
    cost += failureCost * target.m_failureRate;
    if (target.m_entry.m_dataCentre != criteria.m_dataCentre) {
        cost += otherDataCentreCost;
    }
    if (now < target.m_warmupEnd) {
        cost += warmingCost;
    }
    if (now < target.m_backoffUntil) {
        cost += backoffCost;
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
    if (criteria.m_healthyOnly && (now < target.m_backoffUntil || isStalled(target, now))) {
        return false;
    }
    if (std::find(criteria.m_excludedIds.begin(), criteria.m_excludedIds.end(), target.m_entry.m_id)
        != criteria.m_excludedIds.end()) {
        return false;
    }
    return !criteria.m_warmup || allowsColdRequest(target, now, *criteria.m_warmup);
}

} // namespace

bool isStalled(const Target &target, TimePoint now)
{
    return std::any_of(
        target.m_inFlight.begin(), target.m_inFlight.end(),
        [now](const OutstandingAttempt &attempt) { return now >= attempt.m_overdueAt; });
}

void removeOutstandingAttempt(Target &target, std::uint64_t attempt)
{
    std::erase_if(target.m_inFlight, [attempt](const OutstandingAttempt &outstanding) {
        return outstanding.m_attemptId == attempt;
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

void recordSuccess(Target &target, TimePoint now, Duration latency, Duration expectedLatency)
{
    decayStatistics(target, now);
    const double ratio =
        static_cast<double>(latency.count()) / std::max<double>(1.0, expectedLatency.count());
    target.m_consecutiveSlowReplies =
        ratio >= slowReplyRatio ? target.m_consecutiveSlowReplies + 1 : 0;
    target.m_latencyRatio +=
        smoothingFactor
        * (std::clamp(ratio, minimumLatencyRatio, maximumLatencyRatio) - target.m_latencyRatio);
    target.m_failureRate *= 1.0 - smoothingFactor;
    recordReachable(target, now);
}

bool hasAvailableTarget(std::span<const TargetPointer> targets, TimePoint now)
{
    return std::any_of(targets.begin(), targets.end(), [now](const TargetPointer &target) {
        return !target->m_down && acceptsRequests(*target, now);
    });
}

void deferRequests(Target &target, TimePoint now, Duration time)
{
    target.m_refusesUntil =
        std::max(target.m_refusesUntil, now + std::min(time, maximumRefusalTime));
}

std::optional<Duration> timeUntilAvailable(std::span<const TargetPointer> targets, TimePoint now)
{
    std::optional<Duration> shortest;
    for (const TargetPointer &target : targets) {
        if (target->m_down || !isInUse(*target, now)) {
            continue;
        }
        const Duration time = std::max(Duration::zero(), target->m_refusesUntil - now);
        shortest = std::min(shortest.value_or(time), time);
    }
    return shortest;
}

void recordReachable(Target &target, TimePoint now)
{
    target.m_down = false;
    target.m_reachableAt = now;
    target.m_lostRequests.clear();
    target.m_consecutiveConnectFailures = 0;
    target.m_backoffUntil = std::min(target.m_backoffUntil, now);
}

void recordFailure(Target &target, TimePoint now, TargetFailure failure)
{
    decayStatistics(target, now);
    if (failure == TargetFailure::AddressReused) {
        target.m_addressReused = true;
        return;
    }
    Duration backoff = failureBackoff;
    if (failure == TargetFailure::Rejected) {
        // Prefers targets that accept all requests over those that reject some.
        target.m_failureRate += rejectionSmoothingFactor * (1.0 - target.m_failureRate);
        target.m_backoffUntil = std::max(target.m_backoffUntil, now + rejectionBackoff);
        return;
    }
    if (failure == TargetFailure::ConnectFailed) {
        backoff =
            connectBackoff
            * (1 << std::min(target.m_consecutiveConnectFailures, maximumConnectBackoffDoublings));
        ++target.m_consecutiveConnectFailures;
        target.m_down = true;
        target.m_nextProbeAt = now + backoff;
    } else if (failure == TargetFailure::Unresponsive) {
        backoff = unresponsiveBackoff;
    } else {
        // A single failure of an otherwise healthy target causes no backoff.
        backoff = target.m_failureRate > backoffFailureRate ? failureBackoff : Duration::zero();
    }
    target.m_failureRate += smoothingFactor * (1.0 - target.m_failureRate);
    target.m_backoffUntil = std::max(target.m_backoffUntil, now + backoff);
}

} // namespace arbutusgrade
