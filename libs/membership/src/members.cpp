#include <algorithm>
#include <bit>
#include <cmath>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

using membershipdetails::initialTransmits;
using membershipdetails::pushUrgentUpdates;

constexpr int maximumAwareness = 4;
//! Revision updates are sent less often, since each message also carries its sender's revision.
constexpr int revisionUpdateTransmits = 3;
//! Further accusers do not shorten the suspicion timeout.
constexpr std::size_t maximumAccusers = 3;

//! @brief Refutes an update that contradicts this node's own state by raising the incarnation.
void refute(MembershipCore &core, TimePoint now, const MemberUpdate &update,
            MembershipActions &actions)
{
    const bool isConsistent =
        update.m_state == MemberState::Alive && update.m_incarnation <= core.m_self.m_incarnation;
    if (isConsistent || update.m_incarnation < core.m_self.m_incarnation || core.m_leaving
        || core.m_options.m_mutant == MembershipMutant::NoRefutation) {
        return;
    }
    core.m_self.m_incarnation = update.m_incarnation + 1;
    core.m_selfRemainingTransmits = initialTransmits(core);
    ++core.m_statistics.m_refutations;
    membershipdetails::adjustAwareness(core, 1);
    pushUrgentUpdates(core, now, actions);
}

//! @brief Returns whether the update takes precedence over the known state.
bool supersedes(const MemberUpdate &update, const MemberUpdate &known)
{
    if (update.m_incarnation != known.m_incarnation) {
        return update.m_incarnation > known.m_incarnation;
    }
    return update.m_state > known.m_state;
}

//! @brief Copies the endpoint if the update includes one.
void copyEndpoint(const MemberUpdate &from, MemberUpdate &to)
{
    if (from.m_address.empty()) {
        return;
    }
    to.m_dataCentre = from.m_dataCentre;
    to.m_address = from.m_address;
    to.m_peerPort = from.m_peerPort;
    to.m_callerPort = from.m_callerPort;
}

//! @brief Sets a missing endpoint from the seed node of that name.
void setEndpointFromSeed(const MembershipCore &core, MemberUpdate &update)
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
    setEndpointFromSeed(core, member.m_update);
    if (member.m_update.m_address.empty()) {
        return;
    }
    member.m_stateSince = now;
    member.m_remainingTransmits = initialTransmits(core);
    if (update.m_state == MemberState::Suspect) {
        member.m_accusers.insert(update.m_accuser);
    }
    core.m_members[update.m_name] = std::move(member);
    core.m_proberChoiceOutdated = true;
    actions.emplace_back(MembersChanged{});
}

void confirmSuspicion(MembershipCore &core, Member &member, const std::string &accuser)
{
    if (accuser.empty() || member.m_accusers.size() >= maximumAccusers
        || !member.m_accusers.insert(accuser).second) {
        return;
    }
    member.m_update.m_accuser = accuser;
    member.m_remainingTransmits = initialTransmits(core);
}

void replaceState(MembershipCore &core, TimePoint now, Member &member, const MemberUpdate &update,
                  MembershipActions &actions)
{
    const bool wasLive = membershipdetails::isLive(member.m_update.m_state);
    const bool isLive = membershipdetails::isLive(update.m_state);
    const bool addressChanged =
        !update.m_address.empty() && update.m_address != member.m_update.m_address;
    const bool restarted = update.m_incarnation > member.m_update.m_incarnation;
    const std::int64_t revision =
        restarted ? update.m_revision : std::max(update.m_revision, member.m_update.m_revision);
    copyEndpoint(update, member.m_update);
    member.m_update.m_incarnation = update.m_incarnation;
    member.m_update.m_state = update.m_state;
    member.m_update.m_revision = revision;
    member.m_update.m_accuser = update.m_accuser;
    member.m_accusers.clear();
    if (update.m_state == MemberState::Suspect) {
        member.m_accusers.insert(update.m_accuser);
    }
    member.m_stateSince = now;
    member.m_remainingTransmits = initialTransmits(core);
    member.m_includeEndpoint = restarted;
    if (wasLive != isLive || addressChanged) {
        core.m_proberChoiceOutdated = true;
        actions.emplace_back(MembersChanged{});
    }
}

//! @brief Schedules a sync if the outcome of a suspicion in another data centre is overdue.
//!
//! If all datagrams with the outcome are lost, the member would stay suspected until the next
//! periodic sync.
void syncOverdueSuspicions(MembershipCore &core, TimePoint now)
{
    const Duration overdueAfter = 2 * core.m_options.m_maximumSuspicionTimeout;
    for (std::pair<const std::string, Member> &entry : core.m_members) {
        Member &member = entry.second;
        if (member.m_update.m_state == MemberState::Suspect
            && member.m_update.m_dataCentre != core.m_options.m_dataCentre
            && now - member.m_stateSince >= overdueAfter) {
            member.m_stateSince = now;
            core.m_nextSync = now;
        }
    }
}

//! @brief Returns the timeout of a suspicion, which decreases with the number of accusers.
Duration suspicionTimeout(const MembershipCore &core, const Member &member)
{
    const std::vector<std::string> peers =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    const std::size_t possibleAccusers = std::min(maximumAccusers, peers.size());
    const double maximum = static_cast<double>(core.m_options.m_maximumSuspicionTimeout.count());
    const double minimum = static_cast<double>(core.m_options.m_minimumSuspicionTimeout.count());
    double timeout = maximum;
    if (possibleAccusers > 1 && !member.m_accusers.empty()) {
        const double share = std::log(static_cast<double>(member.m_accusers.size()))
                             / std::log(static_cast<double>(possibleAccusers));
        timeout = std::max(minimum, maximum - (maximum - minimum) * share);
    }
    // A node that loses replies itself must be slower to declare others dead.
    timeout *= 1.0 + 0.5 * core.m_awareness;
    return Duration(static_cast<std::int64_t>(timeout));
}

void removeExpiredEntries(MembershipCore &core, TimePoint now)
{
    std::erase_if(core.m_members, [&core, now](const std::pair<const std::string, Member> &entry) {
        return !membershipdetails::isLive(entry.second.m_update.m_state)
               && now - entry.second.m_stateSince > core.m_options.m_tombstoneRetention;
    });
    std::erase_if(core.m_quarantines,
                  [now](const std::pair<const std::uint64_t, QuarantineEntry> &entry) {
                      return now >= entry.second.m_expiresAt;
                  });
}

} // namespace

namespace membershipdetails {

bool isLive(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

int initialTransmits(const MembershipCore &core) noexcept
{
    const std::size_t nodes = core.m_members.size() + 2;
    return 2 * static_cast<int>(std::bit_width(nodes));
}

void adjustAwareness(MembershipCore &core, int change) noexcept
{
    core.m_awareness = std::clamp(core.m_awareness + change, 0, maximumAwareness);
}

void detectPause(MembershipCore &core, TimePoint now)
{
    const Duration gap = now - core.m_lastCall;
    core.m_lastCall = now;
    if (gap <= core.m_options.m_pauseThreshold
        || core.m_options.m_mutant == MembershipMutant::IgnorePause) {
        return;
    }
    ++core.m_statistics.m_pauses;
    core.m_awareness = maximumAwareness;
    core.m_pauseGraceEnd = now + core.m_options.m_pauseGracePeriod;
    core.m_probe.reset();
    core.m_relayedProbes.clear();
    core.m_nextProbePeriod = now + core.m_options.m_probePeriod;
    core.m_nextSync = now;
    // Acknowledgements and refutations that arrived during the pause were missed.
    for (std::pair<const std::string, Member> &entry : core.m_members) {
        if (entry.second.m_update.m_state == MemberState::Suspect) {
            entry.second.m_stateSince = now;
        }
    }
    for (std::pair<const std::string, TimePoint> &entry : core.m_lastHeardFrom) {
        entry.second += gap;
    }
}

void applyMemberUpdate(MembershipCore &core, TimePoint now, const MemberUpdate &update,
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
        copyEndpoint(update, member.m_update);
    }
    if (update.m_revision > member.m_update.m_revision) {
        member.m_update.m_revision = update.m_revision;
        member.m_includeEndpoint = member.m_includeEndpoint && member.m_remainingTransmits > 0;
        member.m_remainingTransmits =
            std::max(member.m_remainingTransmits, revisionUpdateTransmits);
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
    applyMemberUpdate(core, now, update, actions);
}

void expireSuspicions(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    syncOverdueSuspicions(core, now);
    std::vector<MemberUpdate> dead;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const Member &member = entry.second;
        // Only nodes of the same data centre declare a member dead; the others receive the update.
        if (member.m_update.m_state != MemberState::Suspect
            || member.m_update.m_dataCentre != core.m_options.m_dataCentre
            || now < core.m_pauseGraceEnd
            || now - member.m_stateSince < suspicionTimeout(core, member)) {
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
        applyMemberUpdate(core, now, update, actions);
    }
    removeExpiredEntries(core, now);
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

std::set<std::string> reachableDataCentres(const MembershipCore &core, TimePoint now)
{
    constexpr std::int64_t missedProbeLimit = 6;
    const std::set<std::string> others = otherDataCentres(core);
    const Duration period = isDelegate(core) ? core.m_options.m_delegateProbePeriod
                                             : core.m_options.m_nonDelegateProbePeriod
                                                   * static_cast<std::int64_t>(others.size());
    std::set<std::string> reachable{core.m_options.m_dataCentre};
    for (const std::pair<const std::string, TimePoint> &entry : core.m_lastHeardFrom) {
        if (now - entry.second <= missedProbeLimit * period) {
            reachable.insert(entry.first);
        }
    }
    return reachable;
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
    core.m_selfRemainingTransmits = initialTransmits(core);
    core.m_byteTokens = options.m_byteBurst;
    core.m_byteTokensRefilledAt = now;
    core.m_lastCall = now;
    core.m_nextProbePeriod = now;
    core.m_nextSeedContact = now;
    core.m_nextNonDelegateProbe = now;
    core.m_nextSync = now;
    core.m_nextPush = now;
    return core;
}

std::vector<MemberView> memberViews(const MembershipCore &core, TimePoint now)
{
    const std::set<std::string> reachable = membershipdetails::reachableDataCentres(core, now);
    std::vector<MemberView> views;
    MemberUpdate self = core.m_self;
    self.m_state = core.m_leaving ? MemberState::Left : MemberState::Alive;
    views.push_back({std::move(self), true});
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const MemberUpdate &update = entry.second.m_update;
        views.push_back({update, reachable.contains(update.m_dataCentre)});
    }
    std::sort(views.begin(), views.end(), [](const MemberView &left, const MemberView &right) {
        return left.m_member.m_name < right.m_member.m_name;
    });
    return views;
}

std::vector<MemberUpdate> usableMembers(const MembershipCore &core, TimePoint now)
{
    const std::set<std::string> reachable = membershipdetails::reachableDataCentres(core, now);
    std::vector<MemberUpdate> usable;
    for (const std::pair<const std::string, Member> &entry : core.m_members) {
        const MemberUpdate &update = entry.second.m_update;
        if (membershipdetails::isLive(update.m_state) && reachable.contains(update.m_dataCentre)) {
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
