#include "details/jobs.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

constexpr Duration firstBackOff = std::chrono::milliseconds(5);
constexpr int longestBackOffSteps = 4;

//! Retries of this number go out at once; a target that has just refused is not the only one.
constexpr int immediateRetries = 1;

AttemptRole nextRole(const Request &request, const SubRequest &shard) noexcept
{
    if (shard.m_sends > 0) {
        return AttemptRole::Retry;
    }
    return request.m_restarts > 0 ? AttemptRole::Restarted : AttemptRole::First;
}

//! Retries after refusals for load wait while the group is saturated; others only need budget.
bool mayRetry(QueryEngine &engine, const Request &request, const SubRequest &shard)
{
    if (hasMutant(engine, QueryMutant::RetryWithoutBudget)) {
        return true;
    }
    const GroupRuntime &group = engine.m_groups[request.m_group];
    if (shard.m_reason == Reason::Overload && isSaturated(group)) {
        return false;
    }
    return spendBudget(engine, request.m_group);
}

//! Sends a copy of an idempotent sub-request to an ejected target that is due for a trial, so that
//! no request depends on the trial.
void sendTrialCopy(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    if (engine.m_table.m_services[shard.m_service].m_ejected == 0
        || request.m_mode == AnswerMode::Once || isHeldBack(engine, event.m_now, request)) {
        return;
    }
    const ChoiceCriteria criteria = choiceCriteria(engine, request, shard, event.m_now);
    const TargetIndex target = findTrialTarget(engine.m_table, event.m_now, criteria);
    if (target != noIndex && spendBudget(engine, request.m_group)) {
        sendAttempt(engine, event, request, index, target, AttemptRole::Trial, true);
    }
}

SendResult resultOf(ChoiceResult result) noexcept
{
    switch (result) {
    case ChoiceResult::NoReplica:
        return SendResult::NoReplica;
    case ChoiceResult::NoSnapshot:
        return SendResult::NoSnapshot;
    case ChoiceResult::Chosen:
    case ChoiceResult::Busy:
        break;
    }
    return SendResult::Busy;
}

//! All targets are leaving, gone or out of reach of this node.
void handleNoReplica(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    shard.m_reason = Reason::NoReplica;
    if (request.m_mode == AnswerMode::Once) {
        refuseOnce(engine, event, request, Reason::NoReplica);
        return;
    }
    if (request.m_mode == AnswerMode::Complete) {
        retryLater(engine, event, request, index);
        return;
    }
    giveUpShard(engine, event, request, index, Reason::NoReplica);
}

void handleNoSnapshot(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    if (restartOnOtherSnapshot(engine, event, request)) {
        dispatchAll(engine, event, request);
        return;
    }
    request.m_shards[index].m_reason = Reason::SnapshotGone;
    if (request.m_mode == AnswerMode::Complete) {
        retryLater(engine, event, request, index);
        return;
    }
    giveUpShard(engine, event, request, index, Reason::SnapshotGone);
}

} // namespace

ChoiceCriteria choiceCriteria(QueryEngine &engine, const Request &request, const SubRequest &shard,
                              TimePoint now)
{
    ChoiceCriteria criteria;
    criteria.m_service = shard.m_service;
    if (isFanOut(request)) {
        refreshSnapshots(engine, request.m_group);
        criteria.m_snapshot = request.m_snapshot;
        criteria.m_snapshotIsNewest =
            isNewestOfEpoch(engine.m_groups[request.m_group], *request.m_snapshot);
    }
    criteria.m_tried = shard.m_tried;
    criteria.m_fingerprint = request.m_fingerprint;
    criteria.m_alone = isSuspect(engine.m_fingerprints, now, request.m_fingerprint)
                       && !hasMutant(engine, QueryMutant::NoQuarantine);
    criteria.m_ignoreDraining = hasMutant(engine, QueryMutant::IgnoreDrain);
    criteria.m_ignoreShare = hasMutant(engine, QueryMutant::IgnoreConnectionShare);
    return criteria;
}

bool isHeldBack(const QueryEngine &engine, TimePoint now, const Request &request)
{
    if (hasMutant(engine, QueryMutant::NoQuarantine)) {
        return false;
    }
    const bool suspect = isSuspect(engine.m_fingerprints, now, request.m_fingerprint);
    if (!suspect && (request.m_probingEnded || !engine.m_options.m_probePayloads)) {
        return false;
    }
    return allowedAttempts(engine.m_fingerprints, now, request.m_fingerprint) <= 0;
}

void holdShard(QueryEngine &engine, Request &request, ShardIndex index)
{
    request.m_shards[index].m_state = ShardState::Held;
    ++request.m_held;
    std::vector<RequestKey> &held = engine.m_heldRequests[request.m_fingerprint];
    if (held.empty() || held.back() != request.m_key) {
        held.push_back(request.m_key);
    }
}

SendResult trySendShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    if (request.m_mode == AnswerMode::Once && !maySendOnce(engine, event, request)) {
        return SendResult::Busy;
    }
    const AttemptRole role = nextRole(request, shard);
    const ChoiceCriteria criteria = choiceCriteria(engine, request, shard, event.m_now);
    const Choice choice = chooseTarget(engine.m_table, event.m_now, criteria, engine.m_random);
    TargetIndex target = choice.m_target;
    bool trial = false;
    if (choice.m_result == ChoiceResult::Busy) {
        target = findTrialTarget(engine.m_table, event.m_now, criteria);
        trial = target != noIndex;
        if (!trial && criteria.m_alone) {
            reserveTarget(engine.m_table, event.m_now, criteria);
        }
    }
    if (target == noIndex) {
        return resultOf(choice.m_result);
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
    if (isHeldBack(engine, event.m_now, request)) {
        holdShard(engine, request, index);
        return;
    }
    const bool isFirst = request.m_shards[index].m_sends == 0;
    const SendResult result = trySendShard(engine, event, request, index);
    if (isFirst) {
        noteCapacity(engine.m_groups[request.m_group], result != SendResult::Busy);
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
        retryLater(engine, event, request, index);
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
        // The request may have been answered, or started again and dispatched in full.
        if (request.m_key != key || request.m_restarts != restarts) {
            return;
        }
    }
    if (request.m_held > 0 && !request.m_probingEnded) {
        startTimer(engine, event.m_now + probingBound(engine, request, event.m_now),
                   TimerKind::ProbingBound, key);
    }
}

void releaseHeld(QueryEngine &engine, const Event &event, std::uint64_t fingerprint)
{
    const auto found = engine.m_heldRequests.find(fingerprint);
    if (found == engine.m_heldRequests.end()) {
        return;
    }
    const std::vector<RequestKey> keys = std::move(found->second);
    engine.m_heldRequests.erase(found);
    for (const RequestKey key : keys) {
        Request *request = findRequest(engine, key);
        for (ShardIndex index = 0;
             request != nullptr && request->m_held > 0 && index < request->m_shards.size();
             ++index) {
            if (request->m_shards[index].m_state != ShardState::Held) {
                continue;
            }
            if (isHeldBack(engine, event.m_now, *request)
                && !isQuarantined(engine.m_fingerprints, event.m_now, fingerprint)) {
                engine.m_heldRequests[fingerprint].push_back(key);
                break;
            }
            --request->m_held;
            dispatchShard(engine, event, *request, index);
            request = findRequest(engine, key);
        }
    }
}

void retryLater(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    SubRequest &shard = request.m_shards[index];
    shard.m_state = ShardState::Waiting;
    const int steps = std::min(shard.m_failures + shard.m_refusals, longestBackOffSteps);
    const Duration backOff = firstBackOff * (1 << steps);
    const std::uint64_t jitter =
        nextRandomBelow(engine.m_random, static_cast<std::uint64_t>(backOff.count()));
    startTimer(engine, event.m_now + backOff + Duration(static_cast<std::int64_t>(jitter)),
               TimerKind::RetryShard, request.m_key, index);
}

void retryShardNow(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    const SubRequest &shard = request.m_shards[index];
    if (shard.m_failures + shard.m_refusals <= immediateRetries) {
        dispatchShard(engine, event, request, index);
        return;
    }
    retryLater(engine, event, request, index);
}

} // namespace arbutusgrade
