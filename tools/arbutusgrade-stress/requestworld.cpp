#include "requestworld.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutusgrade::stress {

namespace {

constexpr std::size_t nodeCount = 4;
constexpr std::size_t searchServices = 6;
constexpr std::size_t orderServices = 3;
constexpr int searchSlots = 2;
constexpr int connectionLimit = 12;
constexpr Duration callerPatience = Duration(1'000'000);
constexpr Duration resendDelay = Duration(500'000);
constexpr Duration pollInterval = Duration(2'000'000);
constexpr std::size_t versionsHeld = 2;
constexpr const char *dataCentres[] = {"east", "middle", "west"};

std::string numbered(const std::string &prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

ServiceSettings makeService(const std::string &name, int slots, std::size_t targets)
{
    ServiceSettings service;
    service.m_name = name;
    service.m_slots = slots;
    service.m_connections = connectionLimit;
    for (std::size_t index = 0; index < targets; ++index) {
        TargetSettings target;
        target.m_dataCentre = dataCentres[index % std::size(dataCentres)];
        target.m_name = name + "-" + std::to_string(index + 1);
        service.m_targets.push_back(target);
    }
    return service;
}

KindSettings makeKind(const std::string &name, const std::string &group, AnswerMode mode,
                      int priority, int deadlineMilliseconds)
{
    KindSettings kind;
    kind.m_name = name;
    kind.m_group = group;
    kind.m_mode = mode;
    kind.m_priority = priority;
    kind.m_deadline = Milliseconds(deadlineMilliseconds);
    const bool once = mode == AnswerMode::Once;
    kind.m_hedge = !once;
    kind.m_retries = once ? 0 : 3;
    kind.m_enoughCoverage = mode == AnswerMode::BestByDeadline ? 0.8 : 1.0;
    return kind;
}

} // namespace

RequestWorld::RequestWorld(const RunOptions &options, const RunPlan &plan)
    : m_options(options), m_plan(plan),
      m_mutant(queryMutant(options.m_mutant)), m_random{options.m_seed * 0x9e3779b97f4a7c15ULL + 1}
{
    buildSettings();
    buildTargets();
    m_nodes.resize(nodeCount);
    for (std::size_t index = 0; index < nodeCount; ++index) {
        m_nodes[index].m_name = numbered("node-", index + 1);
        m_nodes[index].m_dataCentre = m_settings.m_nodes[index].m_dataCentre;
        startNode(index);
    }
}

RequestWorld::~RequestWorld() = default;

void RequestWorld::buildSettings()
{
    m_settings.m_firm = "stress";
    m_settings.m_dataCentres.assign(std::begin(dataCentres), std::end(dataCentres));
    for (std::size_t index = 0; index < nodeCount; ++index) {
        NodeSettings node;
        node.m_name = numbered("node-", index + 1);
        node.m_dataCentre = dataCentres[index % std::size(dataCentres)];
        m_settings.m_nodes.push_back(node);
    }
    GroupSettings search;
    search.m_name = "search";
    PartitioningSettings before;
    PartitioningSettings after;
    before.m_epoch = 1;
    after.m_epoch = 2;
    for (std::size_t index = 1; index <= searchServices; ++index) {
        const std::string name = numbered("search-", index);
        search.m_services.push_back(makeService(name, searchSlots, 3));
        after.m_services.push_back(name);
        if (index < searchServices) {
            before.m_services.push_back(name);
        }
    }
    search.m_partitionings = {before, after};
    GroupSettings orders;
    orders.m_name = "orders";
    for (std::size_t index = 1; index <= orderServices; ++index) {
        orders.m_services.push_back(makeService(numbered("orders-", index), searchSlots, 2));
    }
    GroupSettings manuals;
    manuals.m_name = "manuals";
    manuals.m_services.push_back(makeService("manuals-1", 3, 4));
    for (GroupSettings *group : {&orders, &manuals}) {
        PartitioningSettings only;
        for (const ServiceSettings &service : group->m_services) {
            only.m_services.push_back(service.m_name);
        }
        group->m_partitionings = {only};
    }
    m_settings.m_groups = {search, orders, manuals};
    m_settings.m_kinds = {
        makeKind("history", "search", AnswerMode::Complete, 4, 1000),
        makeKind("alarm", "search", AnswerMode::BestByDeadline, 9, 300),
        makeKind("manual", "manuals", AnswerMode::Single, 5, 500),
        makeKind("order", "orders", AnswerMode::Once, 6, 800),
    };
    m_settings.m_store.m_claimsPerSecond = 100;
}

void RequestWorld::buildTargets()
{
    FakeTarget::Hooks hooks;
    hooks.m_started = [this](const TargetWork &work) { recordExecution(work); };
    hooks.m_crashed = [this](const TargetWork &work) { recordCrash(work); };
    hooks.m_deliver = [this](const AttemptResult &result, Duration delay) {
        deliverAttemptResult(result, delay);
    };
    for (const GroupSettings &group : m_settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            for (const TargetSettings &settings : service.m_targets) {
                m_targetIndex[settings.m_name] = m_targets.size();
                m_connectionLimits[settings.m_name] = service.m_connections;
                m_targets.push_back(std::make_unique<FakeTarget>(settings.m_name, service.m_name,
                                                                 service.m_slots, m_queue, m_random,
                                                                 m_plan.m_targetFaults, hooks));
                const bool onlyNewEpoch = service.m_name == numbered("search-", searchServices);
                m_targets.back()->holdSnapshot(onlyNewEpoch ? Snapshot{2, 1} : Snapshot{1, 1},
                                               versionsHeld);
            }
        }
    }
}

FakeTarget &RequestWorld::target(const std::string &name)
{
    return *m_targets[m_targetIndex.at(name)];
}

bool RequestWorld::chance(double probability)
{
    return nextRandomUnit(m_random) < probability;
}

std::size_t RequestWorld::pickNode()
{
    return nextRandomBelow(m_random, m_nodes.size());
}

void RequestWorld::startNode(std::size_t index)
{
    SimulatedNode &node = m_nodes[index];
    ++node.m_incarnation;
    QueryOptions options;
    options.m_node = node.m_name;
    options.m_incarnation = node.m_incarnation;
    options.m_seed = m_options.m_seed + index * 1000 + node.m_incarnation;
    options.m_mutant = m_mutant;
    node.m_engine = createQueryEngine(options);
    node.m_wakeAt = farFuture;
    const std::string name = node.m_name;
    invariantCounters(*node.m_engine).m_observer = [this, name](Invariant invariant,
                                                                std::string_view detail) {
        violate(std::string(invariantName(invariant)), std::string(detail), name);
    };
    Settings settings = m_settings;
    settings.m_site = node.m_dataCentre;
    ActionList actions;
    adoptSettings(*node.m_engine, m_queue.now(), settings, actions);
    performActions(index, actions);
    // A node that boots pulls the state of all targets from a peer before it reports ready.
    pollTargets(index);
    for (const QuarantineNotice &notice : m_notices) {
        observeQuarantine(*node.m_engine, m_queue.now(), notice, actions);
    }
    schedulePolls(index, node.m_incarnation);
    scheduleWake(index);
}

void RequestWorld::closeEngine(std::size_t index)
{
    SimulatedNode &node = m_nodes[index];
    m_result.m_checks += totalChecks(invariantCounters(*node.m_engine));
    for (const std::pair<const AttemptId, std::string> &entry : node.m_inFlight) {
        --m_connectionsInUse[entry.second];
    }
    node.m_inFlight.clear();
    node.m_engine.reset();
}

void RequestWorld::killNode(std::size_t index)
{
    m_killTimes.push_back(m_queue.now());
    closeEngine(index);
    m_nodes[index].m_pausedUntil = TimePoint();
    startNode(index);
}

void RequestWorld::deliverToNode(std::size_t index, std::uint64_t incarnation,
                                 const NodeEvent &event)
{
    SimulatedNode &node = m_nodes[index];
    if (node.m_incarnation != incarnation) {
        return;
    }
    if (node.m_pausedUntil > m_queue.now()) {
        m_queue.schedule(node.m_pausedUntil, [this, index, incarnation, event]() {
            deliverToNode(index, incarnation, event);
        });
        return;
    }
    ActionList actions;
    event(*node.m_engine, m_queue.now(), actions);
    performActions(index, actions);
    scheduleWake(index);
}

void RequestWorld::scheduleWake(std::size_t index)
{
    SimulatedNode &node = m_nodes[index];
    const TimePoint next = nextWakeUp(*node.m_engine);
    if (next == farFuture || next >= node.m_wakeAt) {
        return;
    }
    node.m_wakeAt = next;
    const std::uint64_t incarnation = node.m_incarnation;
    m_queue.schedule(next, [this, index, incarnation]() {
        deliverToNode(index, incarnation,
                      [this, index](QueryEngine &engine, TimePoint now, ActionList &actions) {
                          m_nodes[index].m_wakeAt = farFuture;
                          advanceTime(engine, now, actions);
                      });
    });
}

void RequestWorld::schedulePolls(std::size_t node, std::uint64_t incarnation)
{
    m_queue.schedule(m_queue.now() + pollInterval, [this, node, incarnation]() {
        if (m_nodes[node].m_incarnation != incarnation) {
            return;
        }
        pollTargets(node);
        schedulePolls(node, incarnation);
    });
}

void RequestWorld::pollTargets(std::size_t node)
{
    for (const std::unique_ptr<FakeTarget> &polled : m_targets) {
        TargetObservation observation;
        observation.m_target = polled->name();
        observation.m_reachable = polled->isUp();
        observation.m_startId = polled->startId();
        if (polled->isUp()) {
            observation.m_draining = polled->isDraining();
            observation.m_holdings = polled->holdings();
        }
        deliverToNode(node, m_nodes[node].m_incarnation,
                      [observation](QueryEngine &engine, TimePoint now, ActionList &actions) {
                          observeTarget(engine, now, observation, actions);
                      });
    }
}

void RequestWorld::scheduleArrival()
{
    const double gapSeconds =
        -std::log(1.0 - nextRandomUnit(m_random)) / m_plan.m_requestsPerSecond;
    m_queue.schedule(m_queue.now() + Duration(static_cast<std::int64_t>(gapSeconds * 1e6)),
                     [this]() {
                         submitNewRequest();
                         scheduleArrival();
                     });
}

void RequestWorld::submitNewRequest()
{
    CallerRequest request;
    request.m_requestId = numbered("request-", m_nextRequest);
    ++m_nextRequest;
    const std::size_t kind = nextRandomBelow(m_random, m_settings.m_kinds.size());
    request.m_kind = m_settings.m_kinds[kind].m_name;
    RequestTruth &truth = m_truth[request.m_requestId];
    truth.m_kind = request.m_kind;
    truth.m_idempotent = m_settings.m_kinds[kind].m_mode != AnswerMode::Once;
    truth.m_crashing = truth.m_idempotent && chance(m_plan.m_crashingRequests);
    const std::string payload = R"({"text":")" + request.m_requestId + R"(")"
                                + (truth.m_crashing ? R"(,"crash":true})" : "}");
    request.m_payload = std::make_shared<const std::string>(payload);
    submit(std::move(request), 3, pickNode());
}

void RequestWorld::submit(CallerRequest request, int sendsLeft, std::size_t node)
{
    request.m_caller = m_nextCaller;
    // The trace identity comes back with each attempt and tells for which send it was made.
    request.m_trace.m_traceLow = m_nextCaller;
    ++m_nextCaller;
    RequestTruth &truth = m_truth[request.m_requestId];
    ++truth.m_sends;
    request.m_sendNumber = truth.m_sends;
    OpenCall call;
    call.m_request = request;
    call.m_node = node;
    call.m_start = m_queue.now();
    call.m_sendsLeft = sendsLeft - 1;
    for (const KindSettings &kind : m_settings.m_kinds) {
        if (kind.m_name == request.m_kind) {
            call.m_timeout = kind.m_deadline;
        }
    }
    const CallerId caller = request.m_caller;
    m_open[caller] = call;
    trace(request.m_requestId,
          "send " + std::to_string(request.m_sendNumber) + " to " + m_nodes[node].m_name);
    const std::uint64_t incarnation = m_nodes[node].m_incarnation;
    m_queue.schedule(m_queue.now() + Duration(1000), [this, node, incarnation, request]() {
        deliverToNode(node, incarnation,
                      [request](QueryEngine &engine, TimePoint now, ActionList &actions) {
                          submitRequest(engine, now, request, actions);
                      });
    });
    m_queue.schedule(call.m_start + call.m_timeout + callerPatience,
                     [this, caller]() { abandonCall(caller); });
}

void RequestWorld::abandonCall(CallerId caller)
{
    const std::map<CallerId, OpenCall>::iterator entry = m_open.find(caller);
    if (entry == m_open.end()) {
        return;
    }
    const OpenCall call = entry->second;
    m_open.erase(entry);
    const SimulatedNode &node = m_nodes[call.m_node];
    const bool paused = node.m_pausedUntil >= call.m_start;
    const bool killed = !m_killTimes.empty() && m_killTimes.back() >= call.m_start;
    check(paused || killed, "answer-in-time", "no answer one second after the deadline",
          call.m_request.m_requestId);
    resend(call);
}

void RequestWorld::resend(const OpenCall &call)
{
    if (call.m_sendsLeft == 0) {
        return;
    }
    const CallerRequest request = call.m_request;
    const int sendsLeft = call.m_sendsLeft;
    m_queue.schedule(m_queue.now() + resendDelay,
                     [this, request, sendsLeft]() { submit(request, sendsLeft, pickNode()); });
}

} // namespace arbutusgrade::stress
