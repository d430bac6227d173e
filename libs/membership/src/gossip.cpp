#include <algorithm>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

using membershipdetails::Destination;
using membershipdetails::sendMessage;
using membershipdetails::transmitCount;

constexpr std::size_t datagramHeaderBytes = 28;
//! Kept back from updates, so that probes and acknowledgements are sent under any load.
constexpr double probeReserveBytes = 600.0;
//! Pushes wait below this, so that they carry updates and leave the reserve alone.
constexpr double pushReserveBytes = 1200.0;
constexpr Duration pushInterval{50'000};

//! With one push, a datagram that is lost on the way to a small data centre left a node without the
//! news of a leaving target for more than 3 s at 20 % loss.
constexpr int pushRepeats = 3;
constexpr Duration pushRepeatInterval{400'000};

// Bounds of the compact protocol: a 64-bit number takes at most 10 bytes, a field header 1.
constexpr std::size_t numberBytes = 11;
constexpr std::size_t smallNumberBytes = 6;
constexpr std::size_t textOverheadBytes = 3;
constexpr std::size_t messageOverheadBytes = 4 * numberBytes + 3 * smallNumberBytes + 8;

std::size_t textBytes(const std::string &text) noexcept
{
    return text.empty() ? 0 : text.size() + textOverheadBytes;
}

std::size_t bytesOf(const MemberUpdate &update) noexcept
{
    std::size_t bytes = textBytes(update.m_name) + textBytes(update.m_accuser) + numberBytes + 3;
    bytes += update.m_revision == 0 ? 0 : numberBytes;
    if (!update.m_address.empty()) {
        bytes += textBytes(update.m_dataCentre) + textBytes(update.m_address) + 8;
    }
    return bytes;
}

std::size_t bytesOf(const SharedTarget &state) noexcept
{
    return textBytes(state.m_target) + state.m_startId.size() + textOverheadBytes + numberBytes + 6
           + state.m_holdings.size() * (2 * numberBytes + 1);
}

std::size_t bytesOf(const QuarantineUpdate & /*update*/) noexcept
{
    return numberBytes + 2 * smallNumberBytes + 1;
}

//! @brief What is told first. Draining and Quarantine use the bytes kept for probes too: many
//! probes in a row left a node without bytes for the news of a leaving target for more than 3 s,
//! although each of them could have carried it.
enum class Urgency { Usual, Suspicion, Draining, Quarantine };

//! @brief Updates that are still to be told, most urgent first.
struct Candidate
{
    Urgency m_urgency = Urgency::Usual;
    int m_transmits = 0;
    const std::string *m_name = nullptr; //!< Member or target.
    std::uint64_t m_fingerprint = 0;
    bool m_isTarget = false;
};

std::vector<Candidate> findCandidates(const MembershipCore &core)
{
    std::vector<Candidate> candidates;
    for (const std::pair<const std::uint64_t, QuarantineEntry> &entry : core.m_quarantines) {
        if (entry.second.m_transmits > 0) {
            candidates.push_back(
                {Urgency::Quarantine, entry.second.m_transmits, nullptr, entry.first, false});
        }
    }
    for (const std::pair<const std::string, TargetEntry> &entry : core.m_targets) {
        if (entry.second.m_transmits > 0) {
            const Urgency urgency =
                entry.second.m_state.m_draining ? Urgency::Draining : Urgency::Usual;
            candidates.push_back({urgency, entry.second.m_transmits, &entry.first, 0, true});
        }
    }
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        if (entry.second.m_transmits > 0) {
            const Urgency urgency = entry.second.m_update.m_state == MemberState::Alive
                                        ? Urgency::Usual
                                        : Urgency::Suspicion;
            candidates.push_back({urgency, entry.second.m_transmits, &entry.first, 0, false});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return std::pair(left.m_urgency, left.m_transmits)
                         > std::pair(right.m_urgency, right.m_transmits);
              });
    return candidates;
}

//! @brief True if something is left to tell that does not wait for the next probe.
bool hasUrgentNews(const MembershipCore &core)
{
    const std::vector<Candidate> candidates = findCandidates(core);
    return core.m_selfTransmits > 0
           || (!candidates.empty() && candidates.front().m_urgency > Urgency::Usual);
}

//! @brief What is told of a member; its place only where this incarnation is new to many.
MemberUpdate updateToTell(const Member &member)
{
    MemberUpdate update = member.m_update;
    if (update.m_state != MemberState::Alive || !member.m_tellPlace) {
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
bool addIfFits(std::vector<Update> &updates, Update update, std::size_t &room)
{
    const std::size_t bytes = bytesOf(update);
    if (bytes > room) {
        return false;
    }
    room -= bytes;
    updates.push_back(std::move(update));
    return true;
}

//! @brief Tells the receiver first what concerns it: this node's place, and a false suspicion.
void addForReceiver(MembershipCore &core, const std::string &receiver, GossipMessage &message,
                    std::size_t &room)
{
    const auto found = core.m_members.find(receiver);
    const bool isKnown =
        found != core.m_members.end() && found->second.m_update.m_state == MemberState::Alive;
    if (core.m_leaving || !isKnown || core.m_selfTransmits > 0) {
        MemberUpdate self = core.m_self;
        self.m_state = core.m_leaving ? MemberState::Left : MemberState::Alive;
        addIfFits(message.m_members, std::move(self), room);
        core.m_selfTransmits -= core.m_selfTransmits > 0 ? 1 : 0;
    }
    if (found != core.m_members.end() && !isKnown) {
        addIfFits(message.m_members, updateToTell(found->second), room);
    }
}

//! @brief Adds updates within the room, and urgent ones also within that of the reserve.
void addUpdates(MembershipCore &core, TimePoint now, const std::string &receiver,
                GossipMessage &message, std::size_t room, std::size_t reserve)
{
    room += reserve;
    addForReceiver(core, receiver, message, room);
    // The most urgent candidates come first, so the reserve ends with the first usual one.
    bool inReserve = true;
    for (const Candidate &candidate : findCandidates(core)) {
        if (inReserve && candidate.m_urgency < Urgency::Draining) {
            inReserve = false;
            room -= std::min(room, reserve);
        }
        if (candidate.m_name == nullptr) {
            QuarantineEntry &entry = core.m_quarantines.at(candidate.m_fingerprint);
            const Duration remaining = entry.m_until - now;
            if (addIfFits(message.m_quarantines,
                          {candidate.m_fingerprint, entry.m_lostTargets, remaining}, room)) {
                --entry.m_transmits;
            }
        } else if (candidate.m_isTarget) {
            TargetEntry &entry = core.m_targets.at(*candidate.m_name);
            if (addIfFits(message.m_targets, entry.m_state, room)) {
                --entry.m_transmits;
            }
        } else if (*candidate.m_name != receiver) {
            Member &member = core.m_members.at(*candidate.m_name);
            if (addIfFits(message.m_members, updateToTell(member), room)) {
                --member.m_transmits;
            }
        }
    }
}

void refillTokens(MembershipCore &core, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - core.m_tokensAt).count();
    core.m_tokensAt = now;
    core.m_tokens = std::min(core.m_tokens + elapsed * core.m_options.m_bytesPerSecond,
                             core.m_options.m_byteBurst);
}

//! @brief Takes the sender itself: it lives, in the incarnation and at the revision it states.
void noteSender(MembershipCore &core, TimePoint now, const GossipMessage &message,
                MembershipActions &actions)
{
    auto found = core.m_members.find(message.m_sender);
    if (found == core.m_members.end()) {
        if (!core.m_seeds.contains(message.m_sender)) {
            return;
        }
        // A node tells its own place a few times only, so an answer may come without it; the
        // settings name the place.
        MemberUpdate update;
        update.m_name = message.m_sender;
        update.m_incarnation = message.m_incarnation;
        update.m_revision = message.m_revision;
        membershipdetails::applyMember(core, now, update, actions);
        found = core.m_members.find(message.m_sender);
    }
    Member &member = found->second;
    if (message.m_incarnation >= member.m_update.m_incarnation) {
        MemberUpdate update;
        update.m_name = message.m_sender;
        update.m_incarnation = message.m_incarnation;
        update.m_revision = message.m_revision;
        membershipdetails::applyMember(core, now, update, actions);
    }
    if (!membershipdetails::isLive(member.m_update.m_state)) {
        return;
    }
    const std::string &dataCentre = member.m_update.m_dataCentre;
    if (!membershipdetails::heardDataCentres(core, now).contains(dataCentre)) {
        // What was decided on the other side of a cut has been told there and is not repeated.
        actions.emplace_back(PullMembership{message.m_sender});
    }
    core.m_heardFrom[dataCentre] = now;
    if (message.m_revision > core.m_self.m_revision) {
        actions.emplace_back(PeerRevisionSeen{message.m_sender, message.m_revision});
    }
    if (message.m_storeContactAge && member.m_update.m_dataCentre == core.m_options.m_dataCentre) {
        noteStoreContact(core, now - *message.m_storeContactAge);
        actions.emplace_back(StoreContactSeen{*message.m_storeContactAge});
    }
}

void answerPingRequest(MembershipCore &core, TimePoint now, const Destination &origin,
                       const GossipMessage &message, MembershipActions &actions)
{
    const auto found = core.m_members.find(message.m_probeTarget);
    if (found == core.m_members.end()) {
        return;
    }
    // Before the origin gives up, so that it can tell a silent helper from a silent target.
    constexpr std::int64_t nackPercent = 80;
    const Duration wait = core.m_options.m_probeTimeout * nackPercent / 100;
    const std::uint64_t sequence = ++core.m_sequence;
    core.m_relays[sequence] = {origin.m_peer,      origin.m_address,      origin.m_port,
                               message.m_sequence, message.m_probeTarget, now + wait};
    GossipMessage ping;
    ping.m_type = GossipType::Ping;
    ping.m_sequence = sequence;
    sendMessage(core, now, membershipdetails::destinationOf(found->second), std::move(ping),
                actions);
}

void takeAcknowledgement(MembershipCore &core, TimePoint now, const GossipMessage &message,
                         MembershipActions &actions)
{
    if (core.m_probe && core.m_probe->m_sequence == message.m_sequence) {
        core.m_probe->m_acknowledged = true;
        return;
    }
    const auto found = core.m_relays.find(message.m_sequence);
    if (found == core.m_relays.end() || found->second.m_member != message.m_sender) {
        return;
    }
    const RelayedProbe relay = found->second;
    core.m_relays.erase(found);
    GossipMessage acknowledgement;
    acknowledgement.m_type = GossipType::Ack;
    acknowledgement.m_sequence = relay.m_originSequence;
    sendMessage(core, now, {relay.m_origin, relay.m_address, relay.m_port},
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
    refillTokens(core, now);
    message.m_sender = core.m_options.m_node;
    message.m_incarnation = core.m_self.m_incarnation;
    message.m_revision = core.m_self.m_revision;
    if (core.m_storeContact) {
        message.m_storeContactAge = now - *core.m_storeContact;
    }
    const std::size_t bare = estimateBytes(message);
    const double spare = core.m_tokens - static_cast<double>(bare + datagramHeaderBytes);
    if (spare > 0 && bare < core.m_options.m_datagramLimit) {
        const std::size_t room =
            std::min(static_cast<std::size_t>(spare), core.m_options.m_datagramLimit - bare);
        const std::size_t usual =
            std::min(static_cast<std::size_t>(std::max(spare - probeReserveBytes, 0.0)), room);
        addUpdates(core, now, destination.m_peer, message, usual, room - usual);
    }
    const std::size_t bytes = estimateBytes(message) + datagramHeaderBytes;
    if (static_cast<double>(bytes) > core.m_tokens) {
        ++core.m_statistics.m_dropped;
        return false;
    }
    core.m_tokens -= static_cast<double>(bytes);
    ++core.m_statistics.m_datagrams;
    core.m_statistics.m_bytes += bytes;
    actions.emplace_back(SendGossip{destination.m_peer, destination.m_address, destination.m_port,
                                    std::move(message)});
    return true;
}

//! @brief Tells the news to random members and, from a delegate, to the other data centres.
void sendPushes(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    std::vector<std::string> peers = liveMembers(core, core.m_options.m_dataCentre);
    std::vector<std::string> chosen;
    for (int index = 0; index < core.m_options.m_pushFanout && !peers.empty(); ++index) {
        chosen.push_back(takeRandom(core.m_random, peers));
    }
    if (isDelegate(core)) {
        for (const std::string &dataCentre : otherDataCentres(core)) {
            std::vector<std::string> delegates = delegatesOf(core, dataCentre);
            chosen.push_back(takeRandom(core.m_random, delegates));
        }
    }
    for (const std::string &peer : chosen) {
        GossipMessage message;
        message.m_type = GossipType::Push;
        sendMessage(core, now, destinationOf(core.m_members.at(peer)), std::move(message), actions);
    }
}

void pushUrgent(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextPush) {
        core.m_pushPending = true;
        return;
    }
    core.m_nextPush = now + pushInterval;
    refillTokens(core, now);
    core.m_pushPending = core.m_tokens < pushReserveBytes;
    if (core.m_pushPending) {
        return;
    }
    core.m_repeatsLeft = pushRepeats;
    core.m_nextRepeat = now + pushRepeatInterval;
    sendPushes(core, now, actions);
}

void repeatPush(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (core.m_repeatsLeft == 0 || now < core.m_nextRepeat) {
        return;
    }
    --core.m_repeatsLeft;
    core.m_nextRepeat = now + pushRepeatInterval;
    refillTokens(core, now);
    if (hasUrgentNews(core) && core.m_tokens >= pushReserveBytes) {
        sendPushes(core, now, actions);
    }
}

void applyQuarantine(MembershipCore &core, TimePoint now, const QuarantineUpdate &update,
                     MembershipActions &actions)
{
    constexpr Duration shortestExtension{1'000'000};
    const TimePoint until = now + update.m_remaining;
    QuarantineEntry &entry = core.m_quarantines[update.m_fingerprint];
    const bool longer = until > entry.m_until + shortestExtension;
    if (update.m_lostTargets <= entry.m_lostTargets && !longer) {
        return;
    }
    entry.m_lostTargets = std::max(entry.m_lostTargets, update.m_lostTargets);
    entry.m_until = std::max(entry.m_until, until);
    entry.m_transmits = transmitCount(core);
    actions.emplace_back(QuarantineLearned{update});
    // The next send of the request may reach another node within milliseconds.
    core.m_nextPush = now;
    pushUrgent(core, now, actions);
}

} // namespace membershipdetails

std::size_t estimateBytes(const GossipMessage &message) noexcept
{
    std::size_t bytes =
        messageOverheadBytes + textBytes(message.m_sender) + textBytes(message.m_probeTarget);
    for (const MemberUpdate &update : message.m_members) {
        bytes += bytesOf(update);
    }
    for (const SharedTarget &state : message.m_targets) {
        bytes += bytesOf(state);
    }
    for (const QuarantineUpdate &update : message.m_quarantines) {
        bytes += bytesOf(update);
    }
    return bytes;
}

void handleGossip(MembershipCore &core, TimePoint now, std::string_view address, std::uint16_t port,
                  const GossipMessage &message, MembershipActions &actions)
{
    membershipdetails::notePause(core, now);
    if (message.m_sender == core.m_options.m_node) {
        return;
    }
    for (const MemberUpdate &update : message.m_members) {
        membershipdetails::applyMember(core, now, update, actions);
    }
    noteSender(core, now, message, actions);
    for (const SharedTarget &state : message.m_targets) {
        membershipdetails::applyTarget(core, now, state, actions);
    }
    for (const QuarantineUpdate &update : message.m_quarantines) {
        membershipdetails::applyQuarantine(core, now, update, actions);
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
        answerPingRequest(core, now, source, message, actions);
        break;
    case GossipType::Ack:
        takeAcknowledgement(core, now, message, actions);
        break;
    case GossipType::Nack:
        if (core.m_probe && core.m_probe->m_sequence == message.m_sequence) {
            ++core.m_probe->m_nacks;
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
        membershipdetails::applyMember(core, now, update, actions);
    }
    for (const SharedTarget &state : snapshot.m_targets) {
        membershipdetails::applyTarget(core, now, state, actions);
    }
    for (const QuarantineUpdate &update : snapshot.m_quarantines) {
        membershipdetails::applyQuarantine(core, now, update, actions);
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
    for (const std::pair<const std::string, TargetEntry> &entry : core.m_targets) {
        if (entry.second.m_state.m_sequence > 0) {
            snapshot.m_targets.push_back(entry.second.m_state);
        }
    }
    for (const std::pair<const std::uint64_t, QuarantineEntry> &entry : core.m_quarantines) {
        snapshot.m_quarantines.push_back(
            {entry.first, entry.second.m_lostTargets, entry.second.m_until - now});
    }
    return snapshot;
}

void shareQuarantine(MembershipCore &core, TimePoint now, const QuarantineUpdate &quarantine,
                     MembershipActions &actions)
{
    MembershipActions learned;
    membershipdetails::applyQuarantine(core, now, quarantine, learned);
    for (MembershipAction &action : learned) {
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
    core.m_selfTransmits = transmitCount(core);
    membershipdetails::pushUrgent(core, now, actions);
}

void noteStoreContact(MembershipCore &core, TimePoint at)
{
    if (!core.m_storeContact || *core.m_storeContact < at) {
        core.m_storeContact = at;
    }
}

void leave(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    // Told directly to more peers than other urgent updates, since this node cannot repeat it.
    constexpr int leaveFanoutFactor = 2;
    core.m_leaving = true;
    const int fanout = core.m_options.m_pushFanout;
    core.m_options.m_pushFanout = leaveFanoutFactor * fanout;
    core.m_nextPush = now;
    membershipdetails::pushUrgent(core, now, actions);
    core.m_options.m_pushFanout = fanout;
}

} // namespace arbutusgrade
