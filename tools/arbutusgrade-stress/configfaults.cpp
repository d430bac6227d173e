#include <algorithm>

#include "configworld.h"

namespace arbutusgrade::stress {

namespace {

constexpr std::size_t placeCount = 3;
constexpr Duration runLength = Duration(60'000'000);
constexpr Duration settleTime = Duration(25'000'000);

} // namespace

void ConfigurationWorld::repeat(Duration meanGap, const std::function<void()> &fault)
{
    const Duration gap = randomTime(2 * meanGap.count());
    m_queue.schedule(m_queue.now() + gap, [this, meanGap, fault]() {
        if (!m_ending) {
            fault();
            repeat(meanGap, fault);
        }
    });
}

void ConfigurationWorld::scheduleFaults()
{
    const std::function<bool()> coin = [this]() { return chance(0.5); };
    m_loseReply = coin() ? 0.3 * nextRandomUnit(m_random) : 0.0;
    repeat(Duration(3'000'000), [this]() { submitChange(-1); });
    if (coin()) {
        repeat(Duration(12'000'000),
               [this]() { m_storeDownUntil = m_queue.now() + randomTime(10'000'000); });
    }
    if (coin()) {
        repeat(Duration(8'000'000),
               [this]() { m_storeDelay = chance(0.5) ? Duration(2000) : Duration(2'000'000); });
    }
    if (coin()) {
        repeat(Duration(6'000'000), [this]() {
            const std::size_t index = pickNode();
            if (m_nodes[index].m_up) {
                stopNode(index);
            }
        });
    }
    if (coin()) {
        // All nodes restart while the store is down: they know no more than each other.
        repeat(Duration(25'000'000), [this]() {
            m_storeDownUntil = m_queue.now() + Duration(8'000'000);
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                if (m_nodes[index].m_up) {
                    stopNode(index);
                }
            }
        });
    }
    if (coin()) {
        repeat(Duration(8'000'000), [this]() {
            ConfigurationNode &node = m_nodes[pickNode()];
            node.m_pausedUntil =
                std::max(node.m_pausedUntil, m_queue.now() + randomTime(8'000'000));
            trace(node.m_name + " is paused");
        });
    }
    if (coin()) {
        repeat(Duration(10'000'000), [this]() {
            m_cutPlace = m_cutPlace
                             ? std::nullopt
                             : std::optional<std::size_t>(nextRandomBelow(m_random, placeCount));
            trace(m_cutPlace ? "a place is cut off" : "the cut ends");
            for (ConfigurationNode &node : m_nodes) {
                node.m_disturbedAt = m_cutPlace ? farFuture : m_queue.now();
            }
        });
    }
    m_rollbacks = chance(0.25);
    if (m_rollbacks) {
        repeat(Duration(20'000'000), [this]() {
            if (m_history.size() >= 2) {
                const std::size_t back = m_history.size() - 2;
                m_value = m_history[back].first;
                m_revision = m_history[back].second;
                m_rolledBackAt = farFuture;
                for (EffectiveWrite &write : m_writes) {
                    write.m_undone = write.m_undone || write.m_revision > m_revision;
                }
                trace("the store goes back to revision " + std::to_string(m_revision));
            }
        });
    }
}

void ConfigurationWorld::checkEnd()
{
    for (const std::pair<const std::string, WriteResult> &answer : m_answers) {
        const bool effective =
            std::any_of(m_writes.begin(), m_writes.end(), [&answer](const EffectiveWrite &write) {
                // Seed 1446: the store lost a write before
                // its writer could read it back.
                return write.m_changeId == answer.first && !write.m_undone;
            });
        const bool saidNo = answer.second == WriteResult::NotApplied
                            || answer.second == WriteResult::Conflict
                            || answer.second == WriteResult::Invalid;
        check(!saidNo || !effective, "refused-truth",
              answer.first + " is called not applied, but took effect");
    }
    if (m_rollbacks) {
        return;
    }
    for (const ConfigurationNode &node : m_nodes) {
        check(node.m_inForce == m_revision, "converges",
              node.m_name + " ends with revision " + std::to_string(node.m_inForce) + ", store "
                  + std::to_string(m_revision));
    }
}

RunResult ConfigurationWorld::run()
{
    scheduleFaults();
    m_queue.runUntil(m_queue.now() + runLength);
    m_ending = true;
    m_cutPlace.reset();
    m_storeDownUntil = TimePoint();
    m_storeDelay = Duration(2000);
    m_loseReply = 0;
    m_queue.runUntil(m_queue.now() + settleTime);
    checkEnd();
    for (ConfigurationNode &node : m_nodes) {
        m_result.m_checks += totalChecks(node.m_core.m_invariants);
    }
    m_result.m_events = m_queue.executed();
    m_result.m_summary = std::to_string(m_writes.size()) + " effective writes, "
                         + std::to_string(m_answers.size()) + " answers";
    return m_result;
}

} // namespace arbutusgrade::stress
