#include <map>

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

// Guards against a node with few requests that forgets the rejections of a target before its next
// request: the retries would use up the budget for extra attempts, here a fifth of the requests.
TEST(TargetSelection, RemembersRejectionsAcrossRareRequests)
{
    constexpr int requests = 40;
    for (const Duration interval : {50ms, 300ms, 1000ms}) {
        const std::vector<TargetPointer> targets = createTargets();
        TargetCriteria criteria = criteriaFor("a");
        criteria.m_requestInterval = interval;
        int rejections = 0;
        for (int request = 0; request < requests; ++request) {
            const TimePoint now = start + request * interval;
            const TargetPointer target = selectTarget(targets, now, criteria);
            // Two of the three targets reject every other request.
            if (target != targets[2] && request % 2 == 0) {
                ++rejections;
                recordFailure(*target, now, TargetFailure::Rejected);
            } else {
                recordSuccess(*target, now, 20ms, 20ms);
            }
        }
        EXPECT_LE(rejections, requests / 5) << interval.count() << " us between requests";
        EXPECT_EQ(selectTarget(targets, start + requests * interval + 60s, criteria), targets[0]);
    }
}

// Guards against a node with few requests that returns to a slow target again and again, and
// against one that avoids a target for seconds because of a single pause.
TEST(TargetSelection, RemembersSlowTargetsAcrossRareRequestsButNotASinglePause)
{
    constexpr Duration interval = 300ms;
    const std::vector<TargetPointer> targets = createTargets();
    TargetCriteria criteria = criteriaFor("a");
    criteria.m_requestInterval = interval;
    recordSuccess(*targets[0], start, 200ms, 20ms);
    EXPECT_EQ(selectTarget(targets, start + 1500ms, criteria), targets[0]);
    int slow = 0;
    constexpr int requests = 30;
    for (int request = 0; request < requests; ++request) {
        const TimePoint now = start + 2s + request * interval;
        const TargetPointer target = selectTarget(targets, now, criteria);
        const bool isSlow = target == targets[0];
        slow += isSlow ? 1 : 0;
        recordSuccess(*target, now, isSlow ? 200ms : 20ms, 20ms);
    }
    EXPECT_LE(slow, requests / 5);
    EXPECT_EQ(selectTarget(targets, start + 60s, criteria), targets[0]);
}

// Guards against many nodes that all choose the same one of several equal targets, which then runs
// out of connections while the others are idle.
TEST(TargetSelection, NodesSpreadOverEqualTargets)
{
    constexpr int nodes = 60;
    std::map<std::string, int> choices;
    for (int node = 0; node < nodes; ++node) {
        TargetRegistry registry;
        registry.m_node = "front-" + std::to_string(node);
        for (const std::string id : {"i-1", "i-2", "i-3"}) {
            TargetEntry entry;
            entry.m_id = id;
            entry.m_service = "shard";
            entry.m_dataCentre = "elsewhere";
            applyEntry(registry, start, entry);
        }
        const std::vector<TargetPointer> &targets = registry.m_targetsByService["shard"];
        const TargetPointer chosen = selectTarget(targets, start, criteriaFor("a"));
        ASSERT_NE(chosen, nullptr);
        EXPECT_EQ(selectTarget(targets, start, criteriaFor("a")), chosen);
        ++choices[chosen->m_entry.m_id];
    }
    EXPECT_EQ(choices.size(), 3U);
    for (const std::pair<const std::string, int> &choice : choices) {
        EXPECT_LE(choice.second, nodes / 2) << choice.first;
    }
}

// Guards against requests to another data centre that only spread the load.
TEST(TargetSelection, PrefersItsOwnDataCentreOverSpreading)
{
    const std::vector<TargetPointer> targets = createTargets();
    for (const TargetPointer &target : targets) {
        target->m_tieBreaker = target->m_entry.m_dataCentre == "a" ? 1.0 : 0.0;
    }
    EXPECT_EQ(selectTarget(targets, start, criteriaFor("a")), targets[0]);
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
