#include "details/jobs.h"

namespace arbutusgrade {

namespace {

//! Refusals before start that one sub-request may meet before it only waits for its deadline.
constexpr std::uint8_t refusalCount = 200;

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

void learnReply(QueryEngine &engine, const Event &event, const Attempt &attempt,
                const AttemptReply &reply, const std::optional<Snapshot> &pinned)
{
    ReplyFacts facts;
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
    if (learnFromReply(table, attempt.m_target, event.m_now, facts)) {
        event.m_actions.emplace_back(ShareDrain{table.m_targets[attempt.m_target].m_name});
    }
    if (!wasEjected && table.m_targets[attempt.m_target].m_ejected) {
        ++engine.m_statistics.m_ejections;
    }
    if (reply.m_status == AttemptStatus::SnapshotGone && pinned) {
        learnSnapshotGone(table, attempt.m_target, event.m_now, *pinned);
    }
    if (facts.m_started) {
        clearFingerprint(engine.m_fingerprints, attempt.m_fingerprint);
    }
}

//! Goes on after an attempt that gave no result: another attempt, a later retry, or no more.
void continueShard(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    const SubRequest &shard = request.m_shards[index];
    if (hasAttempts(shard)) {
        return; // A hedge of the same shard is still in flight.
    }
    const int retries = engine.m_kinds[request.m_kind].m_settings.m_retries;
    if (request.m_mode != AnswerMode::Once && shard.m_failures > retries) {
        giveUpShard(engine, event, request, index, shard.m_reason);
        return;
    }
    if (request.m_mode == AnswerMode::Once && !hasMutant(engine, QueryMutant::RetryNonIdempotent)
        && shard.m_refusals >= engine.m_table.m_services[shard.m_service].m_targets.size()) {
        refuseOnce(engine, event, request, shard.m_reason);
        return;
    }
    retryShardNow(engine, event, request, index);
}

void noteRefusal(SubRequest &shard) noexcept
{
    if (shard.m_refusals < refusalCount) {
        ++shard.m_refusals;
    }
}

void takeRefusal(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                 Reason reason)
{
    SubRequest &shard = request.m_shards[index];
    noteRefusal(shard);
    shard.m_reason = reason;
    --request.m_possiblyRun;
    if (reason == Reason::Overload) {
        noteCapacity(engine.m_groups[request.m_group], false);
    }
    if (!request.m_answered) {
        continueShard(engine, event, request, index);
    } else if (request.m_mode == AnswerMode::Once) {
        releaseUnused(engine, event, request);
    }
}

void takeStartedFailure(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                        Reason reason)
{
    SubRequest &shard = request.m_shards[index];
    ++shard.m_failures;
    shard.m_reason = reason;
    continueShard(engine, event, request, index);
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
    --request.m_open;
    ++request.m_merged;
    answerIfReady(engine, event, request);
}

void takeResult(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                const AttemptReply &reply)
{
    if (request.m_mode == AnswerMode::Once) {
        checkInvariant(engine.m_invariants, Invariant::NoCrossedReply,
                       matchesRequest(engine, request, request.m_shards[index], reply),
                       "reply of another request taken by " + request.m_caller.m_requestId);
        finishOnce(engine, event, request, Outcome::Complete, Reason::None, reply.m_snapshot,
                   reply.m_entries);
        return;
    }
    const bool otherSnapshot = isFanOut(request) && reply.m_snapshot != *request.m_snapshot;
    if (otherSnapshot && !hasMutant(engine, QueryMutant::MergeAnySnapshot)) {
        takeStartedFailure(engine, event, request, index, Reason::SnapshotGone);
        return;
    }
    mergeShard(engine, event, request, index, reply);
}

void takeValidReply(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                    const AttemptReply &reply)
{
    switch (reply.m_status) {
    case AttemptStatus::Ok:
        takeResult(engine, event, request, index, reply);
        break;
    case AttemptStatus::Shed:
        takeRefusal(engine, event, request, index, Reason::Overload);
        break;
    case AttemptStatus::Draining:
        takeRefusal(engine, event, request, index, Reason::NoReplica);
        break;
    case AttemptStatus::SnapshotGone:
        takeRefusal(engine, event, request, index, Reason::SnapshotGone);
        break;
    case AttemptStatus::Error:
        if (request.m_mode == AnswerMode::Once) {
            finishOnce(engine, event, request, Outcome::Failed, Reason::TargetError, std::nullopt,
                       {});
        } else {
            takeStartedFailure(engine, event, request, index, Reason::TargetError);
        }
        break;
    }
}

void noteLoss(QueryEngine &engine, const Event &event, const Attempt &attempt)
{
    const QuarantineNotice notice =
        noteTargetLost(engine.m_fingerprints, event.m_now, attempt.m_fingerprint, attempt.m_target,
                       !attempt.m_probing);
    event.m_actions.emplace_back(ShareQuarantine{notice});
    // An attempt sent before a pause may be lost after peers have told of two other targets (stress
    // seed 777066).
    const bool sentBeforePause = attempt.m_sentAt < engine.m_resumedAt;
    checkInvariant(engine.m_invariants, Invariant::QuarantineBound,
                   notice.m_lostTargets <= lostTargetLimit || sentBeforePause,
                   "more targets lost to one fingerprint than allowed");
}

void takeOnceLoss(QueryEngine &engine, const Event &event, Request &request, ShardIndex index)
{
    if (hasMutant(engine, QueryMutant::RetryNonIdempotent) && !request.m_answered) {
        continueShard(engine, event, request, index);
        return;
    }
    if (hasMutant(engine, QueryMutant::NotRunAfterSend) && !request.m_answered) {
        answerPlain(engine, event, request, Outcome::NotRun, Reason::TargetError);
        return;
    }
    finishOnce(engine, event, request, Outcome::OutcomeUnknown, Reason::TargetError, std::nullopt,
               {});
}

void continueAfterFailure(QueryEngine &engine, const Event &event, Request &request,
                          ShardIndex index, AttemptFailure failure)
{
    if (failure == AttemptFailure::NotSent) {
        takeRefusal(engine, event, request, index, Reason::NoReplica);
        return;
    }
    if (request.m_mode == AnswerMode::Once) {
        takeOnceLoss(engine, event, request, index);
        return;
    }
    takeStartedFailure(engine, event, request, index, Reason::TargetError);
}

} // namespace

void takeReply(QueryEngine &engine, const Event &event, std::string_view target,
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
    learnReply(engine, event, *attempt, reply,
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
        takeValidReply(engine, event, *request, index, reply);
    }
    attempt = findAttempt(engine, id);
    if (attempt != nullptr) {
        endAttempt(engine, event, *attempt);
    }
}

void takeFailure(QueryEngine &engine, const Event &event, AttemptId id, AttemptFailure failure)
{
    Attempt *attempt = findAttempt(engine, id);
    if (attempt == nullptr) {
        return;
    }
    const ShardIndex index = attempt->m_shard;
    recordAttemptSpan(engine, event, *attempt, "failed");
    // The shell reports no end of a cancelled attempt whose connection it closed itself, so a lost
    // connection is always the target's doing.
    const bool lost = failure == AttemptFailure::ConnectionLost;
    if (!attempt->m_cancelled || attempt->m_trial || lost) {
        const TargetState &target = engine.m_table.m_targets[attempt->m_target];
        const bool wasEjected = target.m_ejected;
        learnFromFailure(engine.m_table, attempt->m_target, event.m_now);
        engine.m_statistics.m_ejections += !wasEjected && target.m_ejected ? 1U : 0U;
    }
    if (lost) {
        noteLoss(engine, event, *attempt);
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
