#include "details/operations.h"

namespace arbutusgrade {

namespace {

//! Upper limit of SubRequest::m_refusals, which keeps the counter from wrapping around. A once
//! request to a service with more targets is not refused early but waits for its deadline.
constexpr std::uint8_t maximumRefusals = 200;

bool isStarted(AttemptStatus status) noexcept
{
    return status == AttemptStatus::Ok || status == AttemptStatus::Error;
}

bool matchesRequest(const QueryEngine &engine, const Request &request, const SubRequest &shard,
                    const AttemptReply &reply)
{
    return reply.m_requestId == request.m_caller.m_requestId
           && reply.m_service == engine.m_table.m_services[shard.m_service].m_name;
}

void updateTargetFromReply(QueryEngine &engine, const Event &event, const Attempt &attempt,
                           const AttemptReply &reply, const std::optional<Snapshot> &pinned)
{
    ReplySummary facts;
    facts.m_latency = event.m_now - attempt.m_sentAt;
    facts.m_started = isStarted(reply.m_status);
    facts.m_succeeded = reply.m_status == AttemptStatus::Ok;
    facts.m_shed = reply.m_status == AttemptStatus::Shed;
    facts.m_draining = reply.m_draining || reply.m_status == AttemptStatus::Draining;
    facts.m_load = reply.m_load;
    facts.m_startId = reply.m_startId;
    facts.m_holdings = &reply.m_holdings;
    TargetTable &table = engine.m_table;
    const bool wasEjected = table.m_targets[attempt.m_target].m_ejected;
    if (updateFromReply(table, attempt.m_target, event.m_now, facts)) {
        event.m_actions.emplace_back(AnnounceDrain{table.m_targets[attempt.m_target].m_name});
    }
    if (!wasEjected && table.m_targets[attempt.m_target].m_ejected) {
        ++engine.m_statistics.m_ejections;
    }
    if (reply.m_status == AttemptStatus::SnapshotGone && pinned) {
        recordSnapshotGone(table, attempt.m_target, event.m_now, *pinned);
    }
    if (facts.m_started) {
        markFingerprintSafe(engine.m_fingerprints, attempt.m_fingerprint);
    }
}

//! Retries or ends the sub-request after an attempt without a result.
void resumeShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    const SubRequest &shard = request.m_shards[index];
    if (hasAttempts(shard)) {
        return; // Another attempt of the same shard is still in flight.
    }
    const int retries = engine.m_kinds[request.m_kind].m_settings.m_retries;
    if (request.m_mode != AnswerMode::Once && shard.m_failures > retries) {
        markShardLacking(engine, event, request, index, shard.m_reason);
        return;
    }
    if (request.m_mode == AnswerMode::Once && !hasMutant(engine, QueryMutant::RetryNonIdempotent)
        && shard.m_refusals >= engine.m_table.m_services[shard.m_service].m_targets.size()) {
        refuseOnce(engine, event, request, shard.m_reason);
        return;
    }
    retryShard(engine, event, request, index);
}

void countRefusal(SubRequest &shard) noexcept
{
    if (shard.m_refusals < maximumRefusals) {
        ++shard.m_refusals;
    }
}

void handleRefusal(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                   Reason reason)
{
    SubRequest &shard = request.m_shards[index];
    countRefusal(shard);
    shard.m_reason = reason;
    --request.m_possiblyRun;
    if (reason == Reason::Overload) {
        recordCapacity(engine.m_groups[request.m_group], false);
    }
    if (!request.m_answered) {
        resumeShard(engine, event, request, index);
    } else if (request.m_mode == AnswerMode::Once) {
        releaseUnusedClaim(engine, event, request);
    }
}

void handleExecutionFailure(QueryEngine &engine, const Event &event, Request &request,
                            ShardIndex index, Reason reason)
{
    SubRequest &shard = request.m_shards[index];
    ++shard.m_failures;
    shard.m_reason = reason;
    resumeShard(engine, event, request, index);
}

void mergeShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                const AttemptReply &reply)
{
    SubRequest &shard = request.m_shards[index];
    checkInvariant(engine.m_invariants, Invariant::NoCrossedReply,
                   matchesRequest(engine, request, shard, reply),
                   "reply of another request or shard merged into " + request.m_caller.m_requestId);
    if (isFanOut(request)) {
        checkInvariant(engine.m_invariants, Invariant::OneSnapshot,
                       reply.m_snapshot == *request.m_snapshot,
                       "reply of another snapshot merged into " + request.m_caller.m_requestId);
    } else {
        request.m_snapshot = reply.m_snapshot;
    }
    cancelAttempts(engine, event, shard);
    shard.m_state = ShardState::Merged;
    shard.m_entries = reply.m_entries;
    --request.m_openShards;
    ++request.m_mergedShards;
    answerIfReady(engine, event, request);
}

void handleResult(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                  const AttemptReply &reply)
{
    if (request.m_mode == AnswerMode::Once) {
        checkInvariant(engine.m_invariants, Invariant::NoCrossedReply,
                       matchesRequest(engine, request, request.m_shards[index], reply),
                       "reply of another request accepted for " + request.m_caller.m_requestId);
        finishOnce(engine, event, request, Outcome::Complete, Reason::None, reply.m_snapshot,
                   reply.m_entries);
        return;
    }
    const bool otherSnapshot = isFanOut(request) && reply.m_snapshot != *request.m_snapshot;
    if (otherSnapshot && !hasMutant(engine, QueryMutant::MergeAnySnapshot)) {
        handleExecutionFailure(engine, event, request, index, Reason::SnapshotGone);
        return;
    }
    mergeShard(engine, event, request, index, reply);
}

void handleMatchingReply(QueryEngine &engine, const Event &event, Request &request,
                         ShardIndex index, const AttemptReply &reply)
{
    switch (reply.m_status) {
    case AttemptStatus::Ok:
        handleResult(engine, event, request, index, reply);
        break;
    case AttemptStatus::Shed:
        handleRefusal(engine, event, request, index, Reason::Overload);
        break;
    case AttemptStatus::Draining:
        handleRefusal(engine, event, request, index, Reason::NoReplica);
        break;
    case AttemptStatus::SnapshotGone:
        handleRefusal(engine, event, request, index, Reason::SnapshotGone);
        break;
    case AttemptStatus::Error:
        if (request.m_mode == AnswerMode::Once) {
            finishOnce(engine, event, request, Outcome::Failed, Reason::TargetError, std::nullopt,
                       {});
        } else {
            handleExecutionFailure(engine, event, request, index, Reason::TargetError);
        }
        break;
    }
}

void recordTargetLoss(QueryEngine &engine, const Event &event, const Attempt &attempt)
{
    const QuarantineNotice notice =
        countTargetLoss(engine.m_fingerprints, event.m_now, attempt.m_fingerprint, attempt.m_target,
                        !attempt.m_probesPayload);
    event.m_actions.emplace_back(AnnounceQuarantine{notice});
    // An attempt sent before a pause may be lost after peers have reported the loss of two other
    // targets (stress seed 777066).
    const bool sentBeforePause = attempt.m_sentAt < engine.m_resumedAt;
    checkInvariant(engine.m_invariants, Invariant::QuarantineBound,
                   notice.m_lostTargets <= lostTargetLimit || sentBeforePause,
                   "more targets lost to one fingerprint than allowed");
}

void handleOnceFailure(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    if (hasMutant(engine, QueryMutant::RetryNonIdempotent) && !request.m_answered) {
        resumeShard(engine, event, request, index);
        return;
    }
    if (hasMutant(engine, QueryMutant::NotRunAfterSend) && !request.m_answered) {
        answerWithoutEntries(engine, event, request, Outcome::NotRun, Reason::TargetError);
        return;
    }
    finishOnce(engine, event, request, Outcome::OutcomeUnknown, Reason::TargetError, std::nullopt,
               {});
}

void continueAfterFailure(QueryEngine &engine, const Event &event, Request &request,
                          ShardIndex index, AttemptFailure failure)
{
    if (failure == AttemptFailure::NotSent) {
        handleRefusal(engine, event, request, index, Reason::NoReplica);
        return;
    }
    if (request.m_mode == AnswerMode::Once) {
        handleOnceFailure(engine, event, request, index);
        return;
    }
    handleExecutionFailure(engine, event, request, index, Reason::TargetError);
}

} // namespace

void processAttemptReply(QueryEngine &engine, const Event &event, std::string_view target,
                         const AttemptReply &reply)
{
    Attempt *attempt = findAttempt(engine, reply.m_attempt);
    if (attempt == nullptr || engine.m_table.m_targets[attempt->m_target].m_name != target) {
        ++engine.m_statistics.m_droppedReplies;
        return;
    }
    const AttemptId id = attempt->m_id;
    const ShardIndex index = attempt->m_shard;
    Request *request = attempt->m_cancelled ? nullptr : findRequest(engine, attempt->m_request);
    if (request != nullptr && !matchesRequest(engine, *request, request->m_shards[index], reply)
        && !hasMutant(engine, QueryMutant::AcceptCrossedReply)) {
        ++engine.m_statistics.m_droppedReplies;
        return;
    }
    updateTargetFromReply(engine, event, *attempt, reply,
                          request != nullptr ? request->m_snapshot : std::nullopt);
    recordAttemptSpan(engine, event, *attempt,
                      reply.m_status == AttemptStatus::Ok ? "ok" : "error");
    if (request == nullptr) {
        ++engine.m_statistics.m_droppedReplies;
    } else {
        if (isStarted(reply.m_status)) {
            addLatency(engine.m_groups[request->m_group].m_latencies, event.m_now,
                       event.m_now - attempt->m_sentAt);
        }
        detachAttempt(request->m_shards[index], id);
        handleMatchingReply(engine, event, *request, index, reply);
    }
    attempt = findAttempt(engine, id);
    if (attempt != nullptr) {
        endAttempt(engine, event, *attempt);
    }
}

void processAttemptFailure(QueryEngine &engine, const Event &event, AttemptId id,
                           AttemptFailure failure)
{
    Attempt *attempt = findAttempt(engine, id);
    if (attempt == nullptr) {
        return;
    }
    const ShardIndex index = attempt->m_shard;
    recordAttemptSpan(engine, event, *attempt, "failed");
    // The I/O layer reports no failure for a cancelled attempt whose connection it closed itself,
    // so a lost connection was always closed by the target.
    const bool lost = failure == AttemptFailure::ConnectionLost;
    if (!attempt->m_cancelled || attempt->m_trial || lost) {
        const TargetState &target = engine.m_table.m_targets[attempt->m_target];
        const bool wasEjected = target.m_ejected;
        recordAttemptFailure(engine.m_table, attempt->m_target, event.m_now);
        engine.m_statistics.m_ejections += !wasEjected && target.m_ejected ? 1U : 0U;
    }
    if (lost) {
        recordTargetLoss(engine, event, *attempt);
    }
    Request *request = attempt->m_cancelled ? nullptr : findRequest(engine, attempt->m_request);
    if (request != nullptr) {
        detachAttempt(request->m_shards[index], id);
        continueAfterFailure(engine, event, *request, index, failure);
    }
    attempt = findAttempt(engine, id);
    if (attempt != nullptr) {
        endAttempt(engine, event, *attempt);
    }
}

} // namespace arbutusgrade
