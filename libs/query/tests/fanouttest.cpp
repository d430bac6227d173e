#include "harness.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

// Guards against a partial or missing answer although all shards replied.
TEST(FanOut, AllRepliesGiveACompleteAnswer)
{
    Harness harness(makeSettings(4, 3));
    harness.reportHoldings({{1, 7}});
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

// Guards against a node that cannot serve before the first probe. The refusals of the targets list
// their holdings.
TEST(FanOut, UnknownHoldingsAreLearnedFromRefusals)
{
    Harness harness(makeSettings(4, 3));
    const CallerId caller = harness.submit("all");
    while (harness.answer(caller) == nullptr && !harness.m_attempts.empty()) {
        const SendAttempt attempt = harness.nextAttempt();
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
    harness.reportHoldings({{1, 7}});
    const CallerId caller = harness.submit("all");
    harness.replyOk(harness.nextAttempt());
    harness.advance(std::chrono::milliseconds(1000));
    const CallerAnswer *answer = harness.answer(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->m_outcome, Outcome::Partial);
    ASSERT_EQ(answer->m_lacking.size(), 1U);
    EXPECT_EQ(answer->m_lacking.front().m_reason, Reason::Deadline);
}

// Guards against merging a reply of another snapshot, request or shard.
TEST(FanOut, ForeignRepliesAreNotMerged)
{
    Harness harness(makeSettings(2, 1));
    harness.reportHoldings({{1, 6}, {1, 7}});
    const CallerId caller = harness.submit("all");
    const SendAttempt attempt = harness.nextAttempt();
    SendAttempt wrong = attempt;
    wrong.m_requestId = "other";
    harness.replyOk(wrong);
    wrong = attempt;
    wrong.m_service = "s1";
    harness.replyOk(wrong);
    wrong = attempt;
    wrong.m_attempt += 1U << 22U;
    harness.replyOk(wrong);
    EXPECT_EQ(queryStatistics(*harness.m_engine).m_droppedReplies, 3U);
    harness.replyOk(attempt, {1, 6});
    harness.advance(std::chrono::milliseconds(1000));
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_TRUE(harness.answer(caller)->m_included.empty());
    EXPECT_EQ(totalViolations(invariantCounters(*harness.m_engine)), 0U);
}

// Guards against pinning a snapshot that one shard lacks while all shards hold an older one.
TEST(FanOut, NewestSnapshotThatAllShardsHoldIsPinned)
{
    Harness harness(makeSettings(2, 1));
    harness.reportHoldings({{1, 6}, {1, 7}});
    harness.observe({"s0-t0", true, false, {{1, 6}, {1, 7}, {1, 8}}, "", std::nullopt});
    harness.submit("all");
    EXPECT_EQ(harness.nextAttempt().m_snapshot, (Snapshot{1, 7}));
}

// Guards against a query that mixes snapshots or fails when its snapshot becomes unavailable.
TEST(FanOut, VanishedSnapshotRestartsTheWholeQuery)
{
    Harness harness(makeSettings(3, 1));
    harness.reportHoldings({{1, 7}});
    harness.submit("all");
    harness.replyToAll();
    const CallerId caller = harness.submit("all");
    harness.replyOk(harness.nextAttempt());
    harness.reply(harness.nextAttempt(), AttemptStatus::SnapshotGone, {{1, 8}});
    harness.reply(harness.nextAttempt(), AttemptStatus::SnapshotGone, {{1, 8}});
    EXPECT_EQ(queryStatistics(*harness.m_engine).m_restarts, 1U);
    harness.observe({"s0-t0", true, false, {{1, 8}}, "", std::nullopt});
    harness.advance(std::chrono::milliseconds(50));
    harness.replyToAll({1, 8});
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Complete);
    EXPECT_EQ(harness.answer(caller)->m_snapshot, (Snapshot{1, 8}));
    EXPECT_EQ(totalViolations(invariantCounters(*harness.m_engine)), 0U);
}

// Guards against sending a queued query with a snapshot that was superseded while it waited.
TEST(FanOut, QueuedQueryFollowsTheNewSnapshot)
{
    Harness harness(makeSettings(1, 1, 2, 2));
    harness.reportHoldings({{1, 7}});
    harness.submit("all");
    const CallerId caller = harness.submit("all");
    const SendAttempt first = harness.nextAttempt();
    harness.observe({"s0-t0", true, false, {{1, 7}, {1, 8}}, "", std::nullopt});
    harness.replyOk(first);
    const SendAttempt second = harness.nextAttempt();
    EXPECT_EQ(second.m_snapshot, (Snapshot{1, 8}));
    harness.replyOk(second, {1, 8});
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.answer(caller)->m_snapshot, (Snapshot{1, 8}));
    EXPECT_EQ(queryStatistics(*harness.m_engine).m_restarts, 0U);
}

// Guards against using a partitioning epoch before all of its shards hold a snapshot of it.
TEST(FanOut, NewEpochIsUsedOnceAllItsShardsHoldIt)
{
    Settings settings = makeSettings(3, 1);
    settings.m_groups.front().m_partitionings = {{1, {"s0"}}, {2, {"s1", "s2"}}};
    Harness harness(settings);
    harness.observe({"s0-t0", true, false, {{1, 7}}, "", std::nullopt});
    harness.observe({"s1-t0", true, false, {{2, 1}}, "", std::nullopt});
    harness.observe({"s2-t0", true, false, {{1, 1}}, "", std::nullopt});
    const CallerId before = harness.submit("all");
    harness.replyToAll({1, 7});
    ASSERT_NE(harness.answer(before), nullptr);
    EXPECT_EQ(harness.answer(before)->m_included.size(), 1U);
    harness.observe({"s2-t0", true, false, {{2, 1}}, "", std::nullopt});
    const CallerId after = harness.submit("all");
    harness.replyToAll({2, 1});
    ASSERT_NE(harness.answer(after), nullptr);
    EXPECT_EQ(harness.answer(after)->m_included.size(), 2U);
    EXPECT_EQ(harness.answer(after)->m_snapshot, (Snapshot{2, 1}));
}

// Guards against waiting for the deadline although the kind's minimum coverage is reached.
TEST(FanOut, BestByDeadlineAnswersEarlyWithEnoughCoverage)
{
    Settings settings = makeSettings(10, 1);
    settings.m_kinds[1].m_enoughCoverage = 0.8;
    Harness harness(settings);
    harness.reportHoldings({{1, 7}});
    harness.submit("best");
    harness.replyToAll();
    const CallerId caller = harness.submit("best");
    while (harness.m_attempts.size() > 1) {
        harness.replyOk(harness.nextAttempt());
    }
    harness.advance(std::chrono::milliseconds(240));
    EXPECT_EQ(harness.answer(caller), nullptr);
    harness.advance(std::chrono::milliseconds(20));
    ASSERT_NE(harness.answer(caller), nullptr);
    EXPECT_EQ(harness.answer(caller)->m_outcome, Outcome::Partial);
    EXPECT_EQ(harness.answer(caller)->m_included.size(), 9U);
}

// Guards against a trace in which the first attempt is its own parent.
TEST(FanOut, SpansOfTheRequestAndItsFirstAttemptDiffer)
{
    Harness harness(makeSettings(1, 1));
    harness.reportHoldings({{1, 7}});
    CallerRequest request;
    request.m_caller = 77;
    request.m_requestId = "traced";
    request.m_kind = "all";
    request.m_payload = std::make_shared<const std::string>("{}");
    request.m_trace = TraceContext{1, 2, 3, true};
    ActionList actions;
    submitRequest(*harness.m_engine, harness.m_now, request, actions);
    const SendAttempt *sent = nullptr;
    for (const Action &action : actions) {
        sent =
            std::get_if<SendAttempt>(&action) != nullptr ? std::get_if<SendAttempt>(&action) : sent;
    }
    ASSERT_NE(sent, nullptr);
    const AttemptId attempt = sent->m_attempt;
    const std::uint64_t attemptSpan = sent->m_trace.m_parentSpan;
    AttemptReply reply;
    reply.m_attempt = attempt;
    reply.m_requestId = "traced";
    reply.m_service = sent->m_service;
    reply.m_status = AttemptStatus::Ok;
    reply.m_snapshot = *sent->m_snapshot;
    reply.m_entries = "[]";
    const std::string target = sent->m_target;
    ActionList answers;
    handleAttemptReply(*harness.m_engine, harness.m_now, target, reply, answers);
    std::size_t requestSpans = 0;
    for (const Action &action : answers) {
        const RecordSpan *span = std::get_if<RecordSpan>(&action);
        if (span != nullptr && span->m_name == "request") {
            ++requestSpans;
            EXPECT_NE(span->m_span, attemptSpan);
        }
    }
    EXPECT_EQ(requestSpans, 1U);
}

// Guards against a straggler that determines the latency, and against a superseded attempt that is
// not cancelled.
TEST(FanOut, SlowAttemptIsHedgedAndTheLoserCancelled)
{
    Harness harness(makeSettings(1, 3));
    harness.reportHoldings({{1, 7}});
    const CallerId caller = harness.submit("all");
    const SendAttempt slow = harness.nextAttempt();
    harness.advance(std::chrono::milliseconds(40));
    const SendAttempt hedge = harness.nextAttempt();
    EXPECT_NE(hedge.m_target, slow.m_target);
    harness.replyOk(hedge);
    ASSERT_NE(harness.answer(caller), nullptr);
    ASSERT_EQ(harness.m_cancels.size(), 1U);
    EXPECT_EQ(harness.m_cancels.front().m_attempt, slow.m_attempt);
    harness.replyOk(slow);
    EXPECT_EQ(harness.m_answers.at(caller).size(), 1U);
}

// Guards against hedges and retries that amplify load when all targets fail.
TEST(FanOut, HedgesAndRetriesStayWithinTheBudget)
{
    Harness harness(makeSettings(1, 3, 100, 1));
    harness.reportHoldings({{1, 7}});
    for (int request = 0; request < 400; ++request) {
        harness.submit("all", "p" + std::to_string(request % 7));
        while (!harness.m_attempts.empty()) {
            const SendAttempt attempt = harness.nextAttempt();
            if (request < 20) {
                harness.replyOk(attempt);
            } else {
                harness.reply(attempt, AttemptStatus::Error);
            }
        }
        harness.advance(std::chrono::milliseconds(20));
    }
    const QueryStatistics &statistics = queryStatistics(*harness.m_engine);
    EXPECT_LE(statistics.m_hedges + statistics.m_retries, 10 + statistics.m_firstAttempts / 20);
    EXPECT_GT(statistics.m_budgetDenials, 0U);
    EXPECT_EQ(totalViolations(invariantCounters(*harness.m_engine)), 0U);
}

// Guards against urgent requests that wait behind others or are refused before them.
TEST(FanOut, UrgentRequestsOvertakeAndTheNewestOthersAreRefused)
{
    Settings settings = makeSettings(1, 1, 2, 2);
    settings.m_kinds[1].m_priority = 9;
    Harness harness(settings);
    harness.reportHoldings({{1, 7}});
    const CallerId warmUp = harness.submit("all");
    const SendAttempt first = harness.nextAttempt();
    harness.advance(std::chrono::milliseconds(100));
    harness.replyOk(first);
    ASSERT_NE(harness.answer(warmUp), nullptr);
    for (int request = 0; request < 30; ++request) {
        harness.submit("all");
    }
    const CallerId urgent = harness.submit("best");
    EXPECT_EQ(harness.answer(urgent), nullptr);
    harness.replyOk(harness.nextAttempt());
    harness.replyOk(harness.nextAttempt());
    EXPECT_NE(harness.answer(urgent), nullptr);
    std::size_t refused = 0;
    for (const std::pair<const CallerId, std::vector<CallerAnswer>> &entry : harness.m_answers) {
        refused += entry.second.front().m_outcome == Outcome::NotRun ? 1U : 0U;
    }
    EXPECT_GT(refused, 10U);
    EXPECT_EQ(harness.m_answers.count(31), 1U);
}

// Guards against a crash of the engine, or a request without exactly one answer, under random
// events.
TEST(FanOut, RandomEventsGiveOneAnswerForEachRequest)
{
    Harness harness(makeSettings(4, 3, 30, 9));
    RandomGenerator random{7};
    std::vector<SendAttempt> sent;
    const std::vector<std::string> kinds{"all", "best", "one", "order"};
    for (int step = 0; step < 20000; ++step) {
        const std::uint64_t choice = nextRandomBelow(random, 10);
        if (choice < 2) {
            harness.submit(kinds[nextRandomBelow(random, 4)],
                           "p" + std::to_string(nextRandomBelow(random, 50)));
        } else if (choice < 7 && !harness.m_attempts.empty()) {
            const SendAttempt attempt = harness.nextAttempt();
            const std::uint64_t end = nextRandomBelow(random, 12);
            const Snapshot snapshot{1 + end % 2, 6 + nextRandomBelow(random, 2)};
            if (end < 7) {
                harness.replyOk(attempt, attempt.m_snapshot.value_or(snapshot));
            } else if (end < 10) {
                harness.reply(attempt, static_cast<AttemptStatus>(nextRandomBelow(random, 5)),
                              {snapshot, Snapshot{9, 9}});
            } else {
                harness.failAttempt(attempt,
                                    static_cast<AttemptFailure>(nextRandomBelow(random, 3)));
            }
            sent.push_back(attempt);
        } else if (choice == 7 && !harness.m_storeCalls.empty()) {
            const CallStore call = harness.nextStoreCall();
            const StoreStatus status = static_cast<StoreStatus>(nextRandomBelow(random, 4));
            harness.storeReply(call, status, call.m_value, 3);
        } else if (choice == 8 && !sent.empty()) {
            harness.replyOk(sent[nextRandomBelow(random, sent.size())]);
        } else {
            harness.advance(Duration(static_cast<std::int64_t>(nextRandomBelow(random, 20000))));
        }
    }
    harness.advance(std::chrono::seconds(3));
    EXPECT_EQ(harness.m_answers.size(), harness.m_lastCaller);
    for (const std::pair<const CallerId, std::vector<CallerAnswer>> &entry : harness.m_answers) {
        EXPECT_EQ(entry.second.size(), 1U);
    }
    EXPECT_EQ(requestsInFlight(*harness.m_engine), 0U);
    EXPECT_EQ(totalViolations(invariantCounters(*harness.m_engine)), 0U);
    harness.advance(std::chrono::seconds(70));
    EXPECT_EQ(queryStatistics(*harness.m_engine).m_queued, 0U);
}

} // namespace
} // namespace arbutusgrade
