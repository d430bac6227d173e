#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

TargetView findTargetView(const Harness &harness, const std::string &target)
{
    for (const TargetView &view : targetViews(*harness.m_engine)) {
        if (view.m_target == target) {
            return view;
        }
    }
    ADD_FAILURE() << "no target " << target;
    return {};
}

std::uint64_t violations(Harness &harness)
{
    return totalViolations(invariantCounters(*harness.m_engine));
}

//! Submits requests to which the named target never replies, and returns the attempts sent to it.
int runWithSilentTarget(Harness &harness, const std::string &silent, int requests)
{
    int sentToSilent = 0;
    for (int request = 0; request < requests; ++request) {
        harness.submit("all", "p" + std::to_string(request));
        for (int step = 0; step < 3; ++step) {
            harness.advance(std::chrono::milliseconds(5));
            std::deque<SendAttempt> attempts;
            std::swap(attempts, harness.m_attempts);
            for (const SendAttempt &attempt : attempts) {
                if (attempt.m_target == silent) {
                    ++sentToSilent;
                } else {
                    harness.replyOk(attempt);
                }
            }
        }
    }
    return sentToSilent;
}

// Guards against attempts sent to a draining target, and against a drain that peers do not learn
// of.
TEST(Health, DrainingTargetGetsNoNewWork)
{
    Harness harness(makeSettings(1, 2));
    harness.reportHoldings({{1, 7}});
    harness.observe({"s0-t0", std::nullopt, true, {}, "", std::nullopt});
    ASSERT_EQ(harness.m_drainAnnouncements.size(), 1U);
    EXPECT_EQ(harness.m_drainAnnouncements.front().m_target, "s0-t0");
    for (int request = 0; request < 20; ++request) {
        harness.submit("one");
        const SendAttempt attempt = harness.nextAttempt();
        EXPECT_EQ(attempt.m_target, "s0-t1");
        harness.replyOk(attempt);
    }
    // A stale health report does not end the drain; a restart of the target does.
    harness.observe({"s0-t0", true, false, {}, "", std::nullopt});
    EXPECT_TRUE(findTargetView(harness, "s0-t0").m_draining);
    harness.observe({"s0-t0", true, false, {}, "first", std::nullopt});
    harness.observe({"s0-t0", true, false, {}, "second", std::nullopt});
    EXPECT_FALSE(findTargetView(harness, "s0-t0").m_draining);
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against failing targets that keep their traffic, and against ejecting all replicas.
TEST(Health, FailingTargetsAreEjectedUpToHalfOfAService)
{
    Harness harness(makeSettings(1, 4, 40, 2));
    harness.reportHoldings({{1, 7}});
    for (int request = 0; request < 200; ++request) {
        harness.submit("one", "p" + std::to_string(request));
        while (!harness.m_attempts.empty()) {
            harness.failAttempt(harness.nextAttempt(), AttemptFailure::NotSent);
        }
        harness.advance(std::chrono::milliseconds(5));
    }
    int ejected = 0;
    for (const TargetView &view : targetViews(*harness.m_engine)) {
        ejected += view.m_ejected ? 1 : 0;
    }
    EXPECT_EQ(ejected, 2);
    // Trials restore all targets without intervention.
    for (int request = 0; request < 400; ++request) {
        harness.submit("one", "q" + std::to_string(request));
        harness.replyToAll();
        harness.advance(std::chrono::milliseconds(25));
    }
    for (const TargetView &view : targetViews(*harness.m_engine)) {
        EXPECT_FALSE(view.m_ejected) << view.m_target;
    }
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against urgent lookups that wait for a frozen target more than 2 s after it froze.
TEST(Health, SilentTargetIsRoutedAroundWithinTwoSeconds)
{
    Harness harness(makeSettings(1, 3, 30, 2));
    harness.reportHoldings({{1, 7}});
    runWithSilentTarget(harness, "none", 100);
    runWithSilentTarget(harness, "s0-t1", 100); // 1.5 s.
    EXPECT_TRUE(findTargetView(harness, "s0-t1").m_ejected);
    EXPECT_LE(runWithSilentTarget(harness, "s0-t1", 100), 4);
}

// Guards against sending a cold target its full share of traffic immediately.
TEST(Health, RestartedTargetStartsWithOneAttempt)
{
    Harness harness(makeSettings(1, 1, 10, 1));
    harness.reportHoldings({{1, 7}});
    harness.observe({"s0-t0", true, false, {}, "first", std::nullopt});
    EXPECT_EQ(findTargetView(harness, "s0-t0").m_limit, 1);
    for (int request = 0; request < 100; ++request) {
        harness.submit("one");
        harness.submit("one");
        harness.replyToAll();
    }
    const int grown = findTargetView(harness, "s0-t0").m_limit;
    EXPECT_GT(grown, 1);
    EXPECT_LE(grown, 10);
    harness.observe({"s0-t0", true, false, {}, "second", std::nullopt});
    EXPECT_EQ(findTargetView(harness, "s0-t0").m_limit, 1);
    // A stale probe result from before the restart is ignored.
    harness.observe({"s0-t0", true, true, {}, "first", std::nullopt});
    EXPECT_FALSE(findTargetView(harness, "s0-t0").m_draining);
}

// Guards against nodes that together exceed the connection limit of a target.
TEST(Health, ConnectionSharesStayWithinTheTargetsLimit)
{
    for (const int nodes : {1, 7, 9, 40}) {
        const Settings settings = makeSettings(1, 1, 30, nodes);
        int total = 0;
        for (const NodeSettings &node : settings.m_nodes) {
            total += connectionShare(settings, "s0-t0", 30, node.m_name);
        }
        EXPECT_LE(total, 30) << nodes;
        EXPECT_GE(total, nodes > 30 ? 30 : 30 - nodes + 1) << nodes;
    }
    Harness harness(makeSettings(1, 1, 6, 2));
    harness.reportHoldings({{1, 7}});
    for (int request = 0; request < 200; ++request) {
        harness.submit("one");
        if (request < 100) {
            harness.replyToAll();
        }
    }
    EXPECT_EQ(findTargetView(harness, "s0-t0").m_connectionShare, 3);
    EXPECT_LE(findTargetView(harness, "s0-t0").m_inFlight, 3);
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against releasing the connection of a cancelled attempt while it is still open.
TEST(Health, CancelledAttemptHoldsItsConnectionUntilItEnds)
{
    Harness harness(makeSettings(1, 2, 2, 2));
    harness.reportHoldings({{1, 7}});
    harness.submit("one", "a");
    const SendAttempt slow = harness.nextAttempt();
    harness.advance(std::chrono::milliseconds(40));
    harness.replyOk(harness.nextAttempt());
    ASSERT_EQ(harness.m_cancels.size(), 1U);
    EXPECT_EQ(findTargetView(harness, slow.m_target).m_inFlight, 1);
    harness.advance(std::chrono::milliseconds(190));
    EXPECT_EQ(findTargetView(harness, slow.m_target).m_inFlight, 1);
    harness.advance(std::chrono::milliseconds(20));
    EXPECT_EQ(findTargetView(harness, slow.m_target).m_inFlight, 0);
    harness.replyOk(slow);
    EXPECT_EQ(findTargetView(harness, slow.m_target).m_inFlight, 0);
}

// Guards against using a remote target while a local one has capacity.
TEST(Health, LocalDataCentreIsPreferredAndTheRemoteOneIsTheFallback)
{
    Settings settings = makeSettings(1, 2, 2, 2);
    settings.m_groups.front().m_services.front().m_targets[0].m_dataCentre = "west";
    Harness harness(settings);
    harness.reportHoldings({{1, 7}});
    for (int request = 0; request < 20; ++request) {
        harness.submit("one");
        const SendAttempt attempt = harness.nextAttempt();
        EXPECT_EQ(attempt.m_target, "s0-t1");
        harness.replyOk(attempt);
    }
    harness.submit("one");
    harness.submit("one");
    EXPECT_EQ(harness.nextAttempt().m_target, "s0-t1");
    EXPECT_EQ(harness.nextAttempt().m_target, "s0-t0");
}

// Guards against a request that crashes more than two targets, counting its re-sends.
TEST(Quarantine, CrashingRequestCostsAtMostTwoTargets)
{
    Harness harness(makeSettings(10, 3));
    harness.reportHoldings({{1, 7}});
    std::set<std::string> lost;
    for (int send = 0; send < 5; ++send) {
        const CallerId caller = harness.submit("all", "poison");
        while (!harness.m_attempts.empty()) {
            const SendAttempt attempt = harness.nextAttempt();
            lost.insert(attempt.m_target);
            harness.failAttempt(attempt, AttemptFailure::ConnectionLost);
            harness.advance(std::chrono::milliseconds(1));
        }
        harness.advance(std::chrono::seconds(1));
        ASSERT_NE(harness.answer(caller), nullptr);
        EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Failed);
        EXPECT_EQ(harness.answer(caller)->m_reason, Reason::Quarantined);
    }
    EXPECT_EQ(lost.size(), 2U);
    EXPECT_EQ(harness.m_quarantineAnnouncements.back().m_notice.m_lostTargets, 2);
    EXPECT_EQ(violations(harness), 0U);
    harness.advance(std::chrono::minutes(11));
    harness.submit("all", "poison");
    EXPECT_FALSE(harness.m_attempts.empty());
}

// Guards against failing a harmless request that ran on a target while another crashed it.
TEST(Quarantine, SuspectIsRunAloneAndCleared)
{
    Harness harness(makeSettings(1, 2, 8, 1));
    harness.reportHoldings({{1, 7}});
    for (int request = 0; request < 20; ++request) {
        harness.submit("one", "w" + std::to_string(request % 4));
        harness.submit("one", "w" + std::to_string(request % 3));
        harness.replyToAll();
    }
    const CallerId caller = harness.submit("one", "harmless");
    harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    const SendAttempt alone = harness.nextAttempt();
    for (int request = 0; request < 4; ++request) {
        harness.submit("one", "other" + std::to_string(request));
    }
    for (const SendAttempt &attempt : harness.m_attempts) {
        EXPECT_NE(attempt.m_target, alone.m_target);
    }
    harness.replyOk(alone);
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Complete);
    harness.replyToAll();
    EXPECT_EQ(harness.m_answers.size(), harness.m_lastCaller);
}

// Guards against losing targets to a request that peers already suspect or have quarantined.
TEST(Quarantine, NoticesOfPeersCount)
{
    Harness harness(makeSettings(1, 3));
    harness.reportHoldings({{1, 7}});
    harness.submit("one", "poison");
    harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    const QuarantineNotice suspect = harness.m_quarantineAnnouncements.front().m_notice;
    EXPECT_EQ(suspect.m_lostTargets, 1);

    Harness peer(makeSettings(1, 3));
    peer.reportHoldings({{1, 7}});
    for (const QuarantineNotice &notice : quarantineNotices(*harness.m_engine, harness.m_now)) {
        observeQuarantine(*peer.m_engine, peer.m_now, notice, peer.m_actions);
    }
    const CallerId caller = peer.submit("one", "poison");
    peer.failAttempt(peer.nextAttempt(), AttemptFailure::ConnectionLost);
    EXPECT_TRUE(peer.m_attempts.empty());
    peer.advance(std::chrono::milliseconds(110));
    ASSERT_NE(peer.answer(caller), nullptr);
    EXPECT_EQ(peer.answer(caller)->m_reason, Reason::Quarantined);
}

// Guards against sending a quarantined request right after a short pause, before the notice about
// it has been read from another socket.
TEST(Quarantine, RequestAfterAShortPauseWaitsForTheNoticesOfThePause)
{
    Harness harness(makeSettings(1, 3));
    harness.reportHoldings({{1, 7}});
    harness.submit("one", "poison");
    harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    const QuarantineNotice notice = harness.m_quarantineAnnouncements.back().m_notice;

    Harness peer(makeSettings(1, 3));
    peer.reportHoldings({{1, 7}});
    peer.advance(std::chrono::seconds(1));
    peer.pause(std::chrono::milliseconds(300));
    const CallerId caller = peer.submit("one", "poison");
    EXPECT_TRUE(peer.m_attempts.empty());
    observeQuarantine(*peer.m_engine, peer.m_now, notice, peer.m_actions);
    peer.advance(std::chrono::milliseconds(25));
    EXPECT_TRUE(peer.m_attempts.empty());
    ASSERT_NE(peer.answer(caller), nullptr);
    EXPECT_EQ(peer.answer(caller)->m_reason, Reason::Quarantined);
}

// Guards against a re-send that reaches another node before the quarantine notice does.
TEST(Quarantine, AnswerWaitsUntilThePeersKnow)
{
    Harness harness(makeSettings(1, 3));
    harness.reportHoldings({{1, 7}});
    const CallerId caller = harness.submit("one", "poison");
    harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    EXPECT_EQ(harness.m_quarantineAnnouncements.size(), 2U);
    harness.advance(std::chrono::milliseconds(95));
    EXPECT_EQ(harness.answer(caller), nullptr);
    EXPECT_EQ(requestsInFlight(*harness.m_engine), 1U);
    harness.advance(std::chrono::milliseconds(300));
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.m_answers.at(caller).size(), 1U);
}

// Guards against quarantining requests known to be safe when a whole rack fails.
TEST(Quarantine, LossOfSeveralTargetsAtOnceQuarantinesNoProvenRequest)
{
    Harness harness(makeSettings(6, 2));
    harness.reportHoldings({{1, 7}});
    harness.submit("all", "proven");
    harness.replyToAll();
    const CallerId caller = harness.submit("all", "proven");
    ASSERT_EQ(harness.m_attempts.size(), 6U);
    for (int lost = 0; lost < 4; ++lost) {
        harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
    }
    for (int step = 0; step < 50; ++step) {
        harness.replyToAll();
        harness.advance(std::chrono::milliseconds(5));
    }
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Complete);
}

} // namespace
} // namespace arbutusgrade
