#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "details/admission.h"
#include "details/callerrequests.h"
#include "details/crashpublisher.h"
#include "details/decisionlog.h"
#include "details/eratracker.h"
#include "details/membership.h"
#include "details/quotaservice.h"
#include "details/relayedstore.h"
#include "details/storesync.h"
#include "gatewaynode/gatewaynode.h"
#include "transport/transport.h"

namespace arbutusgrade {

struct GatewayNode::Implementation : public ForwardOutput,
                                     public AdmissionOutput,
                                     public std::enable_shared_from_this<Implementation>
{
    Implementation(boost::asio::io_context &context, const GatewaySettings &settings,
                   const DeploymentFormat &format, MetadataStore &store, Log &log,
                   const CoordinationSettings &coordination);

    // ForwardOutput
    void send(const ForwardCommand &command) override;
    void abandon(std::uint64_t attempt) override;
    bool isSent(std::uint64_t attempt) const override;
    void probe(const TargetPointer &target) override;
    void answer(const ForwardAnswer &answer) override;
    void record(const ForwardDecision &decision) override;
    void publishCrash(const CrashReport &report) override;

    // AdmissionOutput
    void forward(TimePoint now, const ForwardRequestPointer &request) override;
    void refuse(const ForwardRequestPointer &request, const QuotaDecision &decision) override;

    std::string start();
    std::string listen(HttpServer &server, const std::string &address, std::uint16_t port);
    void submit(const HttpRequest &request, const HttpResponder &responder);
    void callerDisconnected(std::uint64_t exchange);
    //! @brief Identifies the caller; answers the request and returns false if it is refused.
    bool identifyRequest(const ParsedCallerRequest &parsed);
    void recordCallerPath(const HttpRequest &request);
    void attemptEnded(std::uint64_t attempt, ForwardEnd end, const ReplyContent &content);
    void storeStateChanged();
    void storeEraChanged(std::uint64_t previous, std::uint64_t era);
    void updateEngine(TimePoint now);
    void updateQuotaLimits(TimePoint now);
    void updateNodes(TimePoint now);
    void updateRelays(TimePoint now, std::span<const RegisteredNode> nodes);
    void armEngineTimer();
    void tick();
    void checkForSuspension(TimePoint now);
    bool isReady() const;
    void logReadiness();

    void beginShutdown(std::function<void()> finished);
    void stopAccepting();
    void waitForConnections();
    void endShutdown();
    void logUnansweredRequests();

    MetricFamilies metrics() const;
    void addStoreMetrics(MetricFamilies &families) const;

    boost::asio::io_context &m_context;
    GatewaySettings m_settings;
    DeploymentFormat m_format;
    Log &m_log;
    ForwardEngine m_engine;
    ForwardClient m_client;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    std::shared_ptr<RelayedStore> m_relayedStore;
    EraTracker m_store;
    std::shared_ptr<Membership> m_membership;
    std::shared_ptr<CrashPublisher> m_crashPublisher;
    StoreSync m_storeSync;
    DecisionLog m_decisionLog;
    QuotaService m_quotaService;
    Admission m_admission;
    RoutingTablePointer m_quotaTable;             //!< Whose limits are in force.
    std::optional<std::uint64_t> m_nodesRevision; //!< Of the registrations that are in force.
    int m_nodeCount = 0;
    LatencyMetric m_latency;
    LatencyMetric m_callerRoundTrip;

    struct PendingExchange
    {
        HttpResponder m_responder;
        TimePoint m_arrived;
        std::string m_requestId;
    };
    std::unordered_map<std::uint64_t, PendingExchange> m_pendingExchanges; //!< Keyed by exchange.
    std::string m_attemptBuffer; //!< Reused for all attempts.
    boost::asio::steady_timer m_engineTimer;
    TimePoint m_engineTimerExpiry = farFuture;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_shutdownTimer;
    TimePoint m_lastBootTime;
    TimePoint m_lastSteadyTime;
    std::optional<ShutdownSchedule> m_shutdown; //!< Empty until a planned stop begins.
    std::function<void()> m_shutdownFinished;
    bool m_loggedReady = false;
    bool m_loggedRoundTripUnknown = false;
};

} // namespace arbutusgrade
