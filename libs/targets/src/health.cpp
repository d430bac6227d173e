#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Consecutive failures. A single error must not eject a target; five in a row are improbable at a
//! healthy one.
constexpr int ejectionFailureThreshold = 5;

constexpr Duration initialEjectionBackOff = std::chrono::milliseconds(500);

//! Bounds how long a recovered target waits for its next trial request.
constexpr Duration maximumEjectionBackOff = std::chrono::seconds(4);

//! Weight of a new observation in the exponential moving average of latency.
constexpr double latencySmoothingFactor = 0.2;

constexpr double limitDecreaseFactor = 0.7;

//! The limit is decreased once per burst of refusals, not once per refusal.
constexpr Duration minimumDecreaseInterval = std::chrono::milliseconds(10);

constexpr std::uint32_t quantileRefreshObservations = 64;

//! Up to this total, observations don't decay with time and quantiles are refreshed at each power
//! of 2.
constexpr std::uint32_t sparseObservationLimit = 64;

constexpr Duration decayInterval = std::chrono::seconds(2);

//! Total at which the histogram decays, whatever its age.
constexpr std::uint64_t decayObservationLimit = 4096;

void incrementStateRevision(TargetTable &table, const TargetState &target) noexcept
{
    if (target.m_service != noIndex) {
        ++table.m_groups[table.m_services[target.m_service].m_group].m_stateRevision;
    }
}

//! At most half of the targets of a service are ejected. Beyond that, a common cause is more
//! probable, and the remaining targets could not carry the load.
bool mayEject(const ServiceState &service) noexcept
{
    return static_cast<std::size_t>(service.m_ejected + 1) * 2 <= service.m_targets.size();
}

bool eject(TargetTable &table, TargetState &target, TimePoint now) noexcept
{
    if (target.m_ejected) {
        if (target.m_trialInFlight || target.m_nextTrialAt <= now) {
            target.m_ejectionBackOff =
                std::min(target.m_ejectionBackOff * 2, maximumEjectionBackOff);
            target.m_nextTrialAt = now + target.m_ejectionBackOff;
        }
        return false;
    }
    ServiceState &service = table.m_services[target.m_service];
    if (!target.m_configured || !mayEject(service)) {
        return false;
    }
    target.m_ejected = true;
    target.m_ejectionBackOff = initialEjectionBackOff;
    target.m_nextTrialAt = now + initialEjectionBackOff;
    ++service.m_ejected;
    incrementStateRevision(table, target);
    return true;
}

void endEjection(TargetTable &table, TargetState &target) noexcept
{
    target.m_consecutiveFailures = 0;
    if (!target.m_ejected) {
        return;
    }
    target.m_ejected = false;
    target.m_adaptiveLimit = 1.0;
    target.m_slowStart = true;
    if (target.m_configured) {
        --table.m_services[target.m_service].m_ejected;
    }
    incrementStateRevision(table, target);
}

void resetAfterRestart(TargetState &target) noexcept
{
    target.m_adaptiveLimit = 1.0;
    target.m_slowStart = true;
    target.m_load.reset();
}

void decreaseLimit(TargetState &target, TimePoint now, Duration interval) noexcept
{
    target.m_slowStart = false;
    if (now - target.m_limitDecreasedAt < std::max(interval, minimumDecreaseInterval)) {
        return;
    }
    target.m_adaptiveLimit = std::max(target.m_adaptiveLimit * limitDecreaseFactor, 1.0);
    target.m_limitDecreasedAt = now;
}

void updateAdaptiveLimit(const TargetTable &table, TargetState &target, TimePoint now,
                         const ReplySummary &facts) noexcept
{
    const Duration interval = table.m_services[target.m_service].m_latencies.m_p50;
    const int queued = facts.m_load ? facts.m_load->m_queued : 0;
    if (facts.m_shed || queued * 2 > target.m_slots) {
        decreaseLimit(target, now, interval);
        return;
    }
    // Success below the limit doesn't show that the target can take more than the limit.
    const bool isLimitInUse = target.m_inFlight + 2 > static_cast<int>(target.m_adaptiveLimit);
    if (!facts.m_succeeded || queued > 0 || !isLimitInUse) {
        return;
    }
    target.m_adaptiveLimit += target.m_slowStart ? 1.0 : 1.0 / target.m_adaptiveLimit;
    target.m_adaptiveLimit =
        std::min(target.m_adaptiveLimit, static_cast<double>(target.m_connectionShare));
}

void updateLatency(TargetTable &table, TargetState &target, TimePoint now,
                   Duration latency) noexcept
{
    const double value = static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
    target.m_averageLatencyMicroseconds =
        target.m_averageLatencyMicroseconds > 0
            ? target.m_averageLatencyMicroseconds
                  + (value - target.m_averageLatencyMicroseconds) * latencySmoothingFactor
            : value;
    target.m_latencyUpdatedAt = now;
    addLatency(target.m_latencies, now, latency);
    addLatency(table.m_services[target.m_service].m_latencies, now, latency);
}

void refreshQuantiles(LatencyEstimate &estimate) noexcept
{
    estimate.m_observationsSinceRefresh = 0;
    estimate.m_p50 = latencyQuantile(estimate.m_histogram, 0.50);
    estimate.m_p95 = latencyQuantile(estimate.m_histogram, 0.95);
    estimate.m_p98 = latencyQuantile(estimate.m_histogram, 0.98);
    estimate.m_p99 = latencyQuantile(estimate.m_histogram, 0.99);
}

} // namespace

void addLatency(LatencyEstimate &estimate, TimePoint now, Duration latency) noexcept
{
    recordLatency(estimate.m_histogram, latency);
    ++estimate.m_observationsSinceRefresh;
    const std::uint64_t total = estimate.m_histogram.m_total;
    const bool isDecayDue =
        now - estimate.m_decayedAt >= decayInterval && total > sparseObservationLimit;
    if (isDecayDue || total >= decayObservationLimit) {
        decayHistogram(estimate.m_histogram);
        estimate.m_decayedAt = now;
    }
    if (estimate.m_observationsSinceRefresh >= quantileRefreshObservations
        || (total <= sparseObservationLimit && (total & (total - 1)) == 0)) {
        refreshQuantiles(estimate);
    }
}

bool updateFromReply(TargetTable &table, TargetIndex index, TimePoint now,
                     const ReplySummary &facts)
{
    TargetState &target = table.m_targets[index];
    target.m_lastReply = now;
    target.m_unansweredSince.reset();
    if (!facts.m_startId.empty() && facts.m_startId != target.m_startId) {
        const bool restarted = !target.m_startId.empty();
        target.m_previousStartId = target.m_startId;
        target.m_startId = facts.m_startId;
        if (restarted) {
            resetAfterRestart(target);
            target.m_drainingByReport = false;
        }
    }
    if (facts.m_load) {
        target.m_load = facts.m_load;
        target.m_loadReportedAt = now;
    }
    if (facts.m_started) {
        updateLatency(table, target, now, facts.m_latency);
    }
    updateAdaptiveLimit(table, target, now, facts);
    if (facts.m_succeeded || !facts.m_started) {
        // A refusal with a valid reply shows that the target is alive.
        endEjection(table, target);
    } else {
        recordAttemptFailure(table, index, now);
    }
    if (facts.m_holdings != nullptr && !facts.m_holdings->empty()) {
        std::vector<Snapshot> holdings = *facts.m_holdings;
        std::sort(holdings.begin(), holdings.end());
        target.m_holdingsReportedAt = now;
        if (!target.m_holdingsKnown || holdings != target.m_holdings) {
            target.m_holdings = std::move(holdings);
            target.m_holdingsKnown = true;
            incrementStateRevision(table, target);
        }
    }
    if (!facts.m_draining) {
        return false;
    }
    const bool isNewlyDraining = !isDraining(target);
    target.m_drainingByReport = true;
    target.m_drainReportedAt = now;
    incrementStateRevision(table, target);
    return isNewlyDraining;
}

void recordAttemptFailure(TargetTable &table, TargetIndex index, TimePoint now)
{
    TargetState &target = table.m_targets[index];
    ++target.m_consecutiveFailures;
    if (target.m_consecutiveFailures >= ejectionFailureThreshold || target.m_ejected) {
        eject(table, target, now);
    }
}

bool recordUnresponsiveTarget(TargetTable &table, TargetIndex index, TimePoint now)
{
    TargetState &target = table.m_targets[index];
    ++target.m_consecutiveFailures;
    return eject(table, target, now);
}

} // namespace arbutusgrade
