#include "targets/targets.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! A single error must not eject a target, and five in a row at a healthy target are improbable.
constexpr int ejectionFailures = 5;

constexpr Duration firstBackOff = std::chrono::milliseconds(500);

//! Bounds the return to normal after an outage: a trial comes at most this late.
constexpr Duration longestBackOff = std::chrono::seconds(4);

constexpr double latencyWeight = 0.2;
constexpr double limitDecrease = 0.7;

//! The limit is cut once for each burst of refusals, not once for each refusal.
constexpr Duration shortestCutInterval = std::chrono::milliseconds(10);

constexpr std::uint32_t refreshInterval = 64;
constexpr std::uint32_t fewObservations = 64;
constexpr Duration decayInterval = std::chrono::seconds(2);
constexpr std::uint64_t decayTotal = 4096;

void bumpKnowledge(TargetTable &table, const TargetState &target) noexcept
{
    if (target.m_service != noIndex) {
        ++table.m_groups[table.m_services[target.m_service].m_group].m_knowledgeRevision;
    }
}

//! Never more than half of a service's targets are ejected: the cause is then more probably common
//! to all, and the rest could not carry the load.
bool mayEject(const ServiceState &service) noexcept
{
    return static_cast<std::size_t>(service.m_ejected + 1) * 2 <= service.m_targets.size();
}

bool eject(TargetTable &table, TargetState &target, TimePoint now) noexcept
{
    if (target.m_ejected) {
        if (target.m_trialInFlight || target.m_trialAt <= now) {
            target.m_backOff = std::min(target.m_backOff * 2, longestBackOff);
            target.m_trialAt = now + target.m_backOff;
        }
        return false;
    }
    ServiceState &service = table.m_services[target.m_service];
    if (!target.m_configured || !mayEject(service)) {
        return false;
    }
    target.m_ejected = true;
    target.m_backOff = firstBackOff;
    target.m_trialAt = now + firstBackOff;
    ++service.m_ejected;
    bumpKnowledge(table, target);
    return true;
}

void readmit(TargetTable &table, TargetState &target) noexcept
{
    target.m_failures = 0;
    if (!target.m_ejected) {
        return;
    }
    target.m_ejected = false;
    target.m_limit = 1.0;
    target.m_slowStart = true;
    if (target.m_configured) {
        --table.m_services[target.m_service].m_ejected;
    }
    bumpKnowledge(table, target);
}

void startCold(TargetState &target) noexcept
{
    target.m_limit = 1.0;
    target.m_slowStart = true;
    target.m_load.reset();
}

void cutLimit(TargetState &target, TimePoint now, Duration interval) noexcept
{
    target.m_slowStart = false;
    if (now - target.m_limitCutAt < std::max(interval, shortestCutInterval)) {
        return;
    }
    target.m_limit = std::max(target.m_limit * limitDecrease, 1.0);
    target.m_limitCutAt = now;
}

void adaptLimit(const TargetTable &table, TargetState &target, TimePoint now,
                const ReplyFacts &facts) noexcept
{
    const Duration interval = table.m_services[target.m_service].m_latencies.m_p50;
    const int queued = facts.m_load ? facts.m_load->m_queued : 0;
    if (facts.m_shed || queued * 2 > target.m_slots) {
        cutLimit(target, now, interval);
        return;
    }
    // Only a limit that is in use says anything about the target's capacity.
    const bool inUse = target.m_inFlight + 2 > static_cast<int>(target.m_limit);
    if (!facts.m_succeeded || queued > 0 || !inUse) {
        return;
    }
    target.m_limit += target.m_slowStart ? 1.0 : 1.0 / target.m_limit;
    target.m_limit = std::min(target.m_limit, static_cast<double>(target.m_connectionShare));
}

void learnLatency(TargetTable &table, TargetState &target, TimePoint now, Duration latency) noexcept
{
    const double value = static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
    target.m_latency = target.m_latency > 0
                           ? target.m_latency + (value - target.m_latency) * latencyWeight
                           : value;
    target.m_latencyAt = now;
    addLatency(target.m_latencies, now, latency);
    addLatency(table.m_services[target.m_service].m_latencies, now, latency);
}

void refreshQuantiles(LatencyEstimate &estimate) noexcept
{
    estimate.m_sinceRefresh = 0;
    estimate.m_p50 = latencyQuantile(estimate.m_histogram, 0.50);
    estimate.m_p95 = latencyQuantile(estimate.m_histogram, 0.95);
    estimate.m_p98 = latencyQuantile(estimate.m_histogram, 0.98);
    estimate.m_p99 = latencyQuantile(estimate.m_histogram, 0.99);
}

} // namespace

void addLatency(LatencyEstimate &estimate, TimePoint now, Duration latency) noexcept
{
    recordLatency(estimate.m_histogram, latency);
    ++estimate.m_sinceRefresh;
    const std::uint64_t total = estimate.m_histogram.m_total;
    const bool old = now - estimate.m_decayedAt >= decayInterval && total > fewObservations;
    if (old || total >= decayTotal) {
        decayHistogram(estimate.m_histogram);
        estimate.m_decayedAt = now;
    }
    if (estimate.m_sinceRefresh >= refreshInterval
        || (total <= fewObservations && (total & (total - 1)) == 0)) {
        refreshQuantiles(estimate);
    }
}

bool learnFromReply(TargetTable &table, TargetIndex index, TimePoint now, const ReplyFacts &facts)
{
    TargetState &target = table.m_targets[index];
    target.m_lastReply = now;
    target.m_silentSince.reset();
    if (!facts.m_startId.empty() && facts.m_startId != target.m_startId) {
        const bool restarted = !target.m_startId.empty();
        target.m_previousStartId = target.m_startId;
        target.m_startId = facts.m_startId;
        if (restarted) {
            startCold(target);
            target.m_drainingByReport = false;
        }
    }
    if (facts.m_load) {
        target.m_load = facts.m_load;
        target.m_loadAt = now;
    }
    if (facts.m_started) {
        learnLatency(table, target, now, facts.m_latency);
    }
    adaptLimit(table, target, now, facts);
    if (facts.m_succeeded || !facts.m_started) {
        // A target that refuses in an orderly way is alive.
        readmit(table, target);
    } else {
        learnFromFailure(table, index, now);
    }
    if (facts.m_holdings != nullptr && !facts.m_holdings->empty()) {
        std::vector<Snapshot> holdings = *facts.m_holdings;
        std::sort(holdings.begin(), holdings.end());
        target.m_holdingsAt = now;
        if (!target.m_holdingsKnown || holdings != target.m_holdings) {
            target.m_holdings = std::move(holdings);
            target.m_holdingsKnown = true;
            bumpKnowledge(table, target);
        }
    }
    if (!facts.m_draining) {
        return false;
    }
    const bool isNews = !isDraining(target);
    target.m_drainingByReport = true;
    target.m_drainReportedAt = now;
    bumpKnowledge(table, target);
    return isNews;
}

void learnFromFailure(TargetTable &table, TargetIndex index, TimePoint now)
{
    TargetState &target = table.m_targets[index];
    ++target.m_failures;
    if (target.m_failures >= ejectionFailures || target.m_ejected) {
        eject(table, target, now);
    }
}

bool learnFromSilence(TargetTable &table, TargetIndex index, TimePoint now)
{
    TargetState &target = table.m_targets[index];
    ++target.m_failures;
    return eject(table, target, now);
}

} // namespace arbutusgrade
