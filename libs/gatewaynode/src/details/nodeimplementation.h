#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "details/decisionlog.h"
#include "details/membership.h"
#include "details/storesync.h"
#include "gatewaynode/gatewaynode.h"
#include "transport/transport.h"

namespace arbutusgrade {

struct GatewayNode::Implementation : public ForwardOutput,
                                     public std::enable_shared_from_this<Implementation>
{
    Implementation(boost::asio::io_context &context, const GatewaySettings &settings,
                   const DeploymentFormat &format, MetadataStore &store, Log &log);

    // Orders of the engine
    void send(const ForwardOrder &order) override;
    void abandon(std::uint64_t attempt) override;
    void probe(const TargetPointer &target) override;
    void answer(const ForwardAnswer &answer) override;
    void record(const ForwardDecision &decision) override;
    void shareCrashes(std::uint64_t fingerprint, int crashes) override;

    std::string start();
    std::string listen(HttpServer &server, const std::string &address, std::uint16_t port);
    void submit(const HttpRequest &request, const HttpResponder &responder);
    void attemptEnded(std::uint64_t attempt, ForwardEnd end, const ReplyContent &content);
    void knowledgeChanged();
    void refresh(TimePoint now);
    void armTimer();
    void tick();
    void noteSuspension(TimePoint now);
    bool isReady() const;
    void logReadiness();

    void beginShutdown(std::function<void()> finished);
    void endAccepting();
    void waitForEnd();

    MetricFamilies metrics() const;

    boost::asio::io_context &m_context;
    GatewaySettings m_settings;
    DeploymentFormat m_format;
    Log &m_log;
    ForwardEngine m_engine;
    ForwardClient m_client;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    std::shared_ptr<Membership> m_membership;
    StoreSync m_sync;
    DecisionLog m_decisions;
    LatencyMetric m_latency;

    struct Waiting
    {
        HttpResponder m_responder;
        TimePoint m_arrived;
    };
    std::unordered_map<std::uint64_t, Waiting> m_waiting; //!< By exchange.
    std::string m_text;                                   //!< Reused for each attempt.
    boost::asio::steady_timer m_timer;
    TimePoint m_armedFor = farFuture;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_shutdownTimer;
    TimePoint m_lastBootTime;
    TimePoint m_lastSteadyTime;
    TimePoint m_shutdownStarted;
    std::function<void()> m_shutdownFinished;
    bool m_shuttingDown = false;
    bool m_wasReady = false;
};

} // namespace arbutusgrade
