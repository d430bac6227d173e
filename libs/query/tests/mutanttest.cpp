#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

QueryOptions optionsWithMutant(QueryMutant mutant)
{
    QueryOptions options;
    options.m_mutant = mutant;
    return options;
}

std::uint64_t violationsOf(Harness &harness, Invariant invariant)
{
    return invariantCounters(*harness.m_engine).m_violations[static_cast<std::size_t>(invariant)];
}

//! Runs one fan-out request; one reply has another snapshot and one another request id.
void runMismatchedReplies(Harness &harness)
{
    harness.reportHoldings({{1, 7}});
    harness.submit("all");
    SendAttempt attempt = harness.nextAttempt();
    harness.replyOk(attempt, {1, 6});
    attempt = harness.nextAttempt();
    attempt.m_requestId = "other";
    harness.replyOk(attempt);
    harness.replyToAll();
    harness.advance(std::chrono::seconds(2));
    harness.replyToAll();
}

//! Runs two once requests; one loses the reply of its claim call, the other its connection.
void runLostClaimAndConnection(Harness &harness)
{
    harness.submit("order", "{}", "lost-claim");
    if (!harness.m_storeCalls.empty()) {
        harness.storeReply(harness.nextStoreCall(), StoreStatus::Unavailable);
    }
    const CallerId caller = harness.submit("order", "{}", "lost-connection");
    for (int call = 0; call < 2 && !harness.m_storeCalls.empty(); ++call) {
        const CallStore next = harness.nextStoreCall();
        if (next.m_operation == StoreOperation::CompareAndSwap) {
            harness.storeReply(next, StoreStatus::Ok, "", 1);
        }
    }
    for (int round = 0; round < 3; ++round) {
        while (!harness.m_attempts.empty()) {
            const SendAttempt attempt = harness.nextAttempt();
            if (attempt.m_requestId == "lost-connection") {
                harness.failAttempt(attempt, AttemptFailure::ConnectionLost);
            }
        }
        harness.advance(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(harness.m_answers[caller].size(), 1U);
}

//! Grants a claim after the node was paused past the deadline.
void runPauseBeforeClaim(Harness &harness)
{
    harness.submit("order", "{}", "late");
    const CallStore create = harness.nextStoreCall();
    harness.pause(std::chrono::seconds(5));
    harness.storeReply(create, StoreStatus::Ok, "", 1);
}

//! Drains one target, submits more requests than there are connections and one that crashes
//! targets.
void runDrainCrashAndContention(Harness &harness)
{
    harness.reportHoldings({{1, 7}});
    harness.observe({"s0-t0", std::nullopt, true, {}, "", std::nullopt});
    for (int request = 0; request < 30; ++request) {
        harness.submit("one", "p" + std::to_string(request));
    }
    harness.replyToAll();
    for (int send = 0; send < 4; ++send) {
        harness.submit("one", "poison");
        while (!harness.m_attempts.empty()) {
            harness.failAttempt(harness.nextAttempt(), AttemptFailure::ConnectionLost);
        }
        harness.advance(std::chrono::milliseconds(300));
    }
}

//! Lets all targets reply slowly and with errors.
void runFailingTargets(Harness &harness)
{
    harness.reportHoldings({{1, 7}});
    for (int request = 0; request < 100; ++request) {
        harness.submit("one", "p" + std::to_string(request));
        harness.advance(std::chrono::milliseconds(200));
        while (!harness.m_attempts.empty()) {
            harness.reply(harness.nextAttempt(), AttemptStatus::Error);
        }
    }
}

struct MutantCase
{
    const char *m_name;
    QueryMutant m_mutant;
    Invariant m_invariant;
    void (*m_run)(Harness &);
};

const std::vector<MutantCase> mutantCases{
    {"MergeAnySnapshot", QueryMutant::MergeAnySnapshot, Invariant::OneSnapshot,
     runMismatchedReplies},
    {"AcceptCrossedReply", QueryMutant::AcceptCrossedReply, Invariant::NoCrossedReply,
     runMismatchedReplies},
    {"CountShardTwice", QueryMutant::CountShardTwice, Invariant::CoverageExact,
     runMismatchedReplies},
    {"CoverageFromPlan", QueryMutant::CoverageFromPlan, Invariant::CoverageExact,
     runMismatchedReplies},
    {"RetryNonIdempotent", QueryMutant::RetryNonIdempotent, Invariant::AtMostOnce,
     runLostClaimAndConnection},
    {"ClaimNotNeeded", QueryMutant::ClaimNotNeeded, Invariant::AtMostOnce,
     runLostClaimAndConnection},
    {"ClaimLostMeansHeld", QueryMutant::ClaimLostMeansHeld, Invariant::AtMostOnce,
     runLostClaimAndConnection},
    {"NotRunAfterSend", QueryMutant::NotRunAfterSend, Invariant::NotRunTruth,
     runLostClaimAndConnection},
    {"ReleaseAfterSend", QueryMutant::ReleaseAfterSend, Invariant::AtMostOnce,
     runLostClaimAndConnection},
    {"SendAfterDeadline", QueryMutant::SendAfterDeadline, Invariant::AtMostOnce,
     runPauseBeforeClaim},
    {"IgnoreDrain", QueryMutant::IgnoreDrain, Invariant::NoWorkAfterDrain,
     runDrainCrashAndContention},
    {"IgnoreConnectionShare", QueryMutant::IgnoreConnectionShare, Invariant::ConnectionLimit,
     runDrainCrashAndContention},
    {"NoQuarantine", QueryMutant::NoQuarantine, Invariant::QuarantineBound,
     runDrainCrashAndContention},
    {"UnlimitedHedges", QueryMutant::UnlimitedHedges, Invariant::ExtraLoadBudget,
     runFailingTargets},
    {"RetryWithoutBudget", QueryMutant::RetryWithoutBudget, Invariant::ExtraLoadBudget,
     runFailingTargets},
};

class Mutant : public testing::TestWithParam<MutantCase>
{
};

// Guards against an invariant check that cannot fail: each fault must violate its invariant, and
// the same run without the fault must violate none.
TEST_P(Mutant, BreaksItsInvariant)
{
    Harness faulty(makeSettings(2, 3), optionsWithMutant(GetParam().m_mutant));
    GetParam().m_run(faulty);
    EXPECT_GT(violationsOf(faulty, GetParam().m_invariant), 0U);
    Harness sound(makeSettings(2, 3));
    GetParam().m_run(sound);
    EXPECT_EQ(totalViolations(invariantCounters(*sound.m_engine)), 0U);
}

INSTANTIATE_TEST_SUITE_P(All, Mutant, testing::ValuesIn(mutantCases),
                         [](const testing::TestParamInfo<MutantCase> &parameter) {
                             return parameter.param.m_name;
                         });

// Guards against runs that do not detect a request without an answer.
TEST(MutantAnswers, EvictedRequestWithoutAnswerIsNoticed)
{
    const auto unanswered = [](QueryMutant mutant) {
        Harness harness(makeSettings(1, 1, 2, 2), optionsWithMutant(mutant));
        harness.reportHoldings({{1, 7}});
        harness.submit("one");
        const SendAttempt first = harness.nextAttempt();
        harness.advance(std::chrono::milliseconds(100));
        harness.replyOk(first);
        for (int request = 0; request < 30; ++request) {
            harness.submit(request < 6 ? "one" : "all");
        }
        harness.m_settings.m_kinds[0].m_priority = 9;
        adoptSettings(*harness.m_engine, harness.m_now, harness.m_settings, harness.m_actions);
        for (int request = 0; request < 30; ++request) {
            harness.submit("all");
        }
        harness.advance(std::chrono::milliseconds(1100));
        return queryStatistics(*harness.m_engine).m_evictions > 0
               && harness.m_answers.size() < harness.m_lastCaller;
    };
    EXPECT_TRUE(unanswered(QueryMutant::LoseQueuedRequest));
    EXPECT_FALSE(unanswered(QueryMutant::None));
}

} // namespace
} // namespace arbutusgrade
