#include <algorithm>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

using membershipdetails::Destination;
using membershipdetails::destinationOf;
using membershipdetails::removeRandom;
using membershipdetails::sendMessage;

constexpr Duration seedContactInterval{1'000'000};
//! Until each seed node was contacted about once after the start.
constexpr Duration initialSeedContactInterval{100'000};

//! @brief Returns the member to probe next.
//!
//! Rounds visit the members in random order; suspected members are probed more often.
std::optional<std::string> chooseProbedMember(MembershipCore &core)
{
    std::vector<std::string> live =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    if (live.empty()) {
        return std::nullopt;
    }
    // A suspected member can refute only after a message has told it of the suspicion.
    std::vector<std::string> suspects;
    for (const std::string &name : live) {
        if (core.m_members.at(name).m_update.m_state == MemberState::Suspect) {
            suspects.push_back(name);
        }
    }
    if (!suspects.empty() && nextRandomBelow(core.m_random, 2) == 0) {
        return removeRandom(core.m_random, suspects);
    }
    while (true) {
        if (core.m_probeOrder.empty()) {
            core.m_probeOrder = live;
        }
        const std::string name = removeRandom(core.m_random, core.m_probeOrder);
        if (std::binary_search(live.begin(), live.end(), name)) {
            return name;
        }
    }
}

//! @brief Sends a ping. Returns false if the byte rate limit withheld it.
bool sendPing(MembershipCore &core, TimePoint now, const Destination &destination,
              std::uint64_t sequence, MembershipActions &actions)
{
    GossipMessage message;
    message.m_type = GossipType::Ping;
    message.m_sequence = sequence;
    return sendMessage(core, now, destination, std::move(message), actions);
}

void startMemberProbe(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    const std::optional<std::string> name = chooseProbedMember(core);
    if (!name) {
        return;
    }
    MemberProbe probe;
    probe.m_member = *name;
    probe.m_sequence = ++core.m_sequence;
    probe.m_indirectProbesAt = now + core.m_options.m_probeTimeout;
    // A member must not be suspected because of a probe that the byte rate limit withheld.
    if (sendPing(core, now, destinationOf(core.m_members.at(*name)), probe.m_sequence, actions)) {
        core.m_probe = probe;
    }
}

//! @brief Returns relays for indirect probes, from other data centres if this one has too few.
std::vector<std::string> chooseRelays(MembershipCore &core, const std::string &member)
{
    const std::size_t relayCount = static_cast<std::size_t>(core.m_options.m_indirectProbeCount);
    std::vector<std::string> relays;
    std::vector<std::string> localMembers =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    std::erase(localMembers, member);
    while (relays.size() < relayCount && !localMembers.empty()) {
        relays.push_back(removeRandom(core.m_random, localMembers));
    }
    std::vector<std::string> remoteMembers;
    if (relays.size() < relayCount) {
        for (const std::string &dataCentre : membershipdetails::otherDataCentres(core)) {
            for (std::string &name : membershipdetails::liveMembers(core, dataCentre)) {
                remoteMembers.push_back(std::move(name));
            }
        }
    }
    while (relays.size() < relayCount && !remoteMembers.empty()) {
        relays.push_back(removeRandom(core.m_random, remoteMembers));
    }
    return relays;
}

void startIndirectProbes(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (!core.m_probe || core.m_probe->m_acknowledged || core.m_probe->m_indirectProbesSent
        || now < core.m_probe->m_indirectProbesAt) {
        return;
    }
    core.m_probe->m_indirectProbesSent = true;
    for (const std::string &relay : chooseRelays(core, core.m_probe->m_member)) {
        GossipMessage message;
        message.m_type = GossipType::PingRequest;
        message.m_sequence = core.m_probe->m_sequence;
        message.m_probeTarget = core.m_probe->m_member;
        const bool sent = sendMessage(core, now, destinationOf(core.m_members.at(relay)),
                                      std::move(message), actions);
        core.m_probe->m_pingRequestsSent += sent ? 1 : 0;
    }
}

void finishMemberProbe(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (!core.m_probe) {
        return;
    }
    const MemberProbe probe = *core.m_probe;
    core.m_probe.reset();
    if (probe.m_acknowledged) {
        membershipdetails::adjustAwareness(core, -1);
        return;
    }
    // A relay that sends neither Ack nor Nack indicates a fault of this node.
    if (probe.m_nacksReceived < probe.m_pingRequestsSent) {
        membershipdetails::adjustAwareness(core, 1);
    }
    membershipdetails::suspectMember(core, now, probe.m_member, actions);
}

void advanceProbePeriod(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextProbePeriod) {
        return;
    }
    core.m_nextProbePeriod = now + core.m_options.m_probePeriod;
    finishMemberProbe(core, now, actions);
    startMemberProbe(core, now, actions);
}

//! @brief Pings an unknown or dead node, so that nodes join and partitions heal.
void contactUnreachableNode(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextSeedContact) {
        return;
    }
    const bool isJoining = core.m_seedContactCount < core.m_seeds.size();
    core.m_nextSeedContact = now + (isJoining ? initialSeedContactInterval : seedContactInterval);
    std::vector<Destination> unreachableNodes;
    for (const std::pair<const std::string, MembershipSeed> &entry : core.m_seeds) {
        if (!core.m_members.contains(entry.first)) {
            unreachableNodes.push_back(
                {entry.first, entry.second.m_address, entry.second.m_peerPort});
        }
    }
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        if (entry.second.m_update.m_state == MemberState::Dead) {
            unreachableNodes.push_back(destinationOf(entry.second));
        }
    }
    if (!unreachableNodes.empty()) {
        ++core.m_seedContactCount;
        sendPing(core, now, removeRandom(core.m_random, unreachableNodes), ++core.m_sequence,
                 actions);
    }
}

//! @brief Probes a delegate of another data centre.
//!
//! Some probes go to a random node there instead, in case the known delegates are out of date.
void probeDataCentre(MembershipCore &core, TimePoint now, const std::string &dataCentre,
                     MembershipActions &actions)
{
    constexpr std::uint64_t randomNodeOneIn = 4;
    std::vector<std::string> names = delegatesOf(core, dataCentre);
    if (nextRandomBelow(core.m_random, randomNodeOneIn) == 0) {
        names = membershipdetails::liveMembers(core, dataCentre);
    }
    const std::string name = removeRandom(core.m_random, names);
    sendPing(core, now, destinationOf(core.m_members.at(name)), ++core.m_sequence, actions);
}

void probeOtherDataCentres(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    const std::set<std::string> dataCentres = membershipdetails::otherDataCentres(core);
    if (dataCentres.empty()) {
        return;
    }
    if (membershipdetails::isDelegate(core)) {
        for (const std::string &dataCentre : dataCentres) {
            TimePoint &next = core.m_nextDelegateProbes[dataCentre];
            if (now >= next) {
                next = now + core.m_options.m_delegateProbePeriod;
                probeDataCentre(core, now, dataCentre, actions);
            }
        }
        return;
    }
    if (now >= core.m_nextNonDelegateProbe) {
        core.m_nextNonDelegateProbe = now + core.m_options.m_nonDelegateProbePeriod;
        std::vector<std::string> names(dataCentres.begin(), dataCentres.end());
        probeDataCentre(core, now, removeRandom(core.m_random, names), actions);
    }
}

//! @brief Sends a Nack for each relayed probe that was not acknowledged in time.
void expireRelayedProbes(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    std::vector<RelayedProbe> expired;
    std::erase_if(core.m_relayedProbes,
                  [now, &expired](const std::pair<const std::uint64_t, RelayedProbe> &entry) {
                      if (now < entry.second.m_nackAt) {
                          return false;
                      }
                      expired.push_back(entry.second);
                      return true;
                  });
    for (const RelayedProbe &relay : expired) {
        GossipMessage message;
        message.m_type = GossipType::Nack;
        message.m_sequence = relay.m_requesterSequence;
        sendMessage(core, now, {relay.m_requester, relay.m_requesterAddress, relay.m_requesterPort},
                    std::move(message), actions);
    }
}

//! @brief Pulls the full state from a random peer when the sync interval is over.
void startDueSync(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextSync) {
        return;
    }
    std::vector<MemberUpdate> peers = usableMembers(core, now);
    if (peers.empty()) {
        return;
    }
    core.m_nextSync = now + core.m_options.m_syncInterval;
    actions.emplace_back(PullMembership{removeRandom(core.m_random, peers).m_name});
}

} // namespace

void updateSeeds(MembershipCore &core, const std::vector<MembershipSeed> &seeds)
{
    core.m_seeds.clear();
    for (const MembershipSeed &seed : seeds) {
        if (seed.m_name != core.m_options.m_node) {
            core.m_seeds[seed.m_name] = seed;
        }
    }
}

void applyVmList(MembershipCore &core, TimePoint now, const std::vector<VmListEntry> &vms,
                 MembershipActions &actions)
{
    for (const VmListEntry &vm : vms) {
        const auto seed = core.m_seeds.find(vm.m_name);
        if (seed != core.m_seeds.end() && !vm.m_leaving) {
            seed->second.m_address = vm.m_address;
        }
    }
    if (core.m_options.m_mutant != MembershipMutant::VmListDeclaresDead) {
        return;
    }
    std::vector<MemberUpdate> dead;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const auto listEntry =
            std::find_if(vms.begin(), vms.end(), [&entry](const VmListEntry &vm) {
                return vm.m_name == entry.first && !vm.m_leaving;
            });
        if (listEntry == vms.end()) {
            dead.push_back(entry.second.m_update);
            dead.back().m_state = MemberState::Dead;
        }
    }
    for (const MemberUpdate &update : dead) {
        membershipdetails::applyMemberUpdate(core, now, update, actions);
    }
}

void advanceTime(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    membershipdetails::detectPause(core, now);
    if (core.m_leaving) {
        if (core.m_pushPending) {
            membershipdetails::pushUrgentUpdates(core, now, actions);
        }
        return;
    }
    startIndirectProbes(core, now, actions);
    advanceProbePeriod(core, now, actions);
    expireRelayedProbes(core, now, actions);
    membershipdetails::expireSuspicions(core, now, actions);
    contactUnreachableNode(core, now, actions);
    membershipdetails::repeatLastPush(core, now, actions);
    probeOtherDataCentres(core, now, actions);
    startDueSync(core, now, actions);
    membershipdetails::advanceTargetProbes(core, now, actions);
    if (core.m_pushPending) {
        membershipdetails::pushUrgentUpdates(core, now, actions);
    }
}

TimePoint nextWakeUp(const MembershipCore &core)
{
    TimePoint next = std::min({core.m_nextProbePeriod, core.m_nextSeedContact,
                               membershipdetails::nextTargetProbeTime(core)});
    if (core.m_probe && !core.m_probe->m_indirectProbesSent && !core.m_probe->m_acknowledged) {
        next = std::min(next, core.m_probe->m_indirectProbesAt);
    }
    for (const std::pair<const std::uint64_t, RelayedProbe> &entry : core.m_relayedProbes) {
        next = std::min(next, entry.second.m_nackAt);
    }
    if (core.m_pushRepeatsLeft > 0) {
        next = std::min(next, core.m_nextPushRepeat);
    }
    if (core.m_pushPending) {
        next = std::min(next, core.m_nextPush);
    }
    return next;
}

} // namespace arbutusgrade
