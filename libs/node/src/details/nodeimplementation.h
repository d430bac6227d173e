#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "details/targetwatch.h"
#include "node/node.h"

namespace arbutusgrade {

//! @brief A caller that waits for its answer.
struct WaitingCaller
{
    HttpResponder m_responder;
    std::string m_kind;
    TimePoint m_arrived;
};

struct NodeShell::Implementation
{
    Implementation(asio::io_context &context, const NodeOptions &options, Log &log);

    //! @brief Runs an event of the engine at the current time and performs the actions.
    template <typename Event> void feed(Event event)
    {
        event(enter());
        performActions();
    }

    // Request path (nodeshell.cpp)
    TimePoint enter();
    void advance(TimePoint now);
    void performActions();
    void perform(const SendAttempt &action);
    void perform(const CancelAttempt &action);
    void perform(const CallStore &action);
    void perform(const AnswerCaller &action);
    void perform(const RecordSpan &action);
    void perform(const AnnounceDrain &action);
    void perform(const AnnounceQuarantine &action);
    void armTimer();
    void submit(const HttpRequest &request, const HttpResponder &responder);
    TraceContext traceOf(const HttpRequest &request);
    TargetClientEvents targetEvents();

    // Settings and life cycle (lifecycle.cpp)
    bool adopt(const Settings &settings, std::int64_t revision);
    void updateTargets();
    std::string start();
    void beginShutdown(std::function<void()> finished);
    void endAccepting();
    void waitForEnd();
    void endShutdown();
    void logUnansweredCallers();

    // Status pages (statuspages.cpp)
    void addStatusRoutes();
    std::vector<std::string> unreadyReasons() const;
    std::optional<std::string> unconfiguredReason() const;
    boost::json::object status() const;
    MetricFamilies metrics();

    asio::io_context &m_context;
    NodeOptions m_options;
    Log &m_log;
    QueryEnginePointer m_engine;
    RandomGenerator m_random;
    Settings m_settings;
    NodeSettings m_self;
    std::int64_t m_revision = -1;
    TimePoint m_started;

    HttpServer m_server;
    TargetClient m_targets;
    StoreClient m_store;
    TargetWatch m_targetWatch;
    asio::steady_timer m_timer;
    TimePoint m_timerArmed = farFuture;
    TimePoint m_lastAdvance;

    ActionList m_actions;
    bool m_performing = false;
    CallerId m_lastCaller = 0;
    std::unordered_map<CallerId, WaitingCaller> m_callers;
    LatencyMetric m_answerLatency;

    std::vector<std::unique_ptr<NodeService>> m_services;
    std::vector<std::function<void(const AnnounceDrain &)>> m_drainListeners;
    std::vector<std::function<void(const AnnounceQuarantine &)>> m_quarantineListeners;
    std::function<std::optional<std::string>(std::string_view)> m_teamRule;
    std::function<bool(const std::string &)> m_quotaRule;

    bool m_running = false;
    std::optional<ShutdownSchedule> m_shutdown; //!< Of the planned stop that has begun.
    std::function<void()> m_shutdownFinished;
    asio::steady_timer m_shutdownTimer;
};

} // namespace arbutusgrade
