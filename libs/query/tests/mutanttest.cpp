#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

QueryOptions withMutant(QueryMutant mutant)
{
    QueryOptions options;
    options.m_mutant = mutant;
    return options;
}

std::uint64_t violationsOf(Harness &harness, Invariant invariant)
{
    return invariantCounters(*harness.m_engine).m_violations[static_cast<std::size_t>(invariant)];
}

//! Runs one fan-out request in which one reply names another snapshot and another request.
void runFanOut(Harness &harness)
{
    harness.holdEverywhere({{1, 7}});
    harness.submit("all");
    SendAttempt attempt = harness.takeAttempt();
    harness.replyOk(attempt, {1, 6});
    attempt = harness.takeAttempt();
    attempt.m_requestId = "other";
    harness.replyOk(attempt);
    harness.replyToAll();
    harness.pass(std::chrono::seconds(2));
    harness.replyToAll();
}

//! Runs once requests of which one loses its claim reply and one its connection.
void runOnce(Harness &harness)
{
    harness.submit("order", "{}", "lost-claim");
    if (!harness.m_calls.empty()) {
        harness.storeReply(harness.takeCall(), StoreStatus::Unavailable);
    }
    const CallerId caller = harness.submit("order", "{}", "lost-connection");
    for (int call = 0; call < 2 && !harness.m_calls.empty(); ++call) {
        const CallStore next = harness.takeCall();
        if (next.m_operation == StoreOperation::CompareAndSwap) {
            harness.storeReply(next, StoreStatus::Ok, "", 1);
        }
    }
    for (int round = 0; round < 3; ++round) {
        while (!harness.m_attempts.empty()) {
            const SendAttempt attempt = harness.takeAttempt();
            if (attempt.m_requestId == "lost-connection") {
                harness.fail(attempt, AttemptFailure::ConnectionLost);
            }
        }
        harness.pass(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(harness.m_answers[caller].size(), 1U);
}

//! A claim is granted to a node that was paused until after the deadline.
void runPause(Harness &harness)
{
    harness.submit("order", "{}", "late");
    const CallStore create = harness.takeCall();
    harness.pauseFor(std::chrono::seconds(5));
    harness.storeReply(create, StoreStatus::Ok, "", 1);
}

//! One target drains, another request crashes its targets, and connections are in short supply.
void runTargets(Harness &harness)
{
    harness.holdEverywhere({{1, 7}});
    harness.observe({"s0-t0", std::nullopt, true, {}, "", std::nullopt});
    for (int request = 0; request < 30; ++request) {
        harness.submit("one", "p" + std::to_string(request));
    }
    harness.replyToAll();
    for (int send = 0; send < 4; ++send) {
        harness.submit("one", "poison");
        while (!harness.m_attempts.empty()) {
            harness.fail(harness.takeAttempt(), AttemptFailure::ConnectionLost);
        }
        harness.pass(std::chrono::milliseconds(300));
    }
}

//! All targets are slow and fail in the end.
void runOutage(Harness &harness)
{
    harness.holdEverywhere({{1, 7}});
    for (int request = 0; request < 100; ++request) {
        harness.submit("one", "p" + std::to_string(request));
        harness.pass(std::chrono::milliseconds(200));
        while (!harness.m_attempts.empty()) {
            harness.reply(harness.takeAttempt(), AttemptStatus::Error);
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
    {"MergeAnySnapshot", QueryMutant::MergeAnySnapshot, Invariant::OneSnapshot, runFanOut},
    {"AcceptCrossedReply", QueryMutant::AcceptCrossedReply, Invariant::NoCrossedReply, runFanOut},
    {"CountShardTwice", QueryMutant::CountShardTwice, Invariant::CoverageExact, runFanOut},
    {"CoverageFromPlan", QueryMutant::CoverageFromPlan, Invariant::CoverageExact, runFanOut},
    {"RetryNonIdempotent", QueryMutant::RetryNonIdempotent, Invariant::AtMostOnce, runOnce},
    {"ClaimNotNeeded", QueryMutant::ClaimNotNeeded, Invariant::AtMostOnce, runOnce},
    {"ClaimLostMeansHeld", QueryMutant::ClaimLostMeansHeld, Invariant::AtMostOnce, runOnce},
    {"NotRunAfterSend", QueryMutant::NotRunAfterSend, Invariant::NotRunTruth, runOnce},
    {"ReleaseAfterSend", QueryMutant::ReleaseAfterSend, Invariant::AtMostOnce, runOnce},
    {"SendAfterDeadline", QueryMutant::SendAfterDeadline, Invariant::AtMostOnce, runPause},
    {"IgnoreDrain", QueryMutant::IgnoreDrain, Invariant::NoWorkAfterDrain, runTargets},
    {"IgnoreConnectionShare", QueryMutant::IgnoreConnectionShare, Invariant::ConnectionLimit,
     runTargets},
    {"NoQuarantine", QueryMutant::NoQuarantine, Invariant::QuarantineBound, runTargets},
    {"UnlimitedHedges", QueryMutant::UnlimitedHedges, Invariant::ExtraLoadBudget, runOutage},
    {"RetryWithoutBudget", QueryMutant::RetryWithoutBudget, Invariant::ExtraLoadBudget, runOutage},
};

class Mutant : public testing::TestWithParam<MutantCase>
{
};

// Guards against an invariant that cannot fail: each fault must break its own, and only with it.
TEST_P(Mutant, BreaksItsInvariant)
{
    Harness faulty(makeSettings(2, 3), withMutant(GetParam().m_mutant));
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

// Guards against a run that cannot notice a request without an answer.
TEST(MutantAnswers, EvictedRequestWithoutAnswerIsNoticed)
{
    const auto unanswered = [](QueryMutant mutant) {
        Harness harness(makeSettings(1, 1, 2, 2), withMutant(mutant));
        harness.holdEverywhere({{1, 7}});
        harness.submit("one");
        const SendAttempt first = harness.takeAttempt();
        harness.pass(std::chrono::milliseconds(100));
        harness.replyOk(first);
        for (int request = 0; request < 30; ++request) {
            harness.submit(request < 6 ? "one" : "all");
        }
        harness.m_settings.m_kinds[0].m_priority = 9;
        adoptSettings(*harness.m_engine, harness.m_now, harness.m_settings, harness.m_actions);
        for (int request = 0; request < 30; ++request) {
            harness.submit("all");
        }
        harness.pass(std::chrono::milliseconds(1100));
        return queryStatistics(*harness.m_engine).m_evictions > 0
               && harness.m_answers.size() < harness.m_callers;
    };
    EXPECT_TRUE(unanswered(QueryMutant::LoseQueuedRequest));
    EXPECT_FALSE(unanswered(QueryMutant::None));
}

} // namespace
} // namespace arbutusgrade
