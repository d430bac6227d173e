#include <algorithm>

#include <boost/json/serialize.hpp>

#include "details/answers.h"
#include "details/callerrequest.h"
#include "details/nodeimplementation.h"

namespace arbutusgrade {

namespace {

// Timers run at least this often, so that a pause of the process shows as a gap.
constexpr Duration tickInterval{100'000};

// After a longer gap the timers run before any other event, because a pause may have let deadlines
// and leases pass.
constexpr Duration pauseCheckGap{500'000};

QueryOptions queryOptions(const NodeOptions &options)
{
    QueryOptions result;
    result.m_node = options.m_node;
    result.m_incarnation = options.m_incarnation;
    result.m_seed = options.m_seed;
    return result;
}

} // namespace

NodeShell::Implementation::Implementation(asio::io_context &context, const NodeOptions &options,
                                          Log &log)
    : m_context(context), m_options(options), m_log(log),
      m_engine(createQueryEngine(queryOptions(options))), m_random{options.m_seed},
      m_started(steadyNow()), m_server(context, options.m_server),
      m_targets(context, options.m_targetClient, targetEvents(), invariantCounters(*m_engine)),
      m_store(context, StoreClientOptions{}),
      m_targetWatch(m_targets, m_store, options.m_probeInterval, options.m_vmListInterval,
                    options.m_seed),
      m_timer(context), m_lastAdvance(m_started),
      m_answerLatency("arbutusgrade_answer_seconds", "Time from a request's arrival to its answer.",
                      "kind"),
      m_shutdownTimer(context)
{
    invariantCounters(*m_engine).m_observer = [this](Invariant invariant, std::string_view detail) {
        m_log.write(LogLevel::Error, "invariant-violated", detail,
                    {{"invariant", invariantName(invariant)}});
    };
    m_targetWatch.addObserver([this](const TargetObservation &observation) {
        feed([&](TimePoint now) {
            arbutusgrade::observeTarget(*m_engine, now, observation, m_actions);
        });
    });
    m_server.addRoute("POST", "/v1/query",
                      [this](const HttpRequest &request, const HttpResponder &responder) {
                          submit(request, responder);
                      });
    addStatusRoutes();
}

TargetClientEvents NodeShell::Implementation::targetEvents()
{
    TargetClientEvents events;
    events.m_reply = [this](std::string_view target, const AttemptReply &reply) {
        feed([&](TimePoint now) { handleAttemptReply(*m_engine, now, target, reply, m_actions); });
    };
    events.m_failure = [this](AttemptId attempt, AttemptFailure failure) {
        feed([&](TimePoint now) {
            handleAttemptFailure(*m_engine, now, attempt, failure, m_actions);
        });
    };
    return events;
}

TimePoint NodeShell::Implementation::enter()
{
    const TimePoint now = steadyNow();
    if (now - m_lastAdvance > pauseCheckGap) {
        advance(now);
    }
    return now;
}

void NodeShell::Implementation::advance(TimePoint now)
{
    const bool tickDue = now - m_lastAdvance >= tickInterval;
    if (tickDue) {
        m_lastAdvance = now;
    }
    advanceTime(*m_engine, now, m_actions);
    if (!tickDue || !m_running) {
        return;
    }
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->tick(now);
    }
    m_targetWatch.tick(now);
}

void NodeShell::Implementation::performActions()
{
    // An action may lead to further events at once; their actions are appended to the list.
    if (m_performing) {
        return;
    }
    m_performing = true;
    for (std::size_t index = 0; index < m_actions.size(); ++index) {
        const Action action = std::move(m_actions[index]);
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
    m_actions.clear();
    m_performing = false;
    armTimer();
}

void NodeShell::Implementation::perform(const SendAttempt &action)
{
    m_targets.send(action);
}

void NodeShell::Implementation::perform(const CancelAttempt &action)
{
    m_targets.cancel(action);
}

void NodeShell::Implementation::perform(const CallStore &action)
{
    m_store.call(action, [this](const StoreReply &reply) {
        feed([&](TimePoint now) { handleStoreReply(*m_engine, now, reply, m_actions); });
    });
}

void NodeShell::Implementation::perform(const AnswerCaller &action)
{
    const std::unordered_map<CallerId, WaitingCaller>::iterator entry =
        m_callers.find(action.m_answer.m_caller);
    if (entry == m_callers.end()) {
        m_log.write(LogLevel::Error, "answer-without-caller", "no caller waits for this answer");
        return;
    }
    const WaitingCaller caller = std::move(entry->second);
    m_callers.erase(entry);
    // Callers may send any text as kind; only configured ones may become label values.
    const bool known = action.m_answer.m_reason != Reason::UnknownKind;
    m_answerLatency.observe(known ? caller.m_kind : "unknown", steadyNow() - caller.m_arrived);
    caller.m_responder(formatAnswer(action.m_answer));
}

void NodeShell::Implementation::perform(const RecordSpan &action)
{
    writeSpan(m_log, action);
}

void NodeShell::Implementation::perform(const AnnounceDrain &action)
{
    m_log.write(LogLevel::Info, "target-draining", "a target is leaving",
                {{"target", action.m_target}});
    for (const std::function<void(const AnnounceDrain &)> &listener : m_drainListeners) {
        listener(action);
    }
}

void NodeShell::Implementation::perform(const AnnounceQuarantine &action)
{
    m_log.write(LogLevel::Warning, "request-quarantined",
                "requests with this fingerprint lost several targets",
                {{"fingerprint", std::to_string(action.m_notice.m_fingerprint)},
                 {"lostTargets", action.m_notice.m_lostTargets}});
    for (const std::function<void(const AnnounceQuarantine &)> &listener : m_quarantineListeners) {
        listener(action);
    }
}

void NodeShell::Implementation::armTimer()
{
    const TimePoint next = std::min(nextWakeUp(*m_engine), m_lastAdvance + tickInterval);
    // A timer that is armed for an earlier time stays; it arms the next one when it fires.
    if (!m_running || next >= m_timerArmed) {
        return;
    }
    m_timerArmed = next;
    m_timer.expires_at(next);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        m_timerArmed = farFuture;
        advance(steadyNow());
        performActions();
    });
}

void NodeShell::Implementation::submit(const HttpRequest &request, const HttpResponder &responder)
{
    // Before the configuration in force is known, an answer could follow one that was replaced.
    if (const std::optional<std::string> reason = unconfiguredReason()) {
        HttpResponse response;
        response.m_status = 503;
        response.m_body = boost::json::serialize(
            boost::json::object{{"error", "the node is not ready: " + *reason}});
        responder(std::move(response));
        return;
    }
    std::optional<std::string> team = std::string();
    if (m_teamRule) {
        team = m_teamRule(request.header("X-Team-Token"));
    }
    if (!team) {
        HttpResponse response;
        response.m_status = 401;
        response.m_body = R"({"error":"the team token is unknown"})";
        responder(std::move(response));
        return;
    }
    CallerRequest parsed;
    const std::vector<RequestFinding> findings = parseCallerRequest(request.m_body, parsed);
    if (!findings.empty()) {
        responder(findingsResponse(findings));
        return;
    }
    if (m_quotaRule && !m_quotaRule(*team)) {
        CallerAnswer answer;
        answer.m_requestId = parsed.m_requestId;
        answer.m_outcome = parsed.m_sendNumber <= 1 ? Outcome::NotRun : Outcome::OutcomeUnknown;
        answer.m_reason = Reason::QuotaExceeded;
        responder(formatAnswer(answer));
        return;
    }
    parsed.m_caller = ++m_lastCaller;
    parsed.m_team = *team;
    parsed.m_trace = traceOf(request);
    feed([&](TimePoint now) {
        m_callers.emplace(parsed.m_caller, WaitingCaller{responder, parsed.m_kind, now});
        submitRequest(*m_engine, now, parsed, m_actions);
    });
}

std::optional<std::string> NodeShell::Implementation::unconfiguredReason() const
{
    for (const std::unique_ptr<NodeService> &service : m_services) {
        if (std::optional<std::string> reason = service->unreadyReason()) {
            return reason;
        }
    }
    return std::nullopt;
}

TraceContext NodeShell::Implementation::traceOf(const HttpRequest &request)
{
    if (const std::optional<TraceContext> trace = parseTraceparent(request.header("traceparent"))) {
        return *trace;
    }
    TraceContext trace;
    trace.m_traceHigh = nextRandom(m_random);
    trace.m_traceLow = nextRandom(m_random);
    trace.m_sampled = nextRandomUnit(m_random) < m_settings.m_spanSampleRate;
    return trace;
}

// Public interface -------------------------------------------------------------------------------

NodeShell::NodeShell(asio::io_context &context, const NodeOptions &options, Log &log)
    : m_implementation(std::make_unique<Implementation>(context, options, log))
{
}

NodeShell::~NodeShell() = default;

void NodeShell::addService(std::unique_ptr<NodeService> service)
{
    m_implementation->m_services.push_back(std::move(service));
}

bool NodeShell::adoptSettings(const Settings &settings, std::int64_t revision)
{
    return m_implementation->adopt(settings, revision);
}

std::string NodeShell::start()
{
    return m_implementation->start();
}

void NodeShell::beginShutdown(std::function<void()> finished)
{
    m_implementation->beginShutdown(std::move(finished));
}

void NodeShell::observeTarget(const TargetObservation &observation)
{
    m_implementation->feed([&](TimePoint now) {
        arbutusgrade::observeTarget(*m_implementation->m_engine, now, observation,
                                    m_implementation->m_actions);
    });
}

void NodeShell::observeQuarantine(const QuarantineNotice &notice)
{
    m_implementation->feed([&](TimePoint now) {
        arbutusgrade::observeQuarantine(*m_implementation->m_engine, now, notice,
                                        m_implementation->m_actions);
    });
}

void NodeShell::addDrainListener(std::function<void(const AnnounceDrain &)> listener)
{
    m_implementation->m_drainListeners.push_back(std::move(listener));
}

void NodeShell::addQuarantineListener(std::function<void(const AnnounceQuarantine &)> listener)
{
    m_implementation->m_quarantineListeners.push_back(std::move(listener));
}

void NodeShell::addProbeListener(std::function<void(const TargetObservation &)> listener)
{
    m_implementation->m_targetWatch.addObserver(std::move(listener));
}

void NodeShell::setProberRule(std::function<bool(const TargetSettings &)> rule)
{
    m_implementation->m_targetWatch.setProberRule(std::move(rule));
}

void NodeShell::setVmListRule(std::function<bool()> rule)
{
    m_implementation->m_targetWatch.setVmListRule(std::move(rule));
}

void NodeShell::setTeamRule(std::function<std::optional<std::string>(std::string_view)> rule)
{
    m_implementation->m_teamRule = std::move(rule);
}

void NodeShell::setQuotaRule(std::function<bool(const std::string &team)> rule)
{
    m_implementation->m_quotaRule = std::move(rule);
}

const Settings &NodeShell::settings() const
{
    return m_implementation->m_settings;
}

std::int64_t NodeShell::revision() const
{
    return m_implementation->m_revision;
}

const NodeSettings &NodeShell::self() const
{
    return m_implementation->m_self;
}

std::uint64_t NodeShell::incarnation() const
{
    return m_implementation->m_options.m_incarnation;
}

bool NodeShell::isShuttingDown() const
{
    return m_implementation->m_shutdown.has_value();
}

HttpServer &NodeShell::server()
{
    return m_implementation->m_server;
}

StoreClient &NodeShell::store()
{
    return m_implementation->m_store;
}

InvariantCounters &NodeShell::invariants()
{
    return invariantCounters(*m_implementation->m_engine);
}

Log &NodeShell::log()
{
    return m_implementation->m_log;
}

asio::io_context &NodeShell::context()
{
    return m_implementation->m_context;
}

} // namespace arbutusgrade
