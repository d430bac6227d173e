#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

constexpr Duration claimRetryDelay = std::chrono::milliseconds(500);

//! Delay before reading a claim of another send again for its outcome.
constexpr Duration outcomeReadDelay = std::chrono::milliseconds(100);

//! One call creates the claim and one records the outcome.
constexpr double storeCallsPerClaim = 2.0;

//! Refills the token bucket for store calls and returns whether a new claim may start. Each store
//! call takes a token. Calls that record or release a claim are never refused, so the balance may
//! become negative, which blocks new claims until it recovers.
bool admitClaim(QueryEngine &engine, TimePoint now)
{
    const double rate = engine.m_store.m_claimsPerSecond;
    const double elapsed = std::chrono::duration<double>(now - engine.m_claimTokensAt).count();
    engine.m_claimTokens = std::min(engine.m_claimTokens + std::max(elapsed, 0.0) * rate, rate);
    engine.m_claimTokensAt = now;
    return engine.m_claimTokens >= storeCallsPerClaim;
}

void callStore(QueryEngine &engine, const Event &event, Request &request, StoreOperation operation,
               const ClaimAction &action)
{
    ++engine.m_storeCallSerial;
    ++engine.m_statistics.m_storeCalls;
    engine.m_claimTokens -= 1.0;
    OnceState &once = *request.m_once;
    once.m_pendingCall = engine.m_storeCallSerial;
    once.m_callStartedAt = event.m_now;
    engine.m_storeCalls.emplace(once.m_pendingCall, request.m_key);
    CallStore call;
    call.m_call = once.m_pendingCall;
    call.m_operation = operation;
    call.m_key = once.m_key;
    call.m_value = action.m_value;
    call.m_expectedRevision = action.m_expectedRevision;
    call.m_leased = operation == StoreOperation::CompareAndSwap;
    call.m_deadline = event.m_now + engine.m_store.m_timeout;
    event.m_actions.emplace_back(std::move(call));
}

void performClaimAction(QueryEngine &engine, const Event &event, Request &request,
                        const ClaimAction &action);

void startClaimedRequest(QueryEngine &engine, const Event &event, Request &request)
{
    const bool late =
        event.m_now >= request.m_deadline && !hasMutant(engine, QueryMutant::SendAfterDeadline);
    if (request.m_answered) {
        releaseUnusedClaim(engine, event, request);
        return;
    }
    if (late) {
        refuseOnce(engine, event, request, Reason::Deadline);
        return;
    }
    dispatchAll(engine, event, request);
}

Outcome recordedOutcome(const ClaimRecord &record) noexcept
{
    for (const Outcome outcome : {Outcome::Complete, Outcome::Partial, Outcome::NotRun,
                                  Outcome::OutcomeUnknown, Outcome::Failed}) {
        if (outcomeName(outcome) == record.m_outcome) {
            return outcome;
        }
    }
    return Outcome::OutcomeUnknown;
}

void answerFromRecord(QueryEngine &engine, const Event &event, Request &request)
{
    const ClaimRecord &record = *request.m_once->m_claim.m_existingRecord;
    const Outcome outcome = recordedOutcome(record);
    std::optional<Snapshot> snapshot;
    if (record.m_snapshot != Snapshot{}) {
        snapshot = record.m_snapshot;
    }
    const Reason reason = outcome == Outcome::Complete ? Reason::None : Reason::TargetError;
    std::string entries = record.m_hasResult ? record.m_result : std::string("[]");
    const ServiceIndex service = findService(engine.m_table, request.m_group, record.m_service);
    if (service != noIndex) {
        request.m_shards.front().m_service = service;
    }
    answerSingleShard(engine, event, request, outcome, reason, snapshot, std::move(entries));
}

//! Handles an unreachable store. The owner of the claim is unknown; this node has sent nothing.
void handleStoreUnavailable(QueryEngine &engine, const Event &event, Request &request)
{
    const RequestKey key = request.m_key;
    if (!request.m_answered) {
        answerWithoutEntries(engine, event, request,
                             refusalOutcome(request.m_mode, request.m_caller.m_sendNumber, false),
                             Reason::StoreUnavailable);
    }
    Request *answered = findRequest(engine, key);
    if (answered != nullptr) {
        releaseUnusedClaim(engine, event, *answered);
    }
}

void answerIfUnanswered(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                        Reason reason)
{
    if (!request.m_answered) {
        answerWithoutEntries(engine, event, request, outcome, reason);
        return;
    }
    removeOnceIfSettled(engine, request);
}

void handleClaimInProgress(QueryEngine &engine, const Event &event, Request &request)
{
    const bool mayWait = !request.m_answered && event.m_now + outcomeReadDelay < request.m_deadline;
    if (mayWait && awaitClaimOutcome(request.m_once->m_claim).m_step == ClaimStep::RetryLater) {
        startTimer(engine, event.m_now + outcomeReadDelay, TimerKind::ClaimRetry, request.m_key);
        return;
    }
    answerIfUnanswered(engine, event, request, Outcome::OutcomeUnknown, Reason::InProgress);
}

void performClaimAction(QueryEngine &engine, const Event &event, Request &request,
                        const ClaimAction &action)
{
    switch (action.m_step) {
    case ClaimStep::Read:
        callStore(engine, event, request, StoreOperation::Get, action);
        break;
    case ClaimStep::Write:
        callStore(engine, event, request, StoreOperation::CompareAndSwap, action);
        break;
    case ClaimStep::RetryLater:
        startTimer(engine, event.m_now + claimRetryDelay, TimerKind::ClaimRetry, request.m_key);
        break;
    case ClaimStep::Held:
        startClaimedRequest(engine, event, request);
        break;
    case ClaimStep::Recorded:
        if (request.m_answered) {
            removeOnceIfSettled(engine, request);
        } else {
            answerFromRecord(engine, event, request);
        }
        break;
    case ClaimStep::InProgress:
        handleClaimInProgress(engine, event, request);
        break;
    case ClaimStep::Mismatch:
        answerIfUnanswered(engine, event, request, Outcome::Failed, Reason::RequestIdReused);
        break;
    case ClaimStep::Unavailable:
        handleStoreUnavailable(engine, event, request);
        break;
    case ClaimStep::None:
        removeOnceIfSettled(engine, request);
        break;
    }
}

std::uint64_t claimFingerprint(const QueryEngine &engine, const Request &request)
{
    const std::string &payload =
        request.m_caller.m_payload ? *request.m_caller.m_payload : std::string();
    return stableHash(request.m_caller.m_kind + '\n' + request.m_caller.m_service + '\n' + payload)
           ^ stableHash(engine.m_table.m_groups[request.m_group].m_name);
}

} // namespace

void startClaim(QueryEngine &engine, const Event &event, Request &request)
{
    if (!admitClaim(engine, event.m_now)) {
        answerWithoutEntries(engine, event, request,
                             refusalOutcome(request.m_mode, request.m_caller.m_sendNumber, false),
                             Reason::Overload);
        return;
    }
    request.m_once = std::make_unique<OnceState>();
    OnceState &once = *request.m_once;
    once.m_key =
        claimKey(engine.m_table.m_groups[request.m_group].m_name, request.m_caller.m_requestId);
    once.m_claim.m_ownRecord.m_fingerprint = claimFingerprint(engine, request);
    once.m_claim.m_ownRecord.m_node = engine.m_options.m_node;
    once.m_claim.m_ownRecord.m_incarnation = engine.m_options.m_incarnation;
    once.m_claim.m_ownRecord.m_nonce = spanId(engine, request.m_key);
    if (hasMutant(engine, QueryMutant::ClaimNotNeeded)) {
        dispatchAll(engine, event, request);
        return;
    }
    performClaimAction(engine, event, request, beginClaim(once.m_claim));
}

void processStoreReply(QueryEngine &engine, const Event &event, const StoreReply &reply)
{
    const auto found = engine.m_storeCalls.find(reply.m_call);
    if (found == engine.m_storeCalls.end()) {
        return;
    }
    Request *request = findRequest(engine, found->second);
    engine.m_storeCalls.erase(found);
    if (request == nullptr || !request->m_once || request->m_once->m_pendingCall != reply.m_call) {
        return;
    }
    recordStoreSpan(engine, event, *request,
                    reply.m_status == StoreStatus::Unavailable ? "unavailable" : "ok");
    OnceState &once = *request->m_once;
    once.m_pendingCall = 0;
    const bool lost =
        reply.m_status == StoreStatus::Unavailable && once.m_claim.m_phase == ClaimPhase::Writing;
    if (lost && hasMutant(engine, QueryMutant::ClaimLostMeansHeld)) {
        once.m_claim.m_phase = ClaimPhase::Held;
        startClaimedRequest(engine, event, *request);
        return;
    }
    performClaimAction(
        engine, event, *request,
        handleClaimReply(once.m_claim, reply.m_status, reply.m_value, reply.m_revision));
}

void retryClaimCall(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request == nullptr || !request->m_once || request->m_once->m_pendingCall != 0) {
        return;
    }
    performClaimAction(engine, event, *request, retryClaim(request->m_once->m_claim));
}

void releaseUnusedClaim(QueryEngine &engine, const Event &event, Request &request)
{
    OnceState &once = *request.m_once;
    if (once.m_settled || once.m_pendingCall != 0) {
        return; // Called again with the reply of the pending call.
    }
    once.m_settled = true;
    checkInvariant(engine.m_invariants, Invariant::AtMostOnce, request.m_possiblyRun == 0,
                   "claim of " + request.m_caller.m_requestId + " released after a send");
    performClaimAction(engine, event, request, releaseClaim(once.m_claim));
}

bool maySendOnce(QueryEngine &engine, const Event &event, Request &request)
{
    if (hasMutant(engine, QueryMutant::ClaimNotNeeded)
        || hasMutant(engine, QueryMutant::SendAfterDeadline)) {
        return true;
    }
    return event.m_now < request.m_deadline && request.m_once
           && request.m_once->m_claim.m_phase == ClaimPhase::Held;
}

void finishOnce(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                Reason reason, const std::optional<Snapshot> &snapshot, std::string entries)
{
    OnceState &once = *request.m_once;
    if (once.m_settled) {
        return;
    }
    once.m_settled = true;
    ClaimAction record;
    if (hasMutant(engine, QueryMutant::ReleaseAfterSend) && outcome == Outcome::OutcomeUnknown) {
        once.m_settled = false;
        releaseUnusedClaim(engine, event, request);
    } else if (outcome != Outcome::OutcomeUnknown) {
        // The record stays `claimed`, which later sends also report as an unknown outcome.
        once.m_claim.m_ownRecord.m_outcome = outcomeName(outcome);
        once.m_claim.m_ownRecord.m_reason = reasonName(reason);
        once.m_claim.m_ownRecord.m_service =
            engine.m_table.m_services[request.m_shards.front().m_service].m_name;
        once.m_claim.m_ownRecord.m_snapshot = snapshot.value_or(Snapshot{});
        once.m_claim.m_ownRecord.m_result = entries;
        record = recordClaimOutcome(once.m_claim);
    } else {
        once.m_claim.m_phase = ClaimPhase::Ended;
    }
    const RequestKey key = request.m_key;
    if (!request.m_answered) {
        if (outcome == Outcome::Complete) {
            answerSingleShard(engine, event, request, outcome, reason, snapshot,
                              std::move(entries));
        } else {
            answerWithoutEntries(engine, event, request, outcome, reason);
        }
    }
    Request *answered = findRequest(engine, key);
    if (answered != nullptr) {
        performClaimAction(engine, event, *answered, record);
    }
}

void refuseOnce(QueryEngine &engine, const Event &event, Request &request, Reason reason)
{
    const RequestKey key = request.m_key;
    const bool heldElsewhere =
        request.m_once && request.m_once->m_claim.m_phase == ClaimPhase::AwaitingOutcome;
    const bool notRun = request.m_possiblyRun == 0 && !heldElsewhere;
    const bool claimRead = request.m_once && request.m_once->m_claim.m_confirmed;
    const Outcome refused =
        refusalOutcome(request.m_mode, request.m_caller.m_sendNumber, claimRead);
    answerWithoutEntries(engine, event, request, notRun ? refused : Outcome::OutcomeUnknown,
                         reason);
    Request *answered = findRequest(engine, key);
    if (answered != nullptr && answered->m_once && (notRun || heldElsewhere)) {
        releaseUnusedClaim(engine, event, *answered);
    }
}

void removeOnceIfSettled(QueryEngine &engine, Request &request)
{
    if (!request.m_answered) {
        return;
    }
    const bool claimOpen = request.m_once && request.m_once->m_claim.m_phase != ClaimPhase::Ended;
    const bool inFlight = !request.m_shards.empty() && hasAttempts(request.m_shards.front());
    if (claimOpen || inFlight) {
        return;
    }
    removeRequest(engine, request);
}

} // namespace arbutusgrade
