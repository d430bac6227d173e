#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "query/query.h"

//! @brief State of the request path of one node. Private to the library.
namespace arbutusgrade {

//! @brief Identifies a request in the engine: a slot and a serial number that is never reused.
using RequestKey = std::uint64_t;

//! @brief Index of a sub-request in Request::m_shards.
using ShardIndex = std::uint32_t;

//! The low bits of a key hold the slot, the others the serial number. This gives 4 million slots,
//! and serial numbers for 3 years at 41,000 attempts per second.
inline constexpr unsigned slotBits = 22;
inline constexpr std::uint64_t slotMask = (std::uint64_t{1} << slotBits) - 1;

//! The first attempt and up to two hedges.
inline constexpr std::size_t attemptsPerShard = 3;

enum class ShardState : std::uint8_t {
    AwaitingProbe, //!< Waits until the payload is known not to crash targets.
    Queued,        //!< Waits for capacity at a target.
    InFlight,      //!< At least one attempt is in flight.
    RetryPending,  //!< Waits for the back-off before a retry.
    Merged,
    Lacking,
};

//! @brief The part of a request for one shard.
struct SubRequest
{
    ServiceIndex m_service = noIndex;
    ShardState m_state = ShardState::AwaitingProbe;
    Reason m_reason = Reason::None; //!< Of the last failure.
    std::uint8_t m_failures = 0;    //!< Attempts that failed after a target may have started them.
    std::uint8_t m_refusals = 0;    //!< Attempts that ended before the target started them.
    std::uint8_t m_attemptsSent = 0;
    std::uint64_t m_triedTargets =
        0; //!< Bit set of the ordinals of targets that were sent an attempt.
    std::array<AttemptId, attemptsPerShard> m_attempts{};
    std::uint64_t m_queueSequence = 0; //!< 0 if not queued.
    std::string m_entries;
};

//! @brief The claim of a once request and its pending store call.
struct OnceState
{
    Claim m_claim;
    std::string m_key;
    StoreCallId m_pendingCall = 0; //!< 0 if none.
    TimePoint m_callStartedAt;
    bool m_settled = false; //!< The outcome is final or the release of the claim has begun.
};

struct Request
{
    RequestKey m_key = 0; //!< 0 if the slot is free.
    CallerRequest m_caller;
    std::uint32_t m_kind = 0;
    GroupIndex m_group = noIndex;
    AnswerMode m_mode = AnswerMode::Complete;
    int m_priority = 0;
    TimePoint m_submittedAt;
    TimePoint m_deadline;
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_span = 0;
    std::optional<Snapshot> m_snapshot;
    std::vector<SubRequest> m_shards;
    std::uint32_t m_openShards = 0; //!< Shards neither merged nor lacking.
    std::uint32_t m_mergedShards = 0;
    std::uint32_t m_awaitingProbe = 0; //!< Shards in state AwaitingProbe.
    std::uint32_t m_attemptsSent = 0;
    std::uint32_t m_possiblyRun = 0; //!< Attempts that a target may have executed.
    int m_restarts = 0;
    bool m_answered = false;
    bool m_payloadProbeExpired = false; //!< Shards no longer wait for the payload probe.
    bool m_earlyAnswerScheduled = false;
    bool m_limitedByShutdown = false; //!< The deadline is the end of a planned stop.
    std::unique_ptr<OnceState> m_once;
};

//! @brief Why an attempt is sent.
enum class AttemptRole : std::uint8_t { First, Restarted, Retry, Hedge, Trial };

struct Attempt
{
    AttemptId m_id = 0; //!< 0 if the slot is free.
    RequestKey m_request = 0;
    ShardIndex m_shard = 0;
    TargetIndex m_target = noIndex;
    TimePoint m_sentAt;
    std::uint64_t m_fingerprint = 0;
    AttemptRole m_role = AttemptRole::First;
    bool m_trial = false;         //!< Tests whether an ejected target has recovered.
    bool m_exclusive = false;     //!< The target is reserved for this attempt.
    bool m_probesPayload = false; //!< Sent while the fingerprint was not known to be safe.
    bool m_cancelled = false;     //!< The result is discarded; the connection is still in use.
};

//! @brief A sub-request that waits for capacity. Sorts by priority, deadline and arrival.
struct QueueEntry
{
    int m_priority = 0;
    TimePoint m_deadline;
    std::uint64_t m_sequence = 0;
    RequestKey m_request = 0;
    ShardIndex m_shard = 0;

    bool operator<(const QueueEntry &other) const noexcept
    {
        if (m_priority != other.m_priority) {
            return m_priority > other.m_priority;
        }
        if (m_deadline != other.m_deadline) {
            return m_deadline < other.m_deadline;
        }
        return m_sequence < other.m_sequence;
    }
};

inline constexpr std::size_t priorityCount = 10;

struct ServiceQueue
{
    std::set<QueueEntry> m_entries;
    std::array<std::uint32_t, priorityCount> m_countByPriority{};
    bool m_retryScheduled = false;
};

//! @brief Token buckets that limit the hedges, retries and restarts of one group.
struct RetryTokenBucket
{
    double m_tokens = 0;
    double m_tokenCapacity = 0;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_extraAttempts = 0; //!< Hedges and retries.
    TimePoint m_windowStart;
    std::uint64_t m_windowAttempts = 0;
    double m_restartTokens = 0; //!< May be negative after a restart of many shards.
    std::uint64_t m_restartAttempts = 0;
};

//! @brief Number of services of a snapshot's epoch that have a usable replica that may hold it.
struct SnapshotCoverage
{
    Snapshot m_snapshot;
    std::size_t m_coveredServices = 0;
    std::size_t m_totalServices = 0;
    ServiceIndex m_lastService = noIndex;
};

//! @brief Per-group state of the engine; parallel to TargetTable::m_groups.
struct GroupRuntime
{
    RetryTokenBucket m_retryBudget;
    double m_saturation = 0; //!< Moving average share of sub-requests without capacity.
    LatencyEstimate m_latencies;
    std::uint64_t m_snapshotsRevision = 0;
    std::vector<SnapshotCoverage> m_snapshots; //!< Newest first.
    std::optional<Snapshot> m_chosenSnapshot;
};

struct KindState
{
    KindSettings m_settings;
    GroupIndex m_group = noIndex;
    LatencyEstimate m_latencies; //!< Of whole requests that were passed on.
};

enum class TimerKind : std::uint8_t {
    RequestDeadline,
    ShutdownRefusal,
    EarlyAnswer,
    PayloadProbeTimeout,
    RetryShard,
    HedgeCheck,
    AttemptTimeout,
    QueueRetry,
    SubmitDeferredRequests,
    SendDelayedAnswers,
    ClaimRetry,
    RequestRetention,
    Housekeeping,
};

struct Timer
{
    TimePoint m_dueAt;
    std::uint64_t m_sequence = 0;
    TimerKind m_kind = TimerKind::Housekeeping;
    std::uint64_t m_subject = 0; //!< Request key, attempt id or service index, by kind.
    ShardIndex m_shard = 0;
};

//! @brief A request received right after a pause, before the notices sent meanwhile are read.
struct DeferredRequest
{
    CallerRequest m_caller;
    TimePoint m_receivedAt;
};

//! @brief An answer delayed until the peers have the quarantine notice about its request.
struct DelayedAnswer
{
    TimePoint m_dueAt;
    CallerAnswer m_answer;
};

struct QueryEngine
{
    QueryOptions m_options;
    bool m_configured = false;
    bool m_shuttingDown = false;
    std::optional<ShutdownSchedule> m_shutdown; //!< Of the planned stop that has begun.
    RandomGenerator m_random;
    InvariantCounters m_invariants;
    QueryStatistics m_statistics;

    TargetTable m_table;
    std::vector<GroupRuntime> m_groups;
    std::vector<ServiceQueue> m_queues; //!< Parallel to TargetTable::m_services.
    std::vector<KindState> m_kinds;
    std::unordered_map<std::string, std::uint32_t> m_kindByName;
    StoreSettings m_store;

    std::vector<std::unique_ptr<Request>> m_requests;
    std::vector<std::uint32_t> m_freeRequests;
    std::uint64_t m_requestSerial = 0;
    std::size_t m_unansweredRequests = 0;
    std::deque<Attempt> m_attempts; //!< References stay valid while it grows.
    std::vector<std::uint32_t> m_freeAttempts;
    std::uint64_t m_attemptSerial = 0;
    std::uint64_t m_queueSequence = 0;

    std::vector<Timer> m_timers; //!< Heap, earliest first.
    std::uint64_t m_timerSequence = 0;
    bool m_housekeepingArmed = false;

    FingerprintTable m_fingerprints;
    std::unordered_map<std::uint64_t, std::vector<RequestKey>> m_probeWaiters; //!< By fingerprint.

    std::unordered_map<StoreCallId, RequestKey> m_storeCalls;
    StoreCallId m_storeCallSerial = 0;
    double m_claimTokens = 0;
    TimePoint m_claimTokensAt;

    std::vector<std::uint32_t> m_coverageMarks; //!< By service, for the coverage check.
    std::uint32_t m_coverageMark = 0;

    bool m_hasEvents = false;
    TimePoint m_lastEventAt;
    TimePoint m_resumedAt;                           //!< End of the last pause.
    std::vector<DeferredRequest> m_deferredRequests; //!< Received right after a pause.
    std::vector<DelayedAnswer> m_delayedAnswers;
};

//! @brief Time of the current event and the list that receives its actions.
struct Event
{
    TimePoint m_now;
    ActionList &m_actions;
};

inline bool hasMutant(const QueryEngine &engine, QueryMutant mutant) noexcept
{
    return engine.m_options.m_mutant == mutant;
}

inline bool isFanOut(const Request &request) noexcept
{
    return request.m_mode == AnswerMode::Complete || request.m_mode == AnswerMode::BestByDeadline;
}

//! @brief Returns the request, or null if it was removed.
Request *findRequest(QueryEngine &engine, RequestKey key) noexcept;
Attempt *findAttempt(QueryEngine &engine, AttemptId id) noexcept;

Request &createRequest(QueryEngine &engine);
void removeRequest(QueryEngine &engine, Request &request);
Attempt &createAttempt(QueryEngine &engine);

} // namespace arbutusgrade
