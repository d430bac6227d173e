#include <algorithm>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

using membershipdetails::Destination;
using membershipdetails::destinationOf;
using membershipdetails::sendMessage;
using membershipdetails::takeRandom;

constexpr Duration seedInterval{1'000'000};
//! After the start, until each seed was contacted about once.
constexpr Duration firstSeedInterval{100'000};

//! @brief The member to probe next: in random rounds, suspected ones more often.
std::optional<std::string> chooseMember(MembershipCore &core)
{
    std::vector<std::string> live =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    if (live.empty()) {
        return std::nullopt;
    }
    // A suspected member can only refute what it has heard of.
    std::vector<std::string> suspects;
    for (const std::string &name : live) {
        if (core.m_members.at(name).m_update.m_state == MemberState::Suspect) {
            suspects.push_back(name);
        }
    }
    if (!suspects.empty() && nextRandomBelow(core.m_random, 2) == 0) {
        return takeRandom(core.m_random, suspects);
    }
    while (true) {
        if (core.m_probeOrder.empty()) {
            core.m_probeOrder = live;
        }
        const std::string name = takeRandom(core.m_random, core.m_probeOrder);
        if (std::binary_search(live.begin(), live.end(), name)) {
            return name;
        }
    }
}

bool sendPing(MembershipCore &core, TimePoint now, const Destination &destination,
              std::uint64_t sequence, MembershipActions &actions)
{
    GossipMessage message;
    message.m_type = GossipType::Ping;
    message.m_sequence = sequence;
    return sendMessage(core, now, destination, std::move(message), actions);
}

void startProbe(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    const std::optional<std::string> name = chooseMember(core);
    if (!name) {
        return;
    }
    MemberProbe probe;
    probe.m_member = *name;
    probe.m_sequence = ++core.m_sequence;
    probe.m_indirectAt = now + core.m_options.m_probeTimeout;
    // A member is not suspected for a probe that the byte limit kept back.
    if (sendPing(core, now, destinationOf(core.m_members.at(*name)), probe.m_sequence, actions)) {
        core.m_probe = probe;
    }
}

//! @brief Helpers for an indirect probe; of other data centres where this one has too few.
std::vector<std::string> chooseHelpers(MembershipCore &core, const std::string &member)
{
    const std::size_t wanted = static_cast<std::size_t>(core.m_options.m_indirectProbes);
    std::vector<std::string> helpers;
    std::vector<std::string> near =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    std::erase(near, member);
    while (helpers.size() < wanted && !near.empty()) {
        helpers.push_back(takeRandom(core.m_random, near));
    }
    std::vector<std::string> far;
    if (helpers.size() < wanted) {
        for (const std::string &dataCentre : membershipdetails::otherDataCentres(core)) {
            for (std::string &name : membershipdetails::liveMembers(core, dataCentre)) {
                far.push_back(std::move(name));
            }
        }
    }
    while (helpers.size() < wanted && !far.empty()) {
        helpers.push_back(takeRandom(core.m_random, far));
    }
    return helpers;
}

void startIndirectProbes(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (!core.m_probe || core.m_probe->m_acknowledged || core.m_probe->m_indirect
        || now < core.m_probe->m_indirectAt) {
        return;
    }
    core.m_probe->m_indirect = true;
    for (const std::string &helper : chooseHelpers(core, core.m_probe->m_member)) {
        GossipMessage message;
        message.m_type = GossipType::PingRequest;
        message.m_sequence = core.m_probe->m_sequence;
        message.m_probeTarget = core.m_probe->m_member;
        const bool sent = sendMessage(core, now, destinationOf(core.m_members.at(helper)),
                                      std::move(message), actions);
        core.m_probe->m_helpers += sent ? 1 : 0;
    }
}

void finishProbe(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (!core.m_probe) {
        return;
    }
    const MemberProbe probe = *core.m_probe;
    core.m_probe.reset();
    if (probe.m_acknowledged) {
        membershipdetails::changeAwareness(core, -1);
        return;
    }
    // Helpers that did not even refuse point to a fault of this node.
    if (probe.m_nacks < probe.m_helpers) {
        membershipdetails::changeAwareness(core, 1);
    }
    membershipdetails::suspectMember(core, now, probe.m_member, actions);
}

void advancePeriod(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextPeriod) {
        return;
    }
    core.m_nextPeriod = now + core.m_options.m_period;
    finishProbe(core, now, actions);
    startProbe(core, now, actions);
}

//! @brief Contacts nodes that are not known to live, so that lost ones find each other again.
void contactSeed(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextSeed) {
        return;
    }
    const bool joining = core.m_seedContacts < core.m_seeds.size();
    core.m_nextSeed = now + (joining ? firstSeedInterval : seedInterval);
    std::vector<Destination> silent;
    for (const std::pair<const std::string, MembershipSeed> &entry : core.m_seeds) {
        if (!core.m_members.contains(entry.first)) {
            silent.push_back({entry.first, entry.second.m_address, entry.second.m_peerPort});
        }
    }
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        if (entry.second.m_update.m_state == MemberState::Dead) {
            silent.push_back(destinationOf(entry.second));
        }
    }
    if (!silent.empty()) {
        ++core.m_seedContacts;
        sendPing(core, now, takeRandom(core.m_random, silent), ++core.m_sequence, actions);
    }
}

//! @brief Probes delegates of other data centres; now and then a random node there, in case the
//! view of the delegates is out of date.
void probeAcross(MembershipCore &core, TimePoint now, const std::string &dataCentre,
                 MembershipActions &actions)
{
    constexpr std::uint64_t strayShare = 4;
    std::vector<std::string> names = delegatesOf(core, dataCentre);
    if (nextRandomBelow(core.m_random, strayShare) == 0) {
        names = membershipdetails::liveMembers(core, dataCentre);
    }
    const std::string name = takeRandom(core.m_random, names);
    sendPing(core, now, destinationOf(core.m_members.at(name)), ++core.m_sequence, actions);
}

void advanceCross(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    const std::set<std::string> others = membershipdetails::otherDataCentres(core);
    if (others.empty()) {
        return;
    }
    if (membershipdetails::isDelegate(core)) {
        for (const std::string &dataCentre : others) {
            TimePoint &next = core.m_nextCross[dataCentre];
            if (now >= next) {
                next = now + core.m_options.m_crossPeriod;
                probeAcross(core, now, dataCentre, actions);
            }
        }
        return;
    }
    if (now >= core.m_nextStrayCross) {
        core.m_nextStrayCross = now + core.m_options.m_strayCrossPeriod;
        std::vector<std::string> names(others.begin(), others.end());
        probeAcross(core, now, takeRandom(core.m_random, names), actions);
    }
}

void advanceRelays(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    std::vector<RelayedProbe> late;
    std::erase_if(core.m_relays,
                  [now, &late](const std::pair<const std::uint64_t, RelayedProbe> &entry) {
                      if (now < entry.second.m_nackAt) {
                          return false;
                      }
                      late.push_back(entry.second);
                      return true;
                  });
    for (const RelayedProbe &relay : late) {
        GossipMessage message;
        message.m_type = GossipType::Nack;
        message.m_sequence = relay.m_originSequence;
        sendMessage(core, now, {relay.m_origin, relay.m_address, relay.m_port}, std::move(message),
                    actions);
    }
}

void advanceSync(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (now < core.m_nextSync) {
        return;
    }
    std::vector<MemberUpdate> peers = usableMembers(core, now);
    if (peers.empty()) {
        return;
    }
    core.m_nextSync = now + core.m_options.m_syncInterval;
    actions.emplace_back(PullMembership{takeRandom(core.m_random, peers).m_name});
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

void observeVms(MembershipCore &core, TimePoint now, const std::vector<VmHint> &vms,
                MembershipActions &actions)
{
    for (const VmHint &vm : vms) {
        const auto seed = core.m_seeds.find(vm.m_name);
        if (seed != core.m_seeds.end() && !vm.m_leaving) {
            seed->second.m_address = vm.m_address;
        }
    }
    if (core.m_options.m_mutant != MembershipMutant::VmListKills) {
        return;
    }
    std::vector<MemberUpdate> dead;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const auto listed = std::find_if(vms.begin(), vms.end(), [&entry](const VmHint &vm) {
            return vm.m_name == entry.first && !vm.m_leaving;
        });
        if (listed == vms.end()) {
            dead.push_back(entry.second.m_update);
            dead.back().m_state = MemberState::Dead;
        }
    }
    for (const MemberUpdate &update : dead) {
        membershipdetails::applyMember(core, now, update, actions);
    }
}

void advanceTime(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    membershipdetails::notePause(core, now);
    if (core.m_leaving) {
        if (core.m_pushPending) {
            membershipdetails::pushUrgent(core, now, actions);
        }
        return;
    }
    startIndirectProbes(core, now, actions);
    advancePeriod(core, now, actions);
    advanceRelays(core, now, actions);
    membershipdetails::advanceSuspicions(core, now, actions);
    contactSeed(core, now, actions);
    membershipdetails::repeatPush(core, now, actions);
    advanceCross(core, now, actions);
    advanceSync(core, now, actions);
    membershipdetails::advanceTargetProbes(core, now, actions);
    if (core.m_pushPending) {
        membershipdetails::pushUrgent(core, now, actions);
    }
}

TimePoint nextWakeUp(const MembershipCore &core)
{
    TimePoint next =
        std::min({core.m_nextPeriod, core.m_nextSeed, membershipdetails::nextTargetProbe(core)});
    if (core.m_probe && !core.m_probe->m_indirect && !core.m_probe->m_acknowledged) {
        next = std::min(next, core.m_probe->m_indirectAt);
    }
    for (const std::pair<const std::uint64_t, RelayedProbe> &entry : core.m_relays) {
        next = std::min(next, entry.second.m_nackAt);
    }
    if (core.m_repeatsLeft > 0) {
        next = std::min(next, core.m_nextRepeat);
    }
    if (core.m_pushPending) {
        next = std::min(next, core.m_nextPush);
    }
    return next;
}

} // namespace arbutusgrade
