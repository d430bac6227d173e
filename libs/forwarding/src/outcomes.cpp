#include <algorithm>
#include <array>

#include "details/enginestate.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr int httpMisdirectedRequest = 421;

constexpr Duration noCapacityRetryAfter = 300ms;

// Larger parts of a search are reduced to the records that may be in the response as they arrive,
// so that all parts together take little memory.
constexpr std::size_t largePartBytes = 8 * 1024;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

//! @brief Outcome of an attempt.
enum class AttemptOutcome {
    Success,
    NotExecuted,  //!< The target did not run the request.
    WrongTarget,  //!< Another process uses the target's address; the request was not run.
    NotDelivered, //!< The request did not reach the target.
    Failed,       //!< The request may have run.
};

struct AttemptResult
{
    AttemptOutcome m_outcome = AttemptOutcome::Failed;
    std::string_view m_reason;
    bool m_isMismatched = false;  //!< The reply is for another request.
    bool m_isTargetError = false; //!< An error reply that may be relayed to the caller.
};

AttemptResult classifyAttempt(ForwardEnd end, const TargetReply &reply, std::string_view requestId)
{
    switch (end) {
    case ForwardEnd::ConnectFailed:
        return {AttemptOutcome::NotDelivered, "connect-failed"};
    case ForwardEnd::Closed:
        return {AttemptOutcome::Failed, "closed"};
    case ForwardEnd::Reset:
        return {AttemptOutcome::Failed, "reset"};
    case ForwardEnd::Malformed:
        return {AttemptOutcome::Failed, "malformed"};
    case ForwardEnd::Reply:
        break;
    }
    if (reply.m_echoedId && *reply.m_echoedId != requestId) {
        return {AttemptOutcome::Failed, "foreign-reply", true};
    }
    if (reply.m_status == httpMisdirectedRequest) {
        return {AttemptOutcome::WrongTarget, "other-target"};
    }
    if (reply.m_notExecuted) {
        return {AttemptOutcome::NotExecuted, "refused-by-target"};
    }
    if (!isSuccess(reply.m_status)) {
        return {AttemptOutcome::Failed, "target-error", false, true};
    }
    if (reply.m_receipt.empty()) {
        return {AttemptOutcome::Failed, "no-receipt"};
    }
    return {AttemptOutcome::Success, "ok"};
}

void reduceLargePart(TargetReply &reply, std::size_t recordCount)
{
    if (reply.m_body.size() <= largePartBytes) {
        return;
    }
    const std::array<std::string_view, 1> parts{reply.m_body};
    reply.m_body = mergeRecords(parts, recordCount);
    reply.m_memory.reset();
}

void updateTargetStatistics(const Attempt &attempt, TimePoint now, const AttemptResult &result)
{
    Target &target = *attempt.m_target;
    switch (result.m_outcome) {
    case AttemptOutcome::Success:
        recordSuccess(target, now, now - attempt.m_sentAt,
                      attempt.m_routeLatency->m_typicalLatency);
        break;
    case AttemptOutcome::NotExecuted:
        recordFailure(target, now, TargetFailure::Rejected);
        break;
    case AttemptOutcome::WrongTarget:
        recordFailure(target, now, TargetFailure::AddressReused);
        break;
    case AttemptOutcome::NotDelivered:
        // Already recorded by recordConnectFailure().
        break;
    case AttemptOutcome::Failed:
        recordFailure(target, now, TargetFailure::RequestFailed);
        break;
    }
}

} // namespace

bool hasEnoughShards(const Route &route, std::size_t included)
{
    // Fractions such as 0.9 have no exact binary representation.
    constexpr double tolerance = 1e-9;
    const double needed = route.m_minimumShardShare * static_cast<double>(route.m_shards.size());
    return included > 0 && static_cast<double>(included) >= needed - tolerance;
}

bool hasReplyToRelay(const PendingRequest &pending)
{
    return pending.m_route->m_shards.empty() && pending.m_subrequests.front().m_hasErrorReply;
}

void ForwardEngine::Implementation::attemptEnded(TimePoint now, std::uint64_t id, ForwardEnd end,
                                                 TargetReply reply)
{
    const std::unordered_map<std::uint64_t, Attempt>::iterator found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    removeOutstandingAttempt(*attempt.m_target, id);
    const AttemptResult result = classifyAttempt(end, reply, attempt.m_request->m_requestId);
    if (result.m_isMismatched) {
        ++m_statistics.m_mismatches;
        m_output.abandon(id);
    }
    if (end == ForwardEnd::Closed || end == ForwardEnd::Reset) {
        recordLostRequest(now, attempt);
    } else if (end == ForwardEnd::ConnectFailed) {
        recordConnectFailure(now, *attempt.m_target);
    }
    updateTargetStatistics(attempt, now, result);
    recordNotices(now, attempt, reply, result.m_outcome == AttemptOutcome::WrongTarget);
    recordRemoteContact(now, *attempt.m_target, result.m_outcome != AttemptOutcome::NotDelivered);
    if (result.m_outcome == AttemptOutcome::Success) {
        recordRouteLatency(*attempt.m_routeLatency, now - attempt.m_sentAt);
    }
    if (PendingRequest *pending = findPendingRequest(attempt.m_pendingId)) {
        Subrequest &subrequest = pending->m_subrequests[attempt.m_subrequestIndex];
        --subrequest.m_attemptsInFlight;
        if (result.m_outcome == AttemptOutcome::Success) {
            subrequestSucceeded(now, *pending, attempt.m_subrequestIndex, std::move(reply));
        } else {
            logDecision(now, *pending, attempt.m_subrequestIndex, "attempt-failed", result.m_reason,
                        attempt.m_target->m_entry.m_id, reply.m_status, now - attempt.m_sentAt);
            subrequest.m_failureReason = result.m_reason;
            const bool mayHaveRun = result.m_outcome == AttemptOutcome::Failed;
            subrequest.m_possibleExecutions -= mayHaveRun ? 0 : 1;
            subrequest.m_possibleDeliveries -=
                result.m_outcome == AttemptOutcome::NotDelivered ? 1 : 0;
            if (result.m_isTargetError) {
                subrequest.m_reply = std::move(reply);
                subrequest.m_hasErrorReply = true;
            }
            subrequestAttemptFailed(now, *pending, attempt.m_subrequestIndex);
        }
    } else if (result.m_outcome == AttemptOutcome::Success && !m_crashes.m_entries.empty()) {
        clearRequest(now, attempt.m_request->m_fingerprint);
    }
    dispatchQueue(now, *attempt.m_service);
}

void ForwardEngine::Implementation::subrequestSucceeded(TimePoint now, PendingRequest &pending,
                                                        std::size_t index, TargetReply reply)
{
    Subrequest &subrequest = pending.m_subrequests[index];
    if (subrequest.m_state == SubrequestState::Succeeded) {
        return;
    }
    if (!pending.m_route->m_shards.empty()) {
        reduceLargePart(reply, pending.m_route->m_topRecords);
    }
    subrequest.m_state = SubrequestState::Succeeded;
    subrequest.m_reply = std::move(reply);
    ++pending.m_succeededCount;
    // Later parts of a search matter only where there is something to clear.
    if (pending.m_succeededCount == 1 || !m_crashes.m_entries.empty()) {
        clearRequest(now, pending.m_request->m_fingerprint);
    }
    if (subrequest.m_attemptsInFlight > 0) {
        detachAttempts(now, pending.m_id, index);
        subrequest.m_attemptsInFlight = 0;
    }
    scheduleStragglerHedges(now, pending);
    answerIfReady(now, pending);
}

void ForwardEngine::Implementation::subrequestAttemptFailed(TimePoint now, PendingRequest &pending,
                                                            std::size_t index)
{
    const Subrequest &subrequest = pending.m_subrequests[index];
    if (subrequest.m_state != SubrequestState::Sent || subrequest.m_attemptsInFlight > 0) {
        return;
    }
    if (canRetry(pending, subrequest)) {
        sendRetry(now, pending, index);
        return;
    }
    failSubrequest(now, pending, index, subrequest.m_failureReason);
}

void ForwardEngine::Implementation::failSubrequest(TimePoint now, PendingRequest &pending,
                                                   std::size_t index, std::string_view reason)
{
    Subrequest &subrequest = pending.m_subrequests[index];
    subrequest.m_state = SubrequestState::Failed;
    subrequest.m_failureReason = reason;
    ++pending.m_failedCount;
    answerIfReady(now, pending);
}

void ForwardEngine::Implementation::answerIfReady(TimePoint now, PendingRequest &pending)
{
    if (pending.m_route->m_shards.empty()) {
        if (pending.m_succeededCount + pending.m_failedCount > 0) {
            answerSingle(now, pending);
        }
        return;
    }
    const std::size_t total = pending.m_subrequests.size();
    const bool ended = pending.m_succeededCount + pending.m_failedCount == total;
    if (!hasEnoughShards(*pending.m_route, total - pending.m_failedCount)) {
        failRequest(now, pending, false);
    } else if (ended
               || (now >= pending.m_partialAnswerAt
                   && hasEnoughShards(*pending.m_route, pending.m_succeededCount))) {
        answerSearch(now, pending);
    }
}

void ForwardEngine::Implementation::answerSingle(TimePoint now, PendingRequest &pending)
{
    Subrequest &subrequest = pending.m_subrequests.front();
    if (subrequest.m_state != SubrequestState::Succeeded && !subrequest.m_hasErrorReply) {
        failRequest(now, pending, false);
        return;
    }
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Relayed;
    answer.m_status = subrequest.m_reply.m_status;
    answer.m_reason =
        subrequest.m_state == SubrequestState::Succeeded ? "ok" : subrequest.m_failureReason;
    answer.m_reply = std::move(subrequest.m_reply);
    const bool impliesNotExecuted =
        answer.m_status == 503 || answer.m_status == 429 || answer.m_status == 408;
    if (impliesNotExecuted) {
        // These status codes tell the caller that the request was not run, which the target did not
        // confirm.
        answer.m_kind = AnswerKind::Failed;
        answer.m_status = 502;
        answer.m_reply = {};
    }
    sendAnswer(now, pending, std::move(answer));
}

void ForwardEngine::Implementation::answerSearch(TimePoint now, PendingRequest &pending)
{
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Merged;
    answer.m_status = 200;
    answer.m_reason = "ok";
    std::vector<std::string_view> bodies;
    for (Subrequest &subrequest : pending.m_subrequests) {
        if (subrequest.m_state == SubrequestState::Succeeded) {
            bodies.push_back(subrequest.m_reply.m_body);
            answer.m_receipts.push_back(std::move(subrequest.m_reply.m_receipt));
        }
    }
    answer.m_missingShards = pending.m_subrequests.size() - bodies.size();
    if (answer.m_missingShards > 0) {
        ++m_statistics.m_partial;
        answer.m_reason = "partial";
    }
    answer.m_records = mergeRecords(bodies, pending.m_route->m_topRecords);
    sendAnswer(now, pending, std::move(answer));
}

void ForwardEngine::Implementation::logUnansweredSubrequests(TimePoint now,
                                                             const PendingRequest &pending) const
{
    // A few sub-requests show the cause; all shards of a large search would flood the log.
    constexpr int maximumLoggedSubrequests = 4;
    int logged = 0;
    for (std::size_t index = 0;
         index < pending.m_subrequests.size() && logged < maximumLoggedSubrequests; ++index) {
        const Subrequest &subrequest = pending.m_subrequests[index];
        if (subrequest.m_state == SubrequestState::Succeeded) {
            continue;
        }
        ++logged;
        std::string_view reason = subrequest.m_failureReason;
        if (reason.empty()) {
            reason = subrequest.m_attemptCount == 0 ? "not-sent" : "no-reply";
        }
        const std::string_view target = subrequest.m_triedTargetIds.empty()
                                            ? std::string_view()
                                            : std::string_view(subrequest.m_triedTargetIds.back());
        logDecision(now, pending, index, "unanswered", reason, target, 0);
    }
}

void ForwardEngine::Implementation::answerAtDeadline(TimePoint now, PendingRequest &pending)
{
    // A planned stop may bring the deadline forward, before the time of a partial answer.
    const bool hasPartialAnswer = !pending.m_route->m_shards.empty()
                                  && hasEnoughShards(*pending.m_route, pending.m_succeededCount);
    if (hasPartialAnswer) {
        answerSearch(now, pending);
    } else if (hasReplyToRelay(pending)) {
        answerSingle(now, pending);
    } else {
        failRequest(now, pending, true);
    }
}

void ForwardEngine::Implementation::failRequest(TimePoint now, PendingRequest &pending,
                                                bool timedOut)
{
    const bool mayHaveRun =
        std::any_of(pending.m_subrequests.begin(), pending.m_subrequests.end(),
                    [](const Subrequest &subrequest) {
                        return subrequest.m_possibleExecutions > 0
                               || subrequest.m_state == SubrequestState::Succeeded;
                    });
    ForwardAnswer answer;
    answer.m_kind = AnswerKind::Failed;
    answer.m_status = 502;
    answer.m_reason = "no-usable-reply";
    if (!mayHaveRun) {
        answer.m_kind = AnswerKind::Refused;
        answer.m_status = 503;
        answer.m_reason = "no-capacity";
        answer.m_retryAfter = std::max(noCapacityRetryAfter,
                                       timeUntilServable(now, pending).value_or(Duration::zero()));
    } else if (timedOut) {
        answer.m_kind = AnswerKind::TimedOut;
        answer.m_status = 504;
        answer.m_reason = "time-over";
    }
    sendAnswer(now, pending, std::move(answer));
}

void ForwardEngine::Implementation::sendAnswer(TimePoint now, PendingRequest &pending,
                                               ForwardAnswer answer)
{
    answer.m_caller = pending.m_request->m_caller;
    ++m_statistics.m_answers[static_cast<std::size_t>(answer.m_kind)];
    const bool success = isSuccess(answer.m_status);
    m_statistics.m_successes += success ? 1 : 0;
    ForwardDecision decision;
    decision.m_event = "answer";
    decision.m_reason = answer.m_reason;
    decision.m_requestId = pending.m_request->m_requestId;
    decision.m_route = pending.m_route->m_name;
    decision.m_organisation = pending.m_request->m_organisation;
    decision.m_keyHash = pending.m_request->m_keyHash;
    decision.m_version = pending.m_routingTable->m_version;
    decision.m_age = now - pending.m_arrivedAt;
    decision.m_status = answer.m_status;
    decision.m_missing = pending.m_subrequests.size() - pending.m_succeededCount;
    decision.m_mayBeSampled = success && decision.m_age <= pending.m_route->m_latencyTarget;
    if (!success) {
        logUnansweredSubrequests(now, pending);
    }
    m_output.record(decision);
    detachAttempts(now, pending.m_id, std::nullopt);
    removeFromQueues(pending);
    m_pendingIdByCaller.erase(answer.m_caller);
    const std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>>::iterator found =
        m_pendingRequests.find(pending.m_id);
    // Keeps the request alive until the end of this function, which still uses it.
    const std::unique_ptr<PendingRequest> ended = std::move(found->second);
    m_pendingRequests.erase(found);
    m_output.answer(answer);
}

void ForwardEngine::Implementation::logDecision(TimePoint now, const PendingRequest &pending,
                                                std::size_t subrequestIndex, std::string_view event,
                                                std::string_view reason, std::string_view target,
                                                int status, std::optional<Duration> sinceSent) const
{
    ForwardDecision decision;
    decision.m_event = event;
    decision.m_reason = reason;
    decision.m_requestId = pending.m_request->m_requestId;
    decision.m_route = pending.m_route->m_name;
    decision.m_service = pending.m_subrequests[subrequestIndex].m_service->m_name;
    decision.m_target = target;
    decision.m_version = pending.m_routingTable->m_version;
    decision.m_age = now - pending.m_arrivedAt;
    decision.m_sinceSent = sinceSent;
    decision.m_status = status;
    decision.m_missing = pending.m_subrequests.size() - pending.m_succeededCount;
    m_output.record(decision);
}

} // namespace arbutusgrade
