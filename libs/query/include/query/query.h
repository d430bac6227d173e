#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "claims/claims.h"
#include "settings/settings.h"
#include "shutdown/shutdown.h"
#include "targets/targets.h"

//! @brief Request path of a node as a deterministic state machine that turns events into actions.
//!
//! The engine performs no input or output and reads no clock. All functions must be called from one
//! thread. The I/O layer performs the actions in order and passes the results back.
namespace arbutusgrade {

//! @brief Identifies an attempt; unique within one incarnation of the node.
using AttemptId = std::uint64_t;

//! @brief Identifies a store call; unique within one incarnation of the node.
using StoreCallId = std::uint64_t;

//! @brief Identifies the caller's request in the I/O layer; never reused.
using CallerId = std::uint64_t;

//! @brief W3C trace context of a request; all zero if there is none.
struct TraceContext
{
    std::uint64_t m_traceHigh = 0;
    std::uint64_t m_traceLow = 0;
    std::uint64_t m_parentSpan = 0;
    bool m_sampled = false;
};

//! @brief A validated request of a caller.
struct CallerRequest
{
    CallerId m_caller = 0;
    std::string m_requestId; //!< Chosen by the caller; the same on each re-send.
    std::string m_kind;
    std::string m_service; //!< Single and Once only; empty selects by hash of the request id.
    std::optional<Duration> m_timeout;            //!< Upper limit is the kind's deadline.
    int m_sendNumber = 1;                         //!< 1 on the first send, higher on re-sends.
    std::shared_ptr<const std::string> m_payload; //!< JSON text, opaque to the core.
    TraceContext m_trace;
    std::string m_team;
};

//! @brief Final state of a request as reported to the caller.
enum class Outcome { Complete, Partial, NotRun, OutcomeUnknown, Failed };

//! @brief Why a shard is lacking, or why a request was refused or failed.
enum class Reason {
    None,
    Deadline,
    NoReplica,
    SnapshotGone,
    Overload,
    TargetError,
    Quarantined,
    StoreUnavailable,
    RequestIdReused, //!< Same request id with another payload.
    InProgress,      //!< Another send of the same request id holds the claim.
    UnknownKind,
    UnknownService,
    ShuttingDown,
    QuotaExceeded,
};

//! @brief Returns the name used in answers, for example "outcome-unknown" or "no-replica".
std::string_view outcomeName(Outcome outcome) noexcept;
std::string_view reasonName(Reason reason) noexcept;

//! @brief One lacking shard of an answer.
struct LackingShard
{
    std::string m_service;
    Reason m_reason = Reason::None;
};

//! @brief Result of one merged shard.
struct ShardResult
{
    std::string m_service;
    std::string m_entries; //!< JSON array text from the target.
};

//! @brief The answer to one request.
struct CallerAnswer
{
    CallerId m_caller = 0;
    std::string m_requestId;
    Outcome m_outcome = Outcome::Failed;
    Reason m_reason = Reason::None;
    std::optional<Snapshot> m_snapshot;
    std::vector<ShardResult> m_included;
    std::vector<LackingShard> m_lacking;
    TraceContext m_trace;
};

//! @brief How a target ended an attempt.
enum class AttemptStatus {
    Ok,
    Shed,         //!< Refused before start.
    Draining,     //!< Refused before start because the target is leaving.
    SnapshotGone, //!< Refused before start; the reply lists the snapshots held.
    Error,        //!< Started and failed.
};

//! @brief Well-formed reply of a target; owns its data.
struct AttemptReply
{
    AttemptId m_attempt = 0;
    std::string m_requestId; //!< As echoed by the target.
    std::string m_service;   //!< As echoed by the target.
    AttemptStatus m_status = AttemptStatus::Error;
    Snapshot m_snapshot;
    std::vector<Snapshot> m_holdings;
    std::optional<TargetLoad> m_load;
    bool m_draining = false;
    std::string m_startId; //!< Changes at each start of the target.
    std::string m_entries; //!< JSON array text.
};

//! @brief Why an attempt has no reply.
enum class AttemptFailure {
    NotSent,        //!< No byte of the request left this node.
    ConnectionLost, //!< The connection ended after bytes had left.
    BadReply,       //!< The reply was malformed or did not match.
};

//! @brief Reply of the store to one call.
struct StoreReply
{
    StoreCallId m_call = 0;
    StoreStatus m_status = StoreStatus::Unavailable;
    std::string m_value;         //!< Current value on Ok reads and on Conflict.
    std::int64_t m_revision = 0; //!< Revision of the key; 0 if it does not exist.
};

//! @brief Sends the request of an attempt to a target.
struct SendAttempt
{
    AttemptId m_attempt = 0;
    std::string m_target; //!< Name in the settings, which also hold the address.
    std::string m_service;
    std::string m_requestId;
    std::optional<Snapshot> m_snapshot; //!< Empty where the target may choose (Once and Single).
    TimePoint m_deadline;
    bool m_idempotent = true;
    std::shared_ptr<const std::string> m_payload;
    TraceContext m_trace; //!< Parent of the target's span is the span of this attempt.
};

//! @brief Tells a target that the result of an attempt is no longer needed. Best effort.
//!
//! The attempt counts against the share of connections until the I/O layer reports its reply or
//! failure, for at most 200 ms. The I/O layer reports any end within 150 ms, and otherwise closes
//! the connection without a report.
struct CancelAttempt
{
    AttemptId m_attempt = 0;
    std::string m_target;
};

//! @brief Operation on the store.
enum class StoreOperation { Get, CompareAndSwap };

struct CallStore
{
    StoreCallId m_call = 0;
    StoreOperation m_operation = StoreOperation::Get;
    std::string m_key;
    std::string m_value;
    std::int64_t m_expectedRevision = 0; //!< 0 creates the key.
    bool m_leased = false; //!< The store deletes the key when the node's claim lease expires.
    TimePoint m_deadline;
};

//! @brief Sends the answer to the caller; exactly one for each submitted request.
struct AnswerCaller
{
    CallerAnswer m_answer;
};

//! @brief A finished span: a request, an attempt or a store call.
struct RecordSpan
{
    TraceContext m_trace;
    std::uint64_t m_span = 0;
    std::string m_name;
    std::string m_peer; //!< Target, or empty.
    TimePoint m_start;
    TimePoint m_end;
    bool m_exportAlways = false; //!< Slow or incomplete; exported regardless of sampling.
    std::string m_status;
};

//! @brief Announces immediately to the peers that a target is draining.
struct AnnounceDrain
{
    std::string m_target;
};

//! @brief Announces immediately to the peers that a request crashed a target.
struct AnnounceQuarantine
{
    QuarantineNotice m_notice;
};

using Action = std::variant<SendAttempt, CancelAttempt, CallStore, AnswerCaller, RecordSpan,
                            AnnounceDrain, AnnounceQuarantine>;
using ActionList = std::vector<Action>;

//! @brief Deliberate faults that verify that tests and stress runs detect them. None in production.
enum class QueryMutant {
    None,
    MergeAnySnapshot,
    RetryNonIdempotent,
    IgnoreDrain,
    CountShardTwice,
    CoverageFromPlan,
    AcceptCrossedReply,
    ClaimNotNeeded,
    ClaimLostMeansHeld,
    NotRunAfterSend,
    UnlimitedHedges,
    IgnoreConnectionShare,
    NoQuarantine,
    RetryWithoutBudget, //!< Retries ignore the budget and saturation, as in a retry storm.
    ReleaseAfterSend,   //!< A claim is released although the request may have run.
    SendAfterDeadline,  //!< The deadline is not checked before a claimed request is sent.
    LoseQueuedRequest,  //!< A request evicted from the queue gets no answer.
};

struct QueryOptions
{
    std::string m_node; //!< Name of this node.
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_seed = 1;
    SlotPolicy m_slotPolicy = SlotPolicy::Adaptive;
    QueryMutant m_mutant = QueryMutant::None;
    //! Sends a payload that no target has executed yet to at most two targets first. Without this,
    //! a request that crashes targets can crash one target for each shard.
    bool m_probePayloads = true;
};

//! @brief Counters since start, exported as metrics.
struct QueryStatistics
{
    std::uint64_t m_requests = 0;
    std::uint64_t m_answers = 0;
    std::array<std::uint64_t, 5> m_outcomes{}; //!< By Outcome.
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_restarts = 0;        //!< Requests restarted on another snapshot.
    std::uint64_t m_restartAttempts = 0; //!< Attempts repeated because of restarts.
    std::uint64_t m_cancels = 0;
    std::uint64_t m_ejections = 0;
    std::uint64_t m_pauses = 0;
    std::uint64_t m_evictions = 0;      //!< Requests refused from the end of a queue.
    std::uint64_t m_budgetDenials = 0;  //!< Hedges and retries not sent for lack of budget.
    std::uint64_t m_droppedReplies = 0; //!< Late, mismatched or duplicate replies.
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_queued = 0;   //!< Gauge: sub-requests in queues.
    std::uint64_t m_inFlight = 0; //!< Gauge: attempts in flight.
};

//! @brief State of a target as seen by this node, for status pages.
struct TargetView
{
    std::string m_target;
    std::string m_service;
    bool m_draining = false;
    bool m_ejected = false;
    int m_inFlight = 0;
    int m_limit = 0;
    int m_connectionShare = 0;
    Duration m_latencyP95{0};
};

//! @brief State of the request path of one node; the definition is private to the library.
struct QueryEngine;

struct QueryEngineDeleter
{
    void operator()(QueryEngine *engine) const noexcept;
};

using QueryEnginePointer = std::unique_ptr<QueryEngine, QueryEngineDeleter>;

//! @brief Creates an engine without settings; it refuses all requests until adoptSettings is
//! called.
QueryEnginePointer createQueryEngine(const QueryOptions &options);

//! @brief Applies settings. Keeps the state of targets that remain and the requests in flight.
void adoptSettings(QueryEngine &engine, TimePoint now, const Settings &settings,
                   ActionList &actions);

//! @brief Submits a request. It is answered by exactly one AnswerCaller, possibly immediately.
void submitRequest(QueryEngine &engine, TimePoint now, const CallerRequest &request,
                   ActionList &actions);

//! @brief Processes a reply that the I/O layer received from the named target.
void handleAttemptReply(QueryEngine &engine, TimePoint now, std::string_view target,
                        const AttemptReply &reply, ActionList &actions);

//! @brief Processes the end of an attempt without a reply.
void handleAttemptFailure(QueryEngine &engine, TimePoint now, AttemptId attempt,
                          AttemptFailure failure, ActionList &actions);

//! @brief Processes the result of a store call.
void handleStoreReply(QueryEngine &engine, TimePoint now, const StoreReply &reply,
                      ActionList &actions);

//! @brief Processes the state of a target reported by a probe, the VM list or a peer.
void observeTarget(QueryEngine &engine, TimePoint now, const TargetObservation &observation,
                   ActionList &actions);

//! @brief Processes a quarantine notice of a peer.
void observeQuarantine(QueryEngine &engine, TimePoint now, const QuarantineNotice &notice,
                       ActionList &actions);

//! @brief Runs all timers that are due. Detects pauses by the gap since the last call.
void advanceTime(QueryEngine &engine, TimePoint now, ActionList &actions);

//! @brief Time of the next timer, or farFuture.
TimePoint nextWakeUp(const QueryEngine &engine);

//! @brief Ends every request by the time at which the process can still send its answer.
//!
//! Requests keep their own deadlines where these are earlier. One that nothing was sent for is
//! refused as not run as soon as it cannot be expected to end in time, also if it arrives later.
void limitByShutdown(QueryEngine &engine, TimePoint now, const ShutdownSchedule &schedule,
                     ActionList &actions);

//! @brief Refuses all further requests; requests in flight complete normally.
void beginShutdown(QueryEngine &engine);

//! @brief Number of requests not yet answered.
std::size_t requestsInFlight(const QueryEngine &engine);

//! @brief Number of store calls without a reply. They may record or release the claim of a request
//! that was answered.
std::size_t storeCallsInFlight(const QueryEngine &engine);

const QueryStatistics &queryStatistics(const QueryEngine &engine);
InvariantCounters &invariantCounters(QueryEngine &engine);
std::vector<TargetView> targetViews(const QueryEngine &engine);

//! @brief Unexpired quarantine notices, for a peer that has just started.
std::vector<QuarantineNotice> quarantineNotices(const QueryEngine &engine, TimePoint now);

} // namespace arbutusgrade
