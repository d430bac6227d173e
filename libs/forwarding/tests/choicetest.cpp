#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

std::vector<TargetPointer> createTargets()
{
    std::vector<TargetPointer> targets;
    for (const std::string dataCentre : {"a", "b", "c"}) {
        targets.push_back(std::make_shared<Target>());
        targets.back()->m_entry.m_id = "t" + dataCentre;
        targets.back()->m_entry.m_dataCentre = dataCentre;
        targets.back()->m_statisticsUpdatedAt = start;
    }
    return targets;
}

TargetCriteria criteriaFor(std::string_view dataCentre)
{
    TargetCriteria criteria;
    criteria.m_dataCentre = dataCentre;
    criteria.m_inFlightLimit = 3;
    return criteria;
}

} // namespace

// Guards against requests that keep going to a slow target in the node's own data centre.
TEST(TargetSelection, AvoidsASlowTargetUntilItsStatisticsDecay)
{
    const std::vector<TargetPointer> targets = createTargets();
    for (int sample = 0; sample < 6; ++sample) {
        recordSuccess(*targets[0], start, 200ms, 20ms);
    }
    EXPECT_NE(selectTarget(targets, start, criteriaFor("a")), targets[0]);
    EXPECT_EQ(selectTarget(targets, start + 6s, criteriaFor("a")), targets[0]);
}

// Guards against selecting a target again right after it refused a connection.
TEST(TargetSelection, IncreasesTheBackoffOfATargetThatRefusesConnections)
{
    const std::vector<TargetPointer> targets = createTargets();
    recordFailure(*targets[0], start, TargetFailure::ConnectFailed);
    const TimePoint first = targets[0]->m_nextProbeAt;
    recordFailure(*targets[0], first, TargetFailure::ConnectFailed);
    EXPECT_GT(targets[0]->m_nextProbeAt - first, first - start);
    EXPECT_NE(selectTarget(targets, start + 60s, criteriaFor("a")), targets[0]);
    recordReachable(*targets[0], start + 60s);
    EXPECT_EQ(selectTarget(targets, start + 60s, criteriaFor("a")), targets[0]);
}

// Guards against exceeding this node's share of a target's connection limit.
TEST(TargetSelection, RespectsTheInFlightLimit)
{
    std::vector<TargetPointer> targets = createTargets();
    targets.resize(1);
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
        EXPECT_NE(selectTarget(targets, start, criteriaFor("a")), nullptr);
        targets[0]->m_inFlight.push_back(OutstandingAttempt{attempt, start + 1s});
    }
    EXPECT_EQ(selectTarget(targets, start, criteriaFor("a")), nullptr);
    removeOutstandingAttempt(*targets[0], 2);
    EXPECT_NE(selectTarget(targets, start, criteriaFor("a")), nullptr);
}

// Guards against hedges to a target that is itself stalled.
TEST(TargetSelection, SelectsNoStalledTargetForAHedge)
{
    std::vector<TargetPointer> targets = createTargets();
    targets.resize(1);
    targets[0]->m_inFlight.push_back(OutstandingAttempt{1, start + 10ms});
    TargetCriteria criteria = criteriaFor("a");
    criteria.m_healthyOnly = true;
    EXPECT_NE(selectTarget(targets, start, criteria), nullptr);
    EXPECT_EQ(selectTarget(targets, start + 20ms, criteria), nullptr);
    criteria.m_healthyOnly = false;
    EXPECT_NE(selectTarget(targets, start + 20ms, criteria), nullptr);
}

} // namespace arbutusgrade
