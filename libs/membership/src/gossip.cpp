#include <algorithm>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

using membershipdetails::Destination;
using membershipdetails::initialTransmits;
using membershipdetails::sendMessage;

constexpr std::size_t datagramHeaderBytes = 28;
//! Not available to regular updates, so that probes and acknowledgements are sent under any load.
constexpr double probeReserveBytes = 600.0;
//! Pushes are deferred below this, so that they carry updates without using the probe reserve.
constexpr double pushReserveBytes = 1200.0;
constexpr Duration pushInterval{50'000};

//! At 20 % loss, a single push that did not reach a small data centre left a node unaware of a
//! draining target for more than 3 s.
constexpr int pushRepeats = 3;
constexpr Duration pushRepeatInterval{400'000};

// Upper bounds of the Thrift compact protocol: at most 10 bytes for a 64-bit number and 1 byte for
// its field header.
constexpr std::size_t numberBytes = 11;
constexpr std::size_t smallNumberBytes = 6;
constexpr std::size_t textOverheadBytes = 3;
constexpr std::size_t messageOverheadBytes = 4 * numberBytes + 3 * smallNumberBytes + 8;

std::size_t encodedTextBytes(const std::string &text) noexcept
{
    return text.empty() ? 0 : text.size() + textOverheadBytes;
}

std::size_t encodedUpdateBytes(const MemberUpdate &update) noexcept
{
    std::size_t bytes =
        encodedTextBytes(update.m_name) + encodedTextBytes(update.m_accuser) + numberBytes + 3;
    bytes += update.m_revision == 0 ? 0 : numberBytes;
    if (!update.m_address.empty()) {
        bytes += encodedTextBytes(update.m_dataCentre) + encodedTextBytes(update.m_address) + 8;
    }
    return bytes;
}

std::size_t encodedUpdateBytes(const SharedTargetState &state) noexcept
{
    return encodedTextBytes(state.m_target) + state.m_startId.size() + textOverheadBytes
           + numberBytes + 6 + state.m_holdings.size() * (2 * numberBytes + 1);
}

std::size_t encodedUpdateBytes(const QuarantineUpdate & /*update*/) noexcept
{
    return numberBytes + 2 * smallNumberBytes + 1;
}

//! @brief Priority of an update.
//!
//! Draining and Quarantine may also use the probe reserve. Without it, consecutive probes left a
//! node no bytes to disseminate a draining target for more than 3 s, although each could have
//! carried it.
enum class Urgency { Normal, Suspicion, Draining, Quarantine };

//! @brief Reference to an update with remaining transmits.
struct PendingUpdate
{
    Urgency m_urgency = Urgency::Normal;
    int m_remainingTransmits = 0;
    const std::string *m_name = nullptr; //!< Name of the member or target; null for a quarantine.
    std::uint64_t m_fingerprint = 0;
    bool m_isTarget = false;
};

//! @brief Returns the updates still to be sent, most urgent and least sent first.
std::vector<PendingUpdate> collectPendingUpdates(const MembershipCore &core)
{
    std::vector<PendingUpdate> updates;
    for (const std::pair<const std::uint64_t, QuarantineEntry> &entry : core.m_quarantines) {
        if (entry.second.m_remainingTransmits > 0) {
            updates.push_back({Urgency::Quarantine, entry.second.m_remainingTransmits, nullptr,
                               entry.first, false});
        }
    }
    for (const std::pair<const std::string, SharedTargetEntry> &entry : core.m_targets) {
        if (entry.second.m_remainingTransmits > 0) {
            const Urgency urgency =
                entry.second.m_state.m_draining ? Urgency::Draining : Urgency::Normal;
            updates.push_back({urgency, entry.second.m_remainingTransmits, &entry.first, 0, true});
        }
    }
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        if (entry.second.m_remainingTransmits > 0) {
            const Urgency urgency = entry.second.m_update.m_state == MemberState::Alive
                                        ? Urgency::Normal
                                        : Urgency::Suspicion;
            updates.push_back({urgency, entry.second.m_remainingTransmits, &entry.first, 0, false});
        }
    }
    std::sort(updates.begin(), updates.end(),
              [](const PendingUpdate &left, const PendingUpdate &right) {
                  return std::pair(left.m_urgency, left.m_remainingTransmits)
                         > std::pair(right.m_urgency, right.m_remainingTransmits);
              });
    return updates;
}

//! @brief Returns whether an update is pending that should not wait for the next probe.
bool hasUrgentUpdates(const MembershipCore &core)
{
    const std::vector<PendingUpdate> updates = collectPendingUpdates(core);
    return core.m_selfRemainingTransmits > 0
           || (!updates.empty() && updates.front().m_urgency > Urgency::Normal);
}

//! @brief Returns the update to send for a member; with its endpoint only for a new incarnation.
MemberUpdate createOutgoingUpdate(const Member &member)
{
    MemberUpdate update = member.m_update;
    if (update.m_state != MemberState::Alive || !member.m_includeEndpoint) {
        update.m_dataCentre.clear();
        update.m_address.clear();
        update.m_peerPort = 0;
        update.m_callerPort = 0;
    }
    if (update.m_state != MemberState::Suspect) {
        update.m_accuser.clear();
    }
    return update;
}

template <typename Update>
bool addIfFits(std::vector<Update> &updates, Update update, std::size_t &availableBytes)
{
    const std::size_t bytes = encodedUpdateBytes(update);
    if (bytes > availableBytes) {
        return false;
    }
    availableBytes -= bytes;
    updates.push_back(std::move(update));
    return true;
}

//! @brief Adds this node's state and any suspicion or death of the receiver that it may refute.
void addUpdatesForReceiver(MembershipCore &core, const std::string &receiver,
                           GossipMessage &message, std::size_t &availableBytes)
{
    const auto found = core.m_members.find(receiver);
    const bool isKnownAlive =
        found != core.m_members.end() && found->second.m_update.m_state == MemberState::Alive;
    if (core.m_leaving || !isKnownAlive || core.m_selfRemainingTransmits > 0) {
        MemberUpdate self = core.m_self;
        self.m_state = core.m_leaving ? MemberState::Left : MemberState::Alive;
        addIfFits(message.m_members, std::move(self), availableBytes);
        core.m_selfRemainingTransmits -= core.m_selfRemainingTransmits > 0 ? 1 : 0;
    }
    if (found != core.m_members.end() && !isKnownAlive) {
        addIfFits(message.m_members, createOutgoingUpdate(found->second), availableBytes);
    }
}

//! @brief Adds pending updates. Only urgent ones may use @p reserveBytes beyond @p availableBytes.
void addUpdates(MembershipCore &core, TimePoint now, const std::string &receiver,
                GossipMessage &message, std::size_t availableBytes, std::size_t reserveBytes)
{
    availableBytes += reserveBytes;
    addUpdatesForReceiver(core, receiver, message, availableBytes);
    // Updates are sorted by urgency, so the reserve ends at the first one that may not use it.
    bool mayUseReserve = true;
    for (const PendingUpdate &pending : collectPendingUpdates(core)) {
        if (mayUseReserve && pending.m_urgency < Urgency::Draining) {
            mayUseReserve = false;
            availableBytes -= std::min(availableBytes, reserveBytes);
        }
        if (pending.m_name == nullptr) {
            QuarantineEntry &entry = core.m_quarantines.at(pending.m_fingerprint);
            const Duration remaining = entry.m_expiresAt - now;
            if (addIfFits(message.m_quarantines,
                          {pending.m_fingerprint, entry.m_lostTargets, remaining},
                          availableBytes)) {
                --entry.m_remainingTransmits;
            }
        } else if (pending.m_isTarget) {
            SharedTargetEntry &entry = core.m_targets.at(*pending.m_name);
            if (addIfFits(message.m_targets, entry.m_state, availableBytes)) {
                --entry.m_remainingTransmits;
            }
        } else if (*pending.m_name != receiver) {
            Member &member = core.m_members.at(*pending.m_name);
            if (addIfFits(message.m_members, createOutgoingUpdate(member), availableBytes)) {
                --member.m_remainingTransmits;
            }
        }
    }
}

//! @brief Refills the token bucket of the byte rate limit.
void refillByteTokens(MembershipCore &core, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - core.m_byteTokensRefilledAt).count();
    core.m_byteTokensRefilledAt = now;
    core.m_byteTokens = std::min(core.m_byteTokens + elapsed * core.m_options.m_bytesPerSecond,
                                 core.m_options.m_byteBurst);
}

//! @brief Updates the sender's state: it is alive, with the stated incarnation and revision.
void applySenderState(MembershipCore &core, TimePoint now, const GossipMessage &message,
                      MembershipActions &actions)
{
    auto found = core.m_members.find(message.m_sender);
    if (found == core.m_members.end()) {
        if (!core.m_seeds.contains(message.m_sender)) {
            return;
        }
        // A node sends its own endpoint only a few times, so a message may lack it; the seed node
        // provides it.
        MemberUpdate update;
        update.m_name = message.m_sender;
        update.m_incarnation = message.m_incarnation;
        update.m_revision = message.m_revision;
        membershipdetails::applyMemberUpdate(core, now, update, actions);
        found = core.m_members.find(message.m_sender);
    }
    Member &member = found->second;
    if (message.m_incarnation >= member.m_update.m_incarnation) {
        MemberUpdate update;
        update.m_name = message.m_sender;
        update.m_incarnation = message.m_incarnation;
        update.m_revision = message.m_revision;
        membershipdetails::applyMemberUpdate(core, now, update, actions);
    }
    if (!membershipdetails::isLive(member.m_update.m_state)) {
        return;
    }
    const std::string &dataCentre = member.m_update.m_dataCentre;
    if (!membershipdetails::reachableDataCentres(core, now).contains(dataCentre)) {
        // Updates disseminated there during a partition are not sent again.
        actions.emplace_back(PullMembership{message.m_sender});
    }
    core.m_lastHeardFrom[dataCentre] = now;
    if (message.m_revision > core.m_self.m_revision) {
        actions.emplace_back(PeerRevisionSeen{message.m_sender, message.m_revision});
    }
    if (message.m_storeContactAge && member.m_update.m_dataCentre == core.m_options.m_dataCentre) {
        recordStoreContact(core, now - *message.m_storeContactAge);
        actions.emplace_back(StoreContactSeen{*message.m_storeContactAge});
    }
}

//! @brief Pings a member on behalf of the requester of an indirect probe.
void relayPing(MembershipCore &core, TimePoint now, const Destination &requester,
               const GossipMessage &message, MembershipActions &actions)
{
    const auto found = core.m_members.find(message.m_probeTarget);
    if (found == core.m_members.end()) {
        return;
    }
    // Sent before the requester times out, so that it can tell a failed relay from a failed target.
    constexpr std::int64_t nackPercent = 80;
    const Duration nackDelay = core.m_options.m_probeTimeout * nackPercent / 100;
    const std::uint64_t sequence = ++core.m_sequence;
    core.m_relayedProbes[sequence] = {requester.m_peer,   requester.m_address,   requester.m_port,
                                      message.m_sequence, message.m_probeTarget, now + nackDelay};
    GossipMessage ping;
    ping.m_type = GossipType::Ping;
    ping.m_sequence = sequence;
    sendMessage(core, now, membershipdetails::destinationOf(found->second), std::move(ping),
                actions);
}

void handleAcknowledgement(MembershipCore &core, TimePoint now, const GossipMessage &message,
                           MembershipActions &actions)
{
    if (core.m_probe && core.m_probe->m_sequence == message.m_sequence) {
        core.m_probe->m_acknowledged = true;
        return;
    }
    const auto found = core.m_relayedProbes.find(message.m_sequence);
    if (found == core.m_relayedProbes.end() || found->second.m_member != message.m_sender) {
        return;
    }
    const RelayedProbe relay = found->second;
    core.m_relayedProbes.erase(found);
    GossipMessage acknowledgement;
    acknowledgement.m_type = GossipType::Ack;
    acknowledgement.m_sequence = relay.m_requesterSequence;
    sendMessage(core, now, {relay.m_requester, relay.m_requesterAddress, relay.m_requesterPort},
                std::move(acknowledgement), actions);
}

} // namespace

namespace membershipdetails {

Destination destinationOf(const Member &member)
{
    return {member.m_update.m_name, member.m_update.m_address, member.m_update.m_peerPort};
}

bool sendMessage(MembershipCore &core, TimePoint now, const Destination &destination,
                 GossipMessage message, MembershipActions &actions)
{
    refillByteTokens(core, now);
    message.m_sender = core.m_options.m_node;
    message.m_incarnation = core.m_self.m_incarnation;
    message.m_revision = core.m_self.m_revision;
    if (core.m_lastStoreContact) {
        message.m_storeContactAge = now - *core.m_lastStoreContact;
    }
    const std::size_t bytesWithoutUpdates = estimateEncodedBytes(message);
    const double spareTokens =
        core.m_byteTokens - static_cast<double>(bytesWithoutUpdates + datagramHeaderBytes);
    if (spareTokens > 0 && bytesWithoutUpdates < core.m_options.m_datagramLimit) {
        const std::size_t availableBytes =
            std::min(static_cast<std::size_t>(spareTokens),
                     core.m_options.m_datagramLimit - bytesWithoutUpdates);
        const std::size_t unreservedBytes =
            std::min(static_cast<std::size_t>(std::max(spareTokens - probeReserveBytes, 0.0)),
                     availableBytes);
        addUpdates(core, now, destination.m_peer, message, unreservedBytes,
                   availableBytes - unreservedBytes);
    }
    const std::size_t bytes = estimateEncodedBytes(message) + datagramHeaderBytes;
    if (static_cast<double>(bytes) > core.m_byteTokens) {
        ++core.m_statistics.m_withheldDatagrams;
        return false;
    }
    core.m_byteTokens -= static_cast<double>(bytes);
    ++core.m_statistics.m_datagrams;
    core.m_statistics.m_bytes += bytes;
    actions.emplace_back(SendGossip{destination.m_peer, destination.m_address, destination.m_port,
                                    std::move(message)});
    return true;
}

//! @brief Pushes updates to random members and, from a delegate, to the other data centres.
void sendPushes(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    std::vector<std::string> peers = liveMembers(core, core.m_options.m_dataCentre);
    std::vector<std::string> receivers;
    for (int index = 0; index < core.m_options.m_pushFanout && !peers.empty(); ++index) {
        receivers.push_back(removeRandom(core.m_random, peers));
    }
    if (isDelegate(core)) {
        for (const std::string &dataCentre : otherDataCentres(core)) {
            std::vector<std::string> delegates = delegatesOf(core, dataCentre);
            receivers.push_back(removeRandom(core.m_random, delegates));
        }
    }
    for (const std::string &peer : receivers) {
        GossipMessage message;
        message.m_type = GossipType::Push;
        sendMessage(core, now, destinationOf(core.m_members.at(peer)), std::move(message), actions);
    }
}

void pushUrgentUpdates(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextPush) {
        core.m_pushPending = true;
        return;
    }
    core.m_nextPush = now + pushInterval;
    refillByteTokens(core, now);
    core.m_pushPending = core.m_byteTokens < pushReserveBytes;
    if (core.m_pushPending) {
        return;
    }
    core.m_pushRepeatsLeft = pushRepeats;
    core.m_nextPushRepeat = now + pushRepeatInterval;
    sendPushes(core, now, actions);
}

void repeatLastPush(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (core.m_pushRepeatsLeft == 0 || now < core.m_nextPushRepeat) {
        return;
    }
    --core.m_pushRepeatsLeft;
    core.m_nextPushRepeat = now + pushRepeatInterval;
    refillByteTokens(core, now);
    if (hasUrgentUpdates(core) && core.m_byteTokens >= pushReserveBytes) {
        sendPushes(core, now, actions);
    }
}

void applyQuarantineUpdate(MembershipCore &core, TimePoint now, const QuarantineUpdate &update,
                           MembershipActions &actions)
{
    constexpr Duration minimumExtension{1'000'000};
    const TimePoint until = now + update.m_remaining;
    QuarantineEntry &entry = core.m_quarantines[update.m_fingerprint];
    const bool isExtended = until > entry.m_expiresAt + minimumExtension;
    if (update.m_lostTargets <= entry.m_lostTargets && !isExtended) {
        return;
    }
    entry.m_lostTargets = std::max(entry.m_lostTargets, update.m_lostTargets);
    entry.m_expiresAt = std::max(entry.m_expiresAt, until);
    entry.m_remainingTransmits = initialTransmits(core);
    actions.emplace_back(QuarantineLearned{update});
    // A retry of the request may reach another node within milliseconds.
    core.m_nextPush = now;
    pushUrgentUpdates(core, now, actions);
}

} // namespace membershipdetails

std::size_t estimateEncodedBytes(const GossipMessage &message) noexcept
{
    std::size_t bytes = messageOverheadBytes + encodedTextBytes(message.m_sender)
                        + encodedTextBytes(message.m_probeTarget);
    for (const MemberUpdate &update : message.m_members) {
        bytes += encodedUpdateBytes(update);
    }
    for (const SharedTargetState &state : message.m_targets) {
        bytes += encodedUpdateBytes(state);
    }
    for (const QuarantineUpdate &update : message.m_quarantines) {
        bytes += encodedUpdateBytes(update);
    }
    return bytes;
}

void handleGossip(MembershipCore &core, TimePoint now, std::string_view address, std::uint16_t port,
                  const GossipMessage &message, MembershipActions &actions)
{
    membershipdetails::detectPause(core, now);
    if (message.m_sender == core.m_options.m_node) {
        return;
    }
    for (const MemberUpdate &update : message.m_members) {
        membershipdetails::applyMemberUpdate(core, now, update, actions);
    }
    applySenderState(core, now, message, actions);
    for (const SharedTargetState &state : message.m_targets) {
        membershipdetails::applyTargetUpdate(core, now, state, actions);
    }
    for (const QuarantineUpdate &update : message.m_quarantines) {
        membershipdetails::applyQuarantineUpdate(core, now, update, actions);
    }
    const Destination source{message.m_sender, std::string(address), port};
    switch (message.m_type) {
    case GossipType::Ping: {
        GossipMessage acknowledgement;
        acknowledgement.m_type = GossipType::Ack;
        acknowledgement.m_sequence = message.m_sequence;
        sendMessage(core, now, source, std::move(acknowledgement), actions);
        break;
    }
    case GossipType::PingRequest:
        relayPing(core, now, source, message, actions);
        break;
    case GossipType::Ack:
        handleAcknowledgement(core, now, message, actions);
        break;
    case GossipType::Nack:
        if (core.m_probe && core.m_probe->m_sequence == message.m_sequence) {
            ++core.m_probe->m_nacksReceived;
        }
        break;
    case GossipType::Push:
        break;
    }
}

void applySnapshot(MembershipCore &core, TimePoint now, const MembershipSnapshot &snapshot,
                   MembershipActions &actions)
{
    for (const MemberUpdate &update : snapshot.m_members) {
        membershipdetails::applyMemberUpdate(core, now, update, actions);
    }
    for (const SharedTargetState &state : snapshot.m_targets) {
        membershipdetails::applyTargetUpdate(core, now, state, actions);
    }
    for (const QuarantineUpdate &update : snapshot.m_quarantines) {
        membershipdetails::applyQuarantineUpdate(core, now, update, actions);
    }
}

MembershipSnapshot takeSnapshot(const MembershipCore &core, TimePoint now)
{
    MembershipSnapshot snapshot;
    snapshot.m_members.push_back(core.m_self);
    snapshot.m_members.back().m_state = core.m_leaving ? MemberState::Left : MemberState::Alive;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        snapshot.m_members.push_back(entry.second.m_update);
    }
    for (const std::pair<const std::string, SharedTargetEntry> &entry : core.m_targets) {
        if (entry.second.m_state.m_sequence > 0) {
            snapshot.m_targets.push_back(entry.second.m_state);
        }
    }
    for (const std::pair<const std::uint64_t, QuarantineEntry> &entry : core.m_quarantines) {
        snapshot.m_quarantines.push_back(
            {entry.first, entry.second.m_lostTargets, entry.second.m_expiresAt - now});
    }
    return snapshot;
}

void shareQuarantine(MembershipCore &core, TimePoint now, const QuarantineUpdate &quarantine,
                     MembershipActions &actions)
{
    MembershipActions ownActions;
    membershipdetails::applyQuarantineUpdate(core, now, quarantine, ownActions);
    for (MembershipAction &action : ownActions) {
        if (!std::holds_alternative<QuarantineLearned>(action)) {
            actions.push_back(std::move(action));
        }
    }
}

void shareRevision(MembershipCore &core, TimePoint now, std::int64_t revision,
                   MembershipActions &actions)
{
    if (revision == core.m_self.m_revision) {
        return;
    }
    core.m_self.m_revision = revision;
    core.m_selfRemainingTransmits = initialTransmits(core);
    membershipdetails::pushUrgentUpdates(core, now, actions);
}

void recordStoreContact(MembershipCore &core, TimePoint at)
{
    if (!core.m_lastStoreContact || *core.m_lastStoreContact < at) {
        core.m_lastStoreContact = at;
    }
}

void leaveCluster(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    // Sent to more peers than other urgent updates, since this node cannot repeat it.
    constexpr int leaveFanoutFactor = 2;
    core.m_leaving = true;
    const int fanout = core.m_options.m_pushFanout;
    core.m_options.m_pushFanout = leaveFanoutFactor * fanout;
    core.m_nextPush = now;
    membershipdetails::pushUrgentUpdates(core, now, actions);
    core.m_options.m_pushFanout = fanout;
}

} // namespace arbutusgrade
