#include "details/operations.h"

namespace arbutusgrade {

namespace {

RequestKey makeSlotKey(std::uint64_t serial, std::uint32_t slot) noexcept
{
    return (serial << slotBits) | slot;
}

void adoptKinds(QueryEngine &engine, const Settings &settings)
{
    for (KindState &kind : engine.m_kinds) {
        kind.m_group = noIndex;
    }
    for (const KindSettings &kindSettings : settings.m_kinds) {
        const std::uint32_t next = static_cast<std::uint32_t>(engine.m_kinds.size());
        const std::uint32_t index =
            engine.m_kindByName.try_emplace(kindSettings.m_name, next).first->second;
        if (index == next) {
            engine.m_kinds.emplace_back();
        }
        KindState &kind = engine.m_kinds[index];
        kind.m_settings = kindSettings;
        kind.m_group = findGroup(engine.m_table, kindSettings.m_group);
    }
}

} // namespace

Request *findRequest(QueryEngine &engine, RequestKey key) noexcept
{
    const std::size_t slot = key & slotMask;
    if (key == 0 || slot >= engine.m_requests.size()) {
        return nullptr;
    }
    Request *request = engine.m_requests[slot].get();
    return request->m_key == key ? request : nullptr;
}

Attempt *findAttempt(QueryEngine &engine, AttemptId id) noexcept
{
    const std::size_t slot = id & slotMask;
    if (id == 0 || slot >= engine.m_attempts.size()) {
        return nullptr;
    }
    Attempt &attempt = engine.m_attempts[slot];
    return attempt.m_id == id ? &attempt : nullptr;
}

Request &createRequest(QueryEngine &engine)
{
    if (engine.m_freeRequests.empty()) {
        engine.m_freeRequests.push_back(static_cast<std::uint32_t>(engine.m_requests.size()));
        engine.m_requests.push_back(std::make_unique<Request>());
    }
    const std::uint32_t slot = engine.m_freeRequests.back();
    engine.m_freeRequests.pop_back();
    Request &request = *engine.m_requests[slot];
    ++engine.m_requestSerial;
    request.m_key = makeSlotKey(engine.m_requestSerial, slot);
    return request;
}

void removeRequest(QueryEngine &engine, Request &request)
{
    const std::uint32_t slot = static_cast<std::uint32_t>(request.m_key & slotMask);
    request = Request{};
    engine.m_freeRequests.push_back(slot);
}

Attempt &createAttempt(QueryEngine &engine)
{
    if (engine.m_freeAttempts.empty()) {
        engine.m_freeAttempts.push_back(static_cast<std::uint32_t>(engine.m_attempts.size()));
        engine.m_attempts.emplace_back();
    }
    const std::uint32_t slot = engine.m_freeAttempts.back();
    engine.m_freeAttempts.pop_back();
    Attempt &attempt = engine.m_attempts[slot];
    ++engine.m_attemptSerial;
    attempt.m_id = makeSlotKey(engine.m_attemptSerial, slot);
    return attempt;
}

void QueryEngineDeleter::operator()(QueryEngine *engine) const noexcept
{
    delete engine;
}

QueryEnginePointer createQueryEngine(const QueryOptions &options)
{
    QueryEnginePointer engine(new QueryEngine);
    engine->m_options = options;
    engine->m_random.m_state = options.m_seed;
    engine->m_table.m_slotPolicy = options.m_slotPolicy;
    return engine;
}

void adoptSettings(QueryEngine &engine, TimePoint now, const Settings &settings,
                   ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    configureTargets(engine.m_table, settings, engine.m_options.m_node);
    engine.m_groups.resize(engine.m_table.m_groups.size());
    engine.m_queues.resize(engine.m_table.m_services.size());
    engine.m_store = settings.m_store;
    adoptKinds(engine, settings);
    if (!engine.m_configured) {
        engine.m_configured = true;
        engine.m_claimTokens = settings.m_store.m_claimsPerSecond;
        engine.m_claimTokensAt = now;
        startTimer(engine, now, TimerKind::Housekeeping, 0);
    }
    for (ServiceIndex service = 0; service < engine.m_queues.size(); ++service) {
        dispatchQueued(engine, event, service);
    }
}

void handleAttemptReply(QueryEngine &engine, TimePoint now, std::string_view target,
                        const AttemptReply &reply, ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    processAttemptReply(engine, event, target, reply);
}

void handleAttemptFailure(QueryEngine &engine, TimePoint now, AttemptId attempt,
                          AttemptFailure failure, ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    processAttemptFailure(engine, event, attempt, failure);
}

void handleStoreReply(QueryEngine &engine, TimePoint now, const StoreReply &reply,
                      ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    processStoreReply(engine, event, reply);
}

void observeTarget(QueryEngine &engine, TimePoint now, const TargetObservation &observation,
                   ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    const TargetIndex index = findTarget(engine.m_table, observation.m_target);
    if (index == noIndex) {
        return;
    }
    if (updateFromObservation(engine.m_table, now, observation)) {
        actions.emplace_back(AnnounceDrain{observation.m_target});
    }
    const ServiceIndex service = engine.m_table.m_targets[index].m_service;
    if (service != noIndex && service < engine.m_queues.size()) {
        dispatchQueued(engine, event, service);
    }
}

void observeQuarantine(QueryEngine &engine, TimePoint now, const QuarantineNotice &notice,
                       ActionList &actions)
{
    const Event event{now, actions};
    beginEvent(engine, event);
    mergeQuarantineNotice(engine.m_fingerprints, now, notice);
    releaseProbeWaiters(engine, event, notice.m_fingerprint);
}

void advanceTime(QueryEngine &engine, TimePoint now, ActionList &actions)
{
    beginEvent(engine, Event{now, actions});
}

TimePoint nextWakeUp(const QueryEngine &engine)
{
    return engine.m_timers.empty() ? farFuture : engine.m_timers.front().m_dueAt;
}

void beginShutdown(QueryEngine &engine)
{
    engine.m_shuttingDown = true;
}

std::size_t requestsInFlight(const QueryEngine &engine)
{
    return engine.m_unansweredRequests + engine.m_deferredRequests.size()
           + engine.m_delayedAnswers.size();
}

std::size_t storeCallsInFlight(const QueryEngine &engine)
{
    return engine.m_storeCalls.size();
}

const QueryStatistics &queryStatistics(const QueryEngine &engine)
{
    return engine.m_statistics;
}

InvariantCounters &invariantCounters(QueryEngine &engine)
{
    return engine.m_invariants;
}

std::vector<TargetView> targetViews(const QueryEngine &engine)
{
    std::vector<TargetView> views;
    for (const TargetState &target : engine.m_table.m_targets) {
        if (!target.m_configured) {
            continue;
        }
        TargetView &view = views.emplace_back();
        view.m_target = target.m_name;
        view.m_service = engine.m_table.m_services[target.m_service].m_name;
        view.m_draining = isDraining(target);
        view.m_ejected = target.m_ejected;
        view.m_inFlight = target.m_inFlight;
        view.m_limit = inFlightLimit(engine.m_table, target);
        view.m_connectionShare = target.m_connectionShare;
        view.m_latencyP95 = target.m_latencies.m_p95;
    }
    return views;
}

std::vector<QuarantineNotice> quarantineNotices(const QueryEngine &engine, TimePoint now)
{
    return activeQuarantineNotices(engine.m_fingerprints, now);
}

} // namespace arbutusgrade
