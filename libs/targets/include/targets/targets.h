#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "settings/settings.h"

//! @brief Per-target state of a node, target selection, health tracking and request quarantine.
//!
//! Plain structs and free functions that perform no I/O and read no clock. Names are interned:
//! targets, services and groups have indices that stay valid when settings change. Not thread-safe.
namespace arbutusgrade {

using TargetIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;
using GroupIndex = std::uint32_t;

//! @brief Index that refers to no target, service or group.
inline constexpr std::uint32_t noIndex = UINT32_MAX;

//! @brief Load that a target reported with a reply.
struct TargetLoad
{
    int m_running = 0; //!< Requests that run now.
    int m_queued = 0;  //!< Requests that wait for a slot.
    int m_slots = 0;   //!< Requests that can run at the same time.
};

//! @brief Report on a target from a probe, the VM list or a peer.
//!
//! All fields are hints, except that a draining target gets no new attempts.
struct TargetObservation
{
    std::string m_target;
    std::optional<bool> m_reachable;
    std::optional<bool> m_draining;
    std::vector<Snapshot> m_holdings;
    std::string m_startId;
    std::optional<TargetLoad> m_load;
};

//! @brief A request fingerprint that crashed targets, as shared between nodes.
struct QuarantineNotice
{
    std::uint64_t m_fingerprint = 0;
    int m_lostTargets = 0;
    Duration m_remaining{0};
};

//! @brief How the in-flight capacity of a target is divided between nodes.
enum class SlotPolicy {
    Adaptive,    //!< Each node adapts its limit to refusals and reported queue lengths.
    StaticShare, //!< Each node gets an equal, fixed share of the target's slots, at least 1.
};

//! @brief Decaying latency histogram of recent attempts, with cached quantiles.
struct LatencyEstimate
{
    LatencyHistogram m_histogram;
    Duration m_p50{0};
    Duration m_p95{0};
    Duration m_p98{0};
    Duration m_p99{0};
    std::uint32_t m_observationsSinceRefresh = 0;
    TimePoint m_decayedAt;
};

//! @brief Adds one observation and refreshes the cached quantiles when enough have accumulated.
void addLatency(LatencyEstimate &estimate, TimePoint now, Duration latency) noexcept;

//! @brief State of one target as observed by this node.
struct TargetState
{
    std::string m_name;
    ServiceIndex m_service = noIndex;
    std::uint32_t m_ordinal = 0; //!< Position among the targets of its service.
    bool m_configured = false;
    bool m_inLocalDataCentre = false; //!< The target is in this node's data centre.
    int m_slots = 1;
    int m_connectionShare = 0; //!< Connections that this node may open; 0 for none.

    bool m_drainingBySettings = false;
    bool m_drainingByReport = false;
    TimePoint m_drainReportedAt;

    bool m_holdingsKnown = false;
    std::vector<Snapshot> m_holdings; //!< Ascending.
    TimePoint m_holdingsReportedAt;   //!< Last reply that showed which snapshots the target holds.
    std::string m_startId;            //!< Identifies the current process of the target.
    std::string m_previousStartId;    //!< Observations with this id predate the last restart.

    int m_inFlight = 0;           //!< Attempts that occupy a connection.
    double m_adaptiveLimit = 1.0; //!< Upper bound of m_inFlight for SlotPolicy::Adaptive.
    bool m_slowStart = true;      //!< The limit grows by 1 for each success, not by 1 / limit.
    TimePoint m_limitDecreasedAt;
    std::optional<TargetLoad> m_load;
    TimePoint m_loadReportedAt;
    double m_averageLatencyMicroseconds = 0; //!< Moving average; 0 if unknown.
    TimePoint m_latencyUpdatedAt;
    LatencyEstimate m_latencies;
    TimePoint m_lastReply;

    int m_consecutiveFailures = 0;
    bool m_ejected = false;
    Duration m_ejectionBackOff{0}; //!< Delay before the next trial request.
    TimePoint m_nextTrialAt;       //!< Ejected: when the next trial request is due.
    bool m_trialInFlight = false;  //!< A trial request is in flight.

    //! Fingerprint of a suspect request that needs the target to be idle.
    std::uint64_t m_reservedFor = 0;
    TimePoint m_reservedUntil;
    //! When the first attempt since the last reply was sent.
    std::optional<TimePoint> m_unansweredSince;
};

//! @brief One shard and its replicas.
struct ServiceState
{
    std::string m_name;
    GroupIndex m_group = noIndex;
    bool m_configured = false;
    std::vector<TargetIndex> m_targets; //!< Targets in the current settings.
    LatencyEstimate m_latencies;
    int m_ejected = 0; //!< Targets ejected for health reasons.
};

//! @brief Services that serve one partitioning epoch.
struct PartitioningState
{
    std::uint64_t m_epoch = 1;
    std::vector<ServiceIndex> m_services;
};

//! @brief Services that together hold one index.
struct GroupState
{
    std::string m_name;
    std::vector<PartitioningState> m_partitionings; //!< Newest epoch first.
    //! Incremented when the snapshots that targets hold or their availability change.
    std::uint64_t m_stateRevision = 1;
};

//! @brief Groups, services and targets of the settings, with their state.
struct TargetTable
{
    std::vector<TargetState> m_targets;
    std::vector<ServiceState> m_services;
    std::vector<GroupState> m_groups;
    std::unordered_map<std::string, TargetIndex> m_targetByName;
    std::unordered_map<std::string, ServiceIndex> m_serviceByName; //!< The key is "group/service".
    std::unordered_map<std::string, GroupIndex> m_groupByName;
    SlotPolicy m_slotPolicy = SlotPolicy::Adaptive;
    std::size_t m_nodes = 1; //!< Number of nodes that share the targets.
};

//! @brief Applies settings and keeps the state of the targets that remain in them.
void configureTargets(TargetTable &table, const Settings &settings, std::string_view node);

//! @brief Returns the number of connections that the node may open to the target.
//!
//! All nodes get the same number. If there are more nodes than connections, rendezvous hashing
//! selects the nodes that get one connection each.
int connectionShare(const Settings &settings, std::string_view target, int connections,
                    std::string_view node);

//! @brief Returns the index of the target, or noIndex if the name is unknown.
TargetIndex findTarget(const TargetTable &table, std::string_view name);

//! @brief Returns the index of the group, or noIndex if the name is unknown.
GroupIndex findGroup(const TargetTable &table, std::string_view name);

//! @brief Returns the index of a service of the group, or noIndex if the name is unknown.
ServiceIndex findService(const TargetTable &table, GroupIndex group, std::string_view service);

//! @brief Returns true if the settings or a report say that the target is draining.
bool isDraining(const TargetState &target) noexcept;

//! @brief Returns true if the target may get new attempts; ejection is not considered.
bool acceptsWork(const TargetState &target) noexcept;

//! @brief Returns how many attempts this node may have in flight at the target.
int inFlightLimit(const TargetTable &table, const TargetState &target) noexcept;

//! @brief Returns true if the target holds the snapshot, or may hold it.
//!
//! A target whose snapshots are unknown is assumed to hold the newest known one of the epoch only.
bool mayHoldSnapshot(const TargetState &target, const Snapshot &snapshot, bool isNewest) noexcept;

//! @brief Constraints on target selection.
struct TargetChoiceCriteria
{
    ServiceIndex m_service = noIndex;
    std::optional<Snapshot> m_snapshot;
    bool m_snapshotIsNewest = false;
    std::uint64_t m_tried = 0;            //!< Bit mask of the ordinals that already had an attempt.
    bool m_excludeTried = false;          //!< Excludes tried targets instead of ranking them last.
    bool m_alone = false;                 //!< Only targets without attempts in flight are eligible.
    std::uint64_t m_fingerprint = 0;      //!< Targets reserved for other fingerprints are excluded.
    bool m_ignoreDraining = false;        //!< Fault injection for mutation tests.
    bool m_ignoreConnectionShare = false; //!< Fault injection for mutation tests.
};

//! @brief Outcome of target selection.
enum class TargetChoiceResult {
    Chosen,
    Busy,       //!< Each eligible target is ejected, reserved or at capacity.
    NoReplica,  //!< No target accepts new attempts.
    NoSnapshot, //!< Targets accept new attempts, but none holds the snapshot.
};

//! @brief Selected target, or the reason why there is none.
struct TargetChoice
{
    TargetChoiceResult m_result = TargetChoiceResult::NoReplica;
    TargetIndex m_target = noIndex;
};

//! @brief Selects the replica with the lowest estimated cost; targets in the node's own data centre
//! are preferred.
TargetChoice chooseTarget(const TargetTable &table, TimePoint now,
                          const TargetChoiceCriteria &criteria, RandomGenerator &random);

//! @brief Returns an ejected target of the service whose trial request is due, or noIndex.
TargetIndex findTrialTarget(const TargetTable &table, TimePoint now,
                            const TargetChoiceCriteria &criteria);

//! @brief Reserves the target with the fewest attempts in flight for the fingerprint.
//!
//! The target gets no other new attempts, so that it becomes idle. Ejected targets are excluded.
void reserveTarget(TargetTable &table, TimePoint now, const TargetChoiceCriteria &criteria);

//! @brief Properties of a reply that update the state of its target.
struct ReplySummary
{
    Duration m_latency{0};
    bool m_started = true; //!< False if the target refused the attempt before running it.
    bool m_succeeded = true;
    bool m_shed = false; //!< The target refused the attempt because of overload.
    bool m_draining = false;
    std::optional<TargetLoad> m_load;
    std::string_view m_startId;
    const std::vector<Snapshot> *m_holdings = nullptr; //!< Null or empty if not reported.
};

//! @brief Updates the load, latency, limit, health and snapshots of the target from a reply.
//! @return true if the reply reports that the target is draining and this was not known.
bool updateFromReply(TargetTable &table, TargetIndex target, TimePoint now,
                     const ReplySummary &facts);

//! @brief Records that an attempt failed; repeated failures eject the target.
void recordAttemptFailure(TargetTable &table, TargetIndex target, TimePoint now);

//! @brief Ejects a target that has stopped replying while others of its service still reply.
//! @return true if the target was ejected by this call.
bool recordUnresponsiveTarget(TargetTable &table, TargetIndex target, TimePoint now);

//! @brief Records that the target no longer holds a snapshot that was requested from it.
void recordSnapshotGone(TargetTable &table, TargetIndex target, TimePoint now,
                        const Snapshot &snapshot);

//! @brief Updates the state of a target from a probe, the VM list or a peer.
//! @return true if the observation reports that the target is draining and this was not known.
bool updateFromObservation(TargetTable &table, TimePoint now, const TargetObservation &observation);

//! @brief State of one request fingerprint that is not known to be safe.
struct FingerprintEntry
{
    int m_lostTargets = 0;
    //! Attempts of this node that were sent while the fingerprint was not known to be safe.
    int m_inFlight = 0;
    TimePoint m_expiresAt; //!< When m_lostTargets is reset.
    TargetIndex m_lastLostTarget = noIndex;
    TimePoint m_lastLossAt;
};

//! @brief Number of lost targets at which a fingerprint is quarantined.
inline constexpr int lostTargetLimit = 2;

//! @brief Time after the last loss for which a fingerprint stays suspect or quarantined.
inline constexpr Duration quarantineDuration = std::chrono::minutes(10);

//! @brief Fingerprints of requests that crashed targets or are untested, and of recent safe ones.
//!
//! A fingerprint is safe once a target has run the request without being lost.
struct FingerprintTable
{
    std::unordered_map<std::uint64_t, FingerprintEntry> m_entries;
    //! Maps each safe fingerprint to its insertion sequence number.
    std::unordered_map<std::uint64_t, std::uint64_t> m_safeFingerprints;
    //! Pairs of fingerprint and sequence number, oldest first.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_safeInsertionOrder;
    std::uint64_t m_nextSafeSequence = 0;
};

//! @brief Returns how many more attempts of the fingerprint may start now.
//!
//! Each attempt in flight may crash its target. The sum of attempts in flight and lost targets
//! stays within lostTargetLimit until a target has run the request without being lost.
int availableFingerprintAttempts(const FingerprintTable &table, TimePoint now,
                                 std::uint64_t fingerprint);

//! @brief Returns true if a target was lost to the fingerprint and none has run it since.
bool isSuspect(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief Returns true if the fingerprint has reached lostTargetLimit; its requests are refused.
bool isQuarantined(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief Counts an attempt in flight, unless the fingerprint is known to be safe.
//! @return true if the attempt was counted; endFingerprintAttempt must follow.
bool beginFingerprintAttempt(FingerprintTable &table, std::uint64_t fingerprint);

//! @brief Ends an attempt that beginFingerprintAttempt has counted.
void endFingerprintAttempt(FingerprintTable &table, std::uint64_t fingerprint);

//! @brief Marks the fingerprint as safe, unless it is quarantined.
void markFingerprintSafe(FingerprintTable &table, std::uint64_t fingerprint);

//! @brief Records that a target was lost while it ran the request.
//!
//! Losses of attempts sent while the fingerprint was safe make it suspect but are not added up.
//! The failure of a whole rack thus does not quarantine each request that ran there.
//! @return the notice to send to peers.
QuarantineNotice countTargetLoss(FingerprintTable &table, TimePoint now, std::uint64_t fingerprint,
                                 TargetIndex target, bool sentWhileSafe);

//! @brief Merges a notice from a peer. Counts are merged by maximum, as notices may be repeated.
void mergeQuarantineNotice(FingerprintTable &table, TimePoint now, const QuarantineNotice &notice);

//! @brief Returns notices for all fingerprints with unexpired losses, ordered by fingerprint.
std::vector<QuarantineNotice> activeQuarantineNotices(const FingerprintTable &table, TimePoint now);

//! @brief Removes expired entries without attempts in flight; returns the number left.
std::size_t removeExpiredFingerprints(FingerprintTable &table, TimePoint now);

} // namespace arbutusgrade
