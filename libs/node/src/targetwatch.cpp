#include "details/targetwatch.h"

namespace arbutusgrade {

TargetWatch::TargetWatch(TargetClient &targets, StoreClient &store, Duration probeInterval,
                         Duration vmListInterval, std::uint64_t seed)
    : m_targets(targets), m_store(store), m_probeInterval(probeInterval),
      m_vmListInterval(vmListInterval), m_random{seed}
{
}

void TargetWatch::addObserver(Observer observer)
{
    m_observers.push_back(std::move(observer));
}

void TargetWatch::setProberRule(std::function<bool(const TargetSettings &)> rule)
{
    m_proberRule = std::move(rule);
}

void TargetWatch::setVmListRule(std::function<bool()> rule)
{
    m_vmListRule = std::move(rule);
}

void TargetWatch::setTargets(const Settings &settings, const std::string &dataCentre)
{
    m_dataCentre = dataCentre;
    const TimePoint now = steadyNow();
    std::unordered_map<std::string, WatchedTarget> watched;
    for (const GroupSettings &group : settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            for (const TargetSettings &target : service.m_targets) {
                const std::unordered_map<std::string, WatchedTarget>::const_iterator known =
                    m_watched.find(target.m_name);
                // A random first time spreads the probes of all targets over the interval.
                const TimePoint next =
                    known != m_watched.end()
                        ? known->second.m_nextProbe
                        : now
                              + Duration(static_cast<std::int64_t>(nextRandomBelow(
                                  m_random, static_cast<std::uint64_t>(m_probeInterval.count()))));
                watched[target.m_name] = WatchedTarget{target, next};
            }
        }
    }
    m_watched = std::move(watched);
}

void TargetWatch::tick(TimePoint now)
{
    for (std::pair<const std::string, WatchedTarget> &entry : m_watched) {
        if (now >= entry.second.m_nextProbe) {
            probe(entry.second, now);
        }
    }
    if (now >= m_nextVmList && !m_vmListPending && !m_watched.empty()) {
        pollVmList(now);
    }
}

bool TargetWatch::isProber(const TargetSettings &target) const
{
    return m_proberRule ? m_proberRule(target) : target.m_dataCentre == m_dataCentre;
}

void TargetWatch::probe(WatchedTarget &target, TimePoint now)
{
    target.m_nextProbe = now + m_probeInterval;
    if (!isProber(target.m_settings)) {
        return;
    }
    // Without a free connection the replies of the attempts that hold them say the same.
    m_targets.probe(target.m_settings.m_name,
                    [this](const TargetObservation &observation) { report(observation); });
}

void TargetWatch::pollVmList(TimePoint now)
{
    m_nextVmList = now + m_vmListInterval;
    if (m_vmListRule && !m_vmListRule()) {
        return;
    }
    m_vmListPending = true;
    m_store.listVms([this](const std::optional<std::vector<VmEntry>> &entries) {
        m_vmListPending = false;
        if (!entries) {
            return;
        }
        for (const VmEntry &entry : *entries) {
            if (entry.m_leaving && m_watched.contains(entry.m_name)) {
                TargetObservation observation;
                observation.m_target = entry.m_name;
                observation.m_draining = true;
                report(observation);
            }
        }
    });
}

void TargetWatch::report(const TargetObservation &observation) const
{
    for (const Observer &observer : m_observers) {
        observer(observation);
    }
}

} // namespace arbutusgrade
