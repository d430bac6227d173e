#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration.h"
#include "eventqueue.h"
#include "scenario.h"

namespace arbutusgrade::stress {

//! @brief A write that took effect in the store, whatever its writer was told.
struct EffectiveWrite
{
    std::string m_changeId;
    std::int64_t m_replaced = 0;
    std::int64_t m_revision = 0;
    TimePoint m_at;
    bool m_undone = false; //!< A store that went back does not hold it any more.
};

//! @brief A node: the core under test and what it did.
struct ConfigurationNode
{
    std::string m_name;
    std::size_t m_place = 0;
    std::uint64_t m_incarnation = 0;
    ConfigurationCore m_core;
    std::int64_t m_inForce = -1;
    bool m_wasReady = false;
    bool m_up = false;
    TimePoint m_startedAt;
    TimePoint m_pausedUntil;
    TimePoint m_disturbedAt; //!< Last moment of a pause or cut.
};

//! @brief Nodes in several places, their store and their operators, in one run.
class ConfigurationWorld
{
public:
    ConfigurationWorld(const RunOptions &options, ConfigurationMutant mutant);
    RunResult run();

private:
    using NodeEvent = std::function<void(ConfigurationCore &, TimePoint, ConfigurationActions &)>;

    void startNode(std::size_t index);
    void stopNode(std::size_t index);
    void deliver(std::size_t index, std::uint64_t incarnation, const NodeEvent &event);
    void perform(std::size_t index, const ConfigurationActions &actions);
    void performStoreCall(std::size_t index, const CallConfigurationStore &call);
    void performPull(std::size_t index, const PullConfiguration &pull);
    void putInForce(std::size_t index, const PutSettingsInForce &action);
    void takeAnswer(const AnswerWrite &answer);
    std::optional<ConfigurationStoreReply> applyCall(const CallConfigurationStore &call,
                                                     TimePoint until);
    void gossip(std::size_t index);
    void tellRevision(std::size_t from, std::size_t to);
    void wake(std::size_t index);
    void shareMembers(std::size_t index);
    void submitChange(std::int64_t expected);
    void checkInForce(const EffectiveWrite &write);
    void checkReady(std::size_t index);
    void checkEnd();
    void scheduleFaults();
    void repeat(Duration meanGap, const std::function<void()> &fault);
    bool connected(std::size_t left, std::size_t right) const;
    std::size_t pickNode()
    {
        return nextRandomBelow(m_random, m_nodes.size());
    }
    bool chance(double probability)
    {
        return nextRandomUnit(m_random) < probability;
    }
    Duration randomTime(std::int64_t highest)
    {
        return Duration(static_cast<std::int64_t>(
            nextRandomBelow(m_random, static_cast<std::uint64_t>(highest))));
    }
    void check(bool condition, const char *name, const std::string &detail);
    void trace(const std::string &line);

    RunOptions m_options;
    ConfigurationMutant m_mutant = ConfigurationMutant::None;
    RandomGenerator m_random;
    EventQueue m_queue;
    RunResult m_result;
    std::vector<ConfigurationNode> m_nodes;
    std::string m_value;
    std::int64_t m_revision = 0;
    std::vector<std::pair<std::string, std::int64_t>> m_history; //!< Values with revisions.
    TimePoint m_storeDownUntil;
    Duration m_storeDelay{2000};
    double m_loseReply = 0;
    bool m_rollbacks = false;
    TimePoint m_rolledBackAt;
    std::optional<std::size_t> m_cutPlace;
    std::vector<EffectiveWrite> m_writes;
    std::map<std::uint64_t, std::pair<std::string, std::int64_t>> m_pending; //!< Change, expected.
    std::map<std::string, WriteResult> m_answers;
    std::uint64_t m_nextRequest = 1;
    bool m_ending = false;
};

} // namespace arbutusgrade::stress
