#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

TargetView viewOf(const Harness &harness, const std::string &target)
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

//! Runs requests of which the named target answers none, and returns how many went to it.
int runWithSilentTarget(Harness &harness, const std::string &silent, int requests)
{
    int sentToSilent = 0;
    for (int request = 0; request < requests; ++request) {
        harness.submit("all", "p" + std::to_string(request));
        for (int step = 0; step < 3; ++step) {
            harness.pass(std::chrono::milliseconds(5));
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

// Guards against work for a leaving target, and against keeping the news from the peers.
TEST(Health, DrainingTargetGetsNoNewWork)
{
    Harness harness(makeSettings(1, 2));
    harness.holdEverywhere({{1, 7}});
    harness.observe({"s0-t0", std::nullopt, true, {}, "", std::nullopt});
    ASSERT_EQ(harness.m_drains.size(), 1U);
    EXPECT_EQ(harness.m_drains.front().m_target, "s0-t0");
    for (int request = 0; request < 20; ++request) {
        harness.submit("one");
        const SendAttempt attempt = harness.takeAttempt();
        EXPECT_EQ(attempt.m_target, "s0-t1");
        harness.replyOk(attempt);
    }
    // A lagging health endpoint does not bring the target back, a new start does.
    harness.observe({"s0-t0", true, false, {}, "", std::nullopt});
    EXPECT_TRUE(viewOf(harness, "s0-t0").m_draining);
    harness.observe({"s0-t0", true, false, {}, "first", std::nullopt});
    harness.observe({"s0-t0", true, false, {}, "second", std::nullopt});
    EXPECT_FALSE(viewOf(harness, "s0-t0").m_draining);
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against a failing target that keeps its traffic, and against losing all replicas to it.
TEST(Health, FailingTargetsAreEjectedUpToHalfOfAService)
{
    Harness harness(makeSettings(1, 4, 40, 2));
    harness.holdEverywhere({{1, 7}});
    for (int request = 0; request < 200; ++request) {
        harness.submit("one", "p" + std::to_string(request));
        while (!harness.m_attempts.empty()) {
            harness.fail(harness.takeAttempt(), AttemptFailure::NotSent);
        }
        harness.pass(std::chrono::milliseconds(5));
    }
    int ejected = 0;
    for (const TargetView &view : targetViews(*harness.m_engine)) {
        ejected += view.m_ejected ? 1 : 0;
    }
    EXPECT_EQ(ejected, 2);
    // All come back by single trials without intervention.
    for (int request = 0; request < 400; ++request) {
        harness.submit("one", "q" + std::to_string(request));
        harness.replyToAll();
        harness.pass(std::chrono::milliseconds(25));
    }
    for (const TargetView &view : targetViews(*harness.m_engine)) {
        EXPECT_FALSE(view.m_ejected) << view.m_target;
    }
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against urgent lookups that still wait for a frozen target 2 s after it froze.
TEST(Health, SilentTargetIsRoutedAroundWithinTwoSeconds)
{
    Harness harness(makeSettings(1, 3, 30, 2));
    harness.holdEverywhere({{1, 7}});
    runWithSilentTarget(harness, "none", 100);
    runWithSilentTarget(harness, "s0-t1", 100); // 1.5 s.
    EXPECT_TRUE(viewOf(harness, "s0-t1").m_ejected);
    EXPECT_LE(runWithSilentTarget(harness, "s0-t1", 100), 4);
}

// Guards against a cold target that gets a full share of traffic at once.
TEST(Health, RestartedTargetStartsWithOneAttempt)
{
    Harness harness(makeSettings(1, 1, 10, 1));
    harness.holdEverywhere({{1, 7}});
    harness.observe({"s0-t0", true, false, {}, "first", std::nullopt});
    EXPECT_EQ(viewOf(harness, "s0-t0").m_limit, 1);
    for (int request = 0; request < 100; ++request) {
        harness.submit("one");
        harness.submit("one");
        harness.replyToAll();
    }
    const int grown = viewOf(harness, "s0-t0").m_limit;
    EXPECT_GT(grown, 1);
    EXPECT_LE(grown, 10);
    harness.observe({"s0-t0", true, false, {}, "second", std::nullopt});
    EXPECT_EQ(viewOf(harness, "s0-t0").m_limit, 1);
    // A lagging probe from before the restart changes nothing.
    harness.observe({"s0-t0", true, true, {}, "first", std::nullopt});
    EXPECT_FALSE(viewOf(harness, "s0-t0").m_draining);
}

// Guards against more connections than the target allows to all nodes together.
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
    harness.holdEverywhere({{1, 7}});
    for (int request = 0; request < 200; ++request) {
        harness.submit("one");
        if (request < 100) {
            harness.replyToAll();
        }
    }
    EXPECT_EQ(viewOf(harness, "s0-t0").m_connectionShare, 3);
    EXPECT_LE(viewOf(harness, "s0-t0").m_inFlight, 3);
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against a new attempt on the connection of a cancelled one that is still open.
TEST(Health, CancelledAttemptHoldsItsConnectionUntilItEnds)
{
    Harness harness(makeSettings(1, 2, 2, 2));
    harness.holdEverywhere({{1, 7}});
    harness.submit("one", "a");
    const SendAttempt slow = harness.takeAttempt();
    harness.pass(std::chrono::milliseconds(40));
    harness.replyOk(harness.takeAttempt());
    ASSERT_EQ(harness.m_cancels.size(), 1U);
    EXPECT_EQ(viewOf(harness, slow.m_target).m_inFlight, 1);
    harness.pass(std::chrono::milliseconds(190));
    EXPECT_EQ(viewOf(harness, slow.m_target).m_inFlight, 1);
    harness.pass(std::chrono::milliseconds(20));
    EXPECT_EQ(viewOf(harness, slow.m_target).m_inFlight, 0);
    harness.replyOk(slow);
    EXPECT_EQ(viewOf(harness, slow.m_target).m_inFlight, 0);
}

// Guards against a remote target that is used while a local one is free.
TEST(Health, LocalDataCentreIsPreferredAndTheRemoteOneIsTheFallback)
{
    Settings settings = makeSettings(1, 2, 2, 2);
    settings.m_groups.front().m_services.front().m_targets[0].m_dataCentre = "west";
    Harness harness(settings);
    harness.holdEverywhere({{1, 7}});
    for (int request = 0; request < 20; ++request) {
        harness.submit("one");
        const SendAttempt attempt = harness.takeAttempt();
        EXPECT_EQ(attempt.m_target, "s0-t1");
        harness.replyOk(attempt);
    }
    harness.submit("one");
    harness.submit("one");
    EXPECT_EQ(harness.takeAttempt().m_target, "s0-t1");
    EXPECT_EQ(harness.takeAttempt().m_target, "s0-t0");
}

// Guards against a request that takes down target after target, its re-sends included.
TEST(Quarantine, CrashingRequestCostsAtMostTwoTargets)
{
    Harness harness(makeSettings(10, 3));
    harness.holdEverywhere({{1, 7}});
    std::set<std::string> lost;
    for (int send = 0; send < 5; ++send) {
        const CallerId caller = harness.submit("all", "poison");
        while (!harness.m_attempts.empty()) {
            const SendAttempt attempt = harness.takeAttempt();
            lost.insert(attempt.m_target);
            harness.fail(attempt, AttemptFailure::ConnectionLost);
            harness.pass(std::chrono::milliseconds(1));
        }
        harness.pass(std::chrono::seconds(1));
        ASSERT_NE(harness.answer(caller), nullptr);
        EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Failed);
        EXPECT_EQ(harness.answer(caller)->m_reason, Reason::Quarantined);
    }
    EXPECT_EQ(lost.size(), 2U);
    EXPECT_EQ(harness.m_quarantines.back().m_notice.m_lostTargets, 2);
    EXPECT_EQ(violations(harness), 0U);
    harness.pass(std::chrono::minutes(11));
    harness.submit("all", "poison");
    EXPECT_FALSE(harness.m_attempts.empty());
}

// Guards against harmless requests that fail because they ran beside a crashing one.
TEST(Quarantine, SuspectIsRunAloneAndCleared)
{
    Harness harness(makeSettings(1, 2, 8, 1));
    harness.holdEverywhere({{1, 7}});
    for (int request = 0; request < 20; ++request) {
        harness.submit("one", "w" + std::to_string(request % 4));
        harness.submit("one", "w" + std::to_string(request % 3));
        harness.replyToAll();
    }
    const CallerId caller = harness.submit("one", "harmless");
    harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    const SendAttempt alone = harness.takeAttempt();
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
    EXPECT_EQ(harness.m_answers.size(), harness.m_callers);
}

// Guards against losing targets to a request that peers have already quarantined or suspect.
TEST(Quarantine, NoticesOfPeersCount)
{
    Harness harness(makeSettings(1, 3));
    harness.holdEverywhere({{1, 7}});
    harness.submit("one", "poison");
    harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    const QuarantineNotice suspect = harness.m_quarantines.front().m_notice;
    EXPECT_EQ(suspect.m_lostTargets, 1);

    Harness peer(makeSettings(1, 3));
    peer.holdEverywhere({{1, 7}});
    for (const QuarantineNotice &notice : quarantineNotices(*harness.m_engine, harness.m_now)) {
        observeQuarantine(*peer.m_engine, peer.m_now, notice, peer.m_actions);
    }
    const CallerId caller = peer.submit("one", "poison");
    peer.fail(peer.takeAttempt(), AttemptFailure::ConnectionLost);
    EXPECT_TRUE(peer.m_attempts.empty());
    peer.pass(std::chrono::milliseconds(110));
    ASSERT_NE(peer.answer(caller), nullptr);
    EXPECT_EQ(peer.answer(caller)->m_reason, Reason::Quarantined);
}

// Guards against a request that takes down a target of its own right after a short pause, because
// the notice about it waits beside it in the sockets.
TEST(Quarantine, RequestAfterAShortPauseWaitsForTheNoticesOfThePause)
{
    Harness harness(makeSettings(1, 3));
    harness.holdEverywhere({{1, 7}});
    harness.submit("one", "poison");
    harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    const QuarantineNotice notice = harness.m_quarantines.back().m_notice;

    Harness peer(makeSettings(1, 3));
    peer.holdEverywhere({{1, 7}});
    peer.pass(std::chrono::seconds(1));
    peer.pauseFor(std::chrono::milliseconds(300));
    const CallerId caller = peer.submit("one", "poison");
    EXPECT_TRUE(peer.m_attempts.empty());
    observeQuarantine(*peer.m_engine, peer.m_now, notice, peer.m_actions);
    peer.pass(std::chrono::milliseconds(25));
    EXPECT_TRUE(peer.m_attempts.empty());
    ASSERT_NE(peer.answer(caller), nullptr);
    EXPECT_EQ(peer.answer(caller)->m_reason, Reason::Quarantined);
}

// Guards against a re-send that reaches another node before the notice of the targets lost.
TEST(Quarantine, AnswerWaitsUntilThePeersKnow)
{
    Harness harness(makeSettings(1, 3));
    harness.holdEverywhere({{1, 7}});
    const CallerId caller = harness.submit("one", "poison");
    harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    EXPECT_EQ(harness.m_quarantines.size(), 2U);
    harness.pass(std::chrono::milliseconds(95));
    EXPECT_EQ(harness.answer(caller), nullptr);
    EXPECT_EQ(requestsInFlight(*harness.m_engine), 1U);
    harness.pass(std::chrono::milliseconds(300));
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.m_answers.at(caller).size(), 1U);
}

// Guards against a rack that fails and takes each request that ran there into quarantine.
TEST(Quarantine, LossOfSeveralTargetsAtOnceQuarantinesNoProvenRequest)
{
    Harness harness(makeSettings(6, 2));
    harness.holdEverywhere({{1, 7}});
    harness.submit("all", "proven");
    harness.replyToAll();
    const CallerId caller = harness.submit("all", "proven");
    ASSERT_EQ(harness.m_attempts.size(), 6U);
    for (int lost = 0; lost < 4; ++lost) {
        harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
    }
    for (int step = 0; step < 50; ++step) {
        harness.replyToAll();
        harness.pass(std::chrono::milliseconds(5));
    }
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Complete);
}

} // namespace
} // namespace arbutusgrade
