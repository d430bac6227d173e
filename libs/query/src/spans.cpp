#include "details/operations.h"

namespace arbutusgrade {

namespace {

//! A request that takes longer than its timeout divided by this number counts as slow.
constexpr int slowTimeDivisor = 2;

bool hasTrace(const TraceContext &trace) noexcept
{
    return trace.m_traceHigh != 0 || trace.m_traceLow != 0;
}

} // namespace

std::uint64_t spanId(const QueryEngine &engine, std::uint64_t number) noexcept
{
    RandomGenerator generator{engine.m_options.m_seed ^ (engine.m_options.m_incarnation << 32U)
                              ^ number};
    return nextRandom(generator) | 1U;
}

void recordAttemptSpan(QueryEngine &engine, const Event &event, const Attempt &attempt,
                       std::string_view status)
{
    Request *request = findRequest(engine, attempt.m_request);
    const bool failed = status != "ok";
    if (request == nullptr || !hasTrace(request->m_caller.m_trace)
        || (!request->m_caller.m_trace.m_sampled && !failed)) {
        return;
    }
    RecordSpan span;
    span.m_trace = request->m_caller.m_trace;
    span.m_trace.m_parentSpan = request->m_span;
    span.m_span = spanId(engine, attempt.m_id);
    span.m_name = "attempt";
    span.m_peer = engine.m_table.m_targets[attempt.m_target].m_name;
    span.m_start = attempt.m_sentAt;
    span.m_end = event.m_now;
    span.m_exportAlways = failed;
    span.m_status = status;
    event.m_actions.emplace_back(std::move(span));
}

void recordRequestSpan(QueryEngine &, const Event &event, const Request &request, Outcome outcome)
{
    const TraceContext &trace = request.m_caller.m_trace;
    const bool slow = (event.m_now - request.m_submittedAt) * slowTimeDivisor
                      > request.m_deadline - request.m_submittedAt;
    const bool keep = slow || outcome != Outcome::Complete;
    if (!hasTrace(trace) || (!trace.m_sampled && !keep)) {
        return;
    }
    RecordSpan span;
    span.m_trace = trace;
    span.m_span = request.m_span;
    span.m_name = "request";
    span.m_start = request.m_submittedAt;
    span.m_end = event.m_now;
    span.m_exportAlways = keep;
    span.m_status = outcomeName(outcome);
    event.m_actions.emplace_back(std::move(span));
}

void recordStoreSpan(QueryEngine &engine, const Event &event, const Request &request,
                     std::string_view status)
{
    const TraceContext &trace = request.m_caller.m_trace;
    if (!hasTrace(trace) || !trace.m_sampled) {
        return;
    }
    RecordSpan span;
    span.m_trace = trace;
    span.m_trace.m_parentSpan = request.m_span;
    span.m_span = spanId(engine, request.m_once->m_pendingCall ^ (std::uint64_t{1} << 63U));
    span.m_name = "store";
    span.m_start = request.m_once->m_callStartedAt;
    span.m_end = event.m_now;
    span.m_status = status;
    event.m_actions.emplace_back(std::move(span));
}

} // namespace arbutusgrade
