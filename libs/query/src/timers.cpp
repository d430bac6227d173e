#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! A longer gap between events means that the process was paused and its state may be out of date.
//! A pause of 0.7 s was enough to miss the notices about a request that crashes targets.
constexpr Duration pauseThreshold = std::chrono::milliseconds(200);

//! Well below pauseThreshold, so that an idle node is not taken for a paused one.
constexpr Duration housekeepingInterval = std::chrono::milliseconds(100);

bool isLater(const Timer &left, const Timer &right) noexcept
{
    if (left.m_dueAt != right.m_dueAt) {
        return left.m_dueAt > right.m_dueAt;
    }
    return left.m_sequence > right.m_sequence;
}

void expireRequest(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request == nullptr || request->m_answered) {
        return;
    }
    const Reason reason = request->m_limitedByShutdown ? Reason::ShuttingDown : Reason::Deadline;
    if (request->m_mode == AnswerMode::Once) {
        if (request->m_attemptsSent == 0 && hasMutant(engine, QueryMutant::SendAfterDeadline)) {
            return;
        }
        refuseOnce(engine, event, *request, reason);
        return;
    }
    answerWithCoverage(engine, event, *request, reason);
}

void answerEarly(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    // A restart on another snapshot resets the flag, which makes this timer obsolete.
    if (request != nullptr && !request->m_answered && request->m_earlyAnswerScheduled) {
        answerWithCoverage(engine, event, *request, Reason::Deadline);
    }
}

void expirePayloadProbe(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request == nullptr || request->m_answered) {
        return;
    }
    request->m_payloadProbeExpired = true;
    releaseProbeWaiters(engine, event, request->m_fingerprint);
}

void retryPendingShard(QueryEngine &engine, const Event &event, const Timer &timer)
{
    Request *request = findRequest(engine, timer.m_subject);
    if (request == nullptr || request->m_answered || timer.m_shard >= request->m_shards.size()
        || request->m_shards[timer.m_shard].m_state != ShardState::RetryPending) {
        return;
    }
    dispatchShard(engine, event, *request, timer.m_shard);
}

void expireAttempt(QueryEngine &engine, const Event &event, AttemptId id)
{
    checkHedge(engine, event, id);
    Attempt *attempt = findAttempt(engine, id);
    if (attempt != nullptr) {
        endAttempt(engine, event, *attempt);
    }
}

void endRetention(QueryEngine &engine, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request != nullptr && request->m_answered) {
        removeRequest(engine, *request);
    }
}

void runHousekeeping(QueryEngine &engine, const Event &event)
{
    removeExpiredFingerprints(engine.m_fingerprints, event.m_now);
    startTimer(engine, event.m_now + housekeepingInterval, TimerKind::Housekeeping, 0);
}

void runTimer(QueryEngine &engine, const Event &event, const Timer &timer)
{
    switch (timer.m_kind) {
    case TimerKind::RequestDeadline:
        expireRequest(engine, event, timer.m_subject);
        break;
    case TimerKind::ShutdownRefusal:
        refuseBeforeShutdown(engine, event, timer.m_subject);
        break;
    case TimerKind::EarlyAnswer:
        answerEarly(engine, event, timer.m_subject);
        break;
    case TimerKind::PayloadProbeTimeout:
        expirePayloadProbe(engine, event, timer.m_subject);
        break;
    case TimerKind::RetryShard:
        retryPendingShard(engine, event, timer);
        break;
    case TimerKind::HedgeCheck:
        checkHedge(engine, event, timer.m_subject);
        break;
    case TimerKind::AttemptTimeout:
        expireAttempt(engine, event, timer.m_subject);
        break;
    case TimerKind::QueueRetry:
        retryServiceQueue(engine, event, static_cast<ServiceIndex>(timer.m_subject));
        break;
    case TimerKind::SubmitDeferredRequests:
        submitDeferredRequests(engine, event);
        break;
    case TimerKind::SendDelayedAnswers:
        sendDelayedAnswers(engine, event);
        break;
    case TimerKind::ClaimRetry:
        retryClaimCall(engine, event, timer.m_subject);
        break;
    case TimerKind::RequestRetention:
        endRetention(engine, timer.m_subject);
        break;
    case TimerKind::Housekeeping:
        runHousekeeping(engine, event);
        break;
    }
}

} // namespace

void startTimer(QueryEngine &engine, TimePoint at, TimerKind kind, std::uint64_t subject,
                ShardIndex shard)
{
    ++engine.m_timerSequence;
    engine.m_timers.push_back(Timer{at, engine.m_timerSequence, kind, subject, shard});
    std::push_heap(engine.m_timers.begin(), engine.m_timers.end(), isLater);
}

void beginEvent(QueryEngine &engine, const Event &event)
{
    if (engine.m_hasEvents && event.m_now - engine.m_lastEventAt > pauseThreshold) {
        engine.m_resumedAt = event.m_now;
        ++engine.m_statistics.m_pauses;
    }
    engine.m_hasEvents = true;
    engine.m_lastEventAt = std::max(engine.m_lastEventAt, event.m_now);
    // Timers that are due run first, so that expired deadlines take effect before the event.
    while (!engine.m_timers.empty() && engine.m_timers.front().m_dueAt <= event.m_now) {
        const Timer timer = engine.m_timers.front();
        std::pop_heap(engine.m_timers.begin(), engine.m_timers.end(), isLater);
        engine.m_timers.pop_back();
        runTimer(engine, event, timer);
    }
}

} // namespace arbutusgrade
