#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! The I/O layer closes the connection of a cancelled attempt after 150 ms. With a shorter timeout
//! a new attempt could exceed the share of connections.
constexpr Duration cancelledAttemptTimeout = std::chrono::milliseconds(200);

//! A trial of a finished sub-request is given up after this time, which is as long as a request may
//! take.
constexpr Duration trialTimeout = std::chrono::seconds(2);

void checkSendInvariants(QueryEngine &engine, const Event &event, const Request &request,
                         const TargetState &target)
{
    checkInvariant(engine.m_invariants, Invariant::ConnectionLimit,
                   target.m_inFlight < target.m_connectionShare,
                   "share of connections exceeded at target " + target.m_name);
    checkInvariant(engine.m_invariants, Invariant::NoWorkAfterDrain, !isDraining(target),
                   "attempt sent to draining target " + target.m_name);
    checkInvariant(engine.m_invariants, Invariant::QuarantineBound,
                   !isQuarantined(engine.m_fingerprints, event.m_now, request.m_fingerprint),
                   "attempt sent for quarantined request " + request.m_caller.m_requestId);
    if (request.m_mode != AnswerMode::Once) {
        return;
    }
    const bool held = request.m_once && request.m_once->m_claim.m_confirmed
                      && request.m_once->m_claim.m_phase == ClaimPhase::Held;
    checkInvariant(engine.m_invariants, Invariant::AtMostOnce,
                   held && request.m_possiblyRun == 0 && event.m_now < request.m_deadline,
                   "request " + request.m_caller.m_requestId
                       + " sent without a claim, more than once or after its deadline");
}

void countAttempt(QueryEngine &engine, const Event &event, const Request &request, AttemptRole role)
{
    switch (role) {
    case AttemptRole::First:
        ++engine.m_statistics.m_firstAttempts;
        earnRetryBudget(engine.m_groups[request.m_group], event.m_now);
        return;
    case AttemptRole::Restarted:
        ++engine.m_statistics.m_restartAttempts;
        return;
    case AttemptRole::Retry:
        ++engine.m_statistics.m_retries;
        break;
    case AttemptRole::Hedge:
    case AttemptRole::Trial:
        ++engine.m_statistics.m_hedges;
        break;
    }
    checkRetryBudget(engine, request.m_group);
}

void occupyConnection(const Event &event, TargetState &target, bool trial)
{
    ++target.m_inFlight;
    if (!target.m_unansweredSince) {
        target.m_unansweredSince = event.m_now;
    }
    if (trial) {
        target.m_trialInFlight = true;
    }
}

void addAttemptToShard(SubRequest &shard, AttemptId attempt, const TargetState &target) noexcept
{
    const auto freeSlot = std::find(shard.m_attempts.begin(), shard.m_attempts.end(), AttemptId{0});
    if (freeSlot != shard.m_attempts.end()) {
        *freeSlot = attempt;
    }
    if (target.m_ordinal < 64) {
        shard.m_triedTargets |= std::uint64_t{1} << target.m_ordinal;
    }
    shard.m_state = ShardState::InFlight;
    ++shard.m_attemptsSent;
}

SendAttempt makeSendAttempt(const QueryEngine &engine, const Request &request,
                            const SubRequest &shard, const Attempt &attempt)
{
    SendAttempt action;
    action.m_attempt = attempt.m_id;
    action.m_target = engine.m_table.m_targets[attempt.m_target].m_name;
    action.m_service = engine.m_table.m_services[shard.m_service].m_name;
    action.m_requestId = request.m_caller.m_requestId;
    if (isFanOut(request)) {
        action.m_snapshot = request.m_snapshot;
    }
    action.m_deadline = request.m_deadline;
    action.m_idempotent = request.m_mode != AnswerMode::Once;
    action.m_payload = request.m_caller.m_payload;
    action.m_trace = request.m_caller.m_trace;
    action.m_trace.m_parentSpan = spanId(engine, attempt.m_id);
    return action;
}

void reserveTargetForSuspect(QueryEngine &engine, const Event &event, const Request &request,
                             TargetState &target, Attempt &attempt)
{
    attempt.m_exclusive = isSuspect(engine.m_fingerprints, event.m_now, request.m_fingerprint);
    if (attempt.m_exclusive) {
        target.m_reservedFor = request.m_fingerprint;
        target.m_reservedUntil = request.m_deadline;
    }
}

} // namespace

void sendAttempt(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                 TargetIndex targetIndex, AttemptRole role, bool trial)
{
    TargetState &target = engine.m_table.m_targets[targetIndex];
    SubRequest &shard = request.m_shards[index];
    checkSendInvariants(engine, event, request, target);
    countAttempt(engine, event, request, role);
    Attempt &attempt = createAttempt(engine);
    attempt.m_request = request.m_key;
    attempt.m_shard = index;
    attempt.m_target = targetIndex;
    attempt.m_sentAt = event.m_now;
    attempt.m_fingerprint = request.m_fingerprint;
    attempt.m_role = role;
    attempt.m_trial = trial;
    attempt.m_probesPayload = beginFingerprintAttempt(engine.m_fingerprints, request.m_fingerprint);
    reserveTargetForSuspect(engine, event, request, target, attempt);
    occupyConnection(event, target, trial);
    addAttemptToShard(shard, attempt.m_id, target);
    ++request.m_attemptsSent;
    ++request.m_possiblyRun;
    ++engine.m_statistics.m_inFlight;
    event.m_actions.emplace_back(makeSendAttempt(engine, request, shard, attempt));
    startTimer(engine, event.m_now + hedgeDelay(engine, shard.m_service), TimerKind::HedgeCheck,
               attempt.m_id);
}

bool hasAttempts(const SubRequest &shard) noexcept
{
    return std::any_of(shard.m_attempts.begin(), shard.m_attempts.end(),
                       [](AttemptId id) { return id != 0; });
}

void detachAttempt(SubRequest &shard, AttemptId attempt) noexcept
{
    std::replace(shard.m_attempts.begin(), shard.m_attempts.end(), attempt, AttemptId{0});
}

void cancelAttempts(QueryEngine &engine, const Event &event, SubRequest &shard)
{
    for (AttemptId &id : shard.m_attempts) {
        Attempt *attempt = findAttempt(engine, id);
        if (attempt == nullptr) {
            id = 0;
            continue;
        }
        attempt->m_cancelled = true;
        // A trial must show whether the target replies, so it is not cancelled.
        if (!attempt->m_trial) {
            ++engine.m_statistics.m_cancels;
            event.m_actions.emplace_back(
                CancelAttempt{id, engine.m_table.m_targets[attempt->m_target].m_name});
        }
        const Duration timeout = attempt->m_trial ? trialTimeout : cancelledAttemptTimeout;
        startTimer(engine, event.m_now + timeout, TimerKind::AttemptTimeout, id);
        id = 0;
    }
}

void endAttempt(QueryEngine &engine, const Event &event, Attempt &attempt)
{
    const Attempt ended = attempt;
    attempt = Attempt{};
    engine.m_freeAttempts.push_back(static_cast<std::uint32_t>(ended.m_id & slotMask));
    --engine.m_statistics.m_inFlight;
    TargetState &target = engine.m_table.m_targets[ended.m_target];
    --target.m_inFlight;
    if (ended.m_trial) {
        target.m_trialInFlight = false;
    }
    if (ended.m_exclusive && target.m_reservedFor == ended.m_fingerprint) {
        target.m_reservedUntil = TimePoint{};
    }
    if (ended.m_probesPayload) {
        endFingerprintAttempt(engine.m_fingerprints, ended.m_fingerprint);
    }
    releaseProbeWaiters(engine, event, ended.m_fingerprint);
    dispatchQueued(engine, event, target.m_service);
}

} // namespace arbutusgrade
