#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"

//! @brief Deterministic state machine for node membership and shared target state.
//!
//! Implements SWIM with the suspicion and local health awareness extensions of Lifeguard. Failure
//! detection runs within a data centre; two delegates per data centre exchange updates with the
//! other data centres. The state machine takes events and returns actions. It performs no I/O and
//! reads no clock. Not thread-safe.
namespace arbutusgrade {

//! @brief State of a member. At equal incarnations the later enumerator takes precedence.
enum class MemberState { Alive, Suspect, Dead, Left };

std::string_view memberStateName(MemberState state) noexcept;

//! @brief Disseminated state of a member.
//!
//! The endpoint (data centre, address and ports) is left empty if the receiver already knows it.
struct MemberUpdate
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    MemberState m_state = MemberState::Alive;
    std::int64_t m_revision = 0; //!< Active configuration revision of the member.
    std::string m_dataCentre;
    std::string m_address;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_callerPort = 0;
    std::string m_accuser; //!< Suspect: the node whose probe was not acknowledged.
};

//! @brief State of a target as observed by its probers. The highest sequence takes precedence.
struct SharedTargetState
{
    std::string m_target;
    std::string m_startId;
    std::uint64_t m_sequence = 0;
    bool m_reachable = true;
    bool m_draining = false;
    std::vector<Snapshot> m_holdings;
};

//! @brief Quarantine of a request fingerprint whose requests crashed targets.
struct QuarantineUpdate
{
    std::uint64_t m_fingerprint = 0;
    int m_lostTargets = 0;
    Duration m_remaining{0};
};

enum class GossipType { Ping, Ack, PingRequest, Push, Nack };

//! @brief Datagram exchanged between nodes.
struct GossipMessage
{
    GossipType m_type = GossipType::Ping;
    std::string m_sender;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0; //!< An Ack or Nack echoes that of its request.
    std::int64_t m_revision = 0;  //!< Active configuration revision of the sender.
    //! Time since the last store reply known in the data centre of the sender.
    std::optional<Duration> m_storeContactAge;
    std::string m_probeTarget; //!< PingRequest: the member to probe.
    std::vector<MemberUpdate> m_members;
    std::vector<SharedTargetState> m_targets;
    std::vector<QuarantineUpdate> m_quarantines;
};

//! @brief Full state, transferred to a node that joins or was partitioned.
struct MembershipSnapshot
{
    std::vector<MemberUpdate> m_members;
    std::vector<SharedTargetState> m_targets;
    std::vector<QuarantineUpdate> m_quarantines;
};

//! @brief Faults injected by mutation tests of the stress tool. None in production.
enum class MembershipMutant { None, NoSuspicion, VmListDeclaresDead, NoRefutation, IgnorePause };

struct MembershipOptions
{
    std::string m_node;
    std::string m_dataCentre;
    std::string m_address;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_callerPort = 0;
    std::uint64_t m_incarnation = 1; //!< Must increase with each start, for example the start time.
    std::uint64_t m_seed = 1;
    MembershipMutant m_mutant = MembershipMutant::None;
    Duration m_probePeriod{500'000};  //!< Between probes of members of the own data centre.
    Duration m_probeTimeout{150'000}; //!< Wait for an acknowledgement before indirect probes.
    int m_indirectProbeCount = 3;
    Duration m_minimumSuspicionTimeout{3'000'000}; //!< With enough accusers.
    Duration m_maximumSuspicionTimeout{6'000'000}; //!< With a single accuser.
    //! Between probes of one remote data centre by a delegate.
    Duration m_delegateProbePeriod{1'000'000};
    //! Between probes of remote data centres by a node that is not a delegate.
    Duration m_nonDelegateProbePeriod{5'000'000};
    Duration m_pauseThreshold{2'000'000}; //!< A longer gap between calls counts as a process pause.
    //! No member is declared dead for this long after a pause.
    Duration m_pauseGracePeriod{2'000'000};
    Duration m_targetProbeInterval{2'000'000};
    Duration m_syncInterval{300'000'000}; //!< Between full state pulls from a random peer.
    Duration m_tombstoneRetention{600'000'000};
    int m_probersPerTarget = 3;
    int m_pushFanout = 3;
    std::size_t m_datagramLimit = 1200;
    //! Gossip share of the 5 KB/s control traffic limit of a node; target probes use 1.9 KB/s at
    //! the design size.
    double m_bytesPerSecond = 2500.0;
    double m_byteBurst = 5000.0;
};

//! @brief Node from the settings that can be contacted before it is a known member.
struct MembershipSeed
{
    std::string m_name;
    std::string m_dataCentre;
    std::string m_address;
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_callerPort = 0;
};

//! @brief Entry of the platform's VM list, which may be out of date.
struct VmListEntry
{
    std::string m_name;
    std::string m_address;
    std::string m_dataCentre;
    bool m_leaving = false;
};

//! @brief Data centre of a target.
struct TargetLocation
{
    std::string m_target;
    std::string m_dataCentre;
};

//! @brief Reply of a target to a health probe.
struct TargetProbeResult
{
    std::string m_startId;
    bool m_draining = false;
    std::vector<Snapshot> m_holdings;
};

//! @brief Action: send a datagram.
struct SendGossip
{
    std::string m_peer; //!< Empty if only the address is known.
    std::string m_address;
    std::uint16_t m_port = 0;
    GossipMessage m_message;
};

//! @brief Action: pull the full state from a peer over TCP and pass it to applySnapshot().
struct PullMembership
{
    std::string m_peer;
};

//! @brief Action: probe the health of a target and pass the result to handleTargetProbe().
struct ProbeTarget
{
    std::string m_target;
};

//! @brief Notification: the set of live members or their endpoints changed.
struct MembersChanged
{
};

//! @brief Notification: a live peer reported a newer configuration revision than this node's.
struct PeerRevisionSeen
{
    std::string m_peer;
    std::int64_t m_revision = 0;
};

//! @brief Notification: a node of this data centre reported the age of its last store contact.
struct StoreContactSeen
{
    Duration m_age{0};
};

//! @brief Notification: the shared state of a target changed.
struct TargetStateChanged
{
    SharedTargetState m_state;
};

//! @brief Notification: a peer reported a new or extended quarantine.
struct QuarantineLearned
{
    QuarantineUpdate m_quarantine;
};

using MembershipAction =
    std::variant<SendGossip, PullMembership, ProbeTarget, MembersChanged, PeerRevisionSeen,
                 StoreContactSeen, TargetStateChanged, QuarantineLearned>;
using MembershipActions = std::vector<MembershipAction>;

//! @brief Counters since start, exported as metrics.
struct MembershipStatistics
{
    std::uint64_t m_datagrams = 0;
    //! Upper bound of the bytes sent, with 28 bytes of IP and UDP headers per datagram.
    std::uint64_t m_bytes = 0;
    std::uint64_t m_withheldDatagrams = 0; //!< Datagrams not sent because of the byte rate limit.
    std::uint64_t m_suspicions = 0;        //!< Raised by this node's own probes.
    std::uint64_t m_deaths = 0;            //!< Declared by this node.
    std::uint64_t m_refutations = 0;       //!< Suspicions or deaths of this node that it refuted.
    std::uint64_t m_pauses = 0;            //!< Detected pauses of this process.
    std::uint64_t m_targetProbes = 0;
};

//! @brief State of another node; private to the library.
struct Member
{
    MemberUpdate m_update;
    int m_remainingTransmits = 0;  //!< How often the update is still to be sent.
    bool m_includeEndpoint = true; //!< False if only the revision or state changed.
    TimePoint m_stateSince{};      //!< Start of the state, or of its restarted timeout.
    std::set<std::string> m_accusers;
};

//! @brief State of a target; private to the library.
struct SharedTargetEntry
{
    std::string m_dataCentre;
    SharedTargetState m_state; //!< Sequence 0: no state is known yet.
    int m_remainingTransmits = 0;
    TimePoint m_reachableSince{};
    bool m_isProber = false;
    TimePoint m_nextProbe{};
    int m_probeFailures = 0;       //!< Consecutive failed probes of this node.
    int m_drainContradictions = 0; //!< Consecutive probes that contradict m_state.m_draining.
};

//! @brief Quarantine of one fingerprint; private to the library.
struct QuarantineEntry
{
    int m_lostTargets = 0;
    TimePoint m_expiresAt{};
    int m_remainingTransmits = 0;
};

//! @brief Probe of a member in progress; private to the library.
struct MemberProbe
{
    std::string m_member;
    std::uint64_t m_sequence = 0;
    TimePoint m_indirectProbesAt{};
    bool m_indirectProbesSent = false;
    int m_pingRequestsSent = 0;
    int m_nacksReceived = 0;
    bool m_acknowledged = false;
};

//! @brief Indirect probe on behalf of another node; private to the library.
struct RelayedProbe
{
    std::string m_requester;
    std::string m_requesterAddress;
    std::uint16_t m_requesterPort = 0;
    std::uint64_t m_requesterSequence = 0;
    std::string m_member;
    TimePoint m_nackAt{};
};

//! @brief Membership state of one node. Modify it only through the functions below.
struct MembershipCore
{
    MembershipOptions m_options;
    RandomGenerator m_random;
    MembershipStatistics m_statistics;
    MemberUpdate m_self;
    int m_selfRemainingTransmits = 0;
    bool m_leaving = false;
    std::optional<TimePoint> m_lastStoreContact; //!< Last store reply known in the data centre.
    int m_awareness = 0; //!< 0: healthy. Higher: this node loses replies or was paused.

    std::map<std::string, Member> m_members; //!< Excludes this node.
    std::map<std::string, MembershipSeed> m_seeds;
    std::map<std::string, SharedTargetEntry> m_targets;
    std::map<std::uint64_t, QuarantineEntry> m_quarantines;
    std::map<std::string, TimePoint> m_lastHeardFrom;      //!< By data centre of the sender.
    std::map<std::string, TimePoint> m_nextDelegateProbes; //!< By remote data centre.

    std::uint64_t m_sequence = 0;
    std::optional<MemberProbe> m_probe;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes; //!< By sequence of the forwarded ping.
    std::vector<std::string> m_probeOrder; //!< Members left to probe in the current round.
    TimePoint m_nextProbePeriod{};
    TimePoint m_nextSeedContact{};
    std::size_t m_seedContactCount = 0;
    TimePoint m_nextNonDelegateProbe{};
    TimePoint m_nextSync{};
    TimePoint m_nextPush{};
    bool m_pushPending = false;
    int m_pushRepeatsLeft = 0; //!< Remaining repetitions of the last push.
    TimePoint m_nextPushRepeat{};
    bool m_proberChoiceOutdated = true;
    TimePoint m_lastCall{};
    TimePoint m_pauseGraceEnd{};
    double m_byteTokens = 0.0;
    TimePoint m_byteTokensRefilledAt{};
};

MembershipCore createMembershipCore(TimePoint now, const MembershipOptions &options);

//! @brief Replaces the seed nodes. Nodes that are not yet members are contacted one at a time.
void updateSeeds(MembershipCore &core, const std::vector<MembershipSeed> &seeds);

//! @brief Replaces the targets and keeps the state of those that remain.
void updateTargets(MembershipCore &core, TimePoint now, const std::vector<TargetLocation> &targets);

//! @brief Updates the addresses of seed nodes from the VM list.
//!
//! The list may be out of date, so it never changes the state of a member.
void applyVmList(MembershipCore &core, TimePoint now, const std::vector<VmListEntry> &vms,
                 MembershipActions &actions);

//! @brief Processes a datagram received from @p address and @p port.
void handleGossip(MembershipCore &core, TimePoint now, std::string_view address, std::uint16_t port,
                  const GossipMessage &message, MembershipActions &actions);

//! @brief Merges the full state of a peer.
void applySnapshot(MembershipCore &core, TimePoint now, const MembershipSnapshot &snapshot,
                   MembershipActions &actions);

//! @brief Returns the full state, for a peer that pulls it.
MembershipSnapshot takeSnapshot(const MembershipCore &core, TimePoint now);

//! @brief Processes the result of a target probe; std::nullopt if the target did not answer.
void handleTargetProbe(MembershipCore &core, TimePoint now, std::string_view target,
                       const std::optional<TargetProbeResult> &result, MembershipActions &actions);

//! @brief Disseminates immediately that a target is draining, as learned from one of its replies.
void shareDraining(MembershipCore &core, TimePoint now, std::string_view target,
                   MembershipActions &actions);

//! @brief Disseminates immediately a quarantine that this node started.
void shareQuarantine(MembershipCore &core, TimePoint now, const QuarantineUpdate &quarantine,
                     MembershipActions &actions);

//! @brief Sets the active configuration revision of this node and disseminates it immediately.
void shareRevision(MembershipCore &core, TimePoint now, std::int64_t revision,
                   MembershipActions &actions);

//! @brief Records a reply of the store at @p at; earlier times than the recorded one are ignored.
void recordStoreContact(MembershipCore &core, TimePoint at);

//! @brief Announces that this node leaves. It no longer refutes suspicions afterwards.
void leaveCluster(MembershipCore &core, TimePoint now, MembershipActions &actions);

//! @brief Runs all due timers. Detects process pauses from the gap since the last call.
void advanceTime(MembershipCore &core, TimePoint now, MembershipActions &actions);

//! @brief Returns the time of the next timer.
TimePoint nextWakeUp(const MembershipCore &core);

//! @brief Member and whether a message from its data centre arrived recently.
struct MemberView
{
    MemberUpdate m_member;
    bool m_reachable = true;
};

//! @brief Returns all known nodes including this one, sorted by name.
//!
//! Dead and left nodes are included until their tombstones expire.
std::vector<MemberView> memberViews(const MembershipCore &core, TimePoint now);

//! @brief Returns the alive and suspected members in reachable data centres, without this node.
std::vector<MemberUpdate> usableMembers(const MembershipCore &core, TimePoint now);

//! @brief Returns the nodes (at most two) that exchange updates with other data centres.
std::vector<std::string> delegatesOf(const MembershipCore &core, std::string_view dataCentre);

//! @brief Returns an upper bound of the encoded size, excluding IP and UDP headers.
std::size_t estimateEncodedBytes(const GossipMessage &message) noexcept;

} // namespace arbutusgrade
