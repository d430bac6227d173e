#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Time within which drain and quarantine notices received during a pause are read. Requests that
//! arrived with them must not be sent earlier.
constexpr Duration postPauseDelay = std::chrono::milliseconds(20);

//! Refuses a request for which no Request was created.
void refuseUnregistered(QueryEngine &engine, const Event &event, const CallerRequest &caller,
                        AnswerMode mode, Reason reason)
{
    const Outcome outcome = refusalOutcome(mode, caller.m_sendNumber, false);
    CallerAnswer answer;
    answer.m_caller = caller.m_caller;
    answer.m_requestId = caller.m_requestId;
    answer.m_outcome = outcome;
    answer.m_reason = reason;
    answer.m_trace = caller.m_trace;
    ++engine.m_statistics.m_answers;
    ++engine.m_statistics.m_outcomes[static_cast<std::size_t>(outcome)];
    event.m_actions.emplace_back(AnswerCaller{std::move(answer)});
}

//! Returns the named service, or selects one of the newest partitioning by hash of the request id.
ServiceIndex selectService(const QueryEngine &engine, GroupIndex groupIndex,
                           const CallerRequest &caller)
{
    const GroupState &group = engine.m_table.m_groups[groupIndex];
    if (!caller.m_service.empty()) {
        const ServiceIndex service = findService(engine.m_table, groupIndex, caller.m_service);
        const bool known = service != noIndex && engine.m_table.m_services[service].m_configured;
        return known ? service : noIndex;
    }
    if (group.m_partitionings.empty() || group.m_partitionings.front().m_services.empty()) {
        return noIndex;
    }
    const std::vector<ServiceIndex> &services = group.m_partitionings.front().m_services;
    return services[stableHash(caller.m_requestId) % services.size()];
}

std::uint64_t payloadFingerprint(const std::string &group, const CallerRequest &caller)
{
    const std::uint64_t payload = caller.m_payload ? stableHash(*caller.m_payload) : 0;
    return stableHash(group) ^ (payload * 0x9e3779b97f4a7c15ULL);
}

void fillRequest(QueryEngine &engine, const Event &event, Request &request,
                 const CallerRequest &caller, std::uint32_t kindIndex)
{
    const KindState &kind = engine.m_kinds[kindIndex];
    const Duration limit = kind.m_settings.m_deadline;
    request.m_caller = caller;
    request.m_kind = kindIndex;
    request.m_group = kind.m_group;
    request.m_mode = kind.m_settings.m_mode;
    request.m_priority =
        std::clamp(kind.m_settings.m_priority, 0, static_cast<int>(priorityCount) - 1);
    request.m_submittedAt = event.m_now;
    request.m_deadline = event.m_now + std::min(caller.m_timeout.value_or(limit), limit);
    request.m_fingerprint =
        payloadFingerprint(engine.m_table.m_groups[kind.m_group].m_name, caller);
    request.m_span = spanId(engine, request.m_key ^ requestSpanBit);
}

void startRequest(QueryEngine &engine, const Event &event, Request &request)
{
    if (!endsBeforeShutdown(engine, event.m_now, request)) {
        refuseRequest(engine, event, request, Reason::ShuttingDown);
        return;
    }
    limitRequestByShutdown(engine, event, request);
    if (missesDeadline(engine, event.m_now, request)) {
        refuseRequest(engine, event, request, Reason::Overload);
        return;
    }
    startTimer(engine, request.m_deadline, TimerKind::RequestDeadline, request.m_key);
    if (request.m_mode == AnswerMode::Once) {
        startClaim(engine, event, request);
        return;
    }
    dispatchAll(engine, event, request);
}

void acceptRequest(QueryEngine &engine, const Event &event, const CallerRequest &caller)
{
    const auto kind = engine.m_kindByName.find(caller.m_kind);
    const bool known = kind != engine.m_kindByName.end();
    // An earlier send of an unknown kind may have had any mode; Once is the safe assumption.
    const AnswerMode mode =
        known ? engine.m_kinds[kind->second].m_settings.m_mode : AnswerMode::Once;
    if (!engine.m_configured || engine.m_shuttingDown) {
        const Reason reason = engine.m_shuttingDown ? Reason::ShuttingDown : Reason::NoReplica;
        refuseUnregistered(engine, event, caller, mode, reason);
        return;
    }
    if (!known || engine.m_kinds[kind->second].m_group == noIndex) {
        refuseUnregistered(engine, event, caller, mode, Reason::UnknownKind);
        return;
    }
    Request &request = createRequest(engine);
    fillRequest(engine, event, request, caller, kind->second);
    ++engine.m_unansweredRequests;
    if (!hasMutant(engine, QueryMutant::NoQuarantine)
        && isQuarantined(engine.m_fingerprints, event.m_now, request.m_fingerprint)) {
        answerWithoutEntries(engine, event, request, Outcome::Failed, Reason::Quarantined);
        return;
    }
    if (isFanOut(request)) {
        if (!pinSnapshot(engine, request)) {
            refuseRequest(engine, event, request, Reason::NoReplica);
            return;
        }
    } else {
        const ServiceIndex service = selectService(engine, request.m_group, caller);
        if (service == noIndex) {
            refuseRequest(engine, event, request, Reason::UnknownService);
            return;
        }
        request.m_shards.emplace_back().m_service = service;
        request.m_openShards = 1;
    }
    startRequest(engine, event, request);
}

} // namespace

void refuseRequest(QueryEngine &engine, const Event &event, Request &request, Reason reason)
{
    const Outcome outcome = refusalOutcome(request.m_mode, request.m_caller.m_sendNumber, false);
    answerWithoutEntries(engine, event, request, outcome, reason);
}

void submitRequest(QueryEngine &engine, TimePoint now, const CallerRequest &caller,
                   ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    ++engine.m_statistics.m_requests;
    const TimePoint acceptFrom = engine.m_resumedAt + postPauseDelay;
    if (engine.m_resumedAt == TimePoint() || now >= acceptFrom) {
        acceptRequest(engine, event, caller);
        return;
    }
    if (engine.m_deferredRequests.empty()) {
        startTimer(engine, acceptFrom, TimerKind::SubmitDeferredRequests, 0);
    }
    engine.m_deferredRequests.push_back(DeferredRequest{caller, now});
}

void submitDeferredRequests(QueryEngine &engine, const Event &event)
{
    const std::vector<DeferredRequest> deferred = std::move(engine.m_deferredRequests);
    engine.m_deferredRequests.clear();
    for (const DeferredRequest &waiting : deferred) {
        CallerRequest caller = waiting.m_caller;
        if (caller.m_timeout) {
            *caller.m_timeout -= event.m_now - waiting.m_receivedAt;
        }
        acceptRequest(engine, event, caller);
    }
}

} // namespace arbutusgrade
