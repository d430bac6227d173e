#include <algorithm>

#include "details/core.h"
#include "membership/membership.h"

namespace arbutusgrade {

namespace {

//! Consecutive failed probes before a target is reported unreachable; a single probe may be lost.
constexpr int unreachableFailureThreshold = 2;
//! A target that became reachable is not reported unreachable for this long, so that probers that
//! disagree do not publish alternating states.
constexpr Duration unreachableHoldOff{10'000'000};
//! Consecutive contradicting probes that end draining; health reports lag behind replies.
constexpr int drainContradictionThreshold = 5;

bool sameContent(const SharedTargetState &left, const SharedTargetState &right)
{
    return left.m_startId == right.m_startId && left.m_reachable == right.m_reachable
           && left.m_draining == right.m_draining && left.m_holdings == right.m_holdings;
}

//! @brief Total order of different states with equal sequence, so that all nodes converge.
bool winsTieBreak(const SharedTargetState &left, const SharedTargetState &right)
{
    if (left.m_draining != right.m_draining) {
        return left.m_draining;
    }
    if (left.m_reachable != right.m_reachable) {
        return left.m_reachable;
    }
    if (left.m_holdings != right.m_holdings) {
        return left.m_holdings > right.m_holdings;
    }
    return left.m_startId > right.m_startId;
}

//! @brief Selects the targets that this node probes, by rendezvous hashing over its data centre.
void chooseProbers(MembershipCore &core, TimePoint now)
{
    const std::vector<std::string> peers =
        membershipdetails::liveMembers(core, core.m_options.m_dataCentre);
    for (std::pair<const std::string, SharedTargetEntry> &entry : core.m_targets) {
        SharedTargetEntry &target = entry.second;
        if (target.m_dataCentre != core.m_options.m_dataCentre) {
            target.m_isProber = false;
            continue;
        }
        const std::uint64_t ownWeight = rendezvousWeight(entry.first, core.m_options.m_node);
        int higherWeights = 0;
        for (const std::string &peer : peers) {
            higherWeights += rendezvousWeight(entry.first, peer) > ownWeight ? 1 : 0;
        }
        const bool isProber = higherWeights < core.m_options.m_probersPerTarget;
        if (isProber && !target.m_isProber) {
            const std::uint64_t interval =
                static_cast<std::uint64_t>(core.m_options.m_targetProbeInterval.count());
            target.m_nextProbe =
                now + Duration(static_cast<std::int64_t>(nextRandomBelow(core.m_random, interval)));
        }
        target.m_isProber = isProber;
    }
}

//! @brief Publishes a state that differs from the shared state, with the next sequence number.
void publishTargetState(MembershipCore &core, TimePoint now, const SharedTargetEntry &known,
                        SharedTargetState state, MembershipActions &actions)
{
    if (known.m_state.m_sequence > 0 && sameContent(known.m_state, state)) {
        return;
    }
    state.m_sequence = known.m_state.m_sequence + 1;
    membershipdetails::applyTargetUpdate(core, now, state, actions);
}

} // namespace

namespace membershipdetails {

void applyTargetUpdate(MembershipCore &core, TimePoint now, const SharedTargetState &state,
                       MembershipActions &actions)
{
    const auto found = core.m_targets.find(state.m_target);
    if (found == core.m_targets.end() || state.m_sequence == 0) {
        return;
    }
    SharedTargetEntry &entry = found->second;
    const bool isNewer = state.m_sequence > entry.m_state.m_sequence;
    const bool winsTie = state.m_sequence == entry.m_state.m_sequence
                         && !sameContent(state, entry.m_state)
                         && winsTieBreak(state, entry.m_state);
    if (!isNewer && !winsTie) {
        return;
    }
    const bool startsDraining = state.m_draining && !entry.m_state.m_draining;
    if (state.m_reachable && !entry.m_state.m_reachable) {
        entry.m_reachableSince = now;
    }
    entry.m_state = state;
    // Pushes within the data centre use up the regular transmit count within half a second. The
    // update must also survive packet loss on the way to the other data centres.
    constexpr int drainTransmitFactor = 3;
    entry.m_remainingTransmits =
        initialTransmits(core) * (startsDraining ? drainTransmitFactor : 1);
    entry.m_drainContradictions = 0;
    actions.emplace_back(TargetStateChanged{state});
    if (startsDraining) {
        pushUrgentUpdates(core, now, actions);
    }
}

void advanceTargetProbes(MembershipCore &core, TimePoint now, MembershipActions &actions)
{
    if (core.m_proberChoiceOutdated) {
        core.m_proberChoiceOutdated = false;
        chooseProbers(core, now);
    }
    for (std::pair<const std::string, SharedTargetEntry> &entry : core.m_targets) {
        SharedTargetEntry &target = entry.second;
        if (target.m_isProber && now >= target.m_nextProbe) {
            target.m_nextProbe = now + core.m_options.m_targetProbeInterval;
            ++core.m_statistics.m_targetProbes;
            actions.emplace_back(ProbeTarget{entry.first});
        }
    }
}

TimePoint nextTargetProbeTime(const MembershipCore &core)
{
    TimePoint next = farFuture;
    for (const std::pair<const std::string, SharedTargetEntry> &entry : core.m_targets) {
        if (entry.second.m_isProber) {
            next = std::min(next, entry.second.m_nextProbe);
        }
    }
    return next;
}

} // namespace membershipdetails

void updateTargets(MembershipCore &core, TimePoint now, const std::vector<TargetLocation> &targets)
{
    std::map<std::string, SharedTargetEntry> entries;
    for (const TargetLocation &location : targets) {
        const auto known = core.m_targets.find(location.m_target);
        SharedTargetEntry &entry = entries[location.m_target];
        if (known != core.m_targets.end()) {
            entry = std::move(known->second);
        }
        entry.m_dataCentre = location.m_dataCentre;
        entry.m_state.m_target = location.m_target;
    }
    core.m_targets = std::move(entries);
    chooseProbers(core, now);
}

void handleTargetProbe(MembershipCore &core, TimePoint now, std::string_view target,
                       const std::optional<TargetProbeResult> &result, MembershipActions &actions)
{
    const auto found = core.m_targets.find(std::string(target));
    if (found == core.m_targets.end()) {
        return;
    }
    SharedTargetEntry &entry = found->second;
    SharedTargetState state = entry.m_state;
    if (!result) {
        ++entry.m_probeFailures;
        if (entry.m_probeFailures < unreachableFailureThreshold
            || now - entry.m_reachableSince < unreachableHoldOff) {
            return;
        }
        state.m_reachable = false;
        publishTargetState(core, now, entry, std::move(state), actions);
        return;
    }
    entry.m_probeFailures = 0;
    state.m_reachable = true;
    state.m_holdings = result->m_holdings;
    const bool contradicts =
        state.m_startId == result->m_startId && state.m_draining && !result->m_draining;
    entry.m_drainContradictions = contradicts ? entry.m_drainContradictions + 1 : 0;
    if (!contradicts || entry.m_drainContradictions >= drainContradictionThreshold) {
        state.m_draining = result->m_draining;
    }
    state.m_startId = result->m_startId;
    publishTargetState(core, now, entry, std::move(state), actions);
}

void shareDraining(MembershipCore &core, TimePoint now, std::string_view target,
                   MembershipActions &actions)
{
    const auto found = core.m_targets.find(std::string(target));
    if (found == core.m_targets.end() || found->second.m_state.m_draining) {
        return;
    }
    SharedTargetState state = found->second.m_state;
    state.m_draining = true;
    publishTargetState(core, now, found->second, std::move(state), actions);
}

} // namespace arbutusgrade
