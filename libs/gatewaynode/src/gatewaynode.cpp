#include <algorithm>
#include <ctime>

#include "details/callerrequests.h"
#include "details/errorresponse.h"
#include "details/nodeimplementation.h"
#include "details/nodeoptions.h"

namespace arbutusgrade {

using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds tickInterval{250};

// The VM counts as suspended if the steady clock falls behind the time since boot by this much.
constexpr Duration suspensionThreshold = std::chrono::milliseconds(300);

constexpr int quotaExceededStatus = 429;

//! @brief Endpoint of the target. The address is known to be valid, as the entry was decoded.
boost::asio::ip::tcp::endpoint endpointOf(const TargetEntry &entry)
{
    error_code ignored;
    return {boost::asio::ip::make_address(entry.m_address, ignored), entry.m_port};
}

//! @brief Names the connections to the process of a target. A process that starts under the id of
//! another one gets no requests over the connections of that one.
std::string connectionKey(const TargetEntry &entry)
{
    return entry.m_id + '@' + entry.m_address + ':' + std::to_string(entry.m_port) + '/'
           + std::to_string(entry.m_started);
}

std::string crashPrefix(const DeploymentFormat &format)
{
    return format.m_writablePrefix + "crashes/";
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
                                            Log &log, const CoordinationSettings &coordination)
    : m_context(context), m_settings(settings), m_format(format), m_log(log),
      m_engine(engineOptions(settings, coordination), bootTimeNow(), *this),
      m_client(context, ForwardClientOptions{}),
      m_callerServer(context, callerOptions(CallerLimits{})),
      m_readinessServer(context, HttpServerOptions{}),
      m_metricsServer(context, HttpServerOptions{}),
      m_relayedStore(std::make_shared<RelayedStore>(
          context, store, relayOptions(settings, format, coordination), log)),
      m_store(*m_relayedStore, [this](std::uint64_t previous,
                                      std::uint64_t era) { storeEraChanged(previous, era); }),
      m_membership(std::make_shared<Membership>(
          context, m_store, format.m_writablePrefix + "nodes/", settings.m_node,
          settings.m_minimumLease, ownRegistration(settings, coordination))),
      m_crashPublisher(std::make_shared<CrashPublisher>(context, m_store, crashPrefix(format),
                                                        settings.m_minimumLease, log)),
      m_storeSync(context, m_format, m_store, watcherOptions(settings), crashPrefix(format),
                  m_engine, *m_membership, log),
      m_decisionLog(log),
      m_quotaService(context, settings.m_node, coordination, log,
                     [this](TimePoint now, std::uint64_t request, const QuotaDecision &decision) {
                         m_admission.decided(now, request, decision);
                     }),
      m_admission(m_quotaService, *this),
      m_latency("arbutusgrade_answer_seconds", "Time to the answer", "outcome"),
      m_callerRoundTrip("arbutusgrade_caller_round_trip_seconds",
                        "Round trip time to callers, for each connection", "source"),
      m_engineTimer(context), m_tickTimer(context), m_shutdownTimer(context),
      m_lastBootTime(bootTimeNow()), m_lastSteadyTime(steadyNow())
{
}

std::string GatewayNode::Implementation::start()
{
    m_callerServer.setFallback([this](const HttpRequest &request, const HttpResponder &responder) {
        submit(request, responder);
    });
    m_callerServer.setDisconnectHandler(
        [this](std::uint64_t exchange) { callerDisconnected(exchange); });
    m_readinessServer.addRoute(
        "GET", m_format.m_readinessPath,
        [this](const HttpRequest & /*request*/, const HttpResponder &responder) {
            responder(isReady() ? HttpResponse{200, "{}", "application/json", {}}
                                : errorResponse(503, "not ready"));
        });
    m_metricsServer.addRoute(
        "GET", "/metrics", [this](const HttpRequest & /*request*/, const HttpResponder &respond) {
            respond(
                HttpResponse{200, serializeMetrics(metrics()), "text/plain; version=0.0.4", {}});
        });
    std::string startError =
        listen(m_callerServer, m_settings.m_callers.m_address, m_settings.m_callers.m_port);
    if (startError.empty()) {
        startError = listen(m_readinessServer, m_settings.m_readiness.m_address,
                            m_settings.m_readiness.m_port);
    }
    if (startError.empty() && m_settings.m_metricsPort != 0) {
        const std::string metricsError =
            listen(m_metricsServer, m_settings.m_callers.m_address, m_settings.m_metricsPort);
        if (!metricsError.empty()) {
            m_log.write(LogLevel::Warning, "metrics-unavailable", metricsError);
        }
    }
    if (!startError.empty()) {
        return startError;
    }
    m_relayedStore->start();
    m_membership->start();
    m_storeSync.start([this] { storeStateChanged(); });
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
    const ParsedCallerRequest parsed =
        parseCallerRequest(request, m_format.m_headers, m_engine.routing());
    if (!parsed.m_request) {
        m_log.write(LogLevel::Info, "request-malformed", parsed.m_error);
        responder(errorResponse(400, parsed.m_error));
        return;
    }
    recordCallerPath(request);
    const TimePoint now = bootTimeNow();
    m_pendingExchanges[request.m_exchange] =
        PendingExchange{responder, now, parsed.m_request->m_requestId};
    if (identifyRequest(parsed)) {
        m_admission.submit(now, parsed.m_request);
    }
    armEngineTimer();
}

bool GatewayNode::Implementation::identifyRequest(const ParsedCallerRequest &parsed)
{
    const std::optional<ForwardRefusal> refusal = authorizeRequest(parsed, m_format.m_headers);
    if (refusal) {
        m_engine.refuse(parsed.m_request, *refusal);
    }
    return !refusal;
}

void GatewayNode::Implementation::forward(TimePoint now, const ForwardRequestPointer &request)
{
    m_engine.submit(now, request);
    armEngineTimer();
}

void GatewayNode::Implementation::refuse(const ForwardRequestPointer &request,
                                         const QuotaDecision &decision)
{
    ForwardRefusal refusal;
    refusal.m_retryAfter = decision.m_retryAfter;
    refusal.m_coordinator = decision.m_coordinator;
    if (decision.m_verdict == QuotaVerdict::Exhausted) {
        refusal.m_kind = AnswerKind::QuotaExceeded;
        refusal.m_status = quotaExceededStatus;
        refusal.m_reason = "quota-exhausted";
    } else {
        refusal.m_reason = "quota-undecided";
    }
    m_engine.refuse(request, refusal);
}

void GatewayNode::Implementation::callerDisconnected(std::uint64_t exchange)
{
    m_pendingExchanges.erase(exchange);
    if (m_admission.callerDisconnected(exchange)) {
        return;
    }
    m_engine.callerDisconnected(bootTimeNow(), exchange);
    armEngineTimer();
}

void GatewayNode::Implementation::recordCallerPath(const HttpRequest &request)
{
    if (request.m_isFirst) {
        m_callerRoundTrip.observe(request.m_roundTrip ? "measured" : "default",
                                  callerPath(request).m_roundTrip);
    }
    if (!request.m_roundTrip && !m_loggedRoundTripUnknown) {
        m_loggedRoundTripUnknown = true;
        m_log.write(LogLevel::Warning, "caller-round-trip-unknown",
                    "the system does not tell the round trip time to a caller; a default is used",
                    {{"milliseconds", defaultCallerRoundTrip.count() / 1000}});
    }
}

void GatewayNode::Implementation::send(const ForwardCommand &command)
{
    const TargetEntry &entry = command.m_target->m_entry;
    serializeAttempt(m_attemptBuffer, command, m_format.m_headers);
    ForwardAttempt attempt;
    attempt.m_attempt = command.m_attempt;
    attempt.m_target = connectionKey(entry);
    attempt.m_endpoint = endpointOf(entry);
    attempt.m_text = m_attemptBuffer;
    attempt.m_idempotent = command.m_idempotent;
    attempt.m_expectNoBody = command.m_request->m_method == "HEAD";
    attempt.m_needsNewConnection = command.m_needsNewConnection;
    m_client.send(attempt,
                  [this, id = command.m_attempt](ForwardEnd end, const ReplyContent &reply) {
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
    armEngineTimer();
}

void GatewayNode::Implementation::abandon(std::uint64_t attempt)
{
    m_client.abandon(attempt);
}

bool GatewayNode::Implementation::isSent(std::uint64_t attempt) const
{
    return m_client.isSent(attempt);
}

void GatewayNode::Implementation::probe(const TargetPointer &target)
{
    m_client.probe(connectionKey(target->m_entry), endpointOf(target->m_entry),
                   [this, target](bool connected) {
                       m_log.write(LogLevel::Info, "target-probed", "",
                                   {{"target", target->m_entry.m_id}, {"connected", connected}});
                       m_engine.probeEnded(bootTimeNow(), target, connected);
                       armEngineTimer();
                   });
}

void GatewayNode::Implementation::answer(const ForwardAnswer &answer)
{
    m_admission.answered(bootTimeNow(), answer.m_caller, answer.m_kind);
    const std::unordered_map<std::uint64_t, PendingExchange>::iterator found =
        m_pendingExchanges.find(answer.m_caller);
    if (found == m_pendingExchanges.end()) {
        return;
    }
    const PendingExchange exchange = std::move(found->second);
    m_pendingExchanges.erase(found);
    const bool success = answer.m_status >= 200 && answer.m_status < 300;
    m_latency.observe(success ? "success" : std::string(answer.m_reason),
                      bootTimeNow() - exchange.m_arrived);
    exchange.m_responder(buildCallerResponse(answer, m_format.m_headers));
}

void GatewayNode::Implementation::record(const ForwardDecision &decision)
{
    m_decisionLog.record(bootTimeNow(), decision);
}

void GatewayNode::Implementation::publishCrash(const CrashReport &report)
{
    const boost::json::object fields{{"fingerprint", report.m_fingerprint},
                                     {"process", report.m_process},
                                     {"crashes", report.m_crashes}};
    if (report.m_crashes == 0) {
        m_log.write(LogLevel::Info, "crash-cleared",
                    "a target has answered the request, so it does not crash targets", fields);
    } else {
        m_log.write(LogLevel::Warning, "target-crashed", "the request may have crashed the target",
                    fields);
    }
    m_crashPublisher->publish(report);
}

void GatewayNode::Implementation::storeStateChanged()
{
    if (m_engine.routing()) {
        m_callerServer.setOptions(callerOptions(m_engine.routing()->m_limits));
    }
    const TimePoint now = bootTimeNow();
    updateQuotaLimits(now);
    updateEngine(now);
}

void GatewayNode::Implementation::updateQuotaLimits(TimePoint now)
{
    if (m_engine.routing() == m_quotaTable) {
        return;
    }
    m_quotaTable = m_engine.routing();
    m_quotaService.setLimits(now, quotaLimits(*m_quotaTable));
}

void GatewayNode::Implementation::updateNodes(TimePoint now)
{
    const int count = m_membership->quotaShareCount(now);
    if (m_nodesRevision == m_membership->revision() && m_nodeCount == count) {
        return;
    }
    m_nodesRevision = m_membership->revision();
    m_nodeCount = count;
    const std::vector<RegisteredNode> linkedNodes = m_membership->linkedNodes();
    m_engine.setNodes(m_membership->nodeNames());
    m_quotaService.setNodes(now, linkedNodes, count);
    updateRelays(now, linkedNodes);
}

void GatewayNode::Implementation::storeEraChanged(std::uint64_t previous, std::uint64_t era)
{
    m_log.write(LogLevel::Warning, "store-era-changed",
                "the store was restored from a copy; it is read again, and this node's keys are "
                "written again",
                {{"previous", previous}, {"era", era}});
    m_relayedStore->storeEraChanged();
    m_storeSync.storeEraChanged();
    m_membership->storeEraChanged();
    m_crashPublisher->storeEraChanged();
}

void GatewayNode::Implementation::updateEngine(TimePoint now)
{
    m_engine.setNodeCount(m_membership->nodeCount(now));
    updateNodes(now);
    m_engine.registryChanged(now);
    logReadiness();
    armEngineTimer();
}

void GatewayNode::Implementation::updateRelays(TimePoint now, std::span<const RegisteredNode> nodes)
{
    const bool wasRelay = m_relayedStore->isRelay();
    m_relayedStore->setRegisteredNodes(now, nodes);
    if (m_relayedStore->isRelay() != wasRelay) {
        m_storeSync.setWatchOptions(wasRelay ? watcherOptions(m_settings)
                                             : relayWatcherOptions(m_settings));
    }
}

void GatewayNode::Implementation::armEngineTimer()
{
    const TimePoint next = m_engine.nextTimer();
    if (next >= m_engineTimerExpiry) {
        return;
    }
    m_engineTimerExpiry = next;
    m_engineTimer.expires_after(std::max(Duration::zero(), next - bootTimeNow()));
    m_engineTimer.async_wait([this](error_code error) {
        if (error) {
            return;
        }
        m_engineTimerExpiry = farFuture;
        m_engine.advance(bootTimeNow());
        armEngineTimer();
    });
}

void GatewayNode::Implementation::tick()
{
    // Armed first, so that an exception below does not end the ticks.
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](error_code error) {
        if (!error) {
            tick();
        }
    });
    const TimePoint now = bootTimeNow();
    checkForSuspension(now);
    m_engine.advance(now);
    m_quotaService.advance(now);
    updateEngine(now);
    m_decisionLog.reportDropped(now);
    m_log.flush();
}

void GatewayNode::Implementation::checkForSuspension(TimePoint now)
{
    const TimePoint steady = steadyNow();
    const Duration suspendedTime = (now - m_lastBootTime) - (steady - m_lastSteadyTime);
    m_lastBootTime = now;
    m_lastSteadyTime = steady;
    if (suspendedTime < suspensionThreshold) {
        return;
    }
    m_log.write(LogLevel::Warning, "suspension-noticed",
                "the VM was suspended; idle connections are closed and the store is read again",
                {{"milliseconds", suspendedTime.count() / 1000}});
    m_client.dropIdle();
    m_storeSync.restart();
}

bool GatewayNode::Implementation::isReady() const
{
    const TimePoint now = bootTimeNow();
    return m_storeSync.isComplete() && !m_shutdown && m_quotaService.isSettled(now)
           && !m_engine.isIsolated(now);
}

void GatewayNode::Implementation::logReadiness()
{
    if (isReady() == m_loggedReady) {
        return;
    }
    m_loggedReady = isReady();
    m_log.write(LogLevel::Info, m_loggedReady ? "ready" : "not-ready", "");
}

GatewayNode::GatewayNode(boost::asio::io_context &context, const GatewaySettings &settings,
                         const DeploymentFormat &format, MetadataStore &store, Log &log,
                         const CoordinationSettings &coordination)
    : m_implementation(
        std::make_shared<Implementation>(context, settings, format, store, log, coordination))
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

void GatewayNode::applyChangedSettings(const GatewaySettings &settings)
{
    const bool addressChanged =
        settings.m_callers.m_address != m_implementation->m_settings.m_callers.m_address
        || settings.m_callers.m_port != m_implementation->m_settings.m_callers.m_port;
    m_implementation->m_settings.m_shutdownGrace = settings.m_shutdownGrace;
    m_implementation->m_log.write(
        LogLevel::Info, "settings-reloaded",
        addressChanged ? "the new listen address takes effect after a restart" : "");
}

} // namespace arbutusgrade
