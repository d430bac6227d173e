#include <algorithm>
#include <cmath>

#include "requestworld.h"

namespace arbutusgrade::stress {

namespace {

constexpr Duration settleTime = Duration(4'000'000);

} // namespace

void RequestWorld::repeatFault(Duration meanGap, const std::function<void()> &fault)
{
    const double factor = -std::log(1.0 - nextRandomUnit(m_random));
    const Duration gap(static_cast<std::int64_t>(static_cast<double>(meanGap.count()) * factor));
    m_queue.schedule(m_queue.now() + gap, [this, meanGap, fault]() {
        fault();
        repeatFault(meanGap, fault);
    });
}

void RequestWorld::scheduleFaults()
{
    if (m_plan.m_storeOutages) {
        repeatFault(Duration(4'000'000), [this]() {
            m_storeDownUntil = m_queue.now() + Duration(nextRandomBelow(m_random, 4'000'000));
        });
        repeatFault(Duration(4'000'000),
                    [this]() { m_storeDelay = chance(0.5) ? Duration(1000) : Duration(600'000); });
    }
    if (m_plan.m_nodeKills) {
        repeatFault(Duration(4'000'000), [this]() { killNode(pickNode()); });
    }
    if (m_plan.m_nodePauses) {
        repeatFault(Duration(4'000'000), [this]() {
            const Duration length(200'000 + nextRandomBelow(m_random, 5'000'000));
            SimulatedNode &node = m_nodes[pickNode()];
            // A pause never ends an earlier one: events would overtake those held back before.
            node.m_pausedUntil = std::max(node.m_pausedUntil, m_queue.now() + length);
            traceNode(node.m_name + " is paused for " + std::to_string(length.count()) + " us");
        });
    }
    scheduleTargetFaults();
}

void RequestWorld::scheduleTargetFaults()
{
    const std::function<FakeTarget &()> anyTarget = [this]() -> FakeTarget & {
        return *m_targets[nextRandomBelow(m_random, m_targets.size())];
    };
    if (m_plan.m_targetCrashes) {
        repeatFault(Duration(2'000'000), [anyTarget]() { anyTarget().crash(); });
    }
    if (m_plan.m_targetFreezes) {
        repeatFault(Duration(3'000'000), [this, anyTarget]() {
            FakeTarget &frozen = anyTarget();
            frozen.setFrozen(true);
            m_queue.schedule(m_queue.now() + Duration(3'000'000),
                             [&frozen]() { frozen.setFrozen(false); });
        });
    }
    if (m_plan.m_drains) {
        repeatFault(Duration(3'000'000), [anyTarget]() { anyTarget().beginDrain(); });
    }
    if (m_plan.m_versionsMove) {
        repeatFault(Duration(1'500'000), [this]() { moveVersion(); });
    }
    if (m_plan.m_repartition) {
        m_queue.schedule(m_queue.now() + m_plan.m_length / 2, [this]() { repartition(); });
    }
}

// Replicas load a new version at different times; each keeps the one before it for a while.
void RequestWorld::moveVersion()
{
    ++m_newest.m_version;
    const Snapshot next = m_newest;
    for (const std::unique_ptr<FakeTarget> &moving : m_targets) {
        FakeTarget *place = moving.get();
        if (place->holdings().back().m_epoch != next.m_epoch) {
            continue;
        }
        const Duration delay(nextRandomBelow(m_random, 1'000'000));
        m_queue.schedule(m_queue.now() + delay, [place, next]() { place->holdSnapshot(next, 2); });
    }
}

void RequestWorld::repartition()
{
    m_newest = Snapshot{2, 1};
    for (const std::unique_ptr<FakeTarget> &moving : m_targets) {
        FakeTarget *place = moving.get();
        if (place->service().rfind("search-", 0) != 0) {
            continue;
        }
        const Duration delay(nextRandomBelow(m_random, 2'000'000));
        m_queue.schedule(m_queue.now() + delay, [place]() {
            place->holdSnapshot(Snapshot{2, 1}, 2);
        });
    }
}

RunResult RequestWorld::run()
{
    scheduleFaults();
    scheduleArrival();
    m_queue.runUntil(m_queue.now() + m_plan.m_length);
    m_plan.m_requestsPerSecond = 0.001;
    m_queue.runUntil(m_queue.now() + settleTime);
    checkExtraLoad();
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        closeEngine(index);
    }
    m_result.m_events = m_queue.executed();
    for (const std::pair<const std::string, std::uint64_t> &entry : m_outcomes) {
        m_result.m_summary += entry.first + " " + std::to_string(entry.second) + ", ";
    }
    m_result.m_summary += "executions " + std::to_string(m_executions) + " for "
                          + std::to_string(m_firstExecutions.size()) + " sub-requests";
    return m_result;
}

} // namespace arbutusgrade::stress
