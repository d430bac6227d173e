// Messages between nodes. Compact protocol, in UDP datagrams of at most 1,200 bytes and in TCP
// frames with a 4-byte big-endian length.

namespace cpp arbutusgrade.wire

enum MemberState {
    ALIVE = 1,
    SUSPECT = 2,
    DEAD = 3,
    LEFT = 4,
}

struct MemberUpdate {
    1: string name,
    2: i64 incarnation,
    // A MemberState. As a plain number, since generated code stores any received value in the enum,
    // which is undefined where it has no such enumerator.
    3: i32 state,
    4: optional string dataCentre,
    5: optional string address,
    6: optional i32 peerPort,
    7: optional i32 callerPort,
    8: optional i64 revision,
    9: optional string accuser,
}

struct SnapshotHeld {
    1: i64 epoch,
    2: i64 version,
}

// State of a target as seen by its probers. The highest sequence wins.
struct TargetUpdate {
    1: string target,
    2: string startId,
    3: i64 sequence,
    4: bool reachable,
    5: bool draining,
    6: list<SnapshotHeld> holdings,
}

struct QuarantineUpdate {
    1: i64 fingerprint,
    2: i32 lostTargets,
    3: i32 remainingMilliseconds,
}

enum GossipType {
    PING = 1,
    ACK = 2,
    PING_REQUEST = 3,
    PUSH = 4,
    NACK = 5,
}

struct Gossip {
    1: i32 type, // A GossipType, see MemberUpdate.state.
    2: string sender,
    3: i64 incarnation,
    4: i64 sequence,
    5: i64 configurationRevision,
    6: optional string probeTarget,
    7: list<MemberUpdate> members,
    8: list<TargetUpdate> targets,
    9: list<QuarantineUpdate> quarantines,
    10: optional i32 storeContactAgeMilliseconds,
}

struct StatePull {
    1: string sender,
    2: i64 configurationRevision,
    3: bool wantConfiguration,
    4: bool wantState,
}

struct StateReply {
    1: string sender,
    2: i64 configurationRevision,
    3: optional string configuration,
    4: list<MemberUpdate> members,
    5: list<TargetUpdate> targets,
    6: list<QuarantineUpdate> quarantines,
}

// One frame from the node that opened the connection; one of the optional fields is set.
struct PeerRequest {
    1: i64 id,
    2: optional StatePull pull,
}

// The answer repeats the id of the request.
struct PeerReply {
    1: i64 id,
    2: optional StateReply state,
}

// Tokens of one organisation at a node, cumulative since the start of the session.
struct QuotaUse {
    1: i64 organisation,
    2: i64 consumed,
    3: i64 returned,
    4: i32 wanted,
    5: i32 pending,
}

struct QuotaReport {
    1: i64 nodeSession,
    2: i64 coordinatorSession,
    3: i64 sentAtMicroseconds,
    4: i64 coordinatorTimeMicroseconds,
    5: i32 partition,
    6: i32 partitions,
    7: i32 nodes,
    8: list<QuotaUse> uses,
}

struct QuotaGrant {
    1: i64 organisation,
    2: i64 granted,
    3: i32 retryAfterMilliseconds,
    4: bool exhausted,
    5: bool recalled,
}

struct QuotaReply {
    1: i64 nodeSession,
    2: i64 coordinatorSession,
    3: i64 reportSentAtMicroseconds,
    4: i64 coordinatorTimeMicroseconds,
    5: i32 partition,
    6: i32 partitions,
    7: bool renews,
    8: list<QuotaGrant> grants,
}

// A UDP datagram on the link between gateway nodes, after a byte with the version of the format.
// One of the optional fields is set.
struct QuotaDatagram {
    1: string sender,
    2: optional QuotaReport report,
    3: optional QuotaReply reply,
}
