#include "membership/membership.h"

#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

constexpr Duration second{1'000'000};
constexpr Duration timeStep{10'000};

//! Simulated nodes that exchange datagrams with a delay of one time step on a common clock.
class MembershipTest : public testing::Test
{
protected:
    struct Node
    {
        MembershipCore m_core;
        bool m_running = true;
        std::vector<MembershipAction> m_recordedActions; //!< All except datagrams and pulls.
    };

    struct Datagram
    {
        std::string m_sourceAddress;
        SendGossip m_send;
    };

    void addNode(const std::string &name, const std::string &dataCentre,
                 std::uint64_t incarnation = 1)
    {
        MembershipOptions options;
        options.m_node = name;
        options.m_dataCentre = dataCentre;
        options.m_address = name;
        options.m_peerPort = 1;
        options.m_incarnation = incarnation;
        options.m_seed = stableHash(name) + incarnation;
        options.m_mutant = m_mutant;
        m_nodes[name].m_core = createMembershipCore(m_now, options);
        m_nodes[name].m_running = true;
        m_seeds.push_back({name, dataCentre, name, 1, 2});
        for (std::pair<const std::string, Node> &node : m_nodes) {
            updateSeeds(node.second.m_core, m_seeds);
            updateTargets(node.second.m_core, m_now, m_targets);
        }
    }

    void perform(const std::string &name, MembershipActions &actions)
    {
        for (MembershipAction &action : actions) {
            if (SendGossip *send = std::get_if<SendGossip>(&action)) {
                EXPECT_LE(estimateEncodedBytes(send->m_message), 1200U);
                m_datagramsInFlight.push_back({name, std::move(*send)});
            } else if (const PullMembership *pull = std::get_if<PullMembership>(&action)) {
                pullState(name, pull->m_peer);
            } else {
                m_nodes[name].m_recordedActions.push_back(std::move(action));
            }
        }
    }

    void pullState(const std::string &name, const std::string &peer)
    {
        if (!m_nodes[peer].m_running) {
            return;
        }
        MembershipActions actions;
        applySnapshot(m_nodes[name].m_core, m_now, takeSnapshot(m_nodes[peer].m_core, m_now),
                      actions);
        perform(name, actions);
    }

    void runFor(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (m_now < end) {
            m_now += timeStep;
            std::deque<Datagram> arriving;
            arriving.swap(m_datagramsInFlight);
            for (const Datagram &datagram : arriving) {
                deliver(datagram);
            }
            for (std::pair<const std::string, Node> &node : m_nodes) {
                if (node.second.m_running) {
                    MembershipActions actions;
                    advanceTime(node.second.m_core, m_now, actions);
                    perform(node.first, actions);
                }
            }
        }
    }

    void deliver(const Datagram &datagram)
    {
        const auto found = m_nodes.find(datagram.m_send.m_address);
        if (found == m_nodes.end() || !found->second.m_running
            || nextRandomUnit(m_random) < m_lossProbability
            || (m_partitioned
                && (datagram.m_sourceAddress[0] == 'a') != (found->first[0] == 'a'))) {
            return;
        }
        MembershipActions actions;
        handleGossip(found->second.m_core, m_now, datagram.m_sourceAddress, 1,
                     datagram.m_send.m_message, actions);
        perform(found->first, actions);
    }

    MemberState memberStateAt(const std::string &observer, const std::string &name)
    {
        return m_nodes[observer].m_core.m_members.at(name).m_update.m_state;
    }

    template <typename Action> std::size_t countRecorded(const std::string &name)
    {
        const std::vector<MembershipAction> &recorded = m_nodes[name].m_recordedActions;
        return static_cast<std::size_t>(
            std::count_if(recorded.begin(), recorded.end(), [](const MembershipAction &action) {
                return std::holds_alternative<Action>(action);
            }));
    }

    std::uint64_t sumOverNodes(std::uint64_t MembershipStatistics::*counter)
    {
        std::uint64_t total = 0;
        for (const std::pair<const std::string, Node> &node : m_nodes) {
            total += node.second.m_core.m_statistics.*counter;
        }
        return total;
    }

    void addTwoDataCentres()
    {
        for (const std::string name : {"a1", "a2", "a3", "b1", "b2", "b3"}) {
            addNode(name, name.substr(0, 1));
        }
        runFor(second * 5);
    }

    TimePoint m_now{second * 1000};
    RandomGenerator m_random{7};
    double m_lossProbability = 0.0;
    bool m_partitioned = false; //!< Separates nodes whose names begin with "a" from the others.
    MembershipMutant m_mutant = MembershipMutant::None;
    std::map<std::string, Node> m_nodes;
    std::deque<Datagram> m_datagramsInFlight;
    std::vector<MembershipSeed> m_seeds;
    std::vector<TargetLocation> m_targets;
};

// Guards against a death declared during a network partition that the other side never learns of.
TEST_F(MembershipTest, StateIsPulledAfterPartitionHeals)
{
    addTwoDataCentres();
    m_partitioned = true;
    runFor(second * 40);
    m_nodes["b3"].m_running = false;
    runFor(second * 30);
    m_partitioned = false;
    runFor(second * 20);
    EXPECT_EQ(memberStateAt("a1", "b3"), MemberState::Dead);
    EXPECT_EQ(memberStateAt("a2", "b3"), MemberState::Dead);
}

// Guards against nodes that never learn of each other because both have already sent their
// endpoints to other nodes and no longer include them in messages.
TEST_F(MembershipTest, SeedIsAddedFromMessageWithoutEndpoint)
{
    addNode("a1", "a");
    addNode("b1", "b");
    GossipMessage acknowledgement;
    acknowledgement.m_type = GossipType::Ack;
    acknowledgement.m_sender = "b1";
    acknowledgement.m_incarnation = 1;
    MembershipActions actions;
    handleGossip(m_nodes["a1"].m_core, m_now, "b1", 1, acknowledgement, actions);
    const Member &member = m_nodes["a1"].m_core.m_members.at("b1");
    EXPECT_EQ(member.m_update.m_state, MemberState::Alive);
    EXPECT_EQ(member.m_update.m_dataCentre, "b");
    EXPECT_EQ(member.m_update.m_peerPort, 1);
}

// Guards against nodes that do not find each other from the seeds, and against dead nodes that stay
// in use.
TEST_F(MembershipTest, NodesJoinFromSeedsAndDetectDeadNode)
{
    addTwoDataCentres();
    for (const std::pair<const std::string, Node> &node : m_nodes) {
        EXPECT_EQ(usableMembers(node.second.m_core, m_now).size(), 5U) << node.first;
    }
    m_nodes["a2"].m_running = false;
    runFor(second * 9);
    EXPECT_EQ(memberStateAt("a1", "a2"), MemberState::Dead);
    EXPECT_EQ(memberStateAt("b3", "a2"), MemberState::Dead);
    EXPECT_EQ(memberStateAt("a1", "a3"), MemberState::Alive);
}

// Guards against a node that is still considered dead after its restart.
TEST_F(MembershipTest, RestartedNodeIsAliveAgain)
{
    addTwoDataCentres();
    m_nodes["a2"].m_running = false;
    runFor(second * 9);
    addNode("a2", "a", 2);
    runFor(second * 4);
    EXPECT_EQ(memberStateAt("a1", "a2"), MemberState::Alive);
    EXPECT_EQ(memberStateAt("b1", "a2"), MemberState::Alive);
}

// Guards against live nodes that are declared dead because datagrams are lost.
TEST_F(MembershipTest, PacketLossDoesNotCauseDeathDeclaration)
{
    addTwoDataCentres();
    m_lossProbability = 0.2;
    runFor(second * 120);
    EXPECT_EQ(sumOverNodes(&MembershipStatistics::m_deaths), 0U);
    EXPECT_GT(sumOverNodes(&MembershipStatistics::m_refutations), 0U);
}

// Guards against a node that declares all others dead when it resumes after a pause.
TEST_F(MembershipTest, PausedNodeDoesNotDeclareOthersDead)
{
    addTwoDataCentres();
    m_nodes["a1"].m_running = false;
    runFor(second * 20);
    m_nodes["a1"].m_running = true;
    runFor(second * 5);
    EXPECT_EQ(m_nodes["a1"].m_core.m_statistics.m_deaths, 0U);
    EXPECT_EQ(m_nodes["a1"].m_core.m_statistics.m_pauses, 1U);
    EXPECT_EQ(memberStateAt("a2", "a1"), MemberState::Alive);
    EXPECT_EQ(memberStateAt("b2", "a1"), MemberState::Alive);
}

// Guards against a network partition that makes nodes of the other data centre dead, or that leaves
// them usable.
TEST_F(MembershipTest, PartitionedDataCentreIsUnreachableButNotDead)
{
    addTwoDataCentres();
    m_partitioned = true;
    runFor(second * 60);
    EXPECT_EQ(memberStateAt("a1", "b1"), MemberState::Alive);
    EXPECT_EQ(usableMembers(m_nodes["a1"].m_core, m_now).size(), 2U);
    m_partitioned = false;
    runFor(second * 10);
    EXPECT_EQ(usableMembers(m_nodes["a1"].m_core, m_now).size(), 5U);
    EXPECT_EQ(sumOverNodes(&MembershipStatistics::m_deaths), 0U);
}

// Guards against a stopped node that stays suspected in another data centre because the update with
// its death was lost.
TEST_F(MembershipTest, OverdueSuspicionOutcomeIsPulled)
{
    addTwoDataCentres();
    m_nodes["b2"].m_running = false;
    runFor(second * 20);
    ASSERT_EQ(memberStateAt("a1", "b2"), MemberState::Dead);
    Member &member = m_nodes["a1"].m_core.m_members.at("b2");
    member.m_update.m_state = MemberState::Suspect;
    member.m_stateSince = m_now;
    runFor(second * 13);
    EXPECT_EQ(memberStateAt("a1", "b2"), MemberState::Dead);
}

// Guards against a leaving node that is suspected first and keeps its roles in the meantime.
TEST_F(MembershipTest, LeavingNodeIsNotSuspected)
{
    addTwoDataCentres();
    const std::uint64_t suspicions = sumOverNodes(&MembershipStatistics::m_suspicions);
    MembershipActions actions;
    leaveCluster(m_nodes["a2"].m_core, m_now, actions);
    perform("a2", actions);
    runFor(second * 1);
    m_nodes["a2"].m_running = false;
    runFor(second * 2);
    EXPECT_EQ(memberStateAt("a1", "a2"), MemberState::Left);
    EXPECT_EQ(memberStateAt("b1", "a2"), MemberState::Left);
    EXPECT_EQ(sumOverNodes(&MembershipStatistics::m_suspicions), suspicions);
}

// Guards against an outdated VM list that takes live nodes out of use.
TEST_F(MembershipTest, VmListDoesNotChangeMemberStates)
{
    addTwoDataCentres();
    MembershipActions actions;
    applyVmList(m_nodes["a1"].m_core, m_now, {{"a2", "a2", "a", true}, {"x", "x", "a", false}},
                actions);
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(memberStateAt("a1", "a2"), MemberState::Alive);
    EXPECT_EQ(usableMembers(m_nodes["a1"].m_core, m_now).size(), 5U);
}

// Guards against a drain that reaches some nodes too late to keep the limit of 3 s.
TEST_F(MembershipTest, DrainAndQuarantineReachAllNodesImmediately)
{
    m_targets = {{"t", "a"}};
    addTwoDataCentres();
    MembershipActions actions;
    shareDraining(m_nodes["a1"].m_core, m_now, "t", actions);
    shareQuarantine(m_nodes["a1"].m_core, m_now, {42, 2, second * 600}, actions);
    perform("a1", actions);
    runFor(Duration(500'000));
    for (const std::pair<const std::string, Node> &node : m_nodes) {
        EXPECT_TRUE(node.second.m_core.m_targets.at("t").m_state.m_draining) << node.first;
        EXPECT_EQ(node.second.m_core.m_quarantines.at(42).m_lostTargets, 2) << node.first;
    }
    EXPECT_EQ(countRecorded<QuarantineLearned>("b1"), 1U);
}

// Guards against a crashing request that is retried at another node before that node learns of the
// lost targets: shortly after the start, and with several losses within one push interval.
TEST_F(MembershipTest, EachQuarantineUpdateIsPushedWithinMilliseconds)
{
    addNode("a1", "a");
    addNode("b1", "b");
    addNode("c1", "c");
    runFor(second);
    for (int lost = 1; lost <= 2; ++lost) {
        MembershipActions actions;
        shareQuarantine(m_nodes["a1"].m_core, m_now, {42, lost, second * 600}, actions);
        perform("a1", actions);
        runFor(timeStep * 2);
        EXPECT_EQ(m_nodes["b1"].m_core.m_quarantines[42].m_lostTargets, lost);
        EXPECT_EQ(m_nodes["c1"].m_core.m_quarantines[42].m_lostTargets, lost);
    }
}

// Guards against a drain that ends because health reports of the target lag behind its replies.
TEST_F(MembershipTest, LaggingHealthReportDoesNotEndDrain)
{
    m_targets = {{"t", "a"}};
    addTwoDataCentres();
    MembershipCore &core = m_nodes["a1"].m_core;
    MembershipActions actions;
    handleTargetProbe(core, m_now, "t", TargetProbeResult{"s1", false, {{1, 1}}}, actions);
    shareDraining(core, m_now, "t", actions);
    handleTargetProbe(core, m_now, "t", TargetProbeResult{"s1", false, {{1, 1}}}, actions);
    EXPECT_TRUE(core.m_targets.at("t").m_state.m_draining);
    handleTargetProbe(core, m_now, "t", TargetProbeResult{"s2", false, {{1, 1}}}, actions);
    EXPECT_FALSE(core.m_targets.at("t").m_state.m_draining);
}

// Guards against a target that is reported unreachable after one lost probe, or whose state
// alternates because its probers disagree.
TEST_F(MembershipTest, UnreachableTargetNeedsTwoFailuresAndNoRecentSuccess)
{
    m_targets = {{"t", "a"}};
    addNode("a1", "a");
    MembershipCore &core = m_nodes["a1"].m_core;
    MembershipActions actions;
    handleTargetProbe(core, m_now, "t", std::nullopt, actions);
    EXPECT_TRUE(core.m_targets.at("t").m_state.m_reachable);
    handleTargetProbe(core, m_now, "t", std::nullopt, actions);
    EXPECT_FALSE(core.m_targets.at("t").m_state.m_reachable);
    handleTargetProbe(core, m_now, "t", TargetProbeResult{"s1", false, {}}, actions);
    for (int probe = 0; probe < 3; ++probe) {
        handleTargetProbe(core, m_now, "t", std::nullopt, actions);
    }
    EXPECT_TRUE(core.m_targets.at("t").m_state.m_reachable);
    handleTargetProbe(core, m_now + second * 11, "t", std::nullopt, actions);
    EXPECT_FALSE(core.m_targets.at("t").m_state.m_reachable);
}

// Guards against targets that no node or every node probes.
TEST_F(MembershipTest, ThreeNodesOfItsDataCentreProbeEachTarget)
{
    m_targets = {{"ta", "a"}, {"tb", "b"}};
    addTwoDataCentres();
    addNode("a4", "a");
    addNode("a5", "a");
    runFor(second * 5);
    std::map<std::string, int> probers;
    for (const std::pair<const std::string, Node> &node : m_nodes) {
        for (const std::pair<const std::string, SharedTargetEntry> &target :
             node.second.m_core.m_targets) {
            probers[target.first] += target.second.m_isProber ? 1 : 0;
            EXPECT_TRUE(!target.second.m_isProber
                        || node.second.m_core.m_options.m_dataCentre == target.second.m_dataCentre);
        }
    }
    EXPECT_EQ(probers["ta"], 3);
    EXPECT_EQ(probers["tb"], 3);
}

// Guards against control traffic that exceeds its limit when many targets change at once.
TEST_F(MembershipTest, BytesStayWithinLimitWhileAllTargetsChange)
{
    for (int index = 0; index < 200; ++index) {
        m_targets.push_back({"target-" + std::to_string(index), "a"});
    }
    addTwoDataCentres();
    for (std::pair<const std::string, Node> &node : m_nodes) {
        node.second.m_core.m_statistics.m_bytes = 0;
    }
    for (std::uint64_t round = 1; round <= 10; ++round) {
        for (const TargetLocation &location : m_targets) {
            MembershipActions actions;
            handleTargetProbe(m_nodes["a1"].m_core, m_now, location.m_target,
                              TargetProbeResult{"s", false, {{1, round}}}, actions);
            perform("a1", actions);
        }
        runFor(second);
    }
    for (const std::pair<const std::string, Node> &node : m_nodes) {
        EXPECT_LE(node.second.m_core.m_statistics.m_bytes, 2500U * 10U + 5000U) << node.first;
        EXPECT_EQ(node.second.m_core.m_statistics.m_withheldDatagrams, 0U) << node.first;
    }
}

// Guards against operators who cannot see which nodes run an older configuration.
TEST_F(MembershipTest, RevisionsOfAllNodesAreKnownAtEveryNode)
{
    addTwoDataCentres();
    MembershipActions actions;
    shareRevision(m_nodes["b1"].m_core, m_now, 17, actions);
    perform("b1", actions);
    runFor(Duration(1'500'000));
    EXPECT_EQ(m_nodes["a3"].m_core.m_members.at("b1").m_update.m_revision, 17);
    EXPECT_GE(countRecorded<PeerRevisionSeen>("b2"), 1U);
}

} // namespace
} // namespace arbutusgrade
