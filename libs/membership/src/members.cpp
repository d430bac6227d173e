#include <algorithm>
#include <bit>
#include <cmath>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

using membershipdetails::pushUrgent;
using membershipdetails::transmitCount;

constexpr int highestAwareness = 4;
//! A change of revision is told less often, since each message states that of its sender.
constexpr int revisionTransmits = 3;
constexpr std::size_t usefulAccusers = 3;

//! @brief Answers an update against this node with a higher incarnation.
void refute(MembershipCore &core, TimePoint now, const MemberUpdate &update,
            MembershipActions &actions)
{
    const bool sameAsSelf =
        update.m_state == MemberState::Alive && update.m_incarnation <= core.m_self.m_incarnation;
    if (sameAsSelf || update.m_incarnation < core.m_self.m_incarnation || core.m_leaving
        || core.m_options.m_mutant == MembershipMutant::NoRefutation) {
        return;
    }
    core.m_self.m_incarnation = update.m_incarnation + 1;
    core.m_selfTransmits = transmitCount(core);
    ++core.m_statistics.m_refutations;
    membershipdetails::changeAwareness(core, 1);
    pushUrgent(core, now, actions);
}

bool supersedes(const MemberUpdate &update, const MemberUpdate &known)
{
    if (update.m_incarnation != known.m_incarnation) {
        return update.m_incarnation > known.m_incarnation;
    }
    return update.m_state > known.m_state;
}

//! @brief Takes over place and ports, which updates leave out when nothing changed.
void copyPlace(const MemberUpdate &from, MemberUpdate &to)
{
    if (from.m_address.empty()) {
        return;
    }
    to.m_dataCentre = from.m_dataCentre;
    to.m_address = from.m_address;
    to.m_peerPort = from.m_peerPort;
    to.m_callerPort = from.m_callerPort;
}

//! @brief Fills in the place of a member that was told without one.
void copyPlace(const MembershipCore &core, MemberUpdate &update)
{
    const auto seed = core.m_seeds.find(update.m_name);
    if (!update.m_address.empty() || seed == core.m_seeds.end()) {
        return;
    }
    update.m_dataCentre = seed->second.m_dataCentre;
    update.m_address = seed->second.m_address;
    update.m_peerPort = seed->second.m_peerPort;
    update.m_callerPort = seed->second.m_callerPort;
}

void addMember(MembershipCore &core, TimePoint now, const MemberUpdate &update,
               MembershipActions &actions)
{
    Member member;
    member.m_update = update;
    copyPlace(core, member.m_update);
    if (member.m_update.m_address.empty()) {
        return;
    }
    member.m_since = now;
    member.m_transmits = transmitCount(core);
    if (update.m_state == MemberState::Suspect) {
        member.m_accusers.insert(update.m_accuser);
    }
    core.m_members[update.m_name] = std::move(member);
    core.m_probersStale = true;
    actions.emplace_back(MembersChanged{});
}

void confirmSuspicion(MembershipCore &core, Member &member, const std::string &accuser)
{
    if (accuser.empty() || member.m_accusers.size() >= usefulAccusers
        || !member.m_accusers.insert(accuser).second) {
        return;
    }
    member.m_update.m_accuser = accuser;
    member.m_transmits = transmitCount(core);
}

void replaceState(MembershipCore &core, TimePoint now, Member &member, const MemberUpdate &update,
                  MembershipActions &actions)
{
    const bool wasLive = membershipdetails::isLive(member.m_update.m_state);
    const bool isLive = membershipdetails::isLive(update.m_state);
    const bool moved = !update.m_address.empty() && update.m_address != member.m_update.m_address;
    const bool restarted = update.m_incarnation > member.m_update.m_incarnation;
    const std::int64_t revision =
        restarted ? update.m_revision : std::max(update.m_revision, member.m_update.m_revision);
    copyPlace(update, member.m_update);
    member.m_update.m_incarnation = update.m_incarnation;
    member.m_update.m_state = update.m_state;
    member.m_update.m_revision = revision;
    member.m_update.m_accuser = update.m_accuser;
    member.m_accusers.clear();
    if (update.m_state == MemberState::Suspect) {
        member.m_accusers.insert(update.m_accuser);
    }
    member.m_since = now;
    member.m_transmits = transmitCount(core);
    member.m_tellPlace = restarted;
    if (wasLive != isLive || moved) {
        core.m_probersStale = true;
        actions.emplace_back(MembersChanged{});
    }
}

//! @brief Pulls the state from a peer if another data centre has not told what became of a
//! suspicion; with all datagrams about it lost, the member would stay suspected until the next
//! sync.
void pullOverdueVerdicts(MembershipCore &core, TimePoint now)
{
    const Duration patience = 2 * core.m_options.m_longestSuspicion;
    for (std::pair<const std::string, Member> &entry : core.m_members) {
        Member &member = entry.second;
        if (member.m_update.m_state == MemberState::Suspect
            && member.m_update.m_dataCentre != core.m_options.m_dataCentre
            && now - member.m_since >= patience) {
            member.m_since = now;
            core.m_nextSync = now;
        }
    }
}

Duration suspicionTime(const MembershipCore &core, const Member &member)
{
    const std::vector<std::string> peers =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    const std::size_t possible = std::min(usefulAccusers, peers.size());
    const double longest = static_cast<double>(core.m_options.m_longestSuspicion.count());
    const double shortest = static_cast<double>(core.m_options.m_shortestSuspicion.count());
    double time = longest;
    if (possible > 1 && !member.m_accusers.empty()) {
        const double share = std::log(static_cast<double>(member.m_accusers.size()))
                             / std::log(static_cast<double>(possible));
        time = std::max(shortest, longest - (longest - shortest) * share);
    }
    // A node that misses its own replies must not trust its verdict over others.
    time *= 1.0 + 0.5 * core.m_awareness;
    return Duration(static_cast<std::int64_t>(time));
}

void forgetOldEntries(MembershipCore &core, TimePoint now)
{
    std::erase_if(core.m_members, [&core, now](const std::pair<const std::string, Member> &entry) {
        return !membershipdetails::isLive(entry.second.m_update.m_state)
               && now - entry.second.m_since > core.m_options.m_tombstoneTime;
    });
    std::erase_if(core.m_quarantines,
                  [now](const std::pair<const std::uint64_t, QuarantineEntry> &entry) {
                      return now >= entry.second.m_until;
                  });
}

} // namespace

namespace membershipdetails {

bool isLive(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

int transmitCount(const MembershipCore &core) noexcept
{
    const std::size_t nodes = core.m_members.size() + 2;
    return 2 * static_cast<int>(std::bit_width(nodes));
}

void changeAwareness(MembershipCore &core, int change) noexcept
{
    core.m_awareness = std::clamp(core.m_awareness + change, 0, highestAwareness);
}

void notePause(MembershipCore &core, TimePoint now)
{
    const Duration gap = now - core.m_lastCall;
    core.m_lastCall = now;
    if (gap <= core.m_options.m_pauseLimit
        || core.m_options.m_mutant == MembershipMutant::IgnorePause) {
        return;
    }
    ++core.m_statistics.m_pauses;
    core.m_awareness = highestAwareness;
    core.m_noDeathBefore = now + core.m_options.m_pauseGrace;
    core.m_probe.reset();
    core.m_relays.clear();
    core.m_nextPeriod = now + core.m_options.m_period;
    core.m_nextSync = now;
    // The acknowledgements and refutations of the pause were not heard.
    for (std::pair<const std::string, Member> &entry : core.m_members) {
        if (entry.second.m_update.m_state == MemberState::Suspect) {
            entry.second.m_since = now;
        }
    }
    for (std::pair<const std::string, TimePoint> &entry : core.m_heardFrom) {
        entry.second += gap;
    }
}

void applyMember(MembershipCore &core, TimePoint now, const MemberUpdate &update,
                 MembershipActions &actions)
{
    if (update.m_name == core.m_options.m_node) {
        refute(core, now, update, actions);
        return;
    }
    const auto found = core.m_members.find(update.m_name);
    if (found == core.m_members.end()) {
        addMember(core, now, update, actions);
        return;
    }
    Member &member = found->second;
    if (supersedes(update, member.m_update)) {
        replaceState(core, now, member, update, actions);
        return;
    }
    if (update.m_incarnation != member.m_update.m_incarnation) {
        return;
    }
    if (update.m_state == MemberState::Suspect && member.m_update.m_state == update.m_state) {
        confirmSuspicion(core, member, update.m_accuser);
    }
    if (update.m_state == MemberState::Alive) {
        copyPlace(update, member.m_update);
    }
    if (update.m_revision > member.m_update.m_revision) {
        member.m_update.m_revision = update.m_revision;
        member.m_tellPlace = member.m_tellPlace && member.m_transmits > 0;
        member.m_transmits = std::max(member.m_transmits, revisionTransmits);
    }
}

void suspectMember(MembershipCore &core, TimePoint now, const std::string &name,
                   MembershipActions &actions)
{
    const auto found = core.m_members.find(name);
    if (found == core.m_members.end() || !isLive(found->second.m_update.m_state)) {
        return;
    }
    MemberUpdate update;
    update.m_name = name;
    update.m_incarnation = found->second.m_update.m_incarnation;
    update.m_state = MemberState::Suspect;
    update.m_accuser = core.m_options.m_node;
    if (core.m_options.m_mutant == MembershipMutant::NoSuspicion) {
        update.m_state = MemberState::Dead;
        ++core.m_statistics.m_deaths;
    }
    if (found->second.m_update.m_state == MemberState::Alive) {
        ++core.m_statistics.m_suspicions;
    }
    applyMember(core, now, update, actions);
}

void advanceSuspicions(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    pullOverdueVerdicts(core, now);
    std::vector<MemberUpdate> dead;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const Member &member = entry.second;
        // A data centre decides on its own members; the others hear of it.
        if (member.m_update.m_state != MemberState::Suspect
            || member.m_update.m_dataCentre != core.m_options.m_dataCentre
            || now < core.m_noDeathBefore || now - member.m_since < suspicionTime(core, member)) {
            continue;
        }
        MemberUpdate update;
        update.m_name = entry.first;
        update.m_incarnation = member.m_update.m_incarnation;
        update.m_state = MemberState::Dead;
        dead.push_back(std::move(update));
    }
    for (const MemberUpdate &update : dead) {
        ++core.m_statistics.m_deaths;
        applyMember(core, now, update, actions);
    }
    forgetOldEntries(core, now);
}

std::vector<std::string> liveMembers(const MembershipCore &core, std::string_view dataCentre)
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        if (isLive(entry.second.m_update.m_state)
            && entry.second.m_update.m_dataCentre == dataCentre) {
            names.push_back(entry.first);
        }
    }
    return names;
}

std::set<std::string> otherDataCentres(const MembershipCore &core)
{
    std::set<std::string> names;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        if (isLive(entry.second.m_update.m_state)) {
            names.insert(entry.second.m_update.m_dataCentre);
        }
    }
    names.erase(core.m_options.m_dataCentre);
    return names;
}

bool isDelegate(const MembershipCore &core)
{
    const std::vector<std::string> delegates = delegatesOf(core, core.m_options.m_dataCentre);
    return std::find(delegates.begin(), delegates.end(), core.m_options.m_node) != delegates.end();
}

std::set<std::string> heardDataCentres(const MembershipCore &core, TimePoint now)
{
    constexpr std::int64_t missedProbes = 6;
    const std::set<std::string> others = otherDataCentres(core);
    const Duration period = isDelegate(core) ? core.m_options.m_crossPeriod
                                             : core.m_options.m_strayCrossPeriod
                                                   * static_cast<std::int64_t>(others.size());
    std::set<std::string> heard{core.m_options.m_dataCentre};
    for (const std::pair<const std::string, TimePoint> &entry : core.m_heardFrom) {
        if (now - entry.second <= missedProbes * period) {
            heard.insert(entry.first);
        }
    }
    return heard;
}

} // namespace membershipdetails

std::string_view memberStateName(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    }
    return "unknown";
}

MembershipCore createMembershipCore(TimePoint now, const MembershipOptions &options)
{
    MembershipCore core;
    core.m_options = options;
    core.m_random.m_state = options.m_seed;
    core.m_self.m_name = options.m_node;
    core.m_self.m_incarnation = options.m_incarnation;
    core.m_self.m_dataCentre = options.m_dataCentre;
    core.m_self.m_address = options.m_address;
    core.m_self.m_peerPort = options.m_peerPort;
    core.m_self.m_callerPort = options.m_callerPort;
    core.m_selfTransmits = transmitCount(core);
    core.m_tokens = options.m_byteBurst;
    core.m_tokensAt = now;
    core.m_lastCall = now;
    core.m_nextPeriod = now;
    core.m_nextSeed = now;
    core.m_nextStrayCross = now;
    core.m_nextSync = now;
    core.m_nextPush = now;
    return core;
}

std::vector<MemberView> memberViews(const MembershipCore &core, TimePoint now)
{
    const std::set<std::string> heard = membershipdetails::heardDataCentres(core, now);
    std::vector<MemberView> views;
    MemberUpdate self = core.m_self;
    self.m_state = core.m_leaving ? MemberState::Left : MemberState::Alive;
    views.push_back({std::move(self), true});
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const MemberUpdate &update = entry.second.m_update;
        views.push_back({update, heard.contains(update.m_dataCentre)});
    }
    std::sort(views.begin(), views.end(), [](const MemberView &left, const MemberView &right) {
        return left.m_member.m_name < right.m_member.m_name;
    });
    return views;
}

std::vector<MemberUpdate> usableMembers(const MembershipCore &core, TimePoint now)
{
    const std::set<std::string> heard = membershipdetails::heardDataCentres(core, now);
    std::vector<MemberUpdate> usable;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const MemberUpdate &update = entry.second.m_update;
        if (membershipdetails::isLive(update.m_state) && heard.contains(update.m_dataCentre)) {
            usable.push_back(update);
        }
    }
    return usable;
}

std::vector<std::string> delegatesOf(const MembershipCore &core, std::string_view dataCentre)
{
    constexpr std::size_t delegateCount = 2;
    std::vector<std::string> names = membershipdetails::liveMembers(core, dataCentre);
    if (dataCentre == core.m_options.m_dataCentre) {
        names.push_back(core.m_options.m_node);
    }
    const std::string key = "delegate/" + std::string(dataCentre);
    std::sort(names.begin(), names.end(),
              [&key](const std::string &left, const std::string &right) {
                  return rendezvousWeight(key, left) < rendezvousWeight(key, right);
              });
    names.resize(std::min(names.size(), delegateCount));
    return names;
}

} // namespace arbutusgrade
