#include "details/jobs.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! A node that did nothing for longer than this was paused; what it knew may be out of date. A
//! pause of 0.7 s was enough to miss the notices about a request that crashes targets.
constexpr Duration pauseGap = std::chrono::milliseconds(200);

//! Well below pauseGap, so that an idle node does not look paused.
constexpr Duration housekeepingInterval = std::chrono::milliseconds(100);

bool isLater(const Timer &left, const Timer &right) noexcept
{
    if (left.m_at != right.m_at) {
        return left.m_at > right.m_at;
    }
    return left.m_number > right.m_number;
}

void expireRequest(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request == nullptr || request->m_answered) {
        return;
    }
    if (request->m_mode == AnswerMode::Once) {
        if (request->m_sent == 0 && hasMutant(engine, QueryMutant::SendAfterDeadline)) {
            return;
        }
        expireOnce(engine, event, *request);
        return;
    }
    answerWithCoverage(engine, event, *request, Reason::Deadline);
}

void answerEarly(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    // A restart on another snapshot withdraws the early answer.
    if (request != nullptr && !request->m_answered && request->m_earlyTimer) {
        answerWithCoverage(engine, event, *request, Reason::Deadline);
    }
}

void endProbing(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request == nullptr || request->m_answered) {
        return;
    }
    request->m_probingEnded = true;
    releaseHeld(engine, event, request->m_fingerprint);
}

void retryShard(QueryEngine &engine, const Event &event, const Timer &timer)
{
    Request *request = findRequest(engine, timer.m_subject);
    if (request == nullptr || request->m_answered || timer.m_shard >= request->m_shards.size()
        || request->m_shards[timer.m_shard].m_state != ShardState::Waiting) {
        return;
    }
    dispatchShard(engine, event, *request, timer.m_shard);
}

void endCancelHold(QueryEngine &engine, const Event &event, AttemptId id)
{
    checkHedge(engine, event, id);
    Attempt *attempt = findAttempt(engine, id);
    if (attempt != nullptr) {
        endAttempt(engine, event, *attempt);
    }
}

void endLinger(QueryEngine &engine, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request != nullptr && request->m_answered) {
        removeRequest(engine, *request);
    }
}

void keepHouse(QueryEngine &engine, const Event &event)
{
    expireFingerprints(engine.m_fingerprints, event.m_now);
    startTimer(engine, event.m_now + housekeepingInterval, TimerKind::Housekeeping, 0);
}

void runTimer(QueryEngine &engine, const Event &event, const Timer &timer)
{
    switch (timer.m_kind) {
    case TimerKind::RequestDeadline:
        expireRequest(engine, event, timer.m_subject);
        break;
    case TimerKind::EarlyAnswer:
        answerEarly(engine, event, timer.m_subject);
        break;
    case TimerKind::ProbingBound:
        endProbing(engine, event, timer.m_subject);
        break;
    case TimerKind::RetryShard:
        retryShard(engine, event, timer);
        break;
    case TimerKind::HedgeCheck:
        checkHedge(engine, event, timer.m_subject);
        break;
    case TimerKind::CancelHold:
        endCancelHold(engine, event, timer.m_subject);
        break;
    case TimerKind::ServiceKick:
        kickService(engine, event, static_cast<ServiceIndex>(timer.m_subject));
        break;
    case TimerKind::SubmitDeferred:
        submitDeferred(engine, event);
        break;
    case TimerKind::SendDelayedAnswers:
        sendDelayedAnswers(engine, event);
        break;
    case TimerKind::ClaimRetry:
        retryClaimCall(engine, event, timer.m_subject);
        break;
    case TimerKind::RequestLinger:
        endLinger(engine, timer.m_subject);
        break;
    case TimerKind::Housekeeping:
        keepHouse(engine, event);
        break;
    }
}

} // namespace

void startTimer(QueryEngine &engine, TimePoint at, TimerKind kind, std::uint64_t subject,
                ShardIndex shard)
{
    ++engine.m_timerNumber;
    engine.m_timers.push_back(Timer{at, engine.m_timerNumber, kind, subject, shard});
    std::push_heap(engine.m_timers.begin(), engine.m_timers.end(), isLater);
}

void enterEvent(QueryEngine &engine, const Event &event)
{
    if (engine.m_started && event.m_now - engine.m_lastEvent > pauseGap) {
        engine.m_resumedAt = event.m_now;
        ++engine.m_statistics.m_pauses;
    }
    engine.m_started = true;
    engine.m_lastEvent = std::max(engine.m_lastEvent, event.m_now);
    // Deadlines that have passed take effect before the event, whatever the event is.
    while (!engine.m_timers.empty() && engine.m_timers.front().m_at <= event.m_now) {
        const Timer timer = engine.m_timers.front();
        std::pop_heap(engine.m_timers.begin(), engine.m_timers.end(), isLater);
        engine.m_timers.pop_back();
        runTimer(engine, event, timer);
    }
}

} // namespace arbutusgrade
