#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "eventqueue.h"
#include "fakestore.h"
#include "faketarget.h"
#include "query/query.h"
#include "scenario.h"

namespace arbutusgrade::stress {

//! @brief Which faults a run has; drawn from the seed.
struct RunPlan
{
    TargetFaults m_targetFaults;
    bool m_calm = false; //!< No faults at all and load below capacity.
    double m_requestsPerSecond = 150;
    double m_storeLoseReply = 0; //!< Share of store replies lost after the effect.
    double m_storeLoseCall = 0;  //!< Share of store calls lost before the effect.
    bool m_storeOutages = false;
    bool m_nodeKills = false;
    bool m_nodePauses = false;
    bool m_targetCrashes = false;
    bool m_targetFreezes = false;
    bool m_drains = false;
    bool m_versionsMove = false;
    bool m_repartition = false;
    double m_crashingRequests = 0; //!< Share of idempotent requests that crash their targets.
    Duration m_length = Duration(12'000'000);
};

//! @brief What really happened to a request id, whatever the nodes say.
struct RequestTruth
{
    std::string m_kind;
    bool m_idempotent = true;
    bool m_crashing = false;
    int m_executions = 0;
    std::set<CallerId> m_executedSends; //!< Sends of which an attempt started.
    std::set<CallerId> m_refusedSends;  //!< Sends that were refused as not run.
    int m_sends = 0;                    //!< Sends by the caller.
    std::vector<std::string> m_lostTargets;
    TimePoint m_firstLoss;
    TimePoint m_lastLoss;
    std::size_t m_lastLossNode = 0;
    int m_concurrentLosses = 0; //!< From the first loss that a notice could not prevent on.
    int m_orphanedLosses = 0;   //!< By attempts of a node that was killed before.
};

//! @brief One send of a caller, waiting for its answer.
struct OpenCall
{
    CallerRequest m_request;
    std::size_t m_node = 0;
    TimePoint m_start;
    Duration m_timeout;
    int m_sendsLeft = 0;
};

//! @brief A node: the engine under test and the shell around it.
struct SimulatedNode
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    QueryEnginePointer m_engine;
    std::string m_dataCentre;
    TimePoint m_pausedUntil;
    TimePoint m_wakeAt = farFuture;
    std::map<AttemptId, std::string> m_inFlight; //!< Attempt to target.
};

//! @brief Nodes, targets, store and callers of one run.
class RequestWorld
{
public:
    RequestWorld(const RunOptions &options, const RunPlan &plan);
    ~RequestWorld();
    RequestWorld(const RequestWorld &) = delete;
    RequestWorld &operator=(const RequestWorld &) = delete;

    RunResult run();

private:
    void buildSettings();
    void buildTargets();
    void startNode(std::size_t index);
    void killNode(std::size_t index);
    void scheduleFaults();
    void scheduleTargetFaults();
    void repeatFault(Duration meanGap, const std::function<void()> &fault);
    void repartition();
    void moveVersion();
    void scheduleArrival();
    void schedulePolls(std::size_t node, std::uint64_t incarnation);
    void pollTargets(std::size_t node);

    void submitNewRequest();
    void submit(CallerRequest request, int sendsLeft, std::size_t node);
    void abandonCall(CallerId caller);
    void resend(const OpenCall &call);

    using NodeEvent = std::function<void(QueryEngine &, TimePoint, ActionList &)>;
    void deliverToNode(std::size_t index, std::uint64_t incarnation, const NodeEvent &event);
    void performActions(std::size_t index, const ActionList &actions);
    void performSend(std::size_t index, const SendAttempt &send);
    void performStoreCall(std::size_t index, const CallStore &call);
    void performAnswer(const CallerAnswer &answer);
    void shareWithPeers(std::size_t index, const Action &action);
    void scheduleWake(std::size_t index);
    void deliverAttemptResult(const AttemptResult &result, Duration delay);
    void endAttempt(const AttemptResult &result);
    void performCancel(std::size_t index, const CancelAttempt &cancel);
    void releaseConnection(std::size_t node, AttemptId attempt);
    void recordExecution(const TargetWork &work);
    void recordCrash(const TargetWork &work);

    void trace(const std::string &subject, const std::string &line);
    void traceNode(const std::string &line);
    void violate(const std::string &check, const std::string &detail, const std::string &subject);
    bool check(bool condition, const char *name, const std::string &detail,
               const std::string &subject);
    FakeTarget &target(const std::string &name);
    std::size_t pickNode();
    bool chance(double probability);
    void closeEngine(std::size_t index);
    void checkAnswer(const OpenCall &call, const CallerAnswer &answer);
    void checkCoverage(const OpenCall &call, const CallerAnswer &answer);
    void checkEntries(const OpenCall &call, const CallerAnswer &answer);
    void checkExtraLoad();
    std::set<std::string> servicesOf(const std::string &kind, const CallerAnswer &answer) const;

    RunOptions m_options;
    RunPlan m_plan;
    QueryMutant m_mutant = QueryMutant::None;
    RandomGenerator m_random;
    EventQueue m_queue;
    Settings m_settings;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::map<std::string, std::size_t> m_targetIndex;
    std::map<std::string, int> m_connectionLimits;
    std::map<std::string, int> m_connectionsInUse;
    std::vector<SimulatedNode> m_nodes;
    FakeStore m_store;
    TimePoint m_storeDownUntil;
    Duration m_storeDelay{1000};
    std::map<std::string, RequestTruth> m_truth;
    std::map<CallerId, OpenCall> m_open;
    CallerId m_nextCaller = 1;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextWork = 1;
    Snapshot m_newest{1, 1};
    RunResult m_result;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::vector<TimePoint> m_killTimes;
    std::vector<QuarantineNotice> m_notices; //!< Shared so far; what a starting node pulls.
    std::set<std::string> m_firstExecutions; //!< Distinct (request, send, shard).
    std::uint64_t m_executions = 0;
};

//! @brief Translates the name of a mutant of the request path; None if it is unknown.
QueryMutant queryMutant(std::string_view name);

//! @brief Names of all mutants of the request path.
std::span<const std::string_view> queryMutantNames();

} // namespace arbutusgrade::stress
