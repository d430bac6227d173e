#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <queue>

namespace arbutusgrade {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr TimePoint simulationStart{std::chrono::seconds(100)};
constexpr Snapshot simulationSnapshot{1, 7};

enum class EventKind {
    Submit,
    AttemptArrived,
    CancelArrived,
    JobFinished,
    ReplyArrived,
    AttemptFailed,
    WakeUp,
    Freeze,
    Restart,
    NoticeArrived,
};

struct SimulationEvent
{
    TimePoint m_at;
    std::uint64_t m_sequence = 0;
    EventKind m_kind = EventKind::Submit;
    int m_node = 0;
    std::size_t m_target = 0;
    AttemptId m_attempt = 0;
    std::uint64_t m_serial = 0; //!< JobFinished: the job. AttemptFailed: nonzero if it was sent.
    std::shared_ptr<SendAttempt> m_send;
    std::shared_ptr<AttemptReply> m_reply;
    QuarantineNotice m_notice;
};

struct OccursLater
{
    bool operator()(const SimulationEvent &left, const SimulationEvent &right) const noexcept
    {
        return left.m_at != right.m_at ? left.m_at > right.m_at
                                       : left.m_sequence > right.m_sequence;
    }
};

struct Job
{
    int m_node = 0;
    std::uint64_t m_serial = 0;
    std::shared_ptr<SendAttempt> m_send;
};

struct Target
{
    std::string m_name;
    std::vector<Job> m_running;
    std::deque<Job> m_queue;
    double m_serviceTimeFactor = 1;
    bool m_frozen = false;
    bool m_down = false;
    std::uint64_t m_startNumber = 1;
};

struct Node
{
    QueryEnginePointer m_engine;
    TimePoint m_wakeUp = farFuture;
    TimePoint m_pausedUntil;
};

struct Submission
{
    TimePoint m_at;
    bool m_urgent = false;
};

struct Simulation
{
    SimulationOptions m_options;
    SimulationFigures m_figures;
    RandomGenerator m_random;
    std::priority_queue<SimulationEvent, std::vector<SimulationEvent>, OccursLater> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_serial = 0;
    TimePoint m_now = simulationStart;
    std::vector<Node> m_nodes;
    std::vector<Target> m_targets;
    std::map<std::string, std::size_t> m_targetByName;
    std::map<CallerId, Submission> m_submissions;
    std::map<std::string, std::uint64_t> m_lostByPayload;
    CallerId m_lastCaller = 0;
    TimePoint m_nextPoison;
    std::string m_poison;
    int m_poisonSends = 0;
    LatencyHistogram m_latencies;
    LatencyHistogram m_urgentLatencies;
    std::uint64_t m_sheds = 0;
    std::uint64_t m_attempts = 0;
    ActionList m_actions;
};

Duration milliseconds(double value)
{
    return Duration(static_cast<std::int64_t>(value * 1000));
}

double elapsedSeconds(const Simulation &simulation)
{
    return std::chrono::duration<double>(simulation.m_now - simulationStart).count();
}

void addEvent(Simulation &simulation, SimulationEvent event)
{
    event.m_sequence = ++simulation.m_eventNumber;
    simulation.m_events.push(std::move(event));
}

SimulationEvent makeEvent(EventKind kind, TimePoint at, int node = 0, std::size_t target = 0)
{
    SimulationEvent event;
    event.m_kind = kind;
    event.m_at = at;
    event.m_node = node;
    event.m_target = target;
    return event;
}

Settings simulationSettings(const SimulationOptions &options)
{
    Settings settings;
    settings.m_site = "east";
    for (int node = 0; node < options.m_nodes; ++node) {
        settings.m_nodes.emplace_back().m_name = "node" + std::to_string(node);
    }
    GroupSettings &group = settings.m_groups.emplace_back();
    group.m_name = "index";
    for (int service = 0; service < options.m_services; ++service) {
        ServiceSettings &shard = group.m_services.emplace_back();
        shard.m_name = "shard" + std::to_string(service);
        shard.m_slots = options.m_slots;
        shard.m_connections = options.m_connections;
        for (int target = 0; target < options.m_targets; ++target) {
            TargetSettings &replica = shard.m_targets.emplace_back();
            replica.m_name = shard.m_name + "-" + std::to_string(target);
            replica.m_dataCentre = "east";
        }
    }
    for (const bool urgent : {false, true}) {
        KindSettings &kind = settings.m_kinds.emplace_back();
        kind.m_name = urgent ? "urgent" : "search";
        kind.m_group = "index";
        kind.m_mode = urgent ? AnswerMode::BestByDeadline : AnswerMode::Complete;
        kind.m_priority = urgent ? 9 : 5;
        kind.m_deadline = Milliseconds(static_cast<std::int64_t>(options.m_deadlineMilliseconds));
        kind.m_hedge = options.m_hedge;
    }
    return settings;
}

void performActions(Simulation &simulation, int node);

//! Calls the node's engine, performs the resulting actions and schedules its next wake-up.
template <typename Call> void withEngine(Simulation &simulation, int nodeIndex, const Call &call)
{
    Node &node = simulation.m_nodes[static_cast<std::size_t>(nodeIndex)];
    call(*node.m_engine);
    performActions(simulation, nodeIndex);
    const TimePoint wakeUp = nextWakeUp(*node.m_engine);
    if (wakeUp < node.m_wakeUp || node.m_wakeUp <= simulation.m_now) {
        node.m_wakeUp = std::max(wakeUp, simulation.m_now);
        addEvent(simulation, makeEvent(EventKind::WakeUp, node.m_wakeUp, nodeIndex));
    }
}

void recordAnswer(Simulation &simulation, const CallerAnswer &answer)
{
    const auto found = simulation.m_submissions.find(answer.m_caller);
    if (found == simulation.m_submissions.end()) {
        return;
    }
    const Submission submission = found->second;
    simulation.m_submissions.erase(found);
    const double at = std::chrono::duration<double>(submission.m_at - simulationStart).count();
    const std::size_t second = static_cast<std::size_t>(at);
    SimulationFigures &figures = simulation.m_figures;
    figures.m_completeBySecond.resize(std::max(figures.m_completeBySecond.size(), second + 1));
    figures.m_completeBySecond[second] += answer.m_outcome == Outcome::Complete ? 1 : 0;
    if (at < simulation.m_options.m_warmUpSeconds) {
        return;
    }
    figures.m_complete += answer.m_outcome == Outcome::Complete ? 1 : 0;
    figures.m_partial += answer.m_outcome == Outcome::Partial ? 1 : 0;
    figures.m_notRun += answer.m_outcome == Outcome::NotRun ? 1 : 0;
    figures.m_failed += answer.m_outcome == Outcome::Failed ? 1 : 0;
    if (submission.m_urgent && answer.m_outcome == Outcome::NotRun) {
        ++figures.m_urgentRefused;
    }
    if (answer.m_outcome != Outcome::NotRun) {
        const Duration latency = simulation.m_now - submission.m_at + networkDelay * 2;
        recordLatency(submission.m_urgent ? simulation.m_urgentLatencies : simulation.m_latencies,
                      latency);
    }
}

void performActions(Simulation &simulation, int node)
{
    ActionList actions;
    std::swap(actions, simulation.m_actions);
    for (Action &action : actions) {
        if (SendAttempt *send = std::get_if<SendAttempt>(&action)) {
            SimulationEvent event =
                makeEvent(EventKind::AttemptArrived, simulation.m_now + networkDelay, node,
                          simulation.m_targetByName[send->m_target]);
            event.m_attempt = send->m_attempt;
            event.m_send = std::make_shared<SendAttempt>(std::move(*send));
            addEvent(simulation, std::move(event));
            ++simulation.m_attempts;
        } else if (const CancelAttempt *cancel = std::get_if<CancelAttempt>(&action)) {
            SimulationEvent event =
                makeEvent(EventKind::CancelArrived, simulation.m_now + networkDelay, node,
                          simulation.m_targetByName[cancel->m_target]);
            event.m_attempt = cancel->m_attempt;
            addEvent(simulation, std::move(event));
        } else if (const AnswerCaller *answer = std::get_if<AnswerCaller>(&action)) {
            recordAnswer(simulation, answer->m_answer);
        } else if (const AnnounceQuarantine *share = std::get_if<AnnounceQuarantine>(&action)) {
            for (int other = 0; other < simulation.m_options.m_nodes; ++other) {
                SimulationEvent event =
                    makeEvent(EventKind::NoticeArrived,
                              simulation.m_now + std::chrono::milliseconds(50), other);
                event.m_notice = share->m_notice;
                addEvent(simulation, std::move(event));
            }
        }
    }
}

void sendReply(Simulation &simulation, const Target &target, const Job &job, AttemptStatus status)
{
    SimulationEvent event = makeEvent(EventKind::ReplyArrived, simulation.m_now + networkDelay,
                                      job.m_node, simulation.m_targetByName[target.m_name]);
    event.m_reply = std::make_shared<AttemptReply>();
    AttemptReply &reply = *event.m_reply;
    reply.m_attempt = job.m_send->m_attempt;
    reply.m_requestId = job.m_send->m_requestId;
    reply.m_service = job.m_send->m_service;
    reply.m_status = status;
    reply.m_snapshot = simulationSnapshot;
    reply.m_holdings = {simulationSnapshot};
    reply.m_load =
        TargetLoad{static_cast<int>(target.m_running.size()),
                   static_cast<int>(target.m_queue.size()), simulation.m_options.m_slots};
    reply.m_startId = std::to_string(target.m_startNumber);
    reply.m_entries = "[]";
    addEvent(simulation, std::move(event));
}

void startJob(Simulation &simulation, std::size_t index, Job job)
{
    const SimulationOptions &options = simulation.m_options;
    Target &target = simulation.m_targets[index];
    // The service time is half constant and half exponentially distributed.
    const double random = -std::log(1.0 - nextRandomUnit(simulation.m_random));
    double work =
        options.m_meanServiceMilliseconds * (0.5 + 0.5 * random) * target.m_serviceTimeFactor;
    if (nextRandomUnit(simulation.m_random) < options.m_slowShare) {
        work *= options.m_slowFactor;
    }
    SimulationEvent event =
        makeEvent(EventKind::JobFinished, simulation.m_now + milliseconds(work), job.m_node, index);
    event.m_serial = job.m_serial;
    addEvent(simulation, std::move(event));
    target.m_running.push_back(std::move(job));
}

void startQueued(Simulation &simulation, std::size_t index)
{
    Target &target = simulation.m_targets[index];
    while (!target.m_queue.empty()
           && static_cast<int>(target.m_running.size()) < simulation.m_options.m_slots) {
        Job job = std::move(target.m_queue.front());
        target.m_queue.pop_front();
        startJob(simulation, index, std::move(job));
    }
}

void failAttempt(Simulation &simulation, int node, AttemptId attempt, bool sent)
{
    SimulationEvent event =
        makeEvent(EventKind::AttemptFailed, simulation.m_now + networkDelay, node);
    event.m_attempt = attempt;
    event.m_serial = sent ? 1 : 0;
    addEvent(simulation, std::move(event));
}

bool isOutage(const Simulation &simulation)
{
    const double at = simulation.m_options.m_outageAtSeconds;
    const double now = elapsedSeconds(simulation);
    return at >= 0 && now >= at && now < at + simulation.m_options.m_outageSeconds;
}

void receiveAttempt(Simulation &simulation, const SimulationEvent &event)
{
    Target &target = simulation.m_targets[event.m_target];
    if (target.m_down || isOutage(simulation)) {
        failAttempt(simulation, event.m_node, event.m_attempt, false);
        return;
    }
    Job job{event.m_node, ++simulation.m_serial, event.m_send};
    if (static_cast<int>(target.m_queue.size()) >= simulation.m_options.m_targetQueue) {
        ++simulation.m_sheds;
        sendReply(simulation, target, job, AttemptStatus::Shed);
        return;
    }
    target.m_queue.push_back(std::move(job));
    startQueued(simulation, event.m_target);
}

void cancelJob(Simulation &simulation, const SimulationEvent &event)
{
    Target &target = simulation.m_targets[event.m_target];
    const auto matches = [&event](const Job &job) {
        return job.m_node == event.m_node && job.m_send->m_attempt == event.m_attempt;
    };
    if (target.m_frozen) {
        return;
    }
    const std::size_t before = target.m_running.size() + target.m_queue.size();
    std::erase_if(target.m_running, matches);
    std::erase_if(target.m_queue, matches);
    if (before != target.m_running.size() + target.m_queue.size()) {
        failAttempt(simulation, event.m_node, event.m_attempt, true);
        startQueued(simulation, event.m_target);
    }
}

void crash(Simulation &simulation, std::size_t index, const std::string &payload)
{
    Target &target = simulation.m_targets[index];
    ++simulation.m_figures.m_lostTargets;
    ++simulation.m_lostByPayload[payload];
    target.m_down = true;
    for (const Job &job : target.m_running) {
        failAttempt(simulation, job.m_node, job.m_send->m_attempt, true);
    }
    for (const Job &job : target.m_queue) {
        failAttempt(simulation, job.m_node, job.m_send->m_attempt, true);
    }
    target.m_running.clear();
    target.m_queue.clear();
    const Duration restart = milliseconds(simulation.m_options.m_restartSeconds * 1000);
    addEvent(simulation, makeEvent(EventKind::Restart, simulation.m_now + restart, 0, index));
}

void finishJob(Simulation &simulation, const SimulationEvent &event)
{
    Target &target = simulation.m_targets[event.m_target];
    const auto job =
        std::find_if(target.m_running.begin(), target.m_running.end(),
                     [&event](const Job &other) { return other.m_serial == event.m_serial; });
    if (job == target.m_running.end() || target.m_frozen) {
        return;
    }
    if (job->m_send->m_payload->starts_with("poison")) {
        crash(simulation, event.m_target, *job->m_send->m_payload);
        return;
    }
    const Job done = *job;
    target.m_running.erase(job);
    sendReply(simulation, target, done, AttemptStatus::Ok);
    startQueued(simulation, event.m_target);
}

//! Returns the payload of the next request. A payload that crashes targets is sent five times, each
//! time to a random node.
std::string choosePayload(Simulation &simulation)
{
    const SimulationOptions &options = simulation.m_options;
    if (options.m_poisonIntervalSeconds > 0 && simulation.m_now >= simulation.m_nextPoison) {
        if (simulation.m_poisonSends == 0) {
            simulation.m_poison = "poison" + std::to_string(simulation.m_lastCaller);
            ++simulation.m_figures.m_poisonRequests;
        }
        simulation.m_poisonSends = (simulation.m_poisonSends + 1) % 5;
        const bool again = simulation.m_poisonSends != 0;
        simulation.m_nextPoison =
            simulation.m_now
            + (again ? milliseconds(300) : milliseconds(options.m_poisonIntervalSeconds * 1000));
        return simulation.m_poison;
    }
    return options.m_uniquePayloads ? "p" + std::to_string(simulation.m_lastCaller) : "p";
}

void submitNextRequest(Simulation &simulation)
{
    const SimulationOptions &options = simulation.m_options;
    const double capacity = options.m_targets * options.m_slots / options.m_meanServiceMilliseconds;
    const double gap =
        -std::log(1.0 - nextRandomUnit(simulation.m_random)) / (capacity * options.m_load);
    if (elapsedSeconds(simulation) < options.m_durationSeconds) {
        addEvent(simulation, makeEvent(EventKind::Submit, simulation.m_now + milliseconds(gap)));
    }
    int node = 0;
    // Requests avoid a paused node, so that the figures show its effect on the other nodes.
    do {
        node = static_cast<int>(
            nextRandomBelow(simulation.m_random, static_cast<std::uint64_t>(options.m_nodes)));
    } while (simulation.m_nodes[static_cast<std::size_t>(node)].m_pausedUntil > simulation.m_now);
    CallerRequest request;
    request.m_caller = ++simulation.m_lastCaller;
    request.m_requestId = "r" + std::to_string(request.m_caller);
    const bool urgent = nextRandomUnit(simulation.m_random) < options.m_urgentShare;
    request.m_kind = urgent ? "urgent" : "search";
    request.m_payload = std::make_shared<const std::string>(choosePayload(simulation));
    simulation.m_submissions.emplace(request.m_caller, Submission{simulation.m_now, urgent});
    const double now = elapsedSeconds(simulation);
    std::vector<std::uint64_t> &bySecond = simulation.m_figures.m_submittedBySecond;
    bySecond.resize(std::max(bySecond.size(), static_cast<std::size_t>(now) + 1));
    ++bySecond[static_cast<std::size_t>(now)];
    if (now >= options.m_warmUpSeconds) {
        ++simulation.m_figures.m_submitted;
        simulation.m_figures.m_urgentSubmitted += urgent ? 1 : 0;
    }
    withEngine(simulation, node, [&simulation, &request](QueryEngine &engine) {
        submitRequest(engine, simulation.m_now, request, simulation.m_actions);
    });
}

void processEvent(Simulation &simulation, SimulationEvent event)
{
    const bool forNode =
        event.m_kind == EventKind::ReplyArrived || event.m_kind == EventKind::AttemptFailed
        || event.m_kind == EventKind::WakeUp || event.m_kind == EventKind::NoticeArrived;
    const TimePoint paused =
        simulation.m_nodes[static_cast<std::size_t>(event.m_node)].m_pausedUntil;
    if (forNode && paused > simulation.m_now) {
        event.m_at = paused;
        addEvent(simulation, std::move(event));
        return;
    }
    switch (event.m_kind) {
    case EventKind::Submit:
        submitNextRequest(simulation);
        break;
    case EventKind::AttemptArrived:
        receiveAttempt(simulation, event);
        break;
    case EventKind::CancelArrived:
        cancelJob(simulation, event);
        break;
    case EventKind::JobFinished:
        finishJob(simulation, event);
        break;
    case EventKind::ReplyArrived:
        withEngine(simulation, event.m_node, [&simulation, &event](QueryEngine &engine) {
            handleAttemptReply(engine, simulation.m_now,
                               simulation.m_targets[event.m_target].m_name, *event.m_reply,
                               simulation.m_actions);
        });
        break;
    case EventKind::AttemptFailed:
        withEngine(simulation, event.m_node, [&simulation, &event](QueryEngine &engine) {
            handleAttemptFailure(engine, simulation.m_now, event.m_attempt,
                                 event.m_serial != 0 ? AttemptFailure::ConnectionLost
                                                     : AttemptFailure::NotSent,
                                 simulation.m_actions);
        });
        break;
    case EventKind::WakeUp:
        withEngine(simulation, event.m_node, [&simulation](QueryEngine &engine) {
            advanceTime(engine, simulation.m_now, simulation.m_actions);
        });
        break;
    case EventKind::Freeze:
        simulation.m_targets.front().m_frozen = true;
        break;
    case EventKind::Restart:
        simulation.m_targets[event.m_target].m_down = false;
        ++simulation.m_targets[event.m_target].m_startNumber;
        break;
    case EventKind::NoticeArrived:
        withEngine(simulation, event.m_node, [&simulation, &event](QueryEngine &engine) {
            observeQuarantine(engine, simulation.m_now, event.m_notice, simulation.m_actions);
        });
        break;
    }
}

void setUpSimulation(Simulation &simulation)
{
    const SimulationOptions &options = simulation.m_options;
    const Settings settings = simulationSettings(options);
    for (const ServiceSettings &service : settings.m_groups.front().m_services) {
        for (const TargetSettings &target : service.m_targets) {
            simulation.m_targetByName.emplace(target.m_name, simulation.m_targets.size());
            simulation.m_targets.emplace_back().m_name = target.m_name;
        }
    }
    simulation.m_targets.front().m_serviceTimeFactor = options.m_stragglerFactor;
    simulation.m_nodes.resize(static_cast<std::size_t>(options.m_nodes));
    for (int node = 0; node < options.m_nodes; ++node) {
        QueryOptions query = options.m_query;
        query.m_node = "node" + std::to_string(node);
        query.m_seed = options.m_seed * 1000 + static_cast<std::uint64_t>(node);
        simulation.m_nodes[static_cast<std::size_t>(node)].m_engine = createQueryEngine(query);
        withEngine(simulation, node, [&simulation, &settings](QueryEngine &engine) {
            invariantCounters(engine).m_observer = [](Invariant invariant,
                                                      std::string_view detail) {
                std::cerr << invariantName(invariant) << ": " << detail << '\n';
            };
            adoptSettings(engine, simulation.m_now, settings, simulation.m_actions);
        });
    }
    if (options.m_freezeAtSeconds >= 0) {
        addEvent(simulation,
                 makeEvent(EventKind::Freeze,
                           simulationStart + milliseconds(options.m_freezeAtSeconds * 1000)));
    }
    simulation.m_nextPoison = simulationStart + std::chrono::seconds(3);
    addEvent(simulation, makeEvent(EventKind::Submit, simulation.m_now));
}

void computeFigures(Simulation &simulation)
{
    SimulationFigures &figures = simulation.m_figures;
    std::uint64_t first = 0;
    std::uint64_t extra = 0;
    std::uint64_t restarted = 0;
    for (const Node &node : simulation.m_nodes) {
        const QueryStatistics &statistics = queryStatistics(*node.m_engine);
        first += statistics.m_firstAttempts;
        extra += statistics.m_hedges + statistics.m_retries;
        restarted += statistics.m_restartAttempts;
        figures.m_violations += totalViolations(invariantCounters(*node.m_engine));
    }
    const double base = static_cast<double>(std::max<std::uint64_t>(first, 1));
    figures.m_extraLoad = static_cast<double>(extra) / base;
    figures.m_restartLoad = static_cast<double>(restarted) / base;
    figures.m_sheds = static_cast<double>(simulation.m_sheds)
                      / static_cast<double>(std::max<std::uint64_t>(simulation.m_attempts, 1));
    for (const std::pair<const std::string, std::uint64_t> &lost : simulation.m_lostByPayload) {
        figures.m_maximumLostToOneRequest =
            std::max(figures.m_maximumLostToOneRequest, lost.second);
    }
    figures.m_p50 = latencyQuantile(simulation.m_latencies, 0.5);
    figures.m_p99 = latencyQuantile(simulation.m_latencies, 0.99);
    figures.m_p999 = latencyQuantile(simulation.m_latencies, 0.999);
    figures.m_urgentP99 = latencyQuantile(simulation.m_urgentLatencies, 0.99);
}

} // namespace

SimulationFigures runSimulation(const SimulationOptions &options)
{
    Simulation simulation;
    simulation.m_options = options;
    simulation.m_random.m_state = options.m_seed;
    setUpSimulation(simulation);
    const TimePoint end =
        simulationStart
        + milliseconds(options.m_durationSeconds * 1000 + options.m_deadlineMilliseconds + 3000);
    while (!simulation.m_events.empty() && simulation.m_events.top().m_at <= end) {
        SimulationEvent event = simulation.m_events.top();
        simulation.m_events.pop();
        simulation.m_now = event.m_at;
        const double now = elapsedSeconds(simulation);
        if (options.m_pauseAtSeconds >= 0 && now >= options.m_pauseAtSeconds
            && now < options.m_pauseAtSeconds + 5) {
            simulation.m_nodes.front().m_pausedUntil =
                simulationStart + milliseconds((options.m_pauseAtSeconds + 5) * 1000);
        }
        processEvent(simulation, std::move(event));
    }
    computeFigures(simulation);
    return simulation.m_figures;
}

} // namespace arbutusgrade
