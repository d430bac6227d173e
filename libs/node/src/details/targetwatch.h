#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "settings/settings.h"
#include "transport/transport.h"

namespace arbutusgrade {

//! @brief Polls the health of targets and the platform's list of VMs.
class TargetWatch
{
public:
    using Observer = std::function<void(const TargetObservation &)>;

    TargetWatch(TargetClient &targets, StoreClient &store, Duration probeInterval,
                Duration vmListInterval, std::uint64_t seed);

    //! @brief Receives all observations; the engine comes first.
    void addObserver(Observer observer);

    void setProberRule(std::function<bool(const TargetSettings &)> rule);
    void setVmListRule(std::function<bool()> rule);

    //! @brief Takes the targets of the settings; known ones keep their time of the next probe.
    void setTargets(const Settings &settings, const std::string &dataCentre);

    //! @brief Starts the polls that are due.
    void tick(TimePoint now);

private:
    struct WatchedTarget
    {
        TargetSettings m_settings;
        TimePoint m_nextProbe;
    };

    bool isProber(const TargetSettings &target) const;
    void probe(WatchedTarget &target, TimePoint now);
    void pollVmList(TimePoint now);
    void report(const TargetObservation &observation) const;

    TargetClient &m_targets;
    StoreClient &m_store;
    Duration m_probeInterval;
    Duration m_vmListInterval;
    RandomGenerator m_random;
    std::vector<Observer> m_observers;
    std::function<bool(const TargetSettings &)> m_proberRule;
    std::function<bool()> m_vmListRule;
    std::string m_dataCentre;
    std::unordered_map<std::string, WatchedTarget> m_watched;
    TimePoint m_nextVmList;
    bool m_vmListPending = false;
};

} // namespace arbutusgrade
