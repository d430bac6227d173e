#include <algorithm>
#include <utility>

#include "details/enginestate.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

// Per sub-request, including attempts that never reached a target.
constexpr int maximumAttempts = 8;

constexpr Duration hedgeRecheckInterval = 10ms;
constexpr Duration retryRecheckInterval = 20ms;

// Once this percentage of the shards of a search has replied, the remaining shards are hedged after
// a multiple of the time taken so far. Only shards of the same search are compared, as a node that
// is short of CPU time delays all of them alike, and then its usual latency does not show whether
// one target is paused.
constexpr std::size_t stragglerQuorumPercent = 70;
constexpr int stragglerDelayPercent = 150;
constexpr Duration minimumStragglerDelay = 1ms;

// Time for a detached attempt to end by itself, so that its connection can be reused. Longer than a
// pause of a target.
constexpr Duration detachedAttemptTimeout = 400ms;

// Maximum number of requests from one node to a target, whatever the limit of the service.
constexpr int maximumInFlightPerTarget = 16;
constexpr int defaultConnectionLimit = 16;

// Number of requests over which the interval between requests to a service is smoothed.
constexpr int intervalSamples = 16;

//! @brief Returns how long a retry may wait for the budget or a target. A single request ends while
//! its caller can still use the answer; the shards of a search wait for its deadline.
TimePoint retryWaitEnd(const PendingRequest &pending)
{
    if (!pending.m_route->m_shards.empty()) {
        return pending.m_deadline;
    }
    const bool mayHaveRun = pending.m_subrequests.front().m_possibleExecutions > 0;
    return mayHaveRun ? pending.m_arrivedAt + pending.m_route->m_latencyTarget : pending.m_refuseAt;
}

bool hasTried(const Subrequest &subrequest, std::string_view targetId)
{
    return std::find(subrequest.m_triedTargetIds.begin(), subrequest.m_triedTargetIds.end(),
                     targetId)
           != subrequest.m_triedTargetIds.end();
}

//! @brief Priority for the budget of extra attempts. Only organisations compete for it.
int budgetPriorityOf(const PendingRequest &pending)
{
    return pending.m_routingTable->m_definesOrganisations ? priorityOf(pending) : 0;
}

} // namespace

int priorityOf(const PendingRequest &pending)
{
    return pending.m_request->m_priority.value_or(pending.m_route->m_priority);
}

int ForwardEngine::Implementation::inFlightLimit(const PendingRequest &pending,
                                                 const ServiceState &service) const
{
    const std::unordered_map<std::string, int>::const_iterator found =
        pending.m_routingTable->m_connectionLimits.find(service.m_name);
    const int limit = found == pending.m_routingTable->m_connectionLimits.end()
                          ? defaultConnectionLimit
                          : found->second;
    return std::clamp(limit / m_options.m_budget.m_nodes, 1, maximumInFlightPerTarget);
}

std::optional<WarmupCriteria> ForwardEngine::Implementation::warmupCriteria(
    const PendingRequest &pending, const ServiceState &service) const
{
    const std::unordered_map<std::string, WarmupLimit>::const_iterator found =
        pending.m_routingTable->m_warmupLimits.find(service.m_name);
    if (!m_options.m_warmup || found == pending.m_routingTable->m_warmupLimits.end()) {
        return std::nullopt;
    }
    return WarmupCriteria{found->second, *m_options.m_warmup, m_options.m_node, m_nodes,
                          m_options.m_budget.m_nodes};
}

void ForwardEngine::Implementation::recordRequest(TimePoint now, const PendingRequest &pending,
                                                  ServiceState &service) const
{
    recordFirstAttempt(service.m_budget, m_options.m_budget, now, budgetPriorityOf(pending));
    if (service.m_lastRequestAt != TimePoint()) {
        const Duration interval = now - service.m_lastRequestAt;
        service.m_requestInterval =
            service.m_requestInterval == Duration::zero()
                ? interval
                : (service.m_requestInterval * (intervalSamples - 1) + interval) / intervalSamples;
    }
    service.m_lastRequestAt = now;
}

void ForwardEngine::Implementation::startSubrequest(TimePoint now, PendingRequest &pending,
                                                    std::size_t index)
{
    // Capacity may have become free with time, as at a cold target; queued requests come first.
    dispatchQueue(now, *pending.m_subrequests[index].m_service);
    if (sendAttempt(now, pending, index, AttemptReason::First) == SendResult::Sent) {
        return;
    }
    if (!isServiceReachable(now, pending.m_subrequests[index].m_service->m_name)) {
        failSubrequest(now, pending, index, "targets-unreachable");
        return;
    }
    queueSubrequest(now, pending, index);
}

void ForwardEngine::Implementation::queueSubrequest(TimePoint now, PendingRequest &pending,
                                                    std::size_t index)
{
    const QueuedSubrequest entry{pending.m_id, index, priorityOf(pending),
                                 pending.m_request->m_organisation};
    if (exceedsQueueTime(now, pending, index, entry)) {
        failSubrequest(now, pending, index, "queue-too-long");
        return;
    }
    if (!enqueue(pending.m_subrequests[index].m_service->m_queue, entry)) {
        failSubrequest(now, pending, index, "queue-full");
    }
}

bool ForwardEngine::Implementation::exceedsQueueTime(TimePoint now, const PendingRequest &pending,
                                                     std::size_t index,
                                                     const QueuedSubrequest &entry) const
{
    // Applies only to requests of organisations. A search may be answered without this part.
    if (entry.m_organisation.empty() || !pending.m_route->m_shards.empty()) {
        return false;
    }
    const ServiceState &service = *pending.m_subrequests[index].m_service;
    const std::size_t ahead = entriesAhead(service.m_queue, entry.m_priority, entry.m_organisation);
    const Duration wait = expectedWait(ahead, pending.m_routeLatency->m_typicalLatency,
                                       availableSlots(now, pending, service));
    return now + wait > pending.m_refuseAt;
}

int ForwardEngine::Implementation::availableSlots(TimePoint now, const PendingRequest &pending,
                                                  const ServiceState &service) const
{
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator targets =
        m_registry.m_targetsByService.find(service.m_name);
    if (targets == m_registry.m_targetsByService.end()) {
        return 0;
    }
    const std::ptrdiff_t available = std::count_if(
        targets->second.begin(), targets->second.end(), [now](const TargetPointer &target) {
            return !target->m_down && acceptsRequests(*target, now);
        });
    return static_cast<int>(available) * inFlightLimit(pending, service);
}

void ForwardEngine::Implementation::removeFromQueues(const PendingRequest &pending)
{
    for (const Subrequest &subrequest : pending.m_subrequests) {
        if (subrequest.m_state == SubrequestState::Queued) {
            removeRequest(subrequest.m_service->m_queue, pending.m_id);
        }
    }
}

TargetCriteria ForwardEngine::Implementation::targetCriteria(const PendingRequest &pending,
                                                             const Subrequest &subrequest,
                                                             AttemptReason reason) const
{
    TargetCriteria criteria;
    criteria.m_dataCentre = m_options.m_dataCentre;
    criteria.m_excludedIds =
        std::span(subrequest.m_triedTargetIds).subspan(subrequest.m_repeatableTargets);
    criteria.m_inFlightLimit = inFlightLimit(pending, *subrequest.m_service);
    criteria.m_requestInterval = subrequest.m_service->m_requestInterval;
    criteria.m_healthyOnly = reason == AttemptReason::Hedge;
    criteria.m_warmup = warmupCriteria(pending, *subrequest.m_service);
    return criteria;
}

bool ForwardEngine::Implementation::takeFromBudget(TimePoint now, const PendingRequest &pending,
                                                   ServiceState &service)
{
    const int priority = budgetPriorityOf(pending);
    if (!allowsExtraAttempt(service.m_budget, m_options.m_budget, now, m_startedAt, priority)) {
        ++m_statistics.m_budgetDenied;
        return false;
    }
    recordExtraAttempt(service.m_budget, m_options.m_budget, now, priority);
    return true;
}

std::uint64_t ForwardEngine::Implementation::registerAttempt(TimePoint now, PendingRequest &pending,
                                                             std::size_t index,
                                                             const TargetPointer &target)
{
    Subrequest &subrequest = pending.m_subrequests[index];
    const std::uint64_t id = ++m_lastId;
    target->m_inFlight.push_back(
        OutstandingAttempt{id, now + pending.m_routeLatency->m_hedgeDelay});
    Attempt &attempt = m_attempts[id];
    attempt.m_pendingId = pending.m_id;
    attempt.m_subrequestIndex = index;
    attempt.m_target = target;
    attempt.m_service = subrequest.m_service;
    attempt.m_routeLatency = pending.m_routeLatency;
    attempt.m_sentAt = now;
    attempt.m_request = pending.m_request;
    subrequest.m_state = SubrequestState::Sent;
    subrequest.m_triedTargetIds.push_back(target->m_entry.m_id);
    subrequest.m_lastSentAt = now;
    ++subrequest.m_attemptCount;
    ++subrequest.m_attemptsInFlight;
    ++subrequest.m_possibleDeliveries;
    ++subrequest.m_possibleExecutions;
    ++m_statistics.m_attempts;
    return id;
}

SendResult ForwardEngine::Implementation::sendAttempt(TimePoint now, PendingRequest &pending,
                                                      std::size_t index, AttemptReason reason)
{
    Subrequest &subrequest = pending.m_subrequests[index];
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator targets =
        m_registry.m_targetsByService.find(subrequest.m_service->m_name);
    if (targets == m_registry.m_targetsByService.end()) {
        return SendResult::NoTarget;
    }
    const TargetCriteria criteria = targetCriteria(pending, subrequest, reason);
    const TargetPointer target = selectTarget(targets->second, now, criteria);
    if (!target) {
        return SendResult::NoTarget;
    }
    if (subrequest.m_possibleDeliveries > 0
        && !takeFromBudget(now, pending, *subrequest.m_service)) {
        return SendResult::NoBudget;
    }
    if (criteria.m_warmup) {
        recordColdRequest(*target, now, criteria.m_warmup->m_limit);
    }
    const bool isRepeat = hasTried(subrequest, target->m_entry.m_id);
    const std::uint64_t id = registerAttempt(now, pending, index, target);
    m_statistics.m_repeats += isRepeat ? 1 : 0;
    if (reason != AttemptReason::First) {
        const bool isHedge = reason == AttemptReason::Hedge;
        ++(isHedge ? m_statistics.m_hedges : m_statistics.m_retries);
        logDecision(now, pending, index, isHedge ? "hedge" : "retry",
                    isHedge ? "late" : subrequest.m_failureReason, target->m_entry.m_id, 0);
    }
    if (pending.m_route->m_idempotent
        && subrequest.m_possibleExecutions < pending.m_route->m_attemptLimit) {
        addTimer(now + pending.m_routeLatency->m_hedgeDelay, TimerKind::Hedge, pending.m_id, index);
    }
    m_output.send(ForwardCommand{id, target, pending.m_request, pending.m_deadline - now,
                                 pending.m_route->m_idempotent, isRepeat});
    return SendResult::Sent;
}

bool ForwardEngine::Implementation::moreUrgentWaits(const PendingRequest &pending,
                                                    const ServiceState &service)
{
    const QueuedSubrequest *next = nextEntry(service.m_queue);
    return pending.m_routingTable->m_definesOrganisations && next != nullptr
           && next->m_priority < priorityOf(pending);
}

void ForwardEngine::Implementation::sendHedge(TimePoint now, PendingRequest &pending,
                                              std::size_t index)
{
    const Subrequest &subrequest = pending.m_subrequests[index];
    const bool isHedgeable = subrequest.m_state == SubrequestState::Sent
                             && subrequest.m_attemptsInFlight == 1
                             && subrequest.m_possibleExecutions < pending.m_route->m_attemptLimit
                             && subrequest.m_attemptCount < maximumAttempts;
    if (!isHedgeable) {
        return;
    }
    if (moreUrgentWaits(pending, *subrequest.m_service)
        || sendAttempt(now, pending, index, AttemptReason::Hedge) != SendResult::Sent) {
        addTimer(now + hedgeRecheckInterval, TimerKind::Hedge, pending.m_id, index);
    }
}

void ForwardEngine::Implementation::scheduleStragglerHedges(TimePoint now, PendingRequest &pending)
{
    const std::size_t total = pending.m_subrequests.size();
    const std::size_t quorum = (total * stragglerQuorumPercent + 99) / 100;
    if (pending.m_stragglerCheckDone || !pending.m_route->m_idempotent
        || pending.m_succeededCount < quorum) {
        return;
    }
    pending.m_stragglerCheckDone = true;
    const Duration allowedDelay =
        minimumStragglerDelay + (now - pending.m_arrivedAt) * stragglerDelayPercent / 100;
    for (std::size_t index = 0; index < total; ++index) {
        const Subrequest &subrequest = pending.m_subrequests[index];
        if (subrequest.m_state == SubrequestState::Sent && subrequest.m_attemptsInFlight == 1) {
            addTimer(std::max(now, subrequest.m_lastSentAt + allowedDelay), TimerKind::Hedge,
                     pending.m_id, index);
        }
    }
}

bool ForwardEngine::Implementation::canRetry(const PendingRequest &pending,
                                             const Subrequest &subrequest) const
{
    const bool safe = pending.m_route->m_idempotent || subrequest.m_possibleExecutions == 0;
    return safe && subrequest.m_possibleExecutions < pending.m_route->m_attemptLimit
           && subrequest.m_attemptCount < maximumAttempts;
}

void ForwardEngine::Implementation::sendRetry(TimePoint now, PendingRequest &pending,
                                              std::size_t index)
{
    Subrequest &subrequest = pending.m_subrequests[index];
    if (subrequest.m_state != SubrequestState::Sent || subrequest.m_attemptsInFlight > 0) {
        return;
    }
    if (outlastsShutdown(now, pending)) {
        failSubrequest(now, pending, index, "shutting-down");
        return;
    }
    const bool waits = moreUrgentWaits(pending, *subrequest.m_service);
    SendResult result =
        waits ? SendResult::NoTarget : sendAttempt(now, pending, index, AttemptReason::Retry);
    if (!waits && result == SendResult::NoTarget
        && subrequest.m_repeatableTargets < subrequest.m_triedTargetIds.size()) {
        // All targets have been tried; the one that failed first may have recovered.
        ++subrequest.m_repeatableTargets;
        result = sendAttempt(now, pending, index, AttemptReason::Retry);
    }
    if (result == SendResult::Sent) {
        return;
    }
    if (!isServiceReachable(now, subrequest.m_service->m_name)) {
        failSubrequest(now, pending, index, "targets-unreachable");
        return;
    }
    if (now >= retryWaitEnd(pending)) {
        failSubrequest(now, pending, index, subrequest.m_failureReason);
        return;
    }
    if (!std::exchange(subrequest.m_retryDelayed, true)) {
        logDecision(now, pending, index, "retry-delayed",
                    result == SendResult::NoBudget ? "no-budget" : "no-target", {}, 0);
    }
    addTimer(now + retryRecheckInterval, TimerKind::Retry, pending.m_id, index);
}

void ForwardEngine::Implementation::dispatchQueue(TimePoint now, ServiceState &service)
{
    while (const QueuedSubrequest *next = nextEntry(service.m_queue)) {
        const QueuedSubrequest entry = *next;
        PendingRequest *pending = findPendingRequest(entry.m_pendingId);
        const bool needed =
            pending != nullptr
            && pending->m_subrequests[entry.m_subrequestIndex].m_state == SubrequestState::Queued;
        if (needed && outlastsShutdown(now, *pending)) {
            removeNext(service.m_queue, false);
            failSubrequest(now, *pending, entry.m_subrequestIndex, "shutting-down");
            continue;
        }
        if (needed
            && sendAttempt(now, *pending, entry.m_subrequestIndex, AttemptReason::First)
                   != SendResult::Sent) {
            return;
        }
        removeNext(service.m_queue, needed);
    }
}

void ForwardEngine::Implementation::failUnreachableQueue(TimePoint now, ServiceState &service)
{
    if (nextEntry(service.m_queue) == nullptr || isServiceReachable(now, service.m_name)) {
        return;
    }
    for (const QueuedSubrequest &entry : takeAll(service.m_queue)) {
        PendingRequest *pending = findPendingRequest(entry.m_pendingId);
        if (pending != nullptr
            && pending->m_subrequests[entry.m_subrequestIndex].m_state == SubrequestState::Queued) {
            failSubrequest(now, *pending, entry.m_subrequestIndex, "targets-unreachable");
        }
    }
}

void ForwardEngine::Implementation::detachAttempts(TimePoint now, std::uint64_t pendingId,
                                                   std::optional<std::size_t> subrequestIndex)
{
    for (std::pair<const std::uint64_t, Attempt> &entry : m_attempts) {
        Attempt &attempt = entry.second;
        if (attempt.m_pendingId == pendingId
            && (!subrequestIndex || attempt.m_subrequestIndex == *subrequestIndex)) {
            detachAttempt(now, entry.first, attempt);
        }
    }
}

void ForwardEngine::Implementation::detachSentAttempts(TimePoint now, std::uint64_t pendingId)
{
    for (std::pair<const std::uint64_t, Attempt> &entry : m_attempts) {
        if (entry.second.m_pendingId == pendingId && m_output.isSent(entry.first)) {
            detachAttempt(now, entry.first, entry.second);
        }
    }
}

void ForwardEngine::Implementation::detachAttempt(TimePoint now, std::uint64_t id, Attempt &attempt)
{
    attempt.m_pendingId = 0;
    addTimer(now + detachedAttemptTimeout, TimerKind::DetachedTimeout, id);
}

void ForwardEngine::Implementation::cancelDetachedAttempt(TimePoint now, std::uint64_t id)
{
    const std::unordered_map<std::uint64_t, Attempt>::iterator found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    m_attempts.erase(found);
    removeOutstandingAttempt(*attempt.m_target, id);
    recordFailure(*attempt.m_target, now, TargetFailure::Unresponsive);
    m_output.abandon(id);
    dispatchQueue(now, *attempt.m_service);
}

} // namespace arbutusgrade
