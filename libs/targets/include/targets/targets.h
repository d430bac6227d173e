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

//! @brief What a node knows of each target, and the choice of a target for an attempt.
//!
//! Plain structs and free functions without input, output or clock. Names are interned: targets,
//! services and groups are known by indices that stay valid when settings change. Not thread-safe.
namespace arbutusgrade {

using TargetIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;
using GroupIndex = std::uint32_t;

inline constexpr std::uint32_t noIndex = UINT32_MAX;

//! @brief Load of a target as it reported it with a reply.
struct TargetLoad
{
    int m_running = 0;
    int m_queued = 0;
    int m_slots = 0;
};

//! @brief What a probe, the VM list or a peer says of a target. Hints only, except draining.
struct TargetObservation
{
    std::string m_target;
    std::optional<bool> m_reachable;
    std::optional<bool> m_draining;
    std::vector<Snapshot> m_holdings;
    std::string m_startId;
    std::optional<TargetLoad> m_load;
};

//! @brief A request fingerprint that crashed targets, shared between nodes.
struct QuarantineNotice
{
    std::uint64_t m_fingerprint = 0;
    int m_lostTargets = 0;
    Duration m_remaining{0};
};

//! @brief How the in-flight capacity of a target is divided between nodes.
enum class SlotPolicy {
    Adaptive,    //!< Each node finds its limit from refusals and reported queues.
    StaticShare, //!< Each node has its fixed share of the target's slots, at least 1.
};

//! @brief Latencies of recent attempts with cached quantiles. Old observations lose weight.
struct LatencyEstimate
{
    LatencyHistogram m_histogram;
    Duration m_p50{0};
    Duration m_p95{0};
    Duration m_p98{0};
    Duration m_p99{0};
    std::uint32_t m_sinceRefresh = 0;
    TimePoint m_decayedAt;
};

//! @brief Adds one observation and refreshes the cached quantiles now and then.
void addLatency(LatencyEstimate &estimate, TimePoint now, Duration latency) noexcept;

//! @brief State of one target as this node knows it.
struct TargetState
{
    std::string m_name;
    ServiceIndex m_service = noIndex;
    std::uint32_t m_ordinal = 0; //!< Position among the targets of its service.
    bool m_configured = false;
    bool m_local = false; //!< In the data centre of this node.
    int m_slots = 1;
    int m_connectionShare = 0; //!< Connections that this node may use; 0 if it has none.

    bool m_drainingBySettings = false;
    bool m_drainingByReport = false;
    TimePoint m_drainReportedAt;

    bool m_holdingsKnown = false;
    std::vector<Snapshot> m_holdings; //!< Ascending.
    TimePoint m_holdingsAt;
    std::string m_startId;
    std::string m_previousStartId; //!< A probe that names it is older than the restart.

    int m_inFlight = 0;   //!< Attempts that occupy a connection.
    double m_limit = 1.0; //!< Adaptive bound of m_inFlight.
    bool m_slowStart = true;
    TimePoint m_limitCutAt;
    std::optional<TargetLoad> m_load;
    TimePoint m_loadAt;
    double m_latency = 0; //!< Moving average in microseconds; 0 if unknown.
    TimePoint m_latencyAt;
    LatencyEstimate m_latencies;
    TimePoint m_lastReply;

    int m_failures = 0; //!< Consecutive.
    bool m_ejected = false;
    Duration m_backOff{0};
    TimePoint m_trialAt;          //!< Ejected: time of the next trial.
    bool m_trialInFlight = false; //!< A single trial request runs.

    std::uint64_t m_reservedFor = 0; //!< Fingerprint of a suspect request that runs alone.
    TimePoint m_reservedUntil;
    std::optional<TimePoint> m_silentSince; //!< First send since the last reply.
};

//! @brief One shard and its replicas.
struct ServiceState
{
    std::string m_name;
    GroupIndex m_group = noIndex;
    bool m_configured = false;
    std::vector<TargetIndex> m_targets; //!< Those in the settings.
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
    //! Rises with each change of what targets hold or whether they are usable.
    std::uint64_t m_knowledgeRevision = 1;
};

//! @brief All targets that the node knows.
struct TargetTable
{
    std::vector<TargetState> m_targets;
    std::vector<ServiceState> m_services;
    std::vector<GroupState> m_groups;
    std::unordered_map<std::string, TargetIndex> m_targetByName;
    std::unordered_map<std::string, ServiceIndex> m_serviceByName; //!< Key "group/service".
    std::unordered_map<std::string, GroupIndex> m_groupByName;
    SlotPolicy m_slotPolicy = SlotPolicy::Adaptive;
    std::size_t m_nodes = 1; //!< Nodes that share the targets.
};

//! @brief Takes over settings; the state of targets that remain is kept.
void configureTargets(TargetTable &table, const Settings &settings, std::string_view node);

//! @brief Connections of a target that the named node may use: the equal share, or one for each
//! node of a subset chosen by rendezvous hashing when nodes outnumber connections.
int connectionShare(const Settings &settings, std::string_view target, int connections,
                    std::string_view node);

TargetIndex findTarget(const TargetTable &table, std::string_view name);
GroupIndex findGroup(const TargetTable &table, std::string_view name);
ServiceIndex findService(const TargetTable &table, GroupIndex group, std::string_view service);

//! @brief True if the target is leaving by any signal.
bool isDraining(const TargetState &target) noexcept;

//! @brief True if new work may go to the target, health aside.
bool acceptsWork(const TargetState &target) noexcept;

//! @brief Attempts that this node may have in flight at the target now.
int inFlightLimit(const TargetTable &table, const TargetState &target) noexcept;

//! @brief True if the target is known to hold the snapshot, or if its holdings are unknown and the
//! snapshot is the newest known one of its epoch.
bool mayHold(const TargetState &target, const Snapshot &snapshot, bool isNewest) noexcept;

//! @brief Restrictions on the choice of a target.
struct ChoiceCriteria
{
    ServiceIndex m_service = noIndex;
    std::optional<Snapshot> m_snapshot;
    bool m_snapshotIsNewest = false;
    std::uint64_t m_tried = 0;       //!< Ordinals that already had an attempt of the sub-request.
    bool m_avoidTried = false;       //!< Rules out tried targets instead of ranking them last.
    bool m_alone = false;            //!< Only a target without attempts in flight.
    std::uint64_t m_fingerprint = 0; //!< Targets reserved for other fingerprints are left out.
    bool m_ignoreDraining = false;   //!< Deliberate fault for proving runs.
    bool m_ignoreShare = false;      //!< Deliberate fault for proving runs.
};

//! @brief Why no target was chosen.
enum class ChoiceResult {
    Chosen,
    Busy,       //!< Targets are usable but have no free capacity now.
    NoReplica,  //!< No target accepts work.
    NoSnapshot, //!< Targets accept work, but none holds the snapshot.
};

struct Choice
{
    ChoiceResult m_result = ChoiceResult::NoReplica;
    TargetIndex m_target = noIndex;
};

//! @brief Chooses the replica with the least expected time, local data centre preferred.
Choice chooseTarget(const TargetTable &table, TimePoint now, const ChoiceCriteria &criteria,
                    RandomGenerator &random);

//! @brief Returns an ejected target of the service that is due for a single trial, or noIndex.
TargetIndex findTrialTarget(const TargetTable &table, TimePoint now,
                            const ChoiceCriteria &criteria);

//! @brief Reserves the least busy healthy target for the fingerprint, so that it becomes idle.
void reserveTarget(TargetTable &table, TimePoint now, const ChoiceCriteria &criteria);

//! @brief Facts of a reply that concern the target.
struct ReplyFacts
{
    Duration m_latency{0};
    bool m_started = true; //!< False if the target refused before start.
    bool m_succeeded = true;
    bool m_shed = false;
    bool m_draining = false;
    std::optional<TargetLoad> m_load;
    std::string_view m_startId;
    const std::vector<Snapshot> *m_holdings = nullptr; //!< Null or empty if not reported.
};

//! @brief Learns from a reply.
//! @return true if the target was not known to be draining before and says so now.
bool learnFromReply(TargetTable &table, TargetIndex target, TimePoint now, const ReplyFacts &facts);

//! @brief Learns that an attempt ended without a usable reply.
void learnFromFailure(TargetTable &table, TargetIndex target, TimePoint now);

//! @brief Learns that the target gave no reply for long although others answered.
//! @return true if the target is ejected now and was not before.
bool learnFromSilence(TargetTable &table, TargetIndex target, TimePoint now);

//! @brief Learns that a pinned snapshot is not held by the target.
void learnSnapshotGone(TargetTable &table, TargetIndex target, TimePoint now,
                       const Snapshot &snapshot);

//! @brief Learns from a probe, the VM list or a peer.
//! @return true if the target was not known to be draining before.
bool learnFromObservation(TargetTable &table, TimePoint now, const TargetObservation &observation);

//! @brief One request fingerprint that is not known to be harmless.
struct FingerprintEntry
{
    int m_lostTargets = 0;
    int m_inFlight = 0;    //!< Attempts that this node sent while it was not known to be harmless.
    TimePoint m_expiresAt; //!< The losses are forgotten then.
    TargetIndex m_lastLost = noIndex;
    TimePoint m_lastLostAt;
};

//! @brief Targets that may be lost to one fingerprint.
inline constexpr int lostTargetLimit = 2;

//! @brief Time for which a quarantine lasts.
inline constexpr Duration quarantineTime = std::chrono::minutes(10);

//! @brief Fingerprints of requests that crashed targets, and of recent ones that did not.
struct FingerprintTable
{
    std::unordered_map<std::uint64_t, FingerprintEntry> m_entries;
    std::unordered_map<std::uint64_t, std::uint64_t> m_cleared; //!< Value is the clearing number.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_clearedOrder;
    std::uint64_t m_clearings = 0;
};

//! @brief Number of attempts of the fingerprint that may run at the same time.
//!
//! An attempt in flight may cost its target, so attempts in flight and lost targets together stay
//! within lostTargetLimit until a target has run the request without loss.
int allowedAttempts(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief True if a target was lost to the fingerprint and none has run it since.
bool isSuspect(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint);
bool isQuarantined(const FingerprintTable &table, TimePoint now, std::uint64_t fingerprint);

//! @brief Counts an attempt of a fingerprint that is not known to be harmless.
//! @return false if it is known to be harmless; it is not counted then.
bool noteFingerprintSent(FingerprintTable &table, std::uint64_t fingerprint);
void noteFingerprintEnded(FingerprintTable &table, std::uint64_t fingerprint);

//! @brief A target ran the request without loss.
void clearFingerprint(FingerprintTable &table, std::uint64_t fingerprint);

//! @brief A target was lost while it ran the request.
//!
//! An attempt sent while the fingerprint was known to be harmless makes it suspect but does not add
//! up, so that the loss of a rack does not quarantine each request that ran there.
//! @return the notice to share.
QuarantineNotice noteTargetLost(FingerprintTable &table, TimePoint now, std::uint64_t fingerprint,
                                TargetIndex target, bool wasCleared);

//! @brief Takes a notice from a peer. The higher count wins, as notices may be repeated.
void learnQuarantine(FingerprintTable &table, TimePoint now, const QuarantineNotice &notice);

//! @brief Returns the losses that are still remembered, ordered by fingerprint.
std::vector<QuarantineNotice> activeNotices(const FingerprintTable &table, TimePoint now);

//! @brief Removes entries that have expired; returns the number left.
std::size_t expireFingerprints(FingerprintTable &table, TimePoint now);

} // namespace arbutusgrade
