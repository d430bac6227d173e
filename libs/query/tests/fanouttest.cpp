#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

// Guards against an answer that lacks a shard although all replied, or that never comes.
TEST(FanOut, AllRepliesGiveACompleteAnswer)
{
    Harness harness(makeSettings(4, 3));
    harness.holdEverywhere({{1, 7}});
    const CallerId caller = harness.submit("all");
    harness.replyToAll();
    const CallerAnswer *answer = harness.answer(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->m_outcome, Outcome::Complete);
    EXPECT_EQ(answer->m_included.size(), 4U);
    EXPECT_EQ(answer->m_snapshot, (Snapshot{1, 7}));
    EXPECT_EQ(requestsInFlight(*harness.m_engine), 0U);
    EXPECT_EQ(totalViolations(invariantCounters(*harness.m_engine)), 0U);
}

// Guards against a node that cannot start before the first probe: the refusals tell the holdings.
TEST(FanOut, UnknownHoldingsAreLearnedFromRefusals)
{
    Harness harness(makeSettings(4, 3));
    const CallerId caller = harness.submit("all");
    while (harness.answer(caller) == nullptr && !harness.m_attempts.empty()) {
        const SendAttempt attempt = harness.takeAttempt();
        if (attempt.m_snapshot == Snapshot{1, 7}) {
            harness.replyOk(attempt);
        } else {
            harness.reply(attempt, AttemptStatus::SnapshotGone, {{1, 7}});
        }
    }
    const CallerAnswer *answer = harness.answer(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->m_outcome, Outcome::Complete);
    EXPECT_EQ(answer->m_snapshot, (Snapshot{1, 7}));
}

// Guards against waiting beyond the deadline, and against a lacking shard without a reason.
TEST(FanOut, DeadlineGivesAPartialAnswerWithReasons)
{
    Harness harness(makeSettings(2, 1));
    harness.holdEverywhere({{1, 7}});
    const CallerId caller = harness.submit("all");
    harness.replyOk(harness.takeAttempt());
    harness.pass(std::chrono::milliseconds(1000));
    const CallerAnswer *answer = harness.answer(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->m_outcome, Outcome::Partial);
    ASSERT_EQ(answer->m_lacking.size(), 1U);
    EXPECT_EQ(answer->m_lacking.front().m_reason, Reason::Deadline);
}

} // namespace
} // namespace arbutusgrade
