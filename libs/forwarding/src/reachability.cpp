#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

// Some targets in other data centres are always down. The node therefore counts as isolated only
// after several failed connections to them and no contact for longer than a few round trips and a
// target pause.
constexpr int isolationFailureThreshold = 4;
constexpr Duration isolationSilence = 400ms;

} // namespace

bool ForwardEngine::Implementation::isServiceReachable(TimePoint now,
                                                       const std::string &service) const
{
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator found =
        m_registry.m_targetsByService.find(service);
    return found != m_registry.m_targetsByService.end() && hasAvailableTarget(found->second, now);
}

std::optional<Duration> ForwardEngine::Implementation::timeUntilReachable(
    TimePoint now, const std::string &service) const
{
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator found =
        m_registry.m_targetsByService.find(service);
    return found == m_registry.m_targetsByService.end() ? std::nullopt
                                                        : timeUntilAvailable(found->second, now);
}

bool ForwardEngine::Implementation::hasEvacuatedTarget(const std::string &service) const
{
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator found =
        m_registry.m_targetsByService.find(service);
    return found != m_registry.m_targetsByService.end()
           && std::any_of(found->second.begin(), found->second.end(),
                          [](const TargetPointer &target) { return target->m_evacuated; });
}

bool ForwardEngine::Implementation::isAffectedByEvacuation(const Route &route,
                                                           const ServiceState *singleService) const
{
    if (singleService != nullptr) {
        return hasEvacuatedTarget(singleService->m_name);
    }
    return std::any_of(route.m_shards.begin(), route.m_shards.end(),
                       [this](const std::string &shard) { return hasEvacuatedTarget(shard); });
}

std::optional<Duration> ForwardEngine::Implementation::timeUntilServable(
    TimePoint now, const PendingRequest &pending) const
{
    const Route &route = *pending.m_route;
    if (route.m_shards.empty()) {
        return timeUntilReachable(now, pending.m_subrequests.front().m_service->m_name);
    }
    std::vector<Duration> times;
    for (const std::string &shard : route.m_shards) {
        if (const std::optional<Duration> time = timeUntilReachable(now, shard)) {
            times.push_back(*time);
        }
    }
    std::sort(times.begin(), times.end());
    for (std::size_t included = 1; included <= times.size(); ++included) {
        if (hasEnoughShards(route, included)) {
            return times[included - 1];
        }
    }
    return std::nullopt;
}

void ForwardEngine::Implementation::probeDownTargets(TimePoint now)
{
    for (const std::pair<const std::string, TargetPointer> &entry : m_registry.m_targets) {
        Target &target = *entry.second;
        const bool needsProbe = target.m_down || !target.m_lostRequests.empty();
        if (needsProbe && !target.m_probeInFlight && now >= target.m_nextProbeAt
            && acceptsRequests(target, now)) {
            target.m_probeInFlight = true;
            ++m_statistics.m_probes;
            m_output.probe(entry.second);
        }
    }
}

void ForwardEngine::Implementation::recordConnectFailure(TimePoint now, Target &target)
{
    recordCrashes(now, target);
    recordFailure(target, now, TargetFailure::ConnectFailed);
    addTimer(target.m_nextProbeAt, TimerKind::Probe, 0);
    failUnreachableQueue(now, serviceState(target.m_entry.m_service));
}

void ForwardEngine::Implementation::recordRemoteContact(TimePoint now, const Target &target,
                                                        bool connected)
{
    if (target.m_entry.m_dataCentre == m_options.m_dataCentre) {
        return;
    }
    if (connected) {
        m_lastRemoteContact = now;
        m_remoteConnectFailures = 0;
    } else {
        ++m_remoteConnectFailures;
    }
}

bool ForwardEngine::Implementation::isIsolated(TimePoint now) const
{
    return now < m_unreachableUntil && m_remoteConnectFailures >= isolationFailureThreshold
           && now - m_lastRemoteContact > isolationSilence;
}

void ForwardEngine::probeEnded(TimePoint now, const TargetPointer &target, bool connected)
{
    target->m_probeInFlight = false;
    m_implementation->recordRemoteContact(now, *target, connected);
    if (!connected) {
        m_implementation->recordConnectFailure(now, *target);
        return;
    }
    recordReachable(*target, now);
    registryChanged(now);
}

bool ForwardEngine::isIsolated(TimePoint now) const
{
    return m_implementation->isIsolated(now);
}

} // namespace arbutusgrade
