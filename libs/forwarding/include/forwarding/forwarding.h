#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/base.h"
#include "shutdown/shutdown.h"

//! @brief Forwards caller requests to targets, without performing I/O itself.
//!
//! Functions take the current time as a parameter and must be called from one thread. The engine
//! issues commands through ForwardOutput, and the results are reported back to it.
namespace arbutusgrade {

// Routing ----------------------------------------------------------------------------------------

//! @brief A service and its weight in a traffic split.
struct WeightedService
{
    std::string m_service;
    double m_weight = 1.0;

    bool operator==(const WeightedService &other) const = default;
};

//! @brief Forwarding rules for requests with a given host and path prefix.
struct Route
{
    std::string m_name;
    std::string m_host;   //!< Lower case, without a port.
    std::string m_prefix; //!< Begins and ends with a slash.
    bool m_idempotent = false;
    Duration m_timeout{0};
    Duration m_latencyTarget{0};
    int m_priority = 0;                      //!< 0 is the highest priority.
    int m_attemptLimit = 1;                  //!< Maximum number of targets that may run a request.
    std::vector<WeightedService> m_services; //!< Empty for search routes.
    std::vector<std::string> m_shards; //!< Services queried by a search; empty for other routes.
    std::size_t m_topRecords = 0;      //!< Maximum number of records in a search response.
    double m_minimumShardShare = 1.0;  //!< Minimum fraction of shards needed for a success.
    bool m_anonymousAccess = false;    //!< No API key is needed, even if there are organisations.
};

// Organisations ----------------------------------------------------------------------------------

inline constexpr std::size_t maximumOrganisations = 10'000;
inline constexpr std::size_t maximumApiKeys = 10'000; //!< Of all organisations together.
inline constexpr std::size_t maximumOrganisationNameBytes = 200;

//! @brief HMAC-SHA-256 of an API key under a random key of this process.
using ApiKeyHash = std::array<unsigned char, 32>;

//! @brief An API key of the configuration, of which only the hash is kept.
struct ApiKey
{
    ApiKeyHash m_hash{};
    std::size_t m_organisation = 0; //!< Index in RoutingTable::m_organisations.
    std::size_t m_position = 0;     //!< In the key list of the organisation.
    bool m_isEmpty = false;
};

//! @brief An organisation whose callers send requests under its API keys.
struct Organisation
{
    std::string m_name;
    std::optional<int> m_priority; //!< Overrides the priority of routes; 0 is the highest.
    double m_ratePerSecond = 0.0;  //!< Over all nodes; unlimited if this and the burst are 0.
    double m_burst = 0.0;          //!< Requests.
};

//! @brief Size limits and timeouts for caller connections.
struct CallerLimits
{
    std::uint32_t m_headerBytes = 16 * 1024;
    std::uint32_t m_bodyBytes = 256 * 1024;
    Duration m_headerTimeout = std::chrono::seconds(3);
    Duration m_idleTimeout = std::chrono::seconds(15);
};

//! @brief Limit on requests to targets of a service that are cold, for all nodes together.
struct WarmupLimit
{
    double m_requestsPerSecond = 0.0; //!< For each target.
    //! How long a target counts as cold after the evacuation of its data centre, unless its entry
    //! is written again before.
    Duration m_duration{0};
};

//! @brief A version of the routing configuration. Immutable once the engine uses it.
struct RoutingTable
{
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::unordered_map<std::string, int> m_connectionLimits;     //!< By service, for all nodes.
    std::unordered_map<std::string, WarmupLimit> m_warmupLimits; //!< By service; absent: no limit.
    CallerLimits m_limits;
    //! Requests need an API key. May be true without organisations, when the last one is removed.
    bool m_definesOrganisations = false;
    std::vector<Organisation> m_organisations;
    std::vector<ApiKey> m_apiKeys; //!< In the order of the configuration.
    //! Indices in m_apiKeys, by the first 8 bytes of the hash.
    std::unordered_multimap<std::uint64_t, std::size_t> m_apiKeyIndex;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

//! @brief Validates a routing table. Returns an empty list if the table is valid.
std::vector<Finding> validateRoutingTable(const RoutingTable &table);

//! @brief Returns the route of the host with the longest matching path prefix, or null.
const Route *findRoute(const RoutingTable &table, std::string_view host, std::string_view path);

//! @brief Returns the hash of an API key. It differs between processes, so that the hashes in a log
//! cannot be searched for short keys.
ApiKeyHash hashApiKey(std::string_view key);

//! @brief Adds an organisation and the hashes of its keys. validateRoutingTable() reports empty and
//! duplicate keys.
void addOrganisation(RoutingTable &table, const Organisation &organisation,
                     std::span<const std::string> keys);

//! @brief Whether the caller of a request is known.
enum class CallerStatus {
    Anonymous,   //!< No organisation; the request may be forwarded.
    Identified,  //!< The request has the key of an organisation.
    Unauthorized //!< The route needs a key, and the request has none that is valid.
};

//! @brief Who sent a request.
struct CallerIdentity
{
    CallerStatus m_status = CallerStatus::Anonymous;
    const Organisation *m_organisation = nullptr; //!< In the routing table; null if not identified.
    std::string m_keyHash;     //!< Start of the hash of the key, for logs; empty without a key.
    std::string_view m_reason; //!< String constant, for Unauthorized.
};

//! @brief Identifies the caller of a request on a route of the table.
//! @param authorization value of the Authorization header, or empty.
CallerIdentity identifyCaller(const RoutingTable &table, const Route &route,
                              std::string_view authorization);

//! @brief Selects a service by smooth weighted round robin and returns its index.
//!
//! Unlike random selection, this matches the weights after only a few requests. A service without
//! weight is never selected, unless none has any.
//! @param credits State of the route, kept between calls with the same services and weights.
std::size_t selectWeightedService(std::span<const WeightedService> services,
                                  std::vector<double> &credits);

// Target registry --------------------------------------------------------------------------------

//! @brief A registry entry, as published by the target.
struct TargetEntry
{
    std::string m_id;
    std::string m_service;
    std::string m_address; //!< IP address.
    std::uint16_t m_port = 0;
    std::string m_dataCentre;
    int m_slots = 1;
    bool m_draining = false;
    Duration m_warmupRemaining{0};
    std::int64_t m_started = 0;   //!< Start time, Unix milliseconds; identifies the process.
    std::int64_t m_sequence = 0;  //!< Increases with each entry that the process writes.
    std::uint64_t m_revision = 0; //!< Of the store when the entry was written.
};

//! @brief An attempt that has been sent to a target and has not ended.
struct OutstandingAttempt
{
    std::uint64_t m_attemptId = 0;
    TimePoint m_overdueAt; //!< The target counts as stalled from this time on.
};

//! @brief A request whose connection ended before a reply; it may have crashed the target.
struct LostRequest
{
    std::uint64_t m_fingerprint = 0;
    TimePoint m_lostAt;
};

//! @brief State of a target, from the registry and from this node's own attempts.
struct Target
{
    TargetEntry m_entry;
    bool m_addressReused = false;   //!< Another process now uses its address.
    bool m_isLeaving = false;       //!< Its process has said in a reply that it is leaving.
    bool m_removed = false;         //!< No longer in the registry.
    TimePoint m_removalEffectiveAt; //!< For removed targets.
    TimePoint m_warmupEnd;          //!< The target may be slower before this time.
    bool m_evacuated = false;       //!< Its data centre gets no requests.
    //! End of the evacuation of its data centre; empty once its entry has been written again.
    std::optional<TimePoint> m_evacuationEndedAt;
    std::vector<TimePoint> m_coldRequests; //!< Sent in the last second while it was cold.
    //! From 0 to 1, lower for the targets that this node prefers; nodes prefer different ones.
    double m_tieBreaker = 0.0;
    std::vector<OutstandingAttempt> m_inFlight;
    double m_latencyRatio = 1.0; //!< Smoothed ratio of actual to expected latency.
    double m_failureRate = 0.0;  //!< Smoothed fraction of failed attempts.
    int m_consecutiveSlowReplies = 0;
    Duration m_requestInterval{0}; //!< Between requests of this node to the target's service.
    TimePoint m_statisticsUpdatedAt;
    TimePoint m_backoffUntil;
    TimePoint m_refusesUntil; //!< It has asked this node in a refusal to send nothing until then.
    int m_consecutiveConnectFailures = 0; //!< Reset by a successful connection.
    TimePoint m_reachableAt;              //!< Of the last successful connection or reply.
    bool m_down = false; //!< Refuses connections; used again after a successful probe.
    bool m_probeInFlight = false;
    std::vector<LostRequest> m_lostRequests; //!< Since the target was last reachable.
    TimePoint m_nextProbeAt;                 //!< For targets that are down or have lost requests.
};

using TargetPointer = std::shared_ptr<Target>;

//! @brief Targets known from the registry.
struct TargetRegistry
{
    //! Entries that expired during a store outage are renewed within 2 s of its end if the target
    //! is running. The remaining 300 ms allow for the update to reach this node.
    static constexpr Duration storeRecoveryGracePeriod = std::chrono::milliseconds(2300);

    //! Delay before a removal takes effect. A target that was not draining keeps serving for a
    //! while after its removal, and this node may not notice a short store outage.
    static constexpr Duration removalGracePeriod = std::chrono::seconds(2);

    //! Part of the drain bound that is left for requests on their way to a target.
    static constexpr Duration removalMargin = std::chrono::milliseconds(250);

    static constexpr std::size_t maximumLeavingProcesses = 10'000;

    std::string m_node; //!< Name of this node.
    //! Time after its removal in which a target may get requests; empty: no limit.
    std::optional<Duration> m_drainBound;
    std::unordered_map<std::string, TargetPointer> m_targets; //!< By id.
    std::unordered_map<std::string, std::vector<TargetPointer>> m_targetsByService;
    std::set<std::string> m_evacuatedDataCentres;
    //! Numbers of processes that are leaving. Kept after their targets are erased: a late entry of
    //! such a process must not bring it back.
    std::unordered_set<std::uint64_t> m_leavingProcesses;
    std::deque<std::uint64_t> m_leavingProcessesByTime; //!< Oldest first.
    bool m_storeUnavailable = false;
    TimePoint m_storeRecoveryGraceEnd; //!< Earliest end of use after a removal.
};

enum class EntryChange { Added, Changed, Restarted, Draining, Stale };

//! @brief Adds or updates a target. Ignores a stale entry, that is, one of an earlier process.
EntryChange applyEntry(TargetRegistry &registry, TimePoint now, const TargetEntry &entry);

//! @brief Replaces a target by another process with the same id, also by one that states an earlier
//! start: the clock of its VM may have been set back.
EntryChange replaceEntry(TargetRegistry &registry, TimePoint now, const TargetEntry &entry);

//! @brief Marks a target as removed. Also used for entries that can no longer be decoded.
//!
//! The later this node learns of a removal, the sooner it takes effect, so that both delays
//! together stay within the drain bound.
//! @param removedAfter time at which the entry was known to be in the registry; empty: just now.
//! @return false if the target is unknown or already removed.
bool removeEntry(TargetRegistry &registry, TimePoint now, std::string_view id,
                 std::optional<TimePoint> removedAfter = std::nullopt);

//! @brief Removes all targets that are missing from a complete listing of the registry.
//! @param removedAfter as for removeEntry().
//! @return the ids of the removed targets.
std::vector<std::string> removeMissingEntries(TargetRegistry &registry, TimePoint now,
                                              std::span<const std::string> present,
                                              std::optional<TimePoint> removedAfter = std::nullopt);

//! @brief Stops new requests to the process of a target, as it has said that it is leaving. Unlike
//! a registry entry, which another one may replace, this holds until another process has the id.
//! @return false if that is known already.
bool markLeaving(TargetRegistry &registry, Target &target);

//! @brief Returns the latest target at the address of the given one, apart from that one; null if
//! there is none.
TargetPointer findOtherTargetAtAddress(const TargetRegistry &registry, const Target &target);

//! @brief Suspends removals, except those of draining targets, during a store outage.
void markStoreUnavailable(TargetRegistry &registry);

//! @brief Lets the removals of a store outage take effect after storeRecoveryGracePeriod.
void markStoreAvailable(TargetRegistry &registry, TimePoint now);

//! @brief Starts or ends the evacuation of a data centre: its targets get no new attempt and no
//! probe. Also applies to targets that are added later.
//! @return false if nothing changes.
bool setEvacuated(TargetRegistry &registry, TimePoint now, const std::string &dataCentre,
                  bool evacuated);

//! @brief Returns whether the target is in use, apart from its request to wait. Also true for a
//! target that is down.
bool isInUse(const Target &target, TimePoint now);

//! @brief Returns whether new requests may be sent to the target. Also true for a target that is
//! down.
bool acceptsRequests(const Target &target, TimePoint now);

//! @brief Erases targets whose removal has taken effect; call periodically.
void purgeRemovedTargets(TargetRegistry &registry, TimePoint now);

// Requests to cold targets -----------------------------------------------------------------------

//! @brief Excess over the request rate of cold targets that is permitted.
struct WarmupTolerance
{
    double m_overage = 1.0; //!< Factor on the rate.
    double m_slack = 0.0;   //!< Requests a second on top of that.
};

//! @brief Returns the number of requests that all nodes together send to a cold target in a second:
//! half of what the limit permits.
//!
//! Requests that a node sends one second apart may arrive less than a second apart, so that a
//! second at the target may hold two seconds of the nodes. The half also covers nodes that have
//! two different lists of the nodes, as after a partition.
int warmupShares(const WarmupLimit &limit, const WarmupTolerance &tolerance);

//! @brief Returns how many requests a node may send to a cold target in any second of its own
//! clock.
//!
//! The shares are dealt to the nodes in rendezvous order for the target, so that nodes with the
//! same list hold exactly `shares` between them. The order does not depend on the time: clocks of
//! different nodes are never compared.
//! @param nodes names of all nodes; a node that is not among them has no share.
//! @param nodeCount number of nodes that may be running, at least as many as there are names.
int warmupShareOfNode(int shares, std::string_view target, std::string_view node,
                      std::span<const std::string> nodes, int nodeCount);

//! @brief What a choice of targets needs to keep the limit of a service for cold targets.
struct WarmupCriteria
{
    WarmupLimit m_limit;
    WarmupTolerance m_tolerance;
    std::string_view m_node; //!< This node.
    std::span<const std::string> m_nodes;
    int m_nodeCount = 1;
};

//! @brief Returns whether the target is cold.
bool isCold(const Target &target, TimePoint now, const WarmupLimit &limit);

//! @brief Returns whether this node may send another request to the target now. Always true for
//! targets that are not cold.
bool allowsColdRequest(const Target &target, TimePoint now, const WarmupCriteria &criteria);

//! @brief Records a request to a target if it is cold.
void recordColdRequest(Target &target, TimePoint now, const WarmupLimit &limit);

// Target selection -------------------------------------------------------------------------------

//! @brief Criteria for selecting a target.
struct TargetCriteria
{
    std::string_view m_dataCentre;              //!< Of this node.
    std::span<const std::string> m_excludedIds; //!< Targets already tried for this request.
    int m_inFlightLimit = 1;                    //!< Of this node, for each target.
    bool m_healthyOnly = false; //!< For hedges: skips targets that are stalled or in backoff.
    //! Smoothed time between requests of this node to the service; zero if not known. Statistics of
    //! targets are kept the longer, the fewer requests there are to renew them.
    Duration m_requestInterval{0};
    std::optional<WarmupCriteria> m_warmup; //!< For services with a limit for cold targets.
};

//! @brief Returns the target with the lowest expected cost, or null if none is eligible.
//!
//! Stalled targets get a high cost, so that new requests avoid a target during a pause. Among
//! targets that are otherwise equal, each node prefers another one, so that many nodes do not meet
//! at the same target and its connection limit.
TargetPointer selectTarget(std::span<const TargetPointer> targets, TimePoint now,
                           const TargetCriteria &criteria);

//! @brief Returns whether an attempt at the target is overdue.
bool isStalled(const Target &target, TimePoint now);

//! @brief Removes an attempt from those in flight at the target.
void removeOutstandingAttempt(Target &target, std::uint64_t attempt);

//! @brief Updates the target's statistics after a successful attempt.
void recordSuccess(Target &target, TimePoint now, Duration latency, Duration expectedLatency);

//! @brief Returns whether any of the targets accepts requests and is not down.
bool hasAvailableTarget(std::span<const TargetPointer> targets, TimePoint now);

//! Longest time for which a target's request to wait is heeded.
inline constexpr Duration maximumRefusalTime = std::chrono::minutes(5);

//! @brief Sends nothing to a target for a time, as it has asked for in a refusal.
void deferRequests(Target &target, TimePoint now, Duration time);

//! @brief Returns the time until one of the targets accepts requests: zero if one does, empty if
//! that is not known.
std::optional<Duration> timeUntilAvailable(std::span<const TargetPointer> targets, TimePoint now);

//! @brief Records that the target accepted a connection.
void recordReachable(Target &target, TimePoint now);

enum class TargetFailure { RequestFailed, Unresponsive, Rejected, ConnectFailed, AddressReused };

//! @brief Updates the target's statistics and backoff after a failed attempt.
void recordFailure(Target &target, TimePoint now, TargetFailure failure);

// Budget for retries and hedges ------------------------------------------------------------------

//! @brief Limits on retries and hedges to a service, for all nodes together.
struct RetryBudgetLimits
{
    double m_ratio = 0.2; //!< Extra attempts allowed for each first attempt.
    double m_slack = 0;   //!< Extra attempts allowed in a window on top of the ratio.
    Duration m_window = std::chrono::seconds(10);
    int m_nodes = 1; //!< Number of nodes that share m_slack.
};

//! @brief Attempts of this node at one service in a sliding window.
struct RetryBudget
{
    static constexpr std::size_t bucketCount = 21; //!< One window and the current bucket.
    static constexpr std::size_t levelCount = 4;   //!< Lower priorities count as the last one.

    struct Bucket
    {
        std::int64_t m_index = -1;
        std::array<std::uint32_t, levelCount> m_firstAttempts{}; //!< By priority.
        std::array<std::uint32_t, levelCount> m_extraAttempts{}; //!< By priority.
    };
    std::array<Bucket, bucketCount> m_buckets{};
};

//! @brief Counts the first attempt of a request.
//! @param priority of the request, 0 is the highest.
void recordFirstAttempt(RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        int priority = 0);

//! @brief Counts a retry or a hedge.
//! @param priority of the request, 0 is the highest.
void recordExtraAttempt(RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        int priority = 0);

//! @brief Returns whether another retry or hedge stays within this node's share of the limits.
//!
//! What more urgent requests have earned by their first attempts and not used is kept for them, and
//! half of the slack while there are any.
//! @param started Start time of this process. The attempts of the previous process are unknown, so
//! only half of the slack is available during the first window.
//! @param priority of the request, 0 is the highest.
bool allowsExtraAttempt(const RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        TimePoint started, int priority = 0);

// Records ----------------------------------------------------------------------------------------

inline constexpr std::size_t recordBytes = 16;

//! @brief Merges the records of all parts and returns the greatest ones in descending byte order.
//! Duplicates are kept. An incomplete record at the end of a part is ignored.
std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count);

// Answer times -----------------------------------------------------------------------------------

//! @brief Network path between a caller and this node.
struct CallerPath
{
    Duration m_roundTrip{0};
    bool m_newConnection = false; //!< The caller opened the connection for this request.
};

//! @brief Latest times for sending an answer, counted from the arrival of the request.
struct AnswerSchedule
{
    Duration m_deadline{0};      //!< The caller still receives the answer.
    Duration m_partialAnswer{0}; //!< A search reaches the caller within the latency target. Zero or
                                 //!< negative if this is no longer possible.
    Duration m_refusal{0};       //!< The caller still has time to try another node.
};

//! @brief Computes the latest answer times from the path to the caller.
//!
//! The latency target counts from the caller's first attempt, so it includes the handshake of a new
//! connection, the way of the request and the way of the answer.
//! @param timeLeft time until the caller's deadline when it sent the request.
//! @param elapsedBefore time that the caller spent on earlier attempts.
AnswerSchedule scheduleAnswers(const Route &route, const CallerPath &path, Duration timeLeft,
                               Duration elapsedBefore);

// Quarantine of crashing requests ----------------------------------------------------------------

//! @brief Number of a target's process. A target that starts again has another one; all nodes
//! compute the same.
std::uint64_t processNumber(const TargetEntry &target);

//! @brief Target processes that ended while they ran a request, to quarantine requests that crash
//! targets.
//!
//! A process counts once for each request, however many of its attempts were lost and however many
//! nodes saw it. A request that a target answers is cleared: one that crashes targets is never
//! answered.
struct CrashTable
{
    static constexpr int crashLimit = 3;
    static constexpr Duration retention = std::chrono::minutes(5);

    //! An answer clears a request of the crashes that follow within this time, as well as of all
    //! earlier ones.
    static constexpr Duration answerValidity = std::chrono::milliseconds(2500);

    //! A crash may be noticed this long after the request was lost.
    static constexpr Duration attributionWindow = std::chrono::milliseconds(2500);
    static constexpr std::size_t maximumAnswers = 8192; //!< Remembered at a time.

    struct Crash
    {
        int m_count = 0;       //!< More than 1 if the process started again unnoticed.
        int m_sharedCount = 0; //!< What the other nodes have been told, or have told.
        TimePoint m_recordedAt;
    };

    struct Entry
    {
        std::unordered_map<std::uint64_t, Crash> m_crashes; //!< By process number.
        TimePoint m_expiresAt;
    };
    std::unordered_map<std::uint64_t, Entry> m_entries; //!< By request fingerprint.

    struct Answer
    {
        std::uint64_t m_fingerprint = 0;
        TimePoint m_answeredAt;
    };
    std::deque<Answer> m_answers;                               //!< Oldest first.
    std::unordered_map<std::uint64_t, TimePoint> m_lastAnswers; //!< By request fingerprint.
};

//! @brief Records that a target's process ended while it ran the request.
//! @param reachableAt when this node last reached the process.
//! @return false if this crash is recorded already, or a target has answered the request lately.
bool recordCrash(CrashTable &table, TimePoint now, const LostRequest &lost, std::uint64_t process,
                 TimePoint reachableAt);

//! @brief Takes over what another node has recorded. A count of 0 clears the process.
void mergeCrashCount(CrashTable &table, TimePoint now, std::uint64_t fingerprint,
                     std::uint64_t process, int crashes);

bool isQuarantined(const CrashTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief What the other nodes are told of a request and a target's process.
struct CrashReport
{
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_process = 0;
    int m_crashes = 0; //!< 0: the request is cleared.
};

//! @brief Records that a target has answered the request, which clears it.
//! @return reports that tell this to the nodes that know of crashes.
std::vector<CrashReport> recordAnswer(CrashTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief Returns the crashes that were recorded by the given time and have not been shared, which
//! counts as done from now on.
std::vector<CrashReport> takeUnsharedCrashes(CrashTable &table, TimePoint recordedBy);

// Engine -----------------------------------------------------------------------------------------

//! @brief A validated caller request, ready to be forwarded.
struct ForwardRequest
{
    std::uint64_t m_caller = 0; //!< Id of this exchange; unique, never reused.
    std::string m_requestId;
    std::string m_method;
    std::string m_host;
    std::string m_path; //!< Without the query string.
    std::string m_head; //!< Request line and headers, except those set for each attempt.
    std::string m_body;
    std::optional<Duration> m_timeLeft; //!< Time until the caller's deadline.
    CallerPath m_callerPath;
    std::uint64_t m_fingerprint = 0; //!< Same value if the request is sent again.
    //! Version in force when the request was read; null: the current one of the engine.
    RoutingTablePointer m_routingTable;
    std::string m_organisation;    //!< Name; empty if the caller is not identified.
    std::optional<int> m_priority; //!< Of the organisation; overrides the route's.
    std::string m_keyHash;         //!< Start of the hash of the API key, for logs.
    Duration m_timeHeld{0};        //!< Between its arrival and its submission.
};

using ForwardRequestPointer = std::shared_ptr<const ForwardRequest>;

//! @brief A complete response of a target, with the relevant headers already parsed.
struct TargetReply
{
    int m_status = 0;
    std::string m_body;
    std::string m_receipt;                 //!< Proof that the target ran the request, or empty.
    std::optional<std::string> m_echoedId; //!< Request id echoed by the target.
    bool m_notExecuted = false;            //!< The target states that it did not run the request.
    bool m_isLeaving = false;              //!< The target states that it is leaving.
    //! The target refuses requests and wants none for this time.
    std::optional<Duration> m_refusalTime;
    HttpHeaders m_headers;                //!< Returned to the caller.
    std::shared_ptr<const void> m_memory; //!< Keeps the body counted in the limit of its client.
};

//! @brief Command to send a request to a target.
struct ForwardCommand
{
    std::uint64_t m_attempt = 0;
    TargetPointer m_target;
    ForwardRequestPointer m_request;
    Duration m_timeLeft{0};
    bool m_idempotent = true;
    //! The target has been sent this request before. A late second copy of its earlier reply bears
    //! the same request id, and only comes on the connection of that reply.
    bool m_needsNewConnection = false;
};

enum class AnswerKind {
    Relayed,       //!< A target's reply.
    Merged,        //!< Merged records of several shards.
    NoRoute,       //!< No route matches the request.
    Refused,       //!< The request was not run and will not be run.
    Failed,        //!< No usable reply; the request may have run.
    TimedOut,      //!< Deadline exceeded; the request may have run.
    Quarantined,   //!< The request crashes targets and is no longer forwarded.
    Unauthorized,  //!< The request has no valid API key; it was not run.
    QuotaExceeded, //!< The quota of the organisation is used up; the request was not run.
};

inline constexpr std::size_t answerKindCount = 9;

//! @brief Reason not to forward a request, decided outside of the engine.
struct ForwardRefusal
{
    AnswerKind m_kind = AnswerKind::Refused;
    int m_status = 503;
    std::string_view m_reason; //!< String constant such as "key-unknown".
    std::optional<Duration> m_retryAfter;
    std::string_view m_coordinator; //!< Node that decided on the quota; empty if none did.
};

//! @brief The response to a caller; exactly one per request unless the caller disconnects.
struct ForwardAnswer
{
    std::uint64_t m_caller = 0;
    AnswerKind m_kind = AnswerKind::Failed;
    int m_status = 502;
    TargetReply m_reply;                 //!< For Relayed.
    std::vector<std::string> m_receipts; //!< For Merged, of the shards that replied.
    std::size_t m_missingShards = 0;     //!< For Merged.
    std::string m_records;               //!< For Merged.
    std::optional<Duration> m_retryAfter;
    std::string_view m_reason; //!< String constant such as "no-capacity".
};

//! @brief A decision about a request, for the log. The views are valid during the call only.
struct ForwardDecision
{
    std::string_view m_event;  //!< For example "retry" or "answer".
    std::string_view m_reason; //!< For example "reset" or "late".
    std::string_view m_requestId;
    std::string_view m_route;
    std::string_view m_service;
    std::string_view m_target;
    std::string_view m_organisation;            //!< Empty if the caller is not identified.
    std::string_view m_keyHash;                 //!< Start of the hash of the API key.
    std::string_view m_coordinator;             //!< Node that decided on the quota.
    std::uint64_t m_version = 0;                //!< Configuration version used for the request.
    Duration m_age{0};                          //!< Since the request arrived.
    std::optional<Duration> m_sinceSent;        //!< Since the attempt was sent.
    int m_status = 0;                           //!< HTTP status of the answer or reply, or 0.
    std::size_t m_missing = 0;                  //!< Shards without a reply.
    std::optional<std::uint64_t> m_fingerprint; //!< Of requests in quarantine.
    std::optional<Duration> m_timeNeeded;       //!< Of requests that arrive during a planned stop.
    std::optional<Duration> m_timeUntilStop;    //!< From then until the last answers.
    bool m_mayBeSampled = false; //!< Nothing went wrong; one of many such lines is enough.
};

//! @brief Receives the engine's commands. Implementations must not call the engine synchronously.
class ForwardOutput
{
public:
    ForwardOutput() = default;
    virtual ~ForwardOutput() = default;
    ForwardOutput(const ForwardOutput &) = delete;
    ForwardOutput &operator=(const ForwardOutput &) = delete;

    virtual void send(const ForwardCommand &command) = 0;

    //! @brief Cancels an attempt in flight; its result is no longer expected. If called while the
    //! end of the attempt is being reported, closes its connection instead of reusing it.
    virtual void abandon(std::uint64_t attempt) = 0;

    //! @brief Returns whether an attempt in flight has been written to its connection, at least in
    //! part.
    virtual bool isSent(std::uint64_t attempt) const = 0;

    //! @brief Tests whether a target accepts a connection.
    virtual void probe(const TargetPointer &target) = 0;
    virtual void answer(const ForwardAnswer &answer) = 0;
    virtual void record(const ForwardDecision &decision) = 0;
    //! @brief Publishes the report to the other nodes and to later processes of this node.
    virtual void publishCrash(const CrashReport &report) = 0;
};

//! @brief Settings of the engine.
struct ForwardOptions
{
    std::string m_node;
    std::string m_dataCentre;
    RetryBudgetLimits m_budget;
    std::optional<WarmupTolerance> m_warmup; //!< Absent: cold targets have no limit.
    std::optional<Duration> m_drainBound;    //!< See TargetRegistry::m_drainBound.
};

struct ForwardStatistics
{
    std::uint64_t m_requests = 0;
    std::array<std::uint64_t, answerKindCount> m_answers{}; //!< By AnswerKind.
    std::uint64_t m_successes = 0;
    std::uint64_t m_partial = 0; //!< Successful searches with missing shards.
    std::uint64_t m_attempts = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_repeats = 0; //!< Attempts at a target that had been sent the request before.
    std::uint64_t m_budgetDenied = 0;
    std::uint64_t m_mismatches = 0; //!< Replies to a different request.
    std::uint64_t m_callerDisconnects = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_refusalTimes = 0;   //!< Refusals in which a target asked for time.
    std::uint64_t m_leavingTargets = 0; //!< Processes that said in a reply that they are leaving.
    std::uint64_t m_crashes = 0;        //!< Attributed to requests, by this node.
    std::uint64_t m_clearedCrashes = 0; //!< Of those, and of other nodes, by an answer.
    std::uint64_t m_acceptedInShutdown = 0;
    std::uint64_t m_refusedInShutdown = 0;
    std::size_t m_inFlight = 0; //!< Requests currently without an answer.
};

//! @brief Forwards requests: selects targets, sends hedges and retries, merges replies.
class ForwardEngine
{
public:
    ForwardEngine(const ForwardOptions &options, TimePoint now, ForwardOutput &output);
    ~ForwardEngine();
    ForwardEngine(const ForwardEngine &) = delete;
    ForwardEngine &operator=(const ForwardEngine &) = delete;

    //! @brief Uses a routing table for requests that arrive from now on. Returns false and keeps
    //! the current table if the version is not newer.
    bool applyRoutingTable(RoutingTablePointer table);
    const RoutingTablePointer &routing() const;

    //! @brief Returns the targets. Call registryChanged() after modifying them.
    TargetRegistry &registry();
    void registryChanged(TimePoint now);

    CrashTable &crashes();

    //! @brief Sets the number of nodes that share the limits of the targets.
    void setNodeCount(int nodes);

    //! @brief Sets the names of all nodes, which share the requests to cold targets.
    void setNodes(std::vector<std::string> names);

    void submit(TimePoint now, const ForwardRequestPointer &request);

    //! @brief Answers a request that is not forwarded. It is counted and logged like others.
    void refuse(const ForwardRequestPointer &request, const ForwardRefusal &refusal);

    //! @brief Answers all requests, present and later ones, before the end of a planned stop, and
    //! refuses those that are not expected to end by then.
    void beginShutdown(TimePoint now, const ShutdownSchedule &schedule);

    void callerDisconnected(TimePoint now, std::uint64_t caller);
    void attemptEnded(TimePoint now, std::uint64_t attempt, ForwardEnd end, TargetReply reply);
    void probeEnded(TimePoint now, const TargetPointer &target, bool connected);

    //! @brief Returns whether this node cannot reach targets in other data centres and recently
    //! refused requests for lack of targets. Callers should then use nodes in other data centres.
    bool isIsolated(TimePoint now) const;

    //! @brief Processes expired timers; call at nextTimer() and after events.
    void advance(TimePoint now);
    TimePoint nextTimer() const;

    const ForwardStatistics &statistics() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace arbutusgrade
