#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

namespace {

// The final answer leaves this long before the caller stops waiting, so that it still arrives.
constexpr Duration answerTravel{6'000};

// Time for a search's answer to be merged and to travel, in fixed and relative parts.
constexpr Duration searchAnswerTravel{4'000};
constexpr int searchAnswerDivisor = 30;

// A request that was not offered to any target is refused after this part of its latency target.
constexpr int refusalDivisor = 4;

// A caller that has at least this much less time than others of the route comes back after a
// failed attempt elsewhere.
constexpr Duration repeatThreshold{25'000};

constexpr Duration unconfiguredRetryAfter{500'000};

// Targets that are down are probed at least once a second, so they are back after half of it in the
// mean.
constexpr Duration unreachableRetryAfter{500'000};

// For this long after a refusal for lack of targets the node may count as cut off.
constexpr Duration unreachableMemory{2'000'000};

} // namespace

ForwardEngine::ForwardEngine(const ForwardOptions &options, TimePoint now, ForwardOutput &output)
    : m_implementation(std::make_unique<Implementation>(options, now, output))
{
}

ForwardEngine::~ForwardEngine() = default;

bool ForwardEngine::adoptRouting(RoutingTablePointer table)
{
    RoutingTablePointer &current = m_implementation->m_table;
    if (current && table->m_version <= current->m_version) {
        return false;
    }
    current = std::move(table);
    return true;
}

const RoutingTablePointer &ForwardEngine::routing() const
{
    return m_implementation->m_table;
}

TargetRegistry &ForwardEngine::registry()
{
    return m_implementation->m_registry;
}

void ForwardEngine::registryChanged(TimePoint now)
{
    forgetRemoved(m_implementation->m_registry, now);
    // A target that comes back to the registry may be down without a timer for its probe.
    m_implementation->probeDownTargets(now);
    for (const std::pair<const std::string, std::unique_ptr<ServiceState>> &service :
         m_implementation->m_services) {
        m_implementation->pumpWaiting(now, *service.second);
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

void ForwardEngine::submit(TimePoint now, const ForwardRequestPointer &request)
{
    m_implementation->submit(now, request);
}

void ForwardEngine::callerGone(TimePoint now, std::uint64_t caller)
{
    m_implementation->callerGone(now, caller);
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
    return timers.empty() ? farFuture : timers.top().m_at;
}

const ForwardStatistics &ForwardEngine::statistics() const
{
    m_implementation->m_statistics.m_inFlight = m_implementation->m_jobs.size();
    return m_implementation->m_statistics;
}

void ForwardEngine::Implementation::submit(TimePoint now, const ForwardRequestPointer &request)
{
    ++m_statistics.m_requests;
    if (!m_table) {
        refuseNew(*request, AnswerKind::Refused, 503, "no-configuration", unconfiguredRetryAfter);
        return;
    }
    const Route *route = findRoute(*m_table, request->m_host, request->m_path);
    if (route == nullptr) {
        refuseNew(*request, AnswerKind::NoRoute, 404, "no-route", std::nullopt);
        return;
    }
    if (isQuarantined(m_crashes, now, request->m_fingerprint)) {
        refuseNew(*request, AnswerKind::Quarantined, 503, "quarantined", std::nullopt);
        return;
    }
    startJob(now, request, *route);
}

void ForwardEngine::Implementation::refuseNew(const ForwardRequest &request, AnswerKind kind,
                                              int status, std::string_view reason,
                                              std::optional<Duration> retryAfter)
{
    ForwardAnswer answer;
    answer.m_caller = request.m_caller;
    answer.m_kind = kind;
    answer.m_status = status;
    answer.m_reason = reason;
    answer.m_retryAfter = retryAfter;
    ++m_statistics.m_answers[static_cast<std::size_t>(kind)];
    ForwardDecision decision;
    decision.m_event = "answer";
    decision.m_reason = reason;
    decision.m_requestId = request.m_requestId;
    decision.m_version = m_table ? m_table->m_version : 0;
    decision.m_status = status;
    m_output.record(decision);
    m_output.answer(answer);
}

void ForwardEngine::Implementation::startJob(TimePoint now, const ForwardRequestPointer &request,
                                             const Route &route)
{
    std::unique_ptr<Job> owned = std::make_unique<Job>();
    Job &job = *owned;
    job.m_id = ++m_lastId;
    job.m_request = request;
    job.m_table = m_table;
    job.m_route = &route;
    job.m_times = &timesOf(route);
    job.m_arrived = now;
    const Duration timeLeft = request->m_timeLeft.value_or(route.m_timeout);
    job.m_deadline = now + std::min(timeLeft - answerTravel, route.m_timeout);
    Duration spent = std::max(Duration::zero(), job.m_times->m_longestTimeLeft - timeLeft);
    job.m_times->m_longestTimeLeft = std::max(job.m_times->m_longestTimeLeft, timeLeft);
    if (spent < repeatThreshold) {
        spent = Duration::zero();
    }
    const Duration answerTime = route.m_latencyTarget - spent - searchAnswerTravel
                                - route.m_latencyTarget / searchAnswerDivisor;
    job.m_answerBy = now + answerTime;
    if (route.m_shards.empty()) {
        const std::size_t choice = chooseSplit(route.m_services, m_splitCredits[route.m_name]);
        job.m_parts.resize(1);
        job.m_parts[0].m_service = &serviceState(route.m_services[choice].m_service);
    } else {
        job.m_parts.resize(route.m_shards.size());
        for (std::size_t index = 0; index < route.m_shards.size(); ++index) {
            job.m_parts[index].m_service = &serviceState(route.m_shards[index]);
        }
    }
    const ServiceState *single = route.m_shards.empty() ? job.m_parts.front().m_service : nullptr;
    if (!canServe(now, route, single)) {
        m_unreachableUntil = now + unreachableMemory;
        refuseNew(*request, AnswerKind::Refused, 503, "targets-unreachable", unreachableRetryAfter);
        return;
    }
    m_jobOfCaller[request->m_caller] = job.m_id;
    const std::uint64_t id = job.m_id;
    m_jobs[id] = std::move(owned);
    addTimer(job.m_deadline, TimerKind::Deadline, id);
    addTimer(now + route.m_latencyTarget / refusalDivisor, TimerKind::Refuse, id);
    if (!route.m_shards.empty() && answerTime > Duration::zero()) {
        addTimer(job.m_answerBy, TimerKind::AnswerBy, id);
    }
    for (std::size_t index = 0; index < job.m_parts.size(); ++index) {
        countFirstArrival(job.m_parts[index].m_service->m_budget, m_options.m_budget, now);
        startPart(now, job, index);
    }
}

void ForwardEngine::Implementation::callerGone(TimePoint now, std::uint64_t caller)
{
    const std::unordered_map<std::uint64_t, std::uint64_t>::iterator found =
        m_jobOfCaller.find(caller);
    if (found == m_jobOfCaller.end()) {
        return;
    }
    const std::uint64_t id = found->second;
    m_jobOfCaller.erase(found);
    ++m_statistics.m_callersGone;
    if (const Job *job = findJob(id)) {
        recordDecision(now, *job, 0, "caller-gone", "closed", {}, 0);
    }
    std::vector<ServiceState *> services;
    for (std::unordered_map<std::uint64_t, Attempt>::iterator it = m_attempts.begin();
         it != m_attempts.end();) {
        if (it->second.m_job != id) {
            ++it;
            continue;
        }
        Attempt &attempt = it->second;
        endOutstanding(*attempt.m_target, it->first);
        services.push_back(attempt.m_service);
        m_output.abandon(it->first);
        it = m_attempts.erase(it);
    }
    m_jobs.erase(id);
    for (ServiceState *service : services) {
        pumpWaiting(now, *service);
    }
}

void ForwardEngine::Implementation::advance(TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().m_at <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        fire(now, timer);
    }
}

void ForwardEngine::Implementation::fire(TimePoint now, const Timer &timer)
{
    if (timer.m_kind == TimerKind::Linger) {
        endLinger(now, timer.m_id);
        return;
    }
    if (timer.m_kind == TimerKind::Probe) {
        probeDownTargets(now);
        return;
    }
    Job *job = findJob(timer.m_id);
    if (job == nullptr) {
        return;
    }
    switch (timer.m_kind) {
    case TimerKind::Hedge:
        hedge(now, *job, timer.m_part);
        break;
    case TimerKind::Retry:
        retry(now, *job, timer.m_part);
        break;
    case TimerKind::AnswerBy:
        progress(now, *job);
        break;
    case TimerKind::Deadline:
        failJob(now, *job, true);
        break;
    case TimerKind::Refuse:
        if (std::all_of(job->m_parts.begin(), job->m_parts.end(),
                        [](const Part &part) { return part.m_attempts == 0; })) {
            failJob(now, *job, false);
        }
        break;
    case TimerKind::Linger:
    case TimerKind::Probe:
        break;
    }
}

void ForwardEngine::Implementation::addTimer(TimePoint at, TimerKind kind, std::uint64_t id,
                                             std::size_t part)
{
    m_timers.push(Timer{at, kind, id, part});
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

Job *ForwardEngine::Implementation::findJob(std::uint64_t id)
{
    const std::unordered_map<std::uint64_t, std::unique_ptr<Job>>::iterator found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

} // namespace arbutusgrade
