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

//! @brief Identity of a request in the engine: a serial number that is never reused, and a slot.
using RequestKey = std::uint64_t;

//! @brief Position of a sub-request in its request.
using ShardIndex = std::uint32_t;

//! Low bits of a key hold the slot, the rest a serial number. 4 million slots; at 41,000 attempts
//! per second the serial numbers last for 3 years.
inline constexpr unsigned slotBits = 22;
inline constexpr std::uint64_t slotMask = (std::uint64_t{1} << slotBits) - 1;

//! An attempt, its hedge and a second hedge.
inline constexpr std::size_t attemptsPerShard = 3;

enum class ShardState : std::uint8_t {
    Held,     //!< Waits until the payload is known not to crash targets.
    Queued,   //!< Waits for capacity at a target.
    InFlight, //!< At least one attempt is in flight.
    Waiting,  //!< Waits for a retry.
    Merged,
    Lacking,
};

//! @brief The part of a request for one shard.
struct SubRequest
{
    ServiceIndex m_service = noIndex;
    ShardState m_state = ShardState::Held;
    Reason m_reason = Reason::None; //!< Of the last failure.
    std::uint8_t m_failures = 0;    //!< Attempts that a target had started.
    std::uint8_t m_refusals = 0;    //!< Attempts that ended before start.
    std::uint8_t m_sends = 0;
    std::uint64_t m_tried = 0; //!< Ordinals of targets that had an attempt.
    std::array<AttemptId, attemptsPerShard> m_attempts{};
    std::uint64_t m_queueNumber = 0; //!< 0 if not queued.
    std::string m_entries;
};

//! @brief A once request's claim and the store call that is pending for it.
struct OnceRun
{
    Claim m_claim;
    std::string m_key;
    StoreCallId m_call = 0; //!< 0 if none is pending.
    TimePoint m_callAt;
    bool m_settled = false; //!< Outcome recorded or release begun.
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
    std::uint32_t m_open = 0; //!< Shards neither merged nor lacking.
    std::uint32_t m_merged = 0;
    std::uint32_t m_held = 0;
    std::uint32_t m_sent = 0;        //!< Attempts sent.
    std::uint32_t m_possiblyRun = 0; //!< Attempts sent that are not known to have ended unstarted.
    int m_restarts = 0;
    bool m_answered = false;
    bool m_probingEnded = false; //!< The first attempts took so long that the rest is sent.
    bool m_earlyTimer = false;
    std::unique_ptr<OnceRun> m_once;
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
    bool m_trial = false;     //!< Single request to an ejected target.
    bool m_alone = false;     //!< The target is reserved for this attempt.
    bool m_probing = false;   //!< Sent while the fingerprint was not known to be harmless.
    bool m_cancelled = false; //!< The result is not wanted; occupies its connection only.
};

//! @brief A sub-request that waits for capacity; the order is that of service.
struct QueueEntry
{
    int m_priority = 0;
    TimePoint m_deadline;
    std::uint64_t m_number = 0;
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
        return m_number < other.m_number;
    }
};

inline constexpr std::size_t priorityCount = 10;

struct ServiceQueue
{
    std::set<QueueEntry> m_entries;
    std::array<std::uint32_t, priorityCount> m_byPriority{};
    bool m_kickArmed = false;
};

//! @brief Token budget for hedges and retries of one group.
struct Budget
{
    double m_tokens = 0;
    double m_cap = 0;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_extraAttempts = 0;
    TimePoint m_windowStart;
    std::uint64_t m_windowAttempts = 0;
    double m_restartTokens = 0; //!< May be negative after a restart of many shards.
    std::uint64_t m_restartAttempts = 0;
};

//! @brief A snapshot and how many services of its epoch have a usable replica that may hold it.
struct SnapshotCoverage
{
    Snapshot m_snapshot;
    std::size_t m_covered = 0;
    std::size_t m_services = 0;
    ServiceIndex m_lastService = noIndex;
};

//! @brief What the engine keeps for each group; parallel to TargetTable::m_groups.
struct GroupRuntime
{
    Budget m_budget;
    double m_saturation = 0; //!< Moving share of sub-requests that found no capacity.
    LatencyEstimate m_latencies;
    std::uint64_t m_knownRevision = 0;
    std::vector<SnapshotCoverage> m_snapshots; //!< Newest first.
    std::optional<Snapshot> m_choice;
};

struct KindState
{
    KindSettings m_settings;
    GroupIndex m_group = noIndex;
};

enum class TimerKind : std::uint8_t {
    RequestDeadline,
    EarlyAnswer,
    ProbingBound,
    RetryShard,
    HedgeCheck,
    CancelHold,
    ServiceKick,
    SubmitDeferred,
    SendDelayedAnswers,
    ClaimRetry,
    RequestLinger,
    Housekeeping,
};

struct Timer
{
    TimePoint m_at;
    std::uint64_t m_number = 0;
    TimerKind m_kind = TimerKind::Housekeeping;
    std::uint64_t m_subject = 0; //!< Request key, attempt or service.
    ShardIndex m_shard = 0;
};

//! @brief A request that waits until the node has read what it missed during a pause.
struct DeferredRequest
{
    CallerRequest m_caller;
    TimePoint m_receivedAt;
};

//! @brief An answer that waits until the peers know of the targets that its request crashed.
struct DelayedAnswer
{
    TimePoint m_at;
    CallerAnswer m_answer;
};

struct QueryEngine
{
    QueryOptions m_options;
    bool m_configured = false;
    bool m_shuttingDown = false;
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
    std::size_t m_unanswered = 0;
    std::deque<Attempt> m_attempts; //!< References stay valid while it grows.
    std::vector<std::uint32_t> m_freeAttempts;
    std::uint64_t m_attemptSerial = 0;
    std::uint64_t m_queueNumber = 0;

    std::vector<Timer> m_timers; //!< Heap, earliest first.
    std::uint64_t m_timerNumber = 0;
    bool m_housekeepingArmed = false;

    FingerprintTable m_fingerprints;
    std::unordered_map<std::uint64_t, std::vector<RequestKey>> m_heldRequests; //!< By fingerprint.

    std::unordered_map<StoreCallId, RequestKey> m_storeCalls;
    StoreCallId m_storeCallSerial = 0;
    double m_claimTokens = 0;
    TimePoint m_claimTokensAt;

    std::vector<std::uint32_t> m_coverageMarks; //!< By service, for the coverage check.
    std::uint32_t m_coverageMark = 0;

    bool m_started = false;
    TimePoint m_lastEvent;
    TimePoint m_resumedAt;                   //!< End of the last pause.
    std::vector<DeferredRequest> m_deferred; //!< Came right after a pause.
    std::vector<DelayedAnswer> m_delayedAnswers;
};

//! @brief Where the functions of one event add their actions, and its time.
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

//! @brief Returns the request, or null if it has ended.
Request *findRequest(QueryEngine &engine, RequestKey key) noexcept;
Attempt *findAttempt(QueryEngine &engine, AttemptId id) noexcept;

Request &createRequest(QueryEngine &engine);
void removeRequest(QueryEngine &engine, Request &request);
Attempt &createAttempt(QueryEngine &engine);

} // namespace arbutusgrade
