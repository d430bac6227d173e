#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

constexpr Duration initialBackOff = std::chrono::milliseconds(5);
constexpr int maximumBackOffSteps = 4;

//! Number of retries sent without back-off, since another replica may accept the request.
constexpr int immediateRetries = 1;

AttemptRole nextAttemptRole(const Request &request, const SubRequest &shard) noexcept
{
    if (shard.m_attemptsSent > 0) {
        return AttemptRole::Retry;
    }
    return request.m_restarts > 0 ? AttemptRole::Restarted : AttemptRole::First;
}

//! Denies retries after overload refusals while the group is saturated; others only need budget.
bool mayRetry(QueryEngine &engine, const Request &request, const SubRequest &shard)
{
    if (hasMutant(engine, QueryMutant::RetryWithoutBudget)) {
        return true;
    }
    const GroupRuntime &group = engine.m_groups[request.m_group];
    if (shard.m_reason == Reason::Overload && isSaturated(group)) {
        return false;
    }
    return spendRetryBudget(engine, request.m_group);
}

//! Sends a copy of an idempotent sub-request to an ejected target that is due for a trial. The
//! request itself does not depend on the trial.
void sendTrialCopy(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    if (engine.m_table.m_services[shard.m_service].m_ejected == 0
        || request.m_mode == AnswerMode::Once || mustAwaitProbe(engine, event.m_now, request)) {
        return;
    }
    const TargetChoiceCriteria criteria = choiceCriteria(engine, request, shard, event.m_now);
    const TargetIndex target = findTrialTarget(engine.m_table, event.m_now, criteria);
    if (target != noIndex && spendRetryBudget(engine, request.m_group)) {
        sendAttempt(engine, event, request, index, target, AttemptRole::Trial, true);
    }
}

SendResult toSendResult(TargetChoiceResult result) noexcept
{
    switch (result) {
    case TargetChoiceResult::NoReplica:
        return SendResult::NoReplica;
    case TargetChoiceResult::NoSnapshot:
        return SendResult::NoSnapshot;
    case TargetChoiceResult::Chosen:
    case TargetChoiceResult::Busy:
        break;
    }
    return SendResult::Busy;
}

//! Handles a service of which no target accepts work from this node.
void handleNoReplica(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    shard.m_reason = Reason::NoReplica;
    if (request.m_mode == AnswerMode::Once) {
        refuseOnce(engine, event, request, Reason::NoReplica);
        return;
    }
    if (request.m_mode == AnswerMode::Complete) {
        retryAfterBackOff(engine, event, request, index);
        return;
    }
    markShardLacking(engine, event, request, index, Reason::NoReplica);
}

void handleNoSnapshot(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    if (restartOnOtherSnapshot(engine, event, request)) {
        dispatchAll(engine, event, request);
        return;
    }
    request.m_shards[index].m_reason = Reason::SnapshotGone;
    if (request.m_mode == AnswerMode::Complete) {
        retryAfterBackOff(engine, event, request, index);
        return;
    }
    markShardLacking(engine, event, request, index, Reason::SnapshotGone);
}

} // namespace

TargetChoiceCriteria choiceCriteria(QueryEngine &engine, const Request &request,
                                    const SubRequest &shard, TimePoint now)
{
    TargetChoiceCriteria criteria;
    criteria.m_service = shard.m_service;
    if (isFanOut(request)) {
        refreshSnapshots(engine, request.m_group);
        criteria.m_snapshot = request.m_snapshot;
        criteria.m_snapshotIsNewest =
            isNewestOfEpoch(engine.m_groups[request.m_group], *request.m_snapshot);
    }
    criteria.m_tried = shard.m_triedTargets;
    criteria.m_fingerprint = request.m_fingerprint;
    criteria.m_alone = isSuspect(engine.m_fingerprints, now, request.m_fingerprint)
                       && !hasMutant(engine, QueryMutant::NoQuarantine);
    criteria.m_ignoreDraining = hasMutant(engine, QueryMutant::IgnoreDrain);
    criteria.m_ignoreConnectionShare = hasMutant(engine, QueryMutant::IgnoreConnectionShare);
    return criteria;
}

bool mustAwaitProbe(const QueryEngine &engine, TimePoint now, const Request &request)
{
    if (hasMutant(engine, QueryMutant::NoQuarantine)) {
        return false;
    }
    const bool suspect = isSuspect(engine.m_fingerprints, now, request.m_fingerprint);
    if (!suspect && (request.m_payloadProbeExpired || !engine.m_options.m_probePayloads)) {
        return false;
    }
    return availableFingerprintAttempts(engine.m_fingerprints, now, request.m_fingerprint) <= 0;
}

void awaitProbe(QueryEngine &engine, Request &request, ShardIndex index)
{
    request.m_shards[index].m_state = ShardState::AwaitingProbe;
    ++request.m_awaitingProbe;
    std::vector<RequestKey> &waiters = engine.m_probeWaiters[request.m_fingerprint];
    if (waiters.empty() || waiters.back() != request.m_key) {
        waiters.push_back(request.m_key);
    }
}

SendResult trySendShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    if (request.m_mode == AnswerMode::Once && !maySendOnce(engine, event, request)) {
        return SendResult::Busy;
    }
    const AttemptRole role = nextAttemptRole(request, shard);
    const TargetChoiceCriteria criteria = choiceCriteria(engine, request, shard, event.m_now);
    const TargetChoice choice =
        chooseTarget(engine.m_table, event.m_now, criteria, engine.m_random);
    TargetIndex target = choice.m_target;
    bool trial = false;
    if (choice.m_result == TargetChoiceResult::Busy) {
        target = findTrialTarget(engine.m_table, event.m_now, criteria);
        trial = target != noIndex;
        if (!trial && criteria.m_alone) {
            reserveTarget(engine.m_table, event.m_now, criteria);
        }
    }
    if (target == noIndex) {
        return toSendResult(choice.m_result);
    }
    if (role == AttemptRole::Retry && !mayRetry(engine, request, shard)) {
        return SendResult::NoBudget;
    }
    dequeueShard(engine, request, shard);
    sendAttempt(engine, event, request, index, target, role, trial);
    if (!trial) {
        sendTrialCopy(engine, event, request, index);
    }
    return SendResult::Sent;
}

void dispatchShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    if (!hasMutant(engine, QueryMutant::NoQuarantine)
        && isQuarantined(engine.m_fingerprints, event.m_now, request.m_fingerprint)) {
        if (request.m_mode == AnswerMode::Once) {
            refuseOnce(engine, event, request, Reason::Quarantined);
        } else {
            answerWithCoverage(engine, event, request, Reason::Quarantined);
        }
        return;
    }
    if (mustAwaitProbe(engine, event.m_now, request)) {
        awaitProbe(engine, request, index);
        return;
    }
    const bool isFirst = request.m_shards[index].m_attemptsSent == 0;
    const SendResult result = trySendShard(engine, event, request, index);
    if (isFirst) {
        recordCapacity(engine.m_groups[request.m_group], result != SendResult::Busy);
    }
    switch (result) {
    case SendResult::Sent:
        break;
    case SendResult::Busy:
        enqueueShard(engine, event, request, index);
        break;
    case SendResult::NoReplica:
        handleNoReplica(engine, event, request, index);
        break;
    case SendResult::NoSnapshot:
        handleNoSnapshot(engine, event, request, index);
        break;
    case SendResult::NoBudget:
        retryAfterBackOff(engine, event, request, index);
        break;
    }
}

void dispatchAll(QueryEngine &engine, const Event &event, Request &request)
{
    const RequestKey key = request.m_key;
    const int restarts = request.m_restarts;
    const std::size_t shards = request.m_shards.size();
    for (std::size_t index = 0; index < shards; ++index) {
        dispatchShard(engine, event, request, static_cast<ShardIndex>(index));
        // Stop if the request was answered, or restarted and thereby dispatched again.
        if (request.m_key != key || request.m_restarts != restarts) {
            return;
        }
    }
    if (request.m_awaitingProbe > 0 && !request.m_payloadProbeExpired) {
        startTimer(engine, event.m_now + payloadProbeTimeout(engine, request, event.m_now),
                   TimerKind::PayloadProbeTimeout, key);
    }
}

void releaseProbeWaiters(QueryEngine &engine, const Event &event, std::uint64_t fingerprint)
{
    const auto found = engine.m_probeWaiters.find(fingerprint);
    if (found == engine.m_probeWaiters.end()) {
        return;
    }
    const std::vector<RequestKey> keys = std::move(found->second);
    engine.m_probeWaiters.erase(found);
    for (const RequestKey key : keys) {
        Request *request = findRequest(engine, key);
        for (ShardIndex index = 0;
             request != nullptr && request->m_awaitingProbe > 0 && index < request->m_shards.size();
             ++index) {
            if (request->m_shards[index].m_state != ShardState::AwaitingProbe) {
                continue;
            }
            if (mustAwaitProbe(engine, event.m_now, *request)
                && !isQuarantined(engine.m_fingerprints, event.m_now, fingerprint)) {
                engine.m_probeWaiters[fingerprint].push_back(key);
                break;
            }
            --request->m_awaitingProbe;
            dispatchShard(engine, event, *request, index);
            request = findRequest(engine, key);
        }
    }
}

void retryAfterBackOff(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    shard.m_state = ShardState::RetryPending;
    const int steps = std::min(shard.m_failures + shard.m_refusals, maximumBackOffSteps);
    const Duration backOff = initialBackOff * (1 << steps);
    const std::uint64_t jitter =
        nextRandomBelow(engine.m_random, static_cast<std::uint64_t>(backOff.count()));
    startTimer(engine, event.m_now + backOff + Duration(static_cast<std::int64_t>(jitter)),
               TimerKind::RetryShard, request.m_key, index);
}

void retryShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    const SubRequest &shard = request.m_shards[index];
    if (shard.m_failures + shard.m_refusals <= immediateRetries) {
        dispatchShard(engine, event, request, index);
        return;
    }
    retryAfterBackOff(engine, event, request, index);
}

} // namespace arbutusgrade
