#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

namespace {

// Some targets elsewhere are always down; a cut is taken for sure when several connections have
// failed and nothing came from there in the time of a few round trips and a pause.
constexpr int cutOffFailures = 4;
constexpr Duration cutOffSilence{400'000};

// A target that lost a request is probed after this time: one that crashed takes no connection
// then, one that only lost its reply does.
constexpr Duration crashProbeDelay{60'000};

// A request counts as the cause of a crash if the target takes no connection within this time.
constexpr Duration crashMemory{2'500'000};

} // namespace

bool ForwardEngine::Implementation::isReachable(TimePoint now, const std::string &service) const
{
    const std::unordered_map<std::string, std::vector<TargetPointer>>::const_iterator found =
        m_registry.m_byService.find(service);
    return found != m_registry.m_byService.end() && isAvailable(found->second, now);
}

bool ForwardEngine::Implementation::canServe(TimePoint now, const Route &route,
                                             const ServiceState *single) const
{
    if (single != nullptr) {
        return isReachable(now, single->m_name);
    }
    const std::ptrdiff_t reachable =
        std::count_if(route.m_shards.begin(), route.m_shards.end(),
                      [&](const std::string &shard) { return isReachable(now, shard); });
    return hasEnoughShards(route, static_cast<std::size_t>(reachable));
}

void ForwardEngine::Implementation::probeDownTargets(TimePoint now)
{
    for (const std::pair<const std::string, TargetPointer> &entry : m_registry.m_targets) {
        Target &target = *entry.second;
        const bool isInDoubt = target.m_down || !target.m_lost.empty();
        if (isInDoubt && !target.m_probing && now >= target.m_probeAt
            && acceptsRequests(target, now)) {
            target.m_probing = true;
            ++m_statistics.m_probes;
            m_output.probe(entry.second);
        }
    }
}

void ForwardEngine::Implementation::noteLostRequest(TimePoint now, Target &target,
                                                    std::uint64_t fingerprint)
{
    target.m_lost.push_back(LostRequest{fingerprint, now});
    target.m_probeAt = now + crashProbeDelay;
    addTimer(target.m_probeAt, TimerKind::Probe, 0);
}

void ForwardEngine::Implementation::noteNoConnection(TimePoint now, Target &target)
{
    for (const LostRequest &lost : target.m_lost) {
        if (now - lost.m_at < crashMemory) {
            m_output.shareCrashes(lost.m_fingerprint,
                                  countCrash(m_crashes, now, lost.m_fingerprint));
        }
    }
    target.m_lost.clear();
    learnFailure(target, now, TargetFailure::ConnectFailed);
    addTimer(target.m_probeAt, TimerKind::Probe, 0);
}

void ForwardEngine::Implementation::noteElsewhere(TimePoint now, const Target &target, bool reached)
{
    if (target.m_entry.m_dataCentre == m_options.m_dataCentre) {
        return;
    }
    if (reached) {
        m_lastElsewhere = now;
        m_failuresElsewhere = 0;
    } else {
        ++m_failuresElsewhere;
    }
}

bool ForwardEngine::Implementation::isCutOff(TimePoint now) const
{
    return now < m_unreachableUntil && m_failuresElsewhere >= cutOffFailures
           && now - m_lastElsewhere > cutOffSilence;
}

void ForwardEngine::probeEnded(TimePoint now, const TargetPointer &target, bool connected)
{
    target->m_probing = false;
    m_implementation->noteElsewhere(now, *target, connected);
    if (!connected) {
        m_implementation->noteNoConnection(now, *target);
        return;
    }
    learnReachable(*target, now);
    registryChanged(now);
}

bool ForwardEngine::isCutOff(TimePoint now) const
{
    return m_implementation->isCutOff(now);
}

} // namespace arbutusgrade
