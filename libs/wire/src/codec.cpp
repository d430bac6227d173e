#include <algorithm>
#include <limits>

#include <generated/peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "wire/wire.h"

namespace arbutusgrade {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

//! Far above what any cluster needs; keeps a forged count from allocating much.
constexpr std::size_t elementLimit = 20'000;
constexpr std::size_t nameLimitBytes = 255;

//! Latest time in a quota message, 100 years, so that no calculation with it overflows.
constexpr std::int64_t timeLimitMicroseconds = 100LL * 365 * 24 * 3600 * 1'000'000;

//! Far above what any cluster needs; see docs/design/shared-limits.md.
constexpr std::int32_t partitionLimit = 1'024;

template <typename Message> std::string encode(const Message &message)
{
    const std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename Message> Decoded<Message> decode(std::string_view bytes)
{
    if (bytes.size() > frameLimitBytes) {
        return WireError::TooLarge;
    }
    // The buffer only observes the bytes; Thrift has no interface for constant ones.
    std::uint8_t *data =
        const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(bytes.data()));
    const std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    // A limit of 0 means none, so that it is at least 1.
    const std::int32_t textLimit = std::max(static_cast<std::int32_t>(bytes.size()), 1);
    const std::int32_t countLimit = std::min(textLimit, static_cast<std::int32_t>(elementLimit));
    try {
        Protocol protocol(buffer, textLimit, countLimit);
        Message message;
        message.read(&protocol);
        if (buffer->available_read() != 0) {
            return WireError::Malformed;
        }
        return message;
    } catch (const apache::thrift::TException &) {
        return WireError::Malformed;
    }
}

std::int64_t signedOf(std::uint64_t value) noexcept
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t unsignedOf(std::int64_t value) noexcept
{
    return static_cast<std::uint64_t>(value);
}

std::int32_t millisecondsOf(Duration duration) noexcept
{
    const std::int64_t milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::int32_t>::max()));
}

bool isName(const std::string &text) noexcept
{
    return !text.empty() && text.size() <= nameLimitBytes;
}

bool isPort(std::int32_t port) noexcept
{
    return port >= 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

wire::MemberUpdate toWire(const MemberUpdate &update)
{
    wire::MemberUpdate encoded;
    encoded.__set_name(update.m_name);
    encoded.__set_incarnation(signedOf(update.m_incarnation));
    encoded.__set_state(static_cast<std::int32_t>(update.m_state) + 1);
    if (!update.m_address.empty()) {
        encoded.__set_dataCentre(update.m_dataCentre);
        encoded.__set_address(update.m_address);
        encoded.__set_peerPort(update.m_peerPort);
        encoded.__set_callerPort(update.m_callerPort);
    }
    if (update.m_revision != 0) {
        encoded.__set_revision(update.m_revision);
    }
    if (!update.m_accuser.empty()) {
        encoded.__set_accuser(update.m_accuser);
    }
    return encoded;
}

wire::TargetUpdate toWire(const SharedTargetState &state)
{
    wire::TargetUpdate encoded;
    encoded.__set_target(state.m_target);
    encoded.__set_startId(state.m_startId);
    encoded.__set_sequence(signedOf(state.m_sequence));
    encoded.__set_reachable(state.m_reachable);
    encoded.__set_draining(state.m_draining);
    for (const Snapshot &snapshot : state.m_holdings) {
        wire::SnapshotHeld held;
        held.__set_epoch(signedOf(snapshot.m_epoch));
        held.__set_version(signedOf(snapshot.m_version));
        encoded.holdings.push_back(held);
    }
    return encoded;
}

wire::QuarantineUpdate toWire(const QuarantineUpdate &update)
{
    wire::QuarantineUpdate encoded;
    encoded.__set_fingerprint(signedOf(update.m_fingerprint));
    encoded.__set_lostTargets(update.m_lostTargets);
    encoded.__set_remainingMilliseconds(millisecondsOf(update.m_remaining));
    return encoded;
}

bool fromWire(const wire::MemberUpdate &encoded, MemberUpdate &update)
{
    const std::int64_t state = std::int64_t{encoded.state} - 1;
    if (!isName(encoded.name) || state < static_cast<int>(MemberState::Alive)
        || state > static_cast<int>(MemberState::Left) || !isPort(encoded.peerPort)
        || !isPort(encoded.callerPort) || encoded.dataCentre.size() > nameLimitBytes
        || encoded.address.size() > nameLimitBytes || encoded.accuser.size() > nameLimitBytes) {
        return false;
    }
    update.m_name = encoded.name;
    update.m_incarnation = unsignedOf(encoded.incarnation);
    update.m_state = static_cast<MemberState>(state);
    update.m_revision = encoded.revision;
    update.m_dataCentre = encoded.dataCentre;
    update.m_address = encoded.address;
    update.m_peerPort = static_cast<std::uint16_t>(encoded.peerPort);
    update.m_callerPort = static_cast<std::uint16_t>(encoded.callerPort);
    update.m_accuser = encoded.accuser;
    return true;
}

bool fromWire(const wire::TargetUpdate &encoded, SharedTargetState &state)
{
    if (!isName(encoded.target) || encoded.startId.size() > nameLimitBytes) {
        return false;
    }
    state.m_target = encoded.target;
    state.m_startId = encoded.startId;
    state.m_sequence = unsignedOf(encoded.sequence);
    state.m_reachable = encoded.reachable;
    state.m_draining = encoded.draining;
    for (const wire::SnapshotHeld &held : encoded.holdings) {
        state.m_holdings.push_back({unsignedOf(held.epoch), unsignedOf(held.version)});
    }
    return true;
}

bool fromWire(const wire::QuarantineUpdate &encoded, QuarantineUpdate &update)
{
    if (encoded.lostTargets < 0 || encoded.remainingMilliseconds < 0) {
        return false;
    }
    update.m_fingerprint = unsignedOf(encoded.fingerprint);
    update.m_lostTargets = encoded.lostTargets;
    update.m_remaining = std::chrono::milliseconds(encoded.remainingMilliseconds);
    return true;
}

std::int32_t clampedOf(std::uint32_t value) noexcept
{
    constexpr std::uint32_t limit = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::min(value, limit));
}

wire::QuotaUse toWire(const QuotaUse &use)
{
    wire::QuotaUse encoded;
    encoded.__set_organisation(signedOf(use.m_organisation));
    encoded.__set_consumed(signedOf(use.m_consumed));
    encoded.__set_returned(signedOf(use.m_returned));
    encoded.__set_wanted(clampedOf(use.m_wanted));
    encoded.__set_pending(clampedOf(use.m_pending));
    return encoded;
}

wire::QuotaGrant toWire(const QuotaGrant &grant)
{
    wire::QuotaGrant encoded;
    encoded.__set_organisation(signedOf(grant.m_organisation));
    encoded.__set_granted(signedOf(grant.m_granted));
    encoded.__set_retryAfterMilliseconds(clampedOf(grant.m_retryAfterMilliseconds));
    encoded.__set_exhausted(grant.m_exhausted);
    encoded.__set_recalled(grant.m_recalled);
    return encoded;
}

bool fromWire(const wire::QuotaUse &encoded, QuotaUse &use)
{
    use.m_organisation = unsignedOf(encoded.organisation);
    use.m_consumed = unsignedOf(encoded.consumed);
    use.m_returned = unsignedOf(encoded.returned);
    use.m_wanted = static_cast<std::uint32_t>(encoded.wanted);
    use.m_pending = static_cast<std::uint32_t>(encoded.pending);
    return encoded.consumed >= 0 && encoded.returned >= 0 && encoded.wanted >= 0
           && encoded.pending >= 0;
}

bool fromWire(const wire::QuotaGrant &encoded, QuotaGrant &grant)
{
    grant.m_organisation = unsignedOf(encoded.organisation);
    grant.m_granted = unsignedOf(encoded.granted);
    grant.m_retryAfterMilliseconds = static_cast<std::uint32_t>(encoded.retryAfterMilliseconds);
    grant.m_exhausted = encoded.exhausted;
    grant.m_recalled = encoded.recalled;
    return encoded.granted >= 0 && encoded.retryAfterMilliseconds >= 0;
}

template <typename Encoded, typename Update>
void allToWire(const std::vector<Update> &updates, std::vector<Encoded> &encoded)
{
    for (const Update &update : updates) {
        encoded.push_back(toWire(update));
    }
}

template <typename Encoded, typename Update>
bool allFromWire(const std::vector<Encoded> &encoded, std::vector<Update> &updates)
{
    updates.reserve(encoded.size());
    for (const Encoded &element : encoded) {
        Update update;
        if (!fromWire(element, update)) {
            return false;
        }
        updates.push_back(std::move(update));
    }
    return true;
}

wire::StateReply toWire(const PullReply &reply)
{
    wire::StateReply encoded;
    encoded.__set_sender(reply.m_sender);
    encoded.__set_configurationRevision(reply.m_revision);
    if (reply.m_configuration) {
        encoded.__set_configuration(*reply.m_configuration);
    }
    allToWire(reply.m_state.m_members, encoded.members);
    allToWire(reply.m_state.m_targets, encoded.targets);
    allToWire(reply.m_state.m_quarantines, encoded.quarantines);
    return encoded;
}

bool fromWire(const wire::StateReply &encoded, PullReply &reply)
{
    reply.m_sender = encoded.sender;
    reply.m_revision = encoded.configurationRevision;
    if (encoded.__isset.configuration) {
        reply.m_configuration = encoded.configuration;
    }
    return isName(encoded.sender) && encoded.configurationRevision >= 0
           && allFromWire(encoded.members, reply.m_state.m_members)
           && allFromWire(encoded.targets, reply.m_state.m_targets)
           && allFromWire(encoded.quarantines, reply.m_state.m_quarantines);
}

bool isTime(std::int64_t microseconds) noexcept
{
    return microseconds >= 0 && microseconds <= timeLimitMicroseconds;
}

bool isPartition(std::int32_t partition, std::int32_t partitions) noexcept
{
    return partition >= 0 && partition < partitions && partitions <= partitionLimit;
}

wire::QuotaDatagram datagramOf(const QuotaReport &report)
{
    wire::QuotaReport encoded;
    encoded.__set_nodeSession(signedOf(report.m_nodeSession));
    encoded.__set_coordinatorSession(signedOf(report.m_coordinatorSession));
    encoded.__set_sentAtMicroseconds(report.m_sentAt);
    encoded.__set_coordinatorTimeMicroseconds(report.m_coordinatorTime);
    encoded.__set_partition(clampedOf(report.m_partition));
    encoded.__set_partitions(clampedOf(report.m_partitions));
    encoded.__set_nodes(clampedOf(report.m_nodes));
    allToWire(report.m_uses, encoded.uses);
    wire::QuotaDatagram datagram;
    datagram.__set_report(encoded);
    return datagram;
}

wire::QuotaDatagram datagramOf(const QuotaReply &reply)
{
    wire::QuotaReply encoded;
    encoded.__set_nodeSession(signedOf(reply.m_nodeSession));
    encoded.__set_coordinatorSession(signedOf(reply.m_coordinatorSession));
    encoded.__set_reportSentAtMicroseconds(reply.m_reportSentAt);
    encoded.__set_coordinatorTimeMicroseconds(reply.m_coordinatorTime);
    encoded.__set_partition(clampedOf(reply.m_partition));
    encoded.__set_partitions(clampedOf(reply.m_partitions));
    encoded.__set_renews(reply.m_renews);
    allToWire(reply.m_grants, encoded.grants);
    wire::QuotaDatagram datagram;
    datagram.__set_reply(encoded);
    return datagram;
}

bool fromWire(const wire::QuotaReport &encoded, QuotaReport &report)
{
    report.m_nodeSession = unsignedOf(encoded.nodeSession);
    report.m_coordinatorSession = unsignedOf(encoded.coordinatorSession);
    report.m_sentAt = encoded.sentAtMicroseconds;
    report.m_coordinatorTime = encoded.coordinatorTimeMicroseconds;
    report.m_partition = static_cast<std::uint32_t>(encoded.partition);
    report.m_partitions = static_cast<std::uint32_t>(encoded.partitions);
    report.m_nodes = static_cast<std::uint32_t>(encoded.nodes);
    return isTime(encoded.sentAtMicroseconds) && isTime(encoded.coordinatorTimeMicroseconds)
           && isPartition(encoded.partition, encoded.partitions) && encoded.nodes >= 0
           && allFromWire(encoded.uses, report.m_uses);
}

bool fromWire(const wire::QuotaReply &encoded, QuotaReply &reply)
{
    reply.m_nodeSession = unsignedOf(encoded.nodeSession);
    reply.m_coordinatorSession = unsignedOf(encoded.coordinatorSession);
    reply.m_reportSentAt = encoded.reportSentAtMicroseconds;
    reply.m_coordinatorTime = encoded.coordinatorTimeMicroseconds;
    reply.m_partition = static_cast<std::uint32_t>(encoded.partition);
    reply.m_partitions = static_cast<std::uint32_t>(encoded.partitions);
    reply.m_renews = encoded.renews;
    return isTime(encoded.reportSentAtMicroseconds) && isTime(encoded.coordinatorTimeMicroseconds)
           && isPartition(encoded.partition, encoded.partitions)
           && allFromWire(encoded.grants, reply.m_grants);
}

std::string encodeDatagram(std::string_view sender, wire::QuotaDatagram datagram)
{
    datagram.__set_sender(std::string(sender));
    return std::string(1, static_cast<char>(quotaFormatVersion)) + encode(datagram);
}

} // namespace

std::string_view wireErrorName(WireError error) noexcept
{
    switch (error) {
    case WireError::Malformed:
        return "malformed message";
    case WireError::TooLarge:
        return "message too large";
    case WireError::OtherVersion:
        return "message of another version";
    }
    return "unknown";
}

std::string encodeGossip(const GossipMessage &message)
{
    wire::Gossip encoded;
    encoded.__set_type(static_cast<std::int32_t>(message.m_type) + 1);
    encoded.__set_sender(message.m_sender);
    encoded.__set_incarnation(signedOf(message.m_incarnation));
    encoded.__set_sequence(signedOf(message.m_sequence));
    encoded.__set_configurationRevision(message.m_revision);
    if (message.m_storeContactAge) {
        encoded.__set_storeContactAgeMilliseconds(millisecondsOf(*message.m_storeContactAge));
    }
    if (!message.m_probeTarget.empty()) {
        encoded.__set_probeTarget(message.m_probeTarget);
    }
    allToWire(message.m_members, encoded.members);
    allToWire(message.m_targets, encoded.targets);
    allToWire(message.m_quarantines, encoded.quarantines);
    return encode(encoded);
}

Decoded<GossipMessage> decodeGossip(std::string_view bytes)
{
    const Decoded<wire::Gossip> decoded = decode<wire::Gossip>(bytes);
    if (!decoded) {
        return decoded.error();
    }
    const wire::Gossip &encoded = decoded.value();
    const std::int64_t type = std::int64_t{encoded.type} - 1;
    GossipMessage message;
    if (!isName(encoded.sender) || type < static_cast<int>(GossipType::Ping)
        || type > static_cast<int>(GossipType::Nack) || encoded.configurationRevision < 0
        || encoded.probeTarget.size() > nameLimitBytes || encoded.storeContactAgeMilliseconds < 0
        || !allFromWire(encoded.members, message.m_members)
        || !allFromWire(encoded.targets, message.m_targets)
        || !allFromWire(encoded.quarantines, message.m_quarantines)) {
        return WireError::Malformed;
    }
    message.m_type = static_cast<GossipType>(type);
    message.m_sender = encoded.sender;
    message.m_incarnation = unsignedOf(encoded.incarnation);
    message.m_sequence = unsignedOf(encoded.sequence);
    message.m_revision = encoded.configurationRevision;
    message.m_probeTarget = encoded.probeTarget;
    if (encoded.__isset.storeContactAgeMilliseconds) {
        message.m_storeContactAge = std::chrono::milliseconds(encoded.storeContactAgeMilliseconds);
    }
    return message;
}

std::string encodeRequest(const PeerRequest &request)
{
    wire::PeerRequest encoded;
    encoded.__set_id(signedOf(request.m_id));
    if (request.m_pull) {
        wire::StatePull pull;
        pull.__set_sender(request.m_pull->m_sender);
        pull.__set_configurationRevision(request.m_pull->m_revision);
        pull.__set_wantConfiguration(request.m_pull->m_wantConfiguration);
        pull.__set_wantState(request.m_pull->m_wantState);
        encoded.__set_pull(pull);
    }
    return encode(encoded);
}

Decoded<PeerRequest> decodeRequest(std::string_view bytes)
{
    const Decoded<wire::PeerRequest> decoded = decode<wire::PeerRequest>(bytes);
    if (!decoded) {
        return decoded.error();
    }
    const wire::PeerRequest &encoded = decoded.value();
    PeerRequest request;
    request.m_id = unsignedOf(encoded.id);
    if (encoded.__isset.pull) {
        if (!isName(encoded.pull.sender)) {
            return WireError::Malformed;
        }
        request.m_pull = PullRequest{encoded.pull.sender, encoded.pull.configurationRevision,
                                     encoded.pull.wantConfiguration, encoded.pull.wantState};
    }
    return request;
}

std::string encodeReply(const PeerReply &reply)
{
    wire::PeerReply encoded;
    encoded.__set_id(signedOf(reply.m_id));
    if (reply.m_pull) {
        encoded.__set_state(toWire(*reply.m_pull));
    }
    return encode(encoded);
}

Decoded<PeerReply> decodeReply(std::string_view bytes)
{
    const Decoded<wire::PeerReply> decoded = decode<wire::PeerReply>(bytes);
    if (!decoded) {
        return decoded.error();
    }
    PeerReply reply;
    reply.m_id = unsignedOf(decoded.value().id);
    if (decoded.value().__isset.state) {
        reply.m_pull.emplace();
        if (!fromWire(decoded.value().state, *reply.m_pull)) {
            return WireError::Malformed;
        }
    }
    return reply;
}

std::string encodeQuota(std::string_view sender, const QuotaReport &report)
{
    return encodeDatagram(sender, datagramOf(report));
}

std::string encodeQuota(std::string_view sender, const QuotaReply &reply)
{
    return encodeDatagram(sender, datagramOf(reply));
}

Decoded<QuotaMessage> decodeQuota(std::string_view bytes)
{
    if (bytes.size() > quotaLimitBytes) {
        return WireError::TooLarge;
    }
    if (bytes.empty()) {
        return WireError::Malformed;
    }
    if (static_cast<std::uint8_t>(bytes.front()) != quotaFormatVersion) {
        return WireError::OtherVersion;
    }
    const Decoded<wire::QuotaDatagram> decoded = decode<wire::QuotaDatagram>(bytes.substr(1));
    if (!decoded) {
        return decoded.error();
    }
    const wire::QuotaDatagram &encoded = decoded.value();
    if (!isName(encoded.sender) || encoded.__isset.report == encoded.__isset.reply) {
        return WireError::Malformed;
    }
    QuotaMessage message;
    message.m_sender = encoded.sender;
    bool isValid = false;
    if (encoded.__isset.report) {
        isValid = fromWire(encoded.report, message.m_content.emplace<QuotaReport>());
    } else {
        isValid = fromWire(encoded.reply, message.m_content.emplace<QuotaReply>());
    }
    if (!isValid) {
        return WireError::Malformed;
    }
    return message;
}

std::array<std::uint8_t, frameHeaderBytes> encodeFrameHeader(std::uint32_t length) noexcept
{
    return {static_cast<std::uint8_t>(length >> 24U), static_cast<std::uint8_t>(length >> 16U),
            static_cast<std::uint8_t>(length >> 8U), static_cast<std::uint8_t>(length)};
}

Decoded<std::uint32_t> decodeFrameHeader(
    std::span<const std::uint8_t, frameHeaderBytes> header) noexcept
{
    std::uint32_t length = 0;
    for (const std::uint8_t byte : header) {
        length = (length << 8U) | byte;
    }
    if (length > frameLimitBytes) {
        return WireError::TooLarge;
    }
    return length;
}

} // namespace arbutusgrade
