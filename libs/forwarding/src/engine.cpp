#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

// A caller with at least this much less time than others on the route is taken to be retrying after
// a failed attempt at another node. The difference shortens the latency target of its search.
constexpr Duration repeatedRequestThreshold = 25ms;

constexpr Duration noConfigurationRetryAfter = 500ms;

// Targets that are down are probed at least once a second, so a recovered target is detected after
// half a second on average.
constexpr Duration unreachableRetryAfter = 500ms;

// Other nodes serve the request at once.
constexpr Duration shutdownRetryAfter = 0ms;

// How long after a refusal for lack of targets isIsolated() may return true.
constexpr Duration unreachablePeriod = 2s;

} // namespace

ForwardEngine::ForwardEngine(const ForwardOptions &options, TimePoint now, ForwardOutput &output)
    : m_implementation(std::make_unique<Implementation>(options, now, output))
{
}

ForwardEngine::~ForwardEngine() = default;

bool ForwardEngine::applyRoutingTable(RoutingTablePointer table)
{
    RoutingTablePointer &current = m_implementation->m_routingTable;
    if (current && table->m_version <= current->m_version) {
        return false;
    }
    m_implementation->forgetChangedRoutes(*table);
    current = std::move(table);
    return true;
}

const RoutingTablePointer &ForwardEngine::routing() const
{
    return m_implementation->m_routingTable;
}

TargetRegistry &ForwardEngine::registry()
{
    return m_implementation->m_registry;
}

void ForwardEngine::registryChanged(TimePoint now)
{
    purgeRemovedTargets(m_implementation->m_registry, now);
    // A target that returns to the registry may be down and have no probe timer.
    m_implementation->probeDownTargets(now);
    for (const std::pair<const std::string, std::unique_ptr<ServiceState>> &service :
         m_implementation->m_services) {
        m_implementation->dispatchQueue(now, *service.second);
        m_implementation->failUnreachableQueue(now, *service.second);
    }
}

CrashTable &ForwardEngine::crashes()
{
    return m_implementation->m_crashes;
}

void ForwardEngine::setNodeCount(int nodes)
{
    m_implementation->m_options.m_budget.m_nodes = std::max(1, nodes);
}

void ForwardEngine::setNodes(std::vector<std::string> names)
{
    m_implementation->m_nodes = std::move(names);
}

void ForwardEngine::submit(TimePoint now, const ForwardRequestPointer &request)
{
    m_implementation->submit(now, request);
}

void ForwardEngine::refuse(const ForwardRequestPointer &request, const ForwardRefusal &refusal)
{
    ++m_implementation->m_statistics.m_requests;
    m_implementation->refuseRequest(*request, refusal);
}

void ForwardEngine::beginShutdown(TimePoint now, const ShutdownSchedule &schedule)
{
    m_implementation->beginShutdown(now, schedule);
}

void ForwardEngine::callerDisconnected(TimePoint now, std::uint64_t caller)
{
    m_implementation->callerDisconnected(now, caller);
}

void ForwardEngine::attemptEnded(TimePoint now, std::uint64_t attempt, ForwardEnd end,
                                 TargetReply reply)
{
    m_implementation->attemptEnded(now, attempt, end, std::move(reply));
}

void ForwardEngine::advance(TimePoint now)
{
    m_implementation->advance(now);
}

TimePoint ForwardEngine::nextTimer() const
{
    const std::priority_queue<Timer> &timers = m_implementation->m_timers;
    return timers.empty() ? farFuture : timers.top().m_firesAt;
}

const ForwardStatistics &ForwardEngine::statistics() const
{
    m_implementation->m_statistics.m_inFlight = m_implementation->m_pendingRequests.size();
    return m_implementation->m_statistics;
}

void ForwardEngine::Implementation::submit(TimePoint now, const ForwardRequestPointer &request)
{
    ++m_statistics.m_requests;
    const RoutingTablePointer &table = routingTableOf(*request);
    if (!table) {
        refuseRequest(
            *request,
            {AnswerKind::Refused, 503, "no-configuration", noConfigurationRetryAfter, {}});
        return;
    }
    const Route *route = findRoute(*table, request->m_host, request->m_path);
    if (route == nullptr) {
        refuseRequest(*request, {AnswerKind::NoRoute, 404, "no-route", std::nullopt, {}});
        return;
    }
    if (isQuarantined(m_crashes, now, request->m_fingerprint)) {
        refuseRequest(*request, {AnswerKind::Quarantined, 503, "quarantined", std::nullopt, {}});
        return;
    }
    startRequest(now, request, *route);
}

const RoutingTablePointer &ForwardEngine::Implementation::routingTableOf(
    const ForwardRequest &request) const
{
    return request.m_routingTable ? request.m_routingTable : m_routingTable;
}

void ForwardEngine::Implementation::refuseRequest(const ForwardRequest &request,
                                                  const ForwardRefusal &refusal)
{
    ForwardAnswer answer;
    answer.m_caller = request.m_caller;
    answer.m_kind = refusal.m_kind;
    answer.m_status = refusal.m_status;
    answer.m_reason = refusal.m_reason;
    answer.m_retryAfter = refusal.m_retryAfter;
    ++m_statistics.m_answers[static_cast<std::size_t>(refusal.m_kind)];
    const RoutingTablePointer &table = routingTableOf(request);
    ForwardDecision decision;
    decision.m_event = "answer";
    decision.m_reason = refusal.m_reason;
    decision.m_requestId = request.m_requestId;
    decision.m_organisation = request.m_organisation;
    decision.m_keyHash = request.m_keyHash;
    decision.m_coordinator = refusal.m_coordinator;
    decision.m_version = table ? table->m_version : 0;
    decision.m_status = refusal.m_status;
    if (refusal.m_kind == AnswerKind::Quarantined) {
        decision.m_fingerprint = request.m_fingerprint;
    }
    m_output.record(decision);
    m_output.answer(answer);
}

std::unique_ptr<PendingRequest> ForwardEngine::Implementation::createPendingRequest(
    TimePoint now, const ForwardRequestPointer &request, const Route &route)
{
    std::unique_ptr<PendingRequest> pending = std::make_unique<PendingRequest>();
    pending->m_id = ++m_lastId;
    pending->m_request = request;
    pending->m_routingTable = routingTableOf(*request);
    pending->m_route = &route;
    pending->m_routeLatency = routeLatency(*pending->m_routingTable, route);
    pending->m_arrivedAt = now - request->m_timeHeld;
    const Duration timeLeft = request->m_timeLeft.value_or(route.m_timeout);
    Duration elapsedBefore =
        std::max(Duration::zero(), pending->m_routeLatency->m_maximumTimeLeft - timeLeft);
    pending->m_routeLatency->m_maximumTimeLeft =
        std::max(pending->m_routeLatency->m_maximumTimeLeft, timeLeft);
    if (elapsedBefore < repeatedRequestThreshold) {
        elapsedBefore = Duration::zero();
    }
    const AnswerSchedule schedule =
        scheduleAnswers(route, request->m_callerPath, timeLeft, elapsedBefore);
    pending->m_ownDeadline = pending->m_arrivedAt + schedule.m_deadline;
    pending->m_deadline = pending->m_ownDeadline;
    pending->m_refuseAt = pending->m_arrivedAt + schedule.m_refusal;
    pending->m_partialAnswerAt = pending->m_arrivedAt + schedule.m_partialAnswer;
    assignServices(*pending);
    return pending;
}

void ForwardEngine::Implementation::assignServices(PendingRequest &pending)
{
    const Route &route = *pending.m_route;
    if (route.m_shards.empty()) {
        const std::size_t choice = selectService(*pending.m_routingTable, route);
        pending.m_subrequests.resize(1);
        pending.m_subrequests[0].m_service = &serviceState(route.m_services[choice].m_service);
        return;
    }
    pending.m_subrequests.resize(route.m_shards.size());
    for (std::size_t index = 0; index < route.m_shards.size(); ++index) {
        pending.m_subrequests[index].m_service = &serviceState(route.m_shards[index]);
    }
}

bool ForwardEngine::Implementation::refuseIfUnservable(TimePoint now, const PendingRequest &pending)
{
    const Route &route = *pending.m_route;
    const ServiceState *singleService =
        route.m_shards.empty() ? pending.m_subrequests.front().m_service : nullptr;
    const std::optional<Duration> wait = timeUntilServable(now, pending);
    if (wait && *wait > Duration::zero()) {
        refuseRequest(*pending.m_request, {AnswerKind::Refused, 503, "targets-refuse", wait, {}});
        return true;
    }
    if (!wait) {
        // Other nodes cannot use evacuated targets either, so this one stays ready.
        if (!isAffectedByEvacuation(route, singleService)) {
            m_unreachableUntil = now + unreachablePeriod;
        }
        refuseRequest(*pending.m_request,
                      {AnswerKind::Refused, 503, "targets-unreachable", unreachableRetryAfter, {}});
        return true;
    }
    if (m_shutdown && !acceptsInShutdown(now, pending)) {
        refuseRequest(*pending.m_request,
                      {AnswerKind::Refused, 503, "shutting-down", shutdownRetryAfter, {}});
        return true;
    }
    return false;
}

void ForwardEngine::Implementation::startRequest(TimePoint now,
                                                 const ForwardRequestPointer &request,
                                                 const Route &route)
{
    std::unique_ptr<PendingRequest> owned = createPendingRequest(now, request, route);
    PendingRequest &pending = *owned;
    if (refuseIfUnservable(now, pending)) {
        return;
    }
    const std::uint64_t id = pending.m_id;
    m_pendingIdByCaller[request->m_caller] = id;
    m_pendingRequests[id] = std::move(owned);
    const bool mayBePartial =
        !route.m_shards.empty() && pending.m_partialAnswerAt > pending.m_arrivedAt;
    limitToShutdown(pending);
    addTimer(pending.m_deadline, TimerKind::Deadline, id);
    addTimer(pending.m_refuseAt, TimerKind::QueueTimeout, id);
    if (mayBePartial) {
        addTimer(pending.m_partialAnswerAt, TimerKind::PartialAnswer, id);
    }
    const std::size_t count = pending.m_subrequests.size();
    for (std::size_t index = 0; index < count; ++index) {
        recordRequest(now, pending, *pending.m_subrequests[index].m_service);
        startSubrequest(now, pending, index);
        // A queue that is too long or full may have ended the request.
        if (findPendingRequest(id) == nullptr) {
            return;
        }
    }
}

void ForwardEngine::Implementation::beginShutdown(TimePoint now, const ShutdownSchedule &schedule)
{
    m_shutdown = schedule;
    for (const std::pair<const std::uint64_t, std::unique_ptr<PendingRequest>> &entry :
         m_pendingRequests) {
        PendingRequest &pending = *entry.second;
        const TimePoint deadline = pending.m_deadline;
        limitToShutdown(pending);
        if (pending.m_deadline < deadline) {
            addTimer(pending.m_deadline, TimerKind::Deadline, pending.m_id);
        }
    }
    advance(now);
}

void ForwardEngine::Implementation::limitToShutdown(PendingRequest &pending)
{
    if (m_shutdown) {
        pending.m_deadline = std::min(pending.m_deadline, m_shutdown->m_answerBy);
        pending.m_partialAnswerAt = std::min(pending.m_partialAnswerAt, m_shutdown->m_answerBy);
    }
}

RequestEstimate ForwardEngine::Implementation::estimateRequest(TimePoint now,
                                                               const PendingRequest &pending) const
{
    RequestEstimate estimate;
    estimate.m_limit = pending.m_ownDeadline - now;
    estimate.m_slowLatency = pending.m_routeLatency->m_slowLatency;
    estimate.m_idempotent = pending.m_route->m_idempotent;
    return estimate;
}

bool ForwardEngine::Implementation::outlastsShutdown(TimePoint now,
                                                     const PendingRequest &pending) const
{
    // A search waits for its parts until the last answers and may be partial.
    return m_shutdown && pending.m_route->m_shards.empty()
           && !canFinish(*m_shutdown, now, estimateRequest(now, pending));
}

bool ForwardEngine::Implementation::acceptsInShutdown(TimePoint now, const PendingRequest &pending)
{
    const RequestEstimate estimate = estimateRequest(now, pending);
    const bool accepted = canFinish(*m_shutdown, now, estimate);
    ++(accepted ? m_statistics.m_acceptedInShutdown : m_statistics.m_refusedInShutdown);
    ForwardDecision decision;
    decision.m_event = "shutdown-admission";
    decision.m_reason = accepted ? "fits" : "outlasts-stop";
    decision.m_requestId = pending.m_request->m_requestId;
    decision.m_route = pending.m_route->m_name;
    decision.m_version = pending.m_routingTable->m_version;
    decision.m_timeNeeded = timeNeeded(estimate);
    decision.m_timeUntilStop = m_shutdown->m_answerBy - now;
    decision.m_mayBeSampled = accepted;
    m_output.record(decision);
    return accepted;
}

void ForwardEngine::Implementation::callerDisconnected(TimePoint now, std::uint64_t caller)
{
    const std::unordered_map<std::uint64_t, std::uint64_t>::iterator found =
        m_pendingIdByCaller.find(caller);
    if (found == m_pendingIdByCaller.end()) {
        return;
    }
    const std::uint64_t id = found->second;
    m_pendingIdByCaller.erase(found);
    ++m_statistics.m_callerDisconnects;
    const PendingRequest *pending = findPendingRequest(id);
    if (pending == nullptr) {
        return;
    }
    logDecision(now, *pending, 0, "caller-gone", "closed", {}, 0);
    if (!pending->m_route->m_idempotent) {
        detachSentAttempts(now, id);
    }
    removeFromQueues(*pending);
    m_pendingRequests.erase(id);
    abandonAttempts(now, id);
}

void ForwardEngine::Implementation::abandonAttempts(TimePoint now, std::uint64_t id)
{
    std::vector<ServiceState *> services;
    for (std::unordered_map<std::uint64_t, Attempt>::iterator it = m_attempts.begin();
         it != m_attempts.end();) {
        if (it->second.m_pendingId != id) {
            ++it;
            continue;
        }
        Attempt &attempt = it->second;
        removeOutstandingAttempt(*attempt.m_target, it->first);
        services.push_back(attempt.m_service);
        m_output.abandon(it->first);
        it = m_attempts.erase(it);
    }
    for (ServiceState *service : services) {
        dispatchQueue(now, *service);
    }
}

void ForwardEngine::Implementation::advance(TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().m_firesAt <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        handleTimer(now, timer);
    }
}

void ForwardEngine::Implementation::handleTimer(TimePoint now, const Timer &timer)
{
    if (timer.m_kind == TimerKind::DetachedTimeout) {
        cancelDetachedAttempt(now, timer.m_id);
        return;
    }
    if (timer.m_kind == TimerKind::Probe) {
        probeDownTargets(now);
        return;
    }
    if (timer.m_kind == TimerKind::ShareCrashes) {
        shareCrashes(now);
        return;
    }
    PendingRequest *pending = findPendingRequest(timer.m_id);
    if (pending == nullptr) {
        return;
    }
    switch (timer.m_kind) {
    case TimerKind::Hedge:
        sendHedge(now, *pending, timer.m_subrequestIndex);
        break;
    case TimerKind::Retry:
        sendRetry(now, *pending, timer.m_subrequestIndex);
        break;
    case TimerKind::PartialAnswer:
        answerIfReady(now, *pending);
        break;
    case TimerKind::Deadline:
        answerAtDeadline(now, *pending);
        break;
    case TimerKind::QueueTimeout:
        if (std::all_of(
                pending->m_subrequests.begin(), pending->m_subrequests.end(),
                [](const Subrequest &subrequest) { return subrequest.m_attemptCount == 0; })) {
            failRequest(now, *pending, false);
        }
        break;
    case TimerKind::DetachedTimeout:
    case TimerKind::Probe:
    case TimerKind::ShareCrashes:
        break;
    }
}

void ForwardEngine::Implementation::addTimer(TimePoint at, TimerKind kind, std::uint64_t id,
                                             std::size_t subrequestIndex)
{
    m_timers.push(Timer{at, kind, id, subrequestIndex});
}

ServiceState &ForwardEngine::Implementation::serviceState(const std::string &name)
{
    std::unique_ptr<ServiceState> &state = m_services[name];
    if (!state) {
        state = std::make_unique<ServiceState>();
        state->m_name = name;
    }
    return *state;
}

PendingRequest *ForwardEngine::Implementation::findPendingRequest(std::uint64_t id)
{
    const std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>>::iterator found =
        m_pendingRequests.find(id);
    return found == m_pendingRequests.end() ? nullptr : found->second.get();
}

} // namespace arbutusgrade
