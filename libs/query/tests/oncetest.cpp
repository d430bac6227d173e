#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

Settings onceSettings()
{
    return makeSettings(1, 3);
}

std::uint64_t violations(Harness &harness)
{
    return totalViolations(invariantCounters(*harness.m_engine));
}

//! Submits a request, grants its claim and returns its attempt.
SendAttempt claimAndTakeAttempt(Harness &harness, CallerId &caller)
{
    caller = harness.submit("order", "{}", "order-1");
    EXPECT_TRUE(harness.m_attempts.empty());
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Ok, "", 1);
    return harness.nextAttempt();
}

// Guards against a send before the claim is held, and against a result that is not recorded.
TEST(Once, ClaimComesBeforeTheSendAndTheResultIsRecorded)
{
    Harness harness(onceSettings());
    CallerId caller = 0;
    const SendAttempt attempt = claimAndTakeAttempt(harness, caller);
    EXPECT_FALSE(attempt.m_idempotent);
    harness.replyOk(attempt);
    expectAnswer(harness, caller, Outcome::Complete, Reason::None);
    const CallStore record = harness.nextStoreCall();
    EXPECT_EQ(record.m_expectedRevision, 1);
    const std::optional<ClaimRecord> done = decodeClaim(record.m_value);
    ASSERT_TRUE(done.has_value());
    EXPECT_EQ(done->m_state, ClaimState::Done);
    EXPECT_EQ(done->m_result, "[\"s0\"]");

    const CallerId again = harness.submit("order", "{}", "order-1", 2);
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Conflict, record.m_value, 2);
    expectAnswer(harness, again, Outcome::Complete, Reason::None);
    EXPECT_EQ(harness.answer(again)->m_included.front().m_entries, "[\"s0\"]");
    EXPECT_TRUE(harness.m_attempts.empty());
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against `not-run` for a re-send whose earlier send may have run.
TEST(Once, UnreachableStoreRefusesFirstSendsAndLeavesReSendsUnknown)
{
    Harness harness(onceSettings());
    const CallerId first = harness.submit("order", "{}", "a", 1);
    const CallerId second = harness.submit("order", "{}", "b", 2);
    for (int call = 0; call < 4; ++call) {
        harness.storeReply(harness.nextStoreCall(), StoreStatus::Unavailable);
    }
    expectAnswer(harness, first, Outcome::NotRun, Reason::StoreUnavailable);
    expectAnswer(harness, second, Outcome::OutcomeUnknown, Reason::StoreUnavailable);
    EXPECT_TRUE(harness.m_attempts.empty());
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against `not-run` for any re-send that is refused before the claim is read, whatever the
// reason, and for re-sends of idempotent requests, whose earlier send may still run.
TEST(Once, RefusedReSendsAreNeverCalledNotRun)
{
    Settings settings = onceSettings();
    settings.m_store.m_claimsPerSecond = 1;
    Harness limited(settings);
    expectAnswer(limited, limited.submit("order", "{}", "a", 2), Outcome::OutcomeUnknown,
                 Reason::Overload);
    Harness stopping(onceSettings());
    beginShutdown(*stopping.m_engine);
    expectAnswer(stopping, stopping.submit("order", "{}", "a", 1), Outcome::NotRun,
                 Reason::ShuttingDown);
    expectAnswer(stopping, stopping.submit("order", "{}", "a", 2), Outcome::OutcomeUnknown,
                 Reason::ShuttingDown);
    expectAnswer(stopping, stopping.submit("all", "{}", "b", 2), Outcome::Failed,
                 Reason::ShuttingDown);
    EXPECT_EQ(violations(stopping), 0U);
}

// Guards against a second execution after a lost connection, whatever caused the loss.
TEST(Once, LostConnectionIsUnknownAndNeverRetried)
{
    Harness harness(onceSettings());
    CallerId caller = 0;
    harness.failAttempt(claimAndTakeAttempt(harness, caller), AttemptFailure::ConnectionLost);
    expectAnswer(harness, caller, Outcome::OutcomeUnknown, Reason::TargetError);
    harness.advance(std::chrono::seconds(5));
    EXPECT_TRUE(harness.m_attempts.empty());
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against ending a request although the target refused it before the start.
TEST(Once, RefusalBeforeStartGoesToTheNextReplicaThenReleases)
{
    Harness harness(onceSettings());
    CallerId caller = 0;
    SendAttempt attempt = claimAndTakeAttempt(harness, caller);
    std::set<std::string> targets;
    for (int refusal = 0; refusal < 3; ++refusal) {
        targets.insert(attempt.m_target);
        if (refusal == 1) {
            harness.failAttempt(attempt, AttemptFailure::NotSent);
        } else {
            harness.reply(attempt, AttemptStatus::Draining);
        }
        harness.advance(std::chrono::milliseconds(100));
        if (refusal < 2) {
            attempt = harness.nextAttempt();
        }
    }
    EXPECT_EQ(targets.size(), 3U);
    expectAnswer(harness, caller, Outcome::NotRun, Reason::NoReplica);
    EXPECT_EQ(decodeClaim(harness.nextStoreCall().m_value)->m_state, ClaimState::Released);
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against a send after the deadline when the node was paused while waiting for the store.
TEST(Once, PauseBeforeTheSendEndsAsNotRunAndReleases)
{
    Harness harness(onceSettings());
    const CallerId caller = harness.submit("order", "{}", "order-1");
    const CallStore create = harness.nextStoreCall();
    harness.pause(std::chrono::seconds(5));
    harness.storeReply(create, StoreStatus::Ok, "", 4);
    expectAnswer(harness, caller, Outcome::NotRun, Reason::Deadline);
    EXPECT_TRUE(harness.m_attempts.empty());
    const CallStore release = harness.nextStoreCall();
    EXPECT_EQ(release.m_expectedRevision, 4);
    EXPECT_EQ(decodeClaim(release.m_value)->m_state, ClaimState::Released);
    EXPECT_EQ(queryStatistics(*harness.m_engine).m_pauses, 1U);
}

// Guards against `not-run` at the deadline of a sent request, and against losing its late result.
TEST(Once, LateResultIsRecordedAfterTheUnknownAnswer)
{
    Harness harness(onceSettings());
    CallerId caller = 0;
    const SendAttempt attempt = claimAndTakeAttempt(harness, caller);
    harness.advance(std::chrono::seconds(2));
    expectAnswer(harness, caller, Outcome::OutcomeUnknown, Reason::Deadline);
    EXPECT_TRUE(harness.m_cancels.empty());
    harness.replyOk(attempt);
    EXPECT_EQ(decodeClaim(harness.nextStoreCall().m_value)->m_state, ClaimState::Done);
    expectAnswer(harness, caller, Outcome::OutcomeUnknown, Reason::Deadline);
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against an unknown outcome for a request that is sent to another node right after its
// answer, while the first node is still writing the record of the outcome.
TEST(Once, ReSendWaitsForTheRecordOfTheFirstSend)
{
    Harness harness(onceSettings());
    harness.submit("order", "{}", "order-1");
    ClaimRecord foreign = *decodeClaim(harness.nextStoreCall().m_value);
    foreign.m_node = "node1";
    foreign.m_nonce = 77;
    const CallerId again = harness.submit("order", "{}", "order-1", 2);
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Conflict, encodeClaim(foreign), 3);
    EXPECT_EQ(harness.answer(again), nullptr);
    harness.advance(std::chrono::milliseconds(200));
    const CallStore read = harness.nextStoreCall();
    EXPECT_EQ(read.m_operation, StoreOperation::Get);
    foreign.m_state = ClaimState::Done;
    foreign.m_outcome = "complete";
    foreign.m_service = "s0";
    foreign.m_result = "[\"s0\"]";
    foreign.m_hasResult = true;
    harness.storeReply(read, StoreStatus::Ok, encodeClaim(foreign), 4);
    expectAnswer(harness, again, Outcome::Complete, Reason::None);
    EXPECT_TRUE(harness.m_attempts.empty());
    EXPECT_EQ(violations(harness), 0U);
}

// Guards against `not-run` for a request whose claim another node holds, and against a claim that
// is never forgotten, when the deadline passes while this node waits for the record.
TEST(Once, DeadlineDuringTheWaitForARecordIsUnknown)
{
    for (const bool replyIsMissing : {true, false}) {
        Harness harness(onceSettings());
        const CallerId caller = harness.submit("order", "{}", "order-1");
        ClaimRecord foreign = *decodeClaim(harness.m_storeCalls.front().m_value);
        foreign.m_nonce = 77;
        harness.storeReply(harness.nextStoreCall(), StoreStatus::Conflict, encodeClaim(foreign), 3);
        harness.advance(std::chrono::milliseconds(200));
        const CallStore read = harness.nextStoreCall();
        if (!replyIsMissing) {
            harness.pause(std::chrono::seconds(3));
            harness.storeReply(read, StoreStatus::Ok, encodeClaim(foreign), 3);
        }
        harness.advance(std::chrono::seconds(3));
        ASSERT_NE(harness.answer(caller), nullptr);
        EXPECT_EQ(outcomeName(harness.answer(caller)->m_outcome), "outcome-unknown");
        EXPECT_TRUE(harness.m_attempts.empty());
        EXPECT_EQ(violations(harness), 0U);
    }
}

// Guards against executing a request whose id is claimed by another node or with another payload.
TEST(Once, ForeignClaimsAreNotRun)
{
    Harness harness(onceSettings());
    ClaimRecord foreign;
    foreign.m_node = "node1";
    foreign.m_nonce = 77;
    harness.submit("order", "{}", "x");
    foreign.m_fingerprint = decodeClaim(harness.nextStoreCall().m_value)->m_fingerprint;
    const CallerId same = harness.submit("order", "{}", "y");
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Conflict, encodeClaim(foreign), 3);
    for (int call = 0; harness.answer(same) == nullptr && call < 4; ++call) {
        harness.advance(std::chrono::milliseconds(200));
        harness.storeReply(harness.nextStoreCall(), StoreStatus::Ok, encodeClaim(foreign), 3);
    }
    expectAnswer(harness, same, Outcome::OutcomeUnknown, Reason::InProgress);
    const CallerId other = harness.submit("order", "{\"other\":1}", "z");
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Conflict, encodeClaim(foreign), 3);
    expectAnswer(harness, other, Outcome::Failed, Reason::RequestIdReused);
    EXPECT_TRUE(harness.m_attempts.empty());
}

// Guards against a node that overloads the store with claims.
TEST(Once, ClaimRateIsLimited)
{
    Settings settings = onceSettings();
    settings.m_store.m_claimsPerSecond = 10;
    Harness harness(settings);
    for (int request = 0; request < 50; ++request) {
        harness.submit("order");
    }
    EXPECT_LE(harness.m_storeCalls.size(), 10U);
    expectAnswer(harness, 50, Outcome::NotRun, Reason::Overload);
    harness.advance(std::chrono::milliseconds(900));
    const std::size_t before = harness.m_storeCalls.size();
    harness.submit("order");
    EXPECT_EQ(harness.m_storeCalls.size(), before + 1);
}

// Guards against a claim that is not released when no target accepts the request.
TEST(Once, NothingToSendToReleasesTheClaim)
{
    Settings settings = onceSettings();
    for (TargetSettings &target : settings.m_groups.front().m_services.front().m_targets) {
        target.m_draining = true;
    }
    Harness harness(settings);
    const CallerId caller = harness.submit("order");
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Ok, "", 1);
    expectAnswer(harness, caller, Outcome::NotRun, Reason::NoReplica);
    EXPECT_EQ(decodeClaim(harness.nextStoreCall().m_value)->m_state, ClaimState::Released);
}

} // namespace
} // namespace arbutusgrade
