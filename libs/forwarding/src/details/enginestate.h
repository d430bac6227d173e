#pragma once

#include <queue>

#include "details/subrequestqueue.h"
#include "forwarding/forwarding.h"

namespace arbutusgrade {

//! @brief Latency statistics of one route, for hedge delays and for rating targets.
struct RouteLatency
{
    LatencyHistogram m_histogram;
    int m_samplesSinceUpdate = 0;
    Duration m_typicalLatency{0};  //!< Median; an estimate until there are enough samples.
    Duration m_slowLatency{0};     //!< High quantile; the latency target until there are samples.
    Duration m_hedgeDelay{0};      //!< Delay before a hedge.
    Duration m_maximumTimeLeft{0}; //!< Longest time to deadline seen on this route.
};

using RouteLatencyPointer = std::shared_ptr<RouteLatency>;

//! @brief What is kept of a route from version to version, as long as its name means the same.
struct RouteState
{
    RouteLatencyPointer m_latency;      //!< Shared with the requests in flight.
    std::vector<double> m_splitCredits; //!< Of selectWeightedService().
};

struct ServiceState
{
    std::string m_name;
    RetryBudget m_budget;
    TimePoint m_lastRequestAt;
    Duration m_requestInterval{0}; //!< Smoothed time between requests; zero before the second one.
    SubrequestQueue m_queue;
};

enum class SubrequestState { Queued, Sent, Succeeded, Failed };

//! @brief The part of a request that is sent to one service.
struct Subrequest
{
    ServiceState *m_service = nullptr;
    SubrequestState m_state = SubrequestState::Queued;
    std::vector<std::string> m_triedTargetIds; //!< In order of attempts.
    std::size_t m_repeatableTargets =
        0; //!< How many of the first tried targets may be tried again.
    TimePoint m_lastSentAt;
    int m_attemptCount = 0;
    int m_attemptsInFlight = 0;   //!< Attempts that have not ended.
    int m_possibleDeliveries = 0; //!< Attempts that may have reached a target.
    int m_possibleExecutions = 0; //!< Attempts that a target may have run.
    TargetReply m_reply;          //!< Successful reply, or the last error reply of a target.
    bool m_hasErrorReply = false;
    bool m_retryDelayed = false;      //!< A retry has waited for the budget or a target.
    std::string_view m_failureReason; //!< Of the last failed attempt.
};

//! @brief A request that has not been answered yet.
struct PendingRequest
{
    std::uint64_t m_id = 0;
    ForwardRequestPointer m_request;
    RoutingTablePointer m_routingTable;
    const Route *m_route = nullptr;
    RouteLatencyPointer m_routeLatency;
    TimePoint m_arrivedAt;
    TimePoint m_ownDeadline;     //!< By the caller's time and the route.
    TimePoint m_deadline;        //!< Earlier than the own one in a planned stop.
    TimePoint m_refuseAt;        //!< When a request that no target may have run is refused.
    TimePoint m_partialAnswerAt; //!< When a search is answered even if shards are missing.
    std::vector<Subrequest> m_subrequests;
    std::size_t m_succeededCount = 0;
    std::size_t m_failedCount = 0;
    bool m_stragglerCheckDone = false; //!< Hedges for straggling shards are scheduled.
};

//! @brief An attempt that has been sent and has not ended.
struct Attempt
{
    std::uint64_t m_pendingId = 0; //!< 0 once detached from its request.
    std::size_t m_subrequestIndex = 0;
    TargetPointer m_target;
    ServiceState *m_service = nullptr;
    RouteLatencyPointer m_routeLatency;
    TimePoint m_sentAt;
    ForwardRequestPointer m_request;
};

enum class TimerKind {
    Hedge,
    Retry,
    QueueTimeout,
    PartialAnswer,
    Deadline,
    DetachedTimeout,
    Probe,
    ShareCrashes
};

struct Timer
{
    TimePoint m_firesAt;
    TimerKind m_kind = TimerKind::Deadline;
    std::uint64_t m_id = 0; //!< Id of the request; for DetachedTimeout, of the attempt.
    std::size_t m_subrequestIndex = 0;

    //! @brief Reversed, so that the priority queue returns the earliest timer first.
    bool operator<(const Timer &other) const
    {
        return m_firesAt > other.m_firesAt;
    }
};

//! @brief Reason for an attempt.
enum class AttemptReason { First, Hedge, Retry };

enum class SendResult { Sent, NoTarget, NoBudget };

struct ForwardEngine::Implementation
{
    Implementation(const ForwardOptions &options, TimePoint now, ForwardOutput &output)
        : m_options(options), m_startedAt(now), m_output(output)
    {
        m_registry.m_node = options.m_node;
        m_registry.m_drainBound = options.m_drainBound;
    }

    // Submission and timers (engine.cpp)
    void submit(TimePoint now, const ForwardRequestPointer &request);
    void startRequest(TimePoint now, const ForwardRequestPointer &request, const Route &route);
    std::unique_ptr<PendingRequest> createPendingRequest(TimePoint now,
                                                         const ForwardRequestPointer &request,
                                                         const Route &route);
    void assignServices(PendingRequest &pending);
    //! @brief Refuses a request that cannot be served, or not before a planned stop.
    //! @return true if it was refused.
    bool refuseIfUnservable(TimePoint now, const PendingRequest &pending);
    void refuseRequest(const ForwardRequest &request, const ForwardRefusal &refusal);
    const RoutingTablePointer &routingTableOf(const ForwardRequest &request) const;
    void beginShutdown(TimePoint now, const ShutdownSchedule &schedule);
    void limitToShutdown(PendingRequest &pending);
    RequestEstimate estimateRequest(TimePoint now, const PendingRequest &pending) const;
    bool outlastsShutdown(TimePoint now, const PendingRequest &pending) const;
    bool acceptsInShutdown(TimePoint now, const PendingRequest &pending);
    void callerDisconnected(TimePoint now, std::uint64_t caller);
    //! @brief Cancels the attempts of a request that are in flight and not detached.
    void abandonAttempts(TimePoint now, std::uint64_t id);
    void advance(TimePoint now);
    void handleTimer(TimePoint now, const Timer &timer);
    void addTimer(TimePoint at, TimerKind kind, std::uint64_t id, std::size_t subrequestIndex = 0);
    ServiceState &serviceState(const std::string &name);

    // Reachability (reachability.cpp)
    //! @brief Returns the time until enough targets accept requests for the request: zero if they
    //! do now, empty if that is not known.
    std::optional<Duration> timeUntilServable(TimePoint now, const PendingRequest &pending) const;
    std::optional<Duration> timeUntilReachable(TimePoint now, const std::string &service) const;
    bool isServiceReachable(TimePoint now, const std::string &service) const;
    bool hasEvacuatedTarget(const std::string &service) const;
    bool isAffectedByEvacuation(const Route &route, const ServiceState *singleService) const;
    void probeDownTargets(TimePoint now);
    void recordConnectFailure(TimePoint now, Target &target);
    void recordRemoteContact(TimePoint now, const Target &target, bool connected);
    bool isIsolated(TimePoint now) const;

    // What targets say of themselves (targetnotices.cpp)
    //! @brief Heeds what a reply says of the process that sent it.
    //! @param isOtherProcess the reply is of another process at the address of the attempt's
    //! target.
    void recordNotices(TimePoint now, const Attempt &attempt, const TargetReply &reply,
                       bool isOtherProcess);
    //! @brief Logs a notice, and refuses what waits for the target's service if no target is left.
    void recordNotice(TimePoint now, const Attempt &attempt, const Target &target,
                      std::string_view event);

    // Crashes of targets (crashattribution.cpp)
    void recordLostRequest(TimePoint now, const Attempt &attempt);
    void recordCrashes(TimePoint now, Target &target);
    void clearRequest(TimePoint now, std::uint64_t fingerprint);
    void shareCrashes(TimePoint now);

    // State of routes (routestate.cpp)
    //! @brief Forgets what was kept of routes that the table does not have, or has with another
    //! meaning.
    void forgetChangedRoutes(const RoutingTable &next);
    RouteLatencyPointer routeLatency(const RoutingTable &table, const Route &route);
    std::size_t selectService(const RoutingTable &table, const Route &route);

    // Attempts (attempts.cpp)
    void recordRequest(TimePoint now, const PendingRequest &pending, ServiceState &service) const;
    void startSubrequest(TimePoint now, PendingRequest &pending, std::size_t index);
    void queueSubrequest(TimePoint now, PendingRequest &pending, std::size_t index);
    //! @brief Returns whether the entry is expected to wait longer than its request may wait.
    bool exceedsQueueTime(TimePoint now, const PendingRequest &pending, std::size_t index,
                          const QueuedSubrequest &entry) const;
    //! @brief Attempts that this node may have in flight at the available targets together.
    int availableSlots(TimePoint now, const PendingRequest &pending,
                       const ServiceState &service) const;
    void removeFromQueues(const PendingRequest &pending);
    TargetCriteria targetCriteria(const PendingRequest &pending, const Subrequest &subrequest,
                                  AttemptReason reason) const;
    //! @brief Counts an extra attempt, unless the budget has none left.
    bool takeFromBudget(TimePoint now, const PendingRequest &pending, ServiceState &service);
    //! @brief Records an attempt that is about to be sent.
    //! @return its id.
    std::uint64_t registerAttempt(TimePoint now, PendingRequest &pending, std::size_t index,
                                  const TargetPointer &target);
    SendResult sendAttempt(TimePoint now, PendingRequest &pending, std::size_t index,
                           AttemptReason reason);
    //! @brief Returns whether a request of a higher priority is queued for the service.
    static bool moreUrgentWaits(const PendingRequest &pending, const ServiceState &service);
    void sendHedge(TimePoint now, PendingRequest &pending, std::size_t index);
    void scheduleStragglerHedges(TimePoint now, PendingRequest &pending);
    void sendRetry(TimePoint now, PendingRequest &pending, std::size_t index);
    bool canRetry(const PendingRequest &pending, const Subrequest &subrequest) const;
    void dispatchQueue(TimePoint now, ServiceState &service);
    void failUnreachableQueue(TimePoint now, ServiceState &service);
    std::optional<WarmupCriteria> warmupCriteria(const PendingRequest &pending,
                                                 const ServiceState &service) const;
    int inFlightLimit(const PendingRequest &pending, const ServiceState &service) const;
    void detachAttempts(TimePoint now, std::uint64_t pendingId,
                        std::optional<std::size_t> subrequestIndex);
    //! @brief Detaches the attempts that have been sent, so that their ends still show whether they
    //! crash their targets. A target may run them whether or not their connections are closed.
    void detachSentAttempts(TimePoint now, std::uint64_t pendingId);
    void detachAttempt(TimePoint now, std::uint64_t id, Attempt &attempt);
    void cancelDetachedAttempt(TimePoint now, std::uint64_t attempt);

    // Results and answers (outcomes.cpp)
    void attemptEnded(TimePoint now, std::uint64_t id, ForwardEnd end, TargetReply reply);
    void subrequestSucceeded(TimePoint now, PendingRequest &pending, std::size_t index,
                             TargetReply reply);
    void subrequestAttemptFailed(TimePoint now, PendingRequest &pending, std::size_t index);
    void failSubrequest(TimePoint now, PendingRequest &pending, std::size_t index,
                        std::string_view reason);
    void answerIfReady(TimePoint now, PendingRequest &pending);
    void answerSingle(TimePoint now, PendingRequest &pending);
    void answerSearch(TimePoint now, PendingRequest &pending);
    void logUnansweredSubrequests(TimePoint now, const PendingRequest &pending) const;
    void answerAtDeadline(TimePoint now, PendingRequest &pending);
    void failRequest(TimePoint now, PendingRequest &pending, bool timedOut);
    void sendAnswer(TimePoint now, PendingRequest &pending, ForwardAnswer answer);
    void logDecision(TimePoint now, const PendingRequest &pending, std::size_t subrequestIndex,
                     std::string_view event, std::string_view reason, std::string_view target,
                     int status, std::optional<Duration> sinceSent = std::nullopt) const;

    PendingRequest *findPendingRequest(std::uint64_t id);

    ForwardOptions m_options;
    TimePoint m_startedAt;
    std::optional<ShutdownSchedule> m_shutdown; //!< Empty until a planned stop begins.
    ForwardOutput &m_output;
    RoutingTablePointer m_routingTable;
    std::vector<std::string> m_nodes; //!< Names of all nodes.
    TargetRegistry m_registry;
    CrashTable m_crashes;
    ForwardStatistics m_statistics;
    std::unordered_map<std::string, std::unique_ptr<ServiceState>> m_services;
    std::unordered_map<std::string, RouteState> m_routeStates; //!< By the name of the route.
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>> m_pendingRequests;
    std::unordered_map<std::uint64_t, std::uint64_t> m_pendingIdByCaller;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::priority_queue<Timer> m_timers;
    TimePoint m_lastRemoteContact;   //!< Last contact with a target in another data centre.
    int m_remoteConnectFailures = 0; //!< Failed connections to such targets since then.
    TimePoint m_unreachableUntil;    //!< End of the period after a refusal for lack of targets.
    std::uint64_t m_lastId = 0;      //!< Of requests and attempts.
};

//! @brief Statistics of a route on which nothing was measured yet.
RouteLatency initialRouteLatency(const Route &route);

//! @brief Adds the latency of a successful attempt to the statistics of its route.
void recordRouteLatency(RouteLatency &statistics, Duration latency);

//! @brief Priority of the request: that of its organisation, otherwise that of its route.
int priorityOf(const PendingRequest &pending);

//! @brief Returns whether a target has replied to a single request with an error, which is a final
//! answer. The parts of a search are never relayed.
bool hasReplyToRelay(const PendingRequest &pending);

//! @brief Returns whether the number of shards included is enough for a success.
bool hasEnoughShards(const Route &route, std::size_t included);

} // namespace arbutusgrade
