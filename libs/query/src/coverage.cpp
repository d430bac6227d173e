#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Time for which an answered once request is kept, so that a late result is still recorded.
constexpr Duration answeredRetention = std::chrono::seconds(60);

//! Time within which urgent notices reach all nodes of a data centre.
constexpr Duration noticePropagationTime = std::chrono::milliseconds(100);

//! A request is not answered early before its timeout divided by this number has passed.
constexpr std::int64_t earlyAnswerDivisor = 4;

//! Checks that the answer lists exactly the merged and the lacking shards, in shard order.
bool isCoverageExact(const QueryEngine &engine, const Request &request, const CallerAnswer &answer)
{
    std::size_t included = 0;
    std::size_t lacking = 0;
    for (const SubRequest &shard : request.m_shards) {
        const std::string &name = engine.m_table.m_services[shard.m_service].m_name;
        if (shard.m_state == ShardState::Merged) {
            if (included >= answer.m_included.size()
                || answer.m_included[included].m_service != name) {
                return false;
            }
            ++included;
            continue;
        }
        if (lacking >= answer.m_lacking.size() || answer.m_lacking[lacking].m_service != name
            || answer.m_lacking[lacking].m_reason == Reason::None) {
            return false;
        }
        ++lacking;
    }
    return included == answer.m_included.size() && lacking == answer.m_lacking.size();
}

//! Reason to report for a shard without a result if the request is answered now.
Reason openShardReason(const SubRequest &shard, Reason defaultReason) noexcept
{
    switch (shard.m_state) {
    case ShardState::Lacking:
        return shard.m_reason;
    case ShardState::Queued:
        return defaultReason == Reason::Deadline ? Reason::Overload : defaultReason;
    case ShardState::RetryPending:
        return shard.m_reason == Reason::None ? defaultReason : shard.m_reason;
    case ShardState::AwaitingProbe:
    case ShardState::InFlight:
    case ShardState::Merged:
        break;
    }
    return defaultReason;
}

void fillCoverage(QueryEngine &engine, Request &request, CallerAnswer &answer, Reason defaultReason)
{
    answer.m_included.reserve(request.m_mergedShards);
    for (SubRequest &shard : request.m_shards) {
        const std::string &name = engine.m_table.m_services[shard.m_service].m_name;
        if (shard.m_state == ShardState::Merged
            || hasMutant(engine, QueryMutant::CoverageFromPlan)) {
            answer.m_included.push_back(ShardResult{name, std::move(shard.m_entries)});
            continue;
        }
        answer.m_lacking.push_back(LackingShard{name, openShardReason(shard, defaultReason)});
    }
    if (hasMutant(engine, QueryMutant::CountShardTwice) && !answer.m_included.empty()) {
        answer.m_included.push_back(answer.m_included.front());
    }
}

Outcome coverageOutcome(const QueryEngine &engine, const Request &request,
                        const CallerAnswer &answer)
{
    if (answer.m_lacking.empty()) {
        return Outcome::Complete;
    }
    if (request.m_possiblyRun == 0) {
        return refusalOutcome(request.m_mode, request.m_caller.m_sendNumber, false);
    }
    const KindSettings &kind = engine.m_kinds[request.m_kind].m_settings;
    const bool partialDisallowed =
        request.m_mode == AnswerMode::Single
        || (request.m_mode == AnswerMode::Complete && !kind.m_partialAllowed);
    return partialDisallowed || answer.m_included.empty() ? Outcome::Failed : Outcome::Partial;
}

CallerAnswer makeAnswer(const Request &request)
{
    CallerAnswer answer;
    answer.m_caller = request.m_caller.m_caller;
    answer.m_requestId = request.m_caller.m_requestId;
    answer.m_snapshot = request.m_snapshot;
    answer.m_trace = request.m_caller.m_trace;
    return answer;
}

void checkNotRun(QueryEngine &engine, const Request &request, Outcome outcome)
{
    if (outcome != Outcome::NotRun) {
        return;
    }
    const bool claimRead = request.m_once && request.m_once->m_claim.m_confirmed;
    const bool earlierSendMayHaveRun = request.m_caller.m_sendNumber > 1 && !claimRead;
    checkInvariant(engine.m_invariants, Invariant::NotRunTruth,
                   request.m_possiblyRun == 0 && !earlierSendMayHaveRun,
                   "request " + request.m_caller.m_requestId
                       + " answered not-run but may have run");
}

//! Delays the answer of a request that crashed targets until the peers have the quarantine notice.
//! A caller that re-sends the request after the answer could otherwise cost each other node two
//! more targets.
void delayAnswer(QueryEngine &engine, const Event &event, const Request &request,
                 CallerAnswer answer)
{
    const TimePoint at =
        std::max(event.m_now, std::min(request.m_deadline, event.m_now + noticePropagationTime));
    engine.m_delayedAnswers.push_back(DelayedAnswer{at, std::move(answer)});
    startTimer(engine, at, TimerKind::SendDelayedAnswers, 0);
}

//! Emits the answer, now or delayed, cancels open attempts and removes the request. A once request
//! is kept until its claim is settled.
void deliverAnswer(QueryEngine &engine, const Event &event, Request &request, CallerAnswer answer)
{
    checkNotRun(engine, request, answer.m_outcome);
    recordRequestSpan(engine, event, request, answer.m_outcome);
    request.m_answered = true;
    if (request.m_attemptsSent > 0) {
        addLatency(engine.m_kinds[request.m_kind].m_latencies, event.m_now,
                   event.m_now - request.m_submittedAt);
    }
    --engine.m_unansweredRequests;
    ++engine.m_statistics.m_answers;
    ++engine.m_statistics.m_outcomes[static_cast<std::size_t>(answer.m_outcome)];
    const bool suspect = isSuspect(engine.m_fingerprints, event.m_now, request.m_fingerprint);
    // Re-sends of a once request are already rejected by its claim.
    if (suspect && request.m_attemptsSent > 0 && request.m_mode != AnswerMode::Once) {
        delayAnswer(engine, event, request, std::move(answer));
    } else {
        event.m_actions.emplace_back(AnswerCaller{std::move(answer)});
    }
    for (SubRequest &shard : request.m_shards) {
        dequeueShard(engine, request, shard);
    }
    if (request.m_mode == AnswerMode::Once) {
        request.m_caller.m_payload.reset();
        startTimer(engine, event.m_now + answeredRetention, TimerKind::RequestRetention,
                   request.m_key);
        removeOnceIfSettled(engine, request);
        return;
    }
    for (SubRequest &shard : request.m_shards) {
        cancelAttempts(engine, event, shard);
    }
    removeRequest(engine, request);
}

} // namespace

Outcome refusalOutcome(AnswerMode mode, int sendNumber, bool claimRead) noexcept
{
    if (sendNumber <= 1 || (mode == AnswerMode::Once && claimRead)) {
        return Outcome::NotRun;
    }
    return mode == AnswerMode::Once ? Outcome::OutcomeUnknown : Outcome::Failed;
}

void sendDelayedAnswers(QueryEngine &engine, const Event &event)
{
    const auto due = std::stable_partition(
        engine.m_delayedAnswers.begin(), engine.m_delayedAnswers.end(),
        [&event](const DelayedAnswer &delayed) { return delayed.m_dueAt > event.m_now; });
    for (auto delayed = due; delayed != engine.m_delayedAnswers.end(); ++delayed) {
        event.m_actions.emplace_back(AnswerCaller{std::move(delayed->m_answer)});
    }
    engine.m_delayedAnswers.erase(due, engine.m_delayedAnswers.end());
}

void markShardLacking(QueryEngine &engine, const Event &event, Request &request, ShardIndex index,
                      Reason reason)
{
    SubRequest &shard = request.m_shards[index];
    dequeueShard(engine, request, shard);
    cancelAttempts(engine, event, shard);
    shard.m_state = ShardState::Lacking;
    shard.m_reason = reason;
    --request.m_openShards;
    answerIfReady(engine, event, request);
}

void answerIfReady(QueryEngine &engine, const Event &event, Request &request)
{
    if (request.m_openShards == 0) {
        answerWithCoverage(engine, event, request, Reason::Deadline);
        return;
    }
    const double enough = engine.m_kinds[request.m_kind].m_settings.m_enoughCoverage;
    const double share =
        static_cast<double>(request.m_mergedShards) / static_cast<double>(request.m_shards.size());
    if (request.m_mode != AnswerMode::BestByDeadline || request.m_earlyAnswerScheduled
        || enough >= 1.0 || share < enough) {
        return;
    }
    // The open shards count as slow after twice the p99 latency of the group's attempts.
    request.m_earlyAnswerScheduled = true;
    // The lower bound keeps a node with few latency samples from giving up healthy shards.
    const Duration floor = (request.m_deadline - request.m_submittedAt) / earlyAnswerDivisor;
    const Duration earlyAnswerDelay =
        std::max(engine.m_groups[request.m_group].m_latencies.m_p99 * 2, floor);
    startTimer(engine, std::max(event.m_now, request.m_submittedAt + earlyAnswerDelay),
               TimerKind::EarlyAnswer, request.m_key);
}

void answerWithCoverage(QueryEngine &engine, const Event &event, Request &request,
                        Reason defaultReason)
{
    CallerAnswer answer = makeAnswer(request);
    fillCoverage(engine, request, answer, defaultReason);
    answer.m_outcome = coverageOutcome(engine, request, answer);
    if (!answer.m_lacking.empty()) {
        answer.m_reason = answer.m_lacking.front().m_reason;
    }
    if (defaultReason == Reason::Quarantined) {
        answer.m_outcome = Outcome::Failed;
        answer.m_reason = Reason::Quarantined;
    }
    checkInvariant(engine.m_invariants, Invariant::CoverageExact,
                   isCoverageExact(engine, request, answer),
                   "answer lists differ from the merged replies");
    deliverAnswer(engine, event, request, std::move(answer));
}

void answerWithoutEntries(QueryEngine &engine, const Event &event, Request &request,
                          Outcome outcome, Reason reason)
{
    CallerAnswer answer = makeAnswer(request);
    answer.m_outcome = outcome;
    answer.m_reason = reason;
    for (const SubRequest &shard : request.m_shards) {
        answer.m_lacking.push_back(
            LackingShard{engine.m_table.m_services[shard.m_service].m_name, reason});
    }
    deliverAnswer(engine, event, request, std::move(answer));
}

void answerSingleShard(QueryEngine &engine, const Event &event, Request &request, Outcome outcome,
                       Reason reason, const std::optional<Snapshot> &snapshot, std::string entries)
{
    CallerAnswer answer = makeAnswer(request);
    answer.m_outcome = outcome;
    answer.m_reason = reason;
    answer.m_snapshot = snapshot;
    const std::string &name = engine.m_table.m_services[request.m_shards.front().m_service].m_name;
    if (outcome == Outcome::Complete) {
        answer.m_included.push_back(ShardResult{name, std::move(entries)});
    } else {
        answer.m_lacking.push_back(LackingShard{name, reason});
    }
    deliverAnswer(engine, event, request, std::move(answer));
}

} // namespace arbutusgrade
