#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

namespace {

// Attempts for one part, counting those that never reached a target.
constexpr int attemptCap = 8;

constexpr Duration hedgeRecheck{10'000};
constexpr Duration retryRecheck{20'000};

// When this share of the shards of a search is in, the others are late after a multiple of the time
// that it took. This judges a search by itself: a node that is short of processor time delays all
// shards alike, and its usual times say little about a pause of one target.
constexpr std::size_t comparisonPercent = 70;
constexpr int comparisonFactorPercent = 150;
constexpr Duration comparisonFloor{1'000};

// An attempt that nobody waits for may end by itself within this time; its connection is then used
// again. A pause of a target is shorter.
constexpr Duration lingerTime{400'000};

// Connections to a target that one node opens at most, whatever the service allows.
constexpr int inFlightCap = 16;
constexpr int defaultConnectionLimit = 16;

} // namespace

int ForwardEngine::Implementation::inFlightLimit(const Job &job, const ServiceState &service) const
{
    const std::unordered_map<std::string, int>::const_iterator found =
        job.m_table->m_connectionLimits.find(service.m_name);
    const int limit =
        found == job.m_table->m_connectionLimits.end() ? defaultConnectionLimit : found->second;
    return std::clamp(limit / m_options.m_budget.m_nodes, 1, inFlightCap);
}

void ForwardEngine::Implementation::startPart(TimePoint now, Job &job, std::size_t index)
{
    if (sendAttempt(now, job, index, AttemptReason::First) == SendResult::Sent) {
        return;
    }
    std::deque<WaitingPart> &waiting = job.m_parts[index].m_service->m_waiting;
    const WaitingPart entry{job.m_id, index, job.m_route->m_priority};
    waiting.insert(std::upper_bound(waiting.begin(), waiting.end(), entry,
                                    [](const WaitingPart &left, const WaitingPart &right) {
                                        return left.m_priority < right.m_priority;
                                    }),
                   entry);
}

SendResult ForwardEngine::Implementation::sendAttempt(TimePoint now, Job &job, std::size_t index,
                                                      AttemptReason reason)
{
    Part &part = job.m_parts[index];
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator targets =
        m_registry.m_byService.find(part.m_service->m_name);
    if (targets == m_registry.m_byService.end()) {
        return SendResult::NoTarget;
    }
    TargetCriteria criteria;
    criteria.m_dataCentre = m_options.m_dataCentre;
    criteria.m_exclude = part.m_tried;
    criteria.m_inFlightLimit = inFlightLimit(job, *part.m_service);
    criteria.m_healthyOnly = reason == AttemptReason::Hedge;
    const TargetPointer target = selectTarget(targets->second, now, criteria);
    if (!target) {
        return SendResult::NoTarget;
    }
    if (part.m_arrivals > 0) {
        if (!allowsExtraArrival(part.m_service->m_budget, m_options.m_budget, now, m_started)) {
            ++m_statistics.m_budgetDenied;
            return SendResult::NoBudget;
        }
        countExtraArrival(part.m_service->m_budget, m_options.m_budget, now);
    }
    const std::uint64_t id = ++m_lastId;
    target->m_inFlight.push_back(OutstandingAttempt{id, now + job.m_times->m_hedgeDelay});
    Attempt &attempt = m_attempts[id];
    attempt.m_job = job.m_id;
    attempt.m_part = index;
    attempt.m_target = target;
    attempt.m_service = part.m_service;
    attempt.m_times = job.m_times;
    attempt.m_sentAt = now;
    attempt.m_request = job.m_request;
    part.m_state = PartState::Sent;
    part.m_tried.push_back(target->m_entry.m_id);
    part.m_sentAt = now;
    ++part.m_attempts;
    ++part.m_live;
    ++part.m_arrivals;
    ++part.m_mayHaveRun;
    ++m_statistics.m_attempts;
    if (reason != AttemptReason::First) {
        ++(reason == AttemptReason::Hedge ? m_statistics.m_hedges : m_statistics.m_retries);
        recordDecision(now, job, index, reason == AttemptReason::Hedge ? "hedge" : "retry",
                       reason == AttemptReason::Hedge ? "late" : part.m_reason,
                       target->m_entry.m_id, 0);
    }
    if (job.m_route->m_idempotent && part.m_mayHaveRun < job.m_route->m_attemptLimit) {
        addTimer(now + job.m_times->m_hedgeDelay, TimerKind::Hedge, job.m_id, index);
    }
    m_output.send(
        ForwardOrder{id, target, job.m_request, job.m_deadline - now, job.m_route->m_idempotent});
    return SendResult::Sent;
}

void ForwardEngine::Implementation::hedge(TimePoint now, Job &job, std::size_t index)
{
    const Part &part = job.m_parts[index];
    const bool pending = part.m_state == PartState::Sent && part.m_live == 1
                         && part.m_mayHaveRun < job.m_route->m_attemptLimit
                         && part.m_attempts < attemptCap;
    if (!pending) {
        return;
    }
    if (sendAttempt(now, job, index, AttemptReason::Hedge) != SendResult::Sent) {
        addTimer(now + hedgeRecheck, TimerKind::Hedge, job.m_id, index);
    }
}

void ForwardEngine::Implementation::compareShards(TimePoint now, Job &job)
{
    const std::size_t total = job.m_parts.size();
    const std::size_t most = (total * comparisonPercent + 99) / 100;
    if (job.m_comparing || !job.m_route->m_idempotent || job.m_done < most) {
        return;
    }
    job.m_comparing = true;
    const Duration allowed =
        comparisonFloor + (now - job.m_arrived) * comparisonFactorPercent / 100;
    for (std::size_t index = 0; index < total; ++index) {
        const Part &part = job.m_parts[index];
        if (part.m_state == PartState::Sent && part.m_live == 1) {
            addTimer(std::max(now, part.m_sentAt + allowed), TimerKind::Hedge, job.m_id, index);
        }
    }
}

bool ForwardEngine::Implementation::mayRetry(const Job &job, const Part &part) const
{
    const bool safe = job.m_route->m_idempotent || part.m_mayHaveRun == 0;
    return safe && part.m_mayHaveRun < job.m_route->m_attemptLimit && part.m_attempts < attemptCap;
}

void ForwardEngine::Implementation::retry(TimePoint now, Job &job, std::size_t index)
{
    Part &part = job.m_parts[index];
    if (part.m_state != PartState::Sent || part.m_live > 0) {
        return;
    }
    SendResult result = sendAttempt(now, job, index, AttemptReason::Retry);
    if (result == SendResult::NoTarget && !part.m_tried.empty()) {
        // Each target had an attempt; the one that failed longest ago may be well again.
        part.m_tried.erase(part.m_tried.begin());
        result = sendAttempt(now, job, index, AttemptReason::Retry);
    }
    if (result == SendResult::Sent) {
        return;
    }
    if (!isReachable(now, part.m_service->m_name)) {
        failPart(now, job, index, "targets-unreachable");
        return;
    }
    addTimer(now + retryRecheck, TimerKind::Retry, job.m_id, index);
}

void ForwardEngine::Implementation::pumpWaiting(TimePoint now, ServiceState &service)
{
    while (!service.m_waiting.empty()) {
        const WaitingPart entry = service.m_waiting.front();
        Job *job = findJob(entry.m_job);
        const bool needed =
            job != nullptr && job->m_parts[entry.m_part].m_state == PartState::Waiting;
        if (needed
            && sendAttempt(now, *job, entry.m_part, AttemptReason::First) != SendResult::Sent) {
            return;
        }
        service.m_waiting.pop_front();
    }
}

void ForwardEngine::Implementation::detachAttempts(TimePoint now, std::uint64_t job,
                                                   std::optional<std::size_t> part)
{
    for (std::pair<const std::uint64_t, Attempt> &entry : m_attempts) {
        Attempt &attempt = entry.second;
        if (attempt.m_job == job && (!part || attempt.m_part == *part)) {
            attempt.m_job = 0;
            addTimer(now + lingerTime, TimerKind::Linger, entry.first);
        }
    }
}

void ForwardEngine::Implementation::endLinger(TimePoint now, std::uint64_t id)
{
    const std::unordered_map<std::uint64_t, Attempt>::iterator found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    m_attempts.erase(found);
    endOutstanding(*attempt.m_target, id);
    learnFailure(*attempt.m_target, now, TargetFailure::Silent);
    m_output.abandon(id);
    pumpWaiting(now, *attempt.m_service);
}

} // namespace arbutusgrade
