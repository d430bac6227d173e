#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Shorter delays would send hedges because of ordinary network jitter.
constexpr Duration minimumHedgeDelay = std::chrono::milliseconds(2);

//! Used until there are enough latency observations.
constexpr Duration defaultHedgeDelay = std::chrono::milliseconds(30);
constexpr std::uint64_t minimumObservations = 16;

//! Lower bound of the probe timeout. Targets crash within their usual latency; see docs/decisions.
constexpr Duration minimumProbeTimeout = std::chrono::milliseconds(20);

constexpr Duration minimumSilenceTimeout = std::chrono::milliseconds(50);

//! Urgent lookups must return to normal latency within 2 s after a target freezes, so the silence
//! timeout never exceeds this value.
constexpr Duration maximumSilenceTimeout = std::chrono::milliseconds(400);

const LatencyEstimate &latencyEstimate(const QueryEngine &engine, ServiceIndex index) noexcept
{
    const ServiceState &service = engine.m_table.m_services[index];
    if (service.m_latencies.m_histogram.m_total >= minimumObservations) {
        return service.m_latencies;
    }
    return engine.m_groups[service.m_group].m_latencies;
}

Duration silenceTimeout(const QueryEngine &engine, ServiceIndex service) noexcept
{
    const LatencyEstimate &estimate = latencyEstimate(engine, service);
    return std::clamp(estimate.m_p99 * 4, minimumSilenceTimeout, maximumSilenceTimeout);
}

bool haveOtherReplicasReplied(const QueryEngine &engine, TargetIndex silent,
                              TimePoint since) noexcept
{
    const TargetState &target = engine.m_table.m_targets[silent];
    const std::vector<TargetIndex> &targets = engine.m_table.m_services[target.m_service].m_targets;
    return std::any_of(targets.begin(), targets.end(), [&engine, silent, since](TargetIndex other) {
        return other != silent && engine.m_table.m_targets[other].m_lastReply > since;
    });
}

//! Ejects a target that has not replied for the silence timeout while other replicas have.
void ejectIfSilent(QueryEngine &engine, const Event &event, TargetIndex index)
{
    TargetState &target = engine.m_table.m_targets[index];
    if (!target.m_unansweredSince || target.m_service == noIndex) {
        return;
    }
    const TimePoint since = std::max(*target.m_unansweredSince, engine.m_resumedAt);
    if (event.m_now - since < silenceTimeout(engine, target.m_service)
        || !haveOtherReplicasReplied(engine, index, since)) {
        return;
    }
    if (recordUnresponsiveTarget(engine.m_table, index, event.m_now)) {
        ++engine.m_statistics.m_ejections;
    }
}

bool isNewestAttempt(const SubRequest &shard, AttemptId attempt) noexcept
{
    return std::all_of(shard.m_attempts.begin(), shard.m_attempts.end(),
                       [attempt](AttemptId other) { return other <= attempt; });
}

bool isHedgeUseful(const QueryEngine &engine, const Event &event, const Request &request,
                   const SubRequest &shard, AttemptId attempt)
{
    if (request.m_mode == AnswerMode::Once || !engine.m_kinds[request.m_kind].m_settings.m_hedge) {
        return false;
    }
    const bool hasRoom = std::find(shard.m_attempts.begin(), shard.m_attempts.end(), AttemptId{0})
                         != shard.m_attempts.end();
    const Duration medianLatency = latencyEstimate(engine, shard.m_service).m_p50;
    return hasRoom && isNewestAttempt(shard, attempt)
           && event.m_now + medianLatency < request.m_deadline;
}

//! Sends a hedge if another replica has capacity and load and budget allow it.
bool trySendHedge(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    const bool unlimited = hasMutant(engine, QueryMutant::UnlimitedHedges);
    const bool loaded = isSaturated(engine.m_groups[request.m_group])
                        || !engine.m_queues[shard.m_service].m_entries.empty();
    if ((loaded && !unlimited) || mustAwaitProbe(engine, event.m_now, request)) {
        return false;
    }
    TargetChoiceCriteria criteria = choiceCriteria(engine, request, shard, event.m_now);
    criteria.m_excludeTried = true;
    const TargetChoice choice =
        chooseTarget(engine.m_table, event.m_now, criteria, engine.m_random);
    if (choice.m_result != TargetChoiceResult::Chosen
        || (!unlimited && !spendRetryBudget(engine, request.m_group))) {
        return false;
    }
    sendAttempt(engine, event, request, index, choice.m_target, AttemptRole::Hedge, false);
    return true;
}

} // namespace

Duration hedgeDelay(const QueryEngine &engine, ServiceIndex index) noexcept
{
    const LatencyEstimate &estimate = latencyEstimate(engine, index);
    if (estimate.m_histogram.m_total < minimumObservations) {
        return defaultHedgeDelay;
    }
    // When the budget is less than half full, only the slowest attempts are hedged.
    const RetryTokenBucket &budget =
        engine.m_groups[engine.m_table.m_services[index].m_group].m_retryBudget;
    const double fill = budget.m_tokenCapacity > 0 ? budget.m_tokens / budget.m_tokenCapacity : 1.0;
    // p98 instead of p99: with 1 % of stragglers p99 is the latency of a straggler, so that hedges
    // would be sent too late while the budget is short.
    const Duration delay = fill < 0.5 ? estimate.m_p98 : estimate.m_p95;
    return std::max(delay, minimumHedgeDelay);
}

Duration payloadProbeTimeout(const QueryEngine &engine, const Request &request,
                             TimePoint now) noexcept
{
    const Duration timeout = latencyEstimate(engine, request.m_shards.front().m_service).m_p99 * 3;
    return std::min(std::max(timeout, minimumProbeTimeout), (request.m_deadline - now) / 4);
}

void checkHedge(QueryEngine &engine, const Event &event, AttemptId id)
{
    const Attempt *attempt = findAttempt(engine, id);
    if (attempt == nullptr) {
        return;
    }
    ejectIfSilent(engine, event, attempt->m_target);
    Request *request = attempt->m_cancelled ? nullptr : findRequest(engine, attempt->m_request);
    if (request == nullptr || request->m_answered) {
        return;
    }
    const ShardIndex index = attempt->m_shard;
    const SubRequest &shard = request->m_shards[index];
    const ServiceIndex service = shard.m_service;
    const Duration delay = hedgeDelay(engine, service);
    const TimePoint start = std::max(attempt->m_sentAt, engine.m_resumedAt);
    TimePoint next = start + delay;
    if (next <= event.m_now) {
        if (isHedgeUseful(engine, event, *request, shard, id)) {
            trySendHedge(engine, event, *request, index);
        }
        // Checks again until the attempt ends, for a denied hedge and for an unresponsive target.
        next = event.m_now + std::max(delay / 2, minimumHedgeDelay);
    }
    if (next < request->m_deadline) {
        startTimer(engine, next, TimerKind::HedgeCheck, id);
    }
}

} // namespace arbutusgrade
