#include <algorithm>
#include <ctime>

#include "details/callerrequests.h"
#include "details/nodeimplementation.h"

namespace arbutusgrade {

using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds tickInterval{250};

// The balancer asks once a second and takes a node out after two misses; until then, and a little
// longer, new connections still arrive. The rest of the grace is left for requests in flight.
constexpr std::chrono::milliseconds reservedForRequests{1'700};
constexpr std::chrono::milliseconds endMargin{250};
constexpr std::chrono::milliseconds endCheckInterval{20};

// A steady clock that falls behind the time since boot by this much tells of a suspension.
constexpr Duration suspensionThreshold{300'000};

constexpr std::chrono::milliseconds callerPeerTimeout{20'000};

HttpServerOptions callerOptions(const CallerLimits &limits)
{
    HttpServerOptions options;
    options.m_headerLimitBytes = limits.m_headerBytes;
    options.m_bodyLimitBytes = limits.m_bodyBytes;
    options.m_readTimeout = limits.m_headerTimeout;
    options.m_idleTimeout = limits.m_idleTimeout;
    options.m_peerTimeout = callerPeerTimeout;
    return options;
}

ForwardOptions engineOptions(const GatewaySettings &settings)
{
    ForwardOptions options;
    options.m_dataCentre = settings.m_dataCentre;
    options.m_budget.m_ratio = settings.m_extraArrivalRatio;
    options.m_budget.m_slack = settings.m_extraArrivalSlack;
    options.m_budget.m_window = settings.m_extraArrivalWindow;
    return options;
}

//! @brief Changes gather for a quarter of the time in which they must be in force. A watch that the
//! store forgot in an outage ends early enough for the node to be in step again in time.
StoreFollowerOptions followerOptions(const GatewaySettings &settings)
{
    constexpr int gatherDivisor = 4;
    constexpr std::chrono::milliseconds reconnectTime{1'000};
    constexpr std::chrono::milliseconds shortestWait{500};
    StoreFollowerOptions options;
    options.m_wait = std::max(shortestWait, settings.m_contactBound - reconnectTime);
    options.m_gather = settings.m_changeBound / gatherDivisor;
    return options;
}

//! @brief Where the target listens; the address was checked when the entry was read.
boost::asio::ip::tcp::endpoint endpointOf(const TargetEntry &entry)
{
    error_code ignored;
    return {boost::asio::ip::make_address(entry.m_address, ignored), entry.m_port};
}

HttpResponse problemResponse(int status, std::string_view problem)
{
    HttpResponse response;
    response.m_status = status;
    response.m_body = R"({"error":")" + std::string(problem) + "\"}";
    return response;
}

} // namespace

TimePoint bootTimeNow() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(
        std::chrono::seconds(time.tv_sec)
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

GatewayNode::Implementation::Implementation(boost::asio::io_context &context,
                                            const GatewaySettings &settings,
                                            const DeploymentFormat &format, MetadataStore &store,
                                            Log &log)
    : m_context(context), m_settings(settings), m_format(format), m_log(log),
      m_engine(engineOptions(settings), bootTimeNow(), *this),
      m_client(context, ForwardClientOptions{}), m_callers(context, callerOptions(CallerLimits{})),
      m_readiness(context, HttpServerOptions{}), m_metricsServer(context, HttpServerOptions{}),
      m_membership(std::make_shared<Membership>(context, store, format.m_ownPrefix + "nodes/",
                                                settings.m_node, settings.m_minimumLease)),
      m_sync(context, m_format, store, followerOptions(settings), settings.m_node, m_engine,
             *m_membership, log),
      m_decisions(log), m_latency("arbutusgrade_answer_seconds", "Time to the answer", "outcome"),
      m_timer(context), m_tickTimer(context), m_shutdownTimer(context),
      m_lastBootTime(bootTimeNow()), m_lastSteadyTime(steadyNow())
{
}

std::string GatewayNode::Implementation::start()
{
    m_callers.setFallback([this](const HttpRequest &request, const HttpResponder &responder) {
        submit(request, responder);
    });
    m_callers.setDisconnectHandler([this](std::uint64_t exchange) {
        m_waiting.erase(exchange);
        m_engine.callerGone(bootTimeNow(), exchange);
        armTimer();
    });
    m_readiness.addRoute("GET", m_format.m_readinessPath,
                         [this](const HttpRequest & /*request*/, const HttpResponder &responder) {
                             responder(isReady() ? HttpResponse{200, "{}", "application/json", {}}
                                                 : problemResponse(503, "not ready"));
                         });
    m_metricsServer.addRoute(
        "GET", "/metrics", [this](const HttpRequest & /*request*/, const HttpResponder &respond) {
            respond(
                HttpResponse{200, serializeMetrics(metrics()), "text/plain; version=0.0.4", {}});
        });
    std::string problem =
        listen(m_callers, m_settings.m_callers.m_address, m_settings.m_callers.m_port);
    if (problem.empty()) {
        problem =
            listen(m_readiness, m_settings.m_readiness.m_address, m_settings.m_readiness.m_port);
    }
    if (problem.empty() && m_settings.m_metricsPort != 0) {
        const std::string metricsProblem =
            listen(m_metricsServer, m_settings.m_callers.m_address, m_settings.m_metricsPort);
        if (!metricsProblem.empty()) {
            m_log.write(LogLevel::Warning, "metrics-unavailable", metricsProblem);
        }
    }
    if (!problem.empty()) {
        return problem;
    }
    m_membership->start();
    m_sync.start([this] { knowledgeChanged(); });
    tick();
    return {};
}

std::string GatewayNode::Implementation::listen(HttpServer &server, const std::string &address,
                                                std::uint16_t port)
{
    const error_code error = server.listen(address, port);
    if (!error) {
        return {};
    }
    return "cannot listen at " + address + ":" + std::to_string(port) + ": " + error.message();
}

void GatewayNode::Implementation::submit(const HttpRequest &request, const HttpResponder &responder)
{
    const ParsedCallerRequest parsed = parseCallerRequest(request, m_format.m_headers);
    if (!parsed.m_request) {
        m_log.write(LogLevel::Info, "request-malformed", parsed.m_error);
        responder(problemResponse(400, parsed.m_error));
        return;
    }
    const TimePoint now = bootTimeNow();
    m_waiting[request.m_exchange] = Waiting{responder, now};
    m_engine.submit(now, parsed.m_request);
    armTimer();
}

void GatewayNode::Implementation::send(const ForwardOrder &order)
{
    const TargetEntry &entry = order.m_target->m_entry;
    serializeAttempt(m_text, order, m_format.m_headers);
    ForwardAttempt attempt;
    attempt.m_attempt = order.m_attempt;
    attempt.m_target = entry.m_id;
    attempt.m_endpoint = endpointOf(entry);
    attempt.m_text = m_text;
    attempt.m_idempotent = order.m_idempotent;
    attempt.m_expectNoBody = order.m_request->m_method == "HEAD";
    m_client.send(attempt, [this, id = order.m_attempt](ForwardEnd end, const ReplyContent &reply) {
        attemptEnded(id, end, reply);
    });
}

void GatewayNode::Implementation::attemptEnded(std::uint64_t attempt, ForwardEnd end,
                                               const ReplyContent &content)
{
    TargetReply reply;
    if (end == ForwardEnd::Reply) {
        reply = parseTargetReply(content, m_format.m_headers);
    }
    m_engine.attemptEnded(bootTimeNow(), attempt, end, std::move(reply));
    armTimer();
}

void GatewayNode::Implementation::abandon(std::uint64_t attempt)
{
    m_client.abandon(attempt);
}

void GatewayNode::Implementation::probe(const TargetPointer &target)
{
    m_client.probe(target->m_entry.m_id, endpointOf(target->m_entry),
                   [this, target](bool connected) {
                       m_log.write(LogLevel::Info, "target-probed", "",
                                   {{"target", target->m_entry.m_id}, {"connected", connected}});
                       m_engine.probeEnded(bootTimeNow(), target, connected);
                       armTimer();
                   });
}

void GatewayNode::Implementation::answer(const ForwardAnswer &answer)
{
    const std::unordered_map<std::uint64_t, Waiting>::iterator found =
        m_waiting.find(answer.m_caller);
    if (found == m_waiting.end()) {
        return;
    }
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    const bool success = answer.m_status >= 200 && answer.m_status < 300;
    m_latency.observe(success ? "success" : std::string(answer.m_reason),
                      bootTimeNow() - waiting.m_arrived);
    waiting.m_responder(buildCallerResponse(answer, m_format.m_headers));
}

void GatewayNode::Implementation::record(const ForwardDecision &decision)
{
    m_decisions.record(bootTimeNow(), decision);
}

void GatewayNode::Implementation::shareCrashes(std::uint64_t fingerprint, int crashes)
{
    m_log.write(LogLevel::Warning, "target-crashed", "the request may have caused it",
                {{"fingerprint", fingerprint}, {"crashes", crashes}});
    m_sync.shareCrashes(fingerprint, crashes);
}

void GatewayNode::Implementation::knowledgeChanged()
{
    if (m_engine.routing()) {
        m_callers.setOptions(callerOptions(m_engine.routing()->m_limits));
    }
    refresh(bootTimeNow());
}

void GatewayNode::Implementation::refresh(TimePoint now)
{
    m_engine.setNodeCount(m_membership->nodeCount(now));
    m_engine.registryChanged(now);
    logReadiness();
    armTimer();
}

void GatewayNode::Implementation::armTimer()
{
    const TimePoint next = m_engine.nextTimer();
    if (next >= m_armedFor) {
        return;
    }
    m_armedFor = next;
    m_timer.expires_after(std::max(Duration::zero(), next - bootTimeNow()));
    m_timer.async_wait([this](error_code error) {
        if (error) {
            return;
        }
        m_armedFor = farFuture;
        m_engine.advance(bootTimeNow());
        armTimer();
    });
}

void GatewayNode::Implementation::tick()
{
    const TimePoint now = bootTimeNow();
    noteSuspension(now);
    m_engine.advance(now);
    refresh(now);
    m_decisions.reportDropped(now);
    m_log.flush();
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](error_code error) {
        if (!error) {
            tick();
        }
    });
}

void GatewayNode::Implementation::noteSuspension(TimePoint now)
{
    const TimePoint steady = steadyNow();
    const Duration missed = (now - m_lastBootTime) - (steady - m_lastSteadyTime);
    m_lastBootTime = now;
    m_lastSteadyTime = steady;
    if (missed < suspensionThreshold) {
        return;
    }
    m_log.write(LogLevel::Warning, "suspension-noticed", "connections and registry are renewed",
                {{"milliseconds", missed.count() / 1000}});
    m_client.dropIdle();
    m_sync.restart();
}

bool GatewayNode::Implementation::isReady() const
{
    return m_sync.isComplete() && !m_shuttingDown && !m_engine.isCutOff(bootTimeNow());
}

void GatewayNode::Implementation::logReadiness()
{
    if (isReady() == m_wasReady) {
        return;
    }
    m_wasReady = isReady();
    m_log.write(LogLevel::Info, m_wasReady ? "ready" : "not-ready", "");
}

void GatewayNode::Implementation::beginShutdown(std::function<void()> finished)
{
    if (m_shuttingDown) {
        return;
    }
    m_shuttingDown = true;
    m_shutdownStarted = bootTimeNow();
    m_shutdownFinished = std::move(finished);
    m_log.write(LogLevel::Info, "shutdown-begun", "requests are served on for a while");
    m_callers.announceClose();
    m_shutdownTimer.expires_after(
        std::max(std::chrono::milliseconds(0), m_settings.m_shutdownGrace - reservedForRequests));
    m_shutdownTimer.async_wait([this](error_code error) {
        if (!error) {
            endAccepting();
        }
    });
}

void GatewayNode::Implementation::endAccepting()
{
    m_callers.stopAccepting();
    m_sync.stop();
    m_membership->stop();
    waitForEnd();
}

void GatewayNode::Implementation::waitForEnd()
{
    const bool over = bootTimeNow() - m_shutdownStarted >= m_settings.m_shutdownGrace - endMargin;
    if (m_callers.requestsInFlight() == 0 || over) {
        m_log.write(LogLevel::Info, "shutdown-ended", "",
                    {{"requestsInFlight", m_callers.requestsInFlight()}});
        m_log.flush();
        m_shutdownFinished();
        return;
    }
    m_shutdownTimer.expires_after(endCheckInterval);
    m_shutdownTimer.async_wait([this](error_code error) {
        if (!error) {
            waitForEnd();
        }
    });
}

GatewayNode::GatewayNode(boost::asio::io_context &context, const GatewaySettings &settings,
                         const DeploymentFormat &format, MetadataStore &store, Log &log)
    : m_implementation(std::make_shared<Implementation>(context, settings, format, store, log))
{
}

GatewayNode::~GatewayNode() = default;

std::string GatewayNode::start()
{
    return m_implementation->start();
}

bool GatewayNode::isReady() const
{
    return m_implementation->isReady();
}

void GatewayNode::beginShutdown(std::function<void()> finished)
{
    m_implementation->beginShutdown(std::move(finished));
}

void GatewayNode::settingsChanged(const GatewaySettings &settings)
{
    const bool moved =
        settings.m_callers.m_address != m_implementation->m_settings.m_callers.m_address
        || settings.m_callers.m_port != m_implementation->m_settings.m_callers.m_port;
    m_implementation->m_settings.m_shutdownGrace = settings.m_shutdownGrace;
    m_implementation->m_log.write(LogLevel::Info, "settings-reloaded",
                                  moved ? "the new addresses need a restart" : "");
}

} // namespace arbutusgrade
