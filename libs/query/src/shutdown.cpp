#include "details/operations.h"

namespace arbutusgrade {

namespace {

RequestEstimate estimateOf(const QueryEngine &engine, TimePoint now, const Request &request)
{
    RequestEstimate estimate;
    estimate.m_limit = request.m_deadline - now;
    estimate.m_slowLatency = engine.m_kinds[request.m_kind].m_latencies.m_p99;
    estimate.m_idempotent = request.m_mode != AnswerMode::Once;
    return estimate;
}

} // namespace

bool endsBeforeShutdown(const QueryEngine &engine, TimePoint now, const Request &request)
{
    return !engine.m_shutdown
           || canFinish(*engine.m_shutdown, now, estimateOf(engine, now, request));
}

void limitRequestByShutdown(QueryEngine &engine, const Event &event, Request &request)
{
    if (!engine.m_shutdown || request.m_deadline <= engine.m_shutdown->m_answerBy) {
        return;
    }
    const TimePoint answerBy = engine.m_shutdown->m_answerBy;
    const Duration needed = timeNeeded(estimateOf(engine, event.m_now, request));
    changeDeadline(engine, request, answerBy);
    request.m_limitedByShutdown = true;
    startTimer(engine, answerBy - needed, TimerKind::ShutdownRefusal, request.m_key);
}

void refuseBeforeShutdown(QueryEngine &engine, const Event &event, RequestKey key)
{
    Request *request = findRequest(engine, key);
    if (request == nullptr || request->m_answered || request->m_possiblyRun > 0) {
        return;
    }
    if (request->m_mode == AnswerMode::Once) {
        refuseOnce(engine, event, *request, Reason::ShuttingDown);
        return;
    }
    refuseRequest(engine, event, *request, Reason::ShuttingDown);
}

void limitByShutdown(QueryEngine &engine, TimePoint now, const ShutdownSchedule &schedule,
                     ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    engine.m_shutdown = schedule;
    for (const std::unique_ptr<Request> &request : engine.m_requests) {
        if (request->m_key != 0 && !request->m_answered) {
            limitRequestByShutdown(engine, event, *request);
            startTimer(engine, request->m_deadline, TimerKind::RequestDeadline, request->m_key);
        }
    }
    // Answers the requests that have no time left.
    beginEvent(engine, event);
}

} // namespace arbutusgrade
