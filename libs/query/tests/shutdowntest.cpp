#include "harness.h"

#include <gtest/gtest.h>

//! Requests of an engine whose process has begun a planned stop.
namespace arbutusgrade {
namespace {

using std::chrono::milliseconds;

//! Far beyond the end of the stops below, so that only the stop can end a request.
constexpr milliseconds patientDeadline{60'000};

constexpr Duration acceptTime = milliseconds(1000);
constexpr Duration exitTime = milliseconds(3000);
const std::vector<Snapshot> held{{1, 7}};

Settings patientSettings(int services, int targets, int connections = 8)
{
    Settings settings = makeSettings(services, targets, connections);
    for (KindSettings &kind : settings.m_kinds) {
        kind.m_deadline = patientDeadline;
        kind.m_hedge = false;
    }
    return settings;
}

//! @brief An engine of which a planned stop can be begun.
struct StoppingHarness : Harness
{
    explicit StoppingHarness(const Settings &settings) : Harness(settings)
    {
        reportHoldings(held);
    }

    void beginStop()
    {
        m_schedule = scheduleShutdown(m_now, acceptTime, exitTime);
        limitByShutdown(*m_engine, m_now, m_schedule, m_actions);
        collectActions();
    }

    //! @brief Ends requests of the kind, each after the time given.
    void learnDuration(const std::string &kind, Duration duration)
    {
        for (int request = 0; request < 4; ++request) {
            submit(kind);
            while (!m_storeCalls.empty()) {
                storeReply(nextStoreCall(), StoreStatus::Ok);
            }
            advance(duration);
            replyToAll();
            while (!m_storeCalls.empty()) {
                storeReply(nextStoreCall(), StoreStatus::Ok, "", 2);
            }
        }
    }

    std::uint64_t violations()
    {
        return totalViolations(invariantCounters(*m_engine));
    }

    ShutdownSchedule m_schedule;
};

// Guards against requests that keep a deadline beyond the end of the process and so have no answer,
// and against an answer that drops the shards that are in.
TEST(Shutdown, RequestsInFlightAreAnsweredBeforeTheEnd)
{
    StoppingHarness harness(patientSettings(2, 3));
    const CallerId best = harness.submit("best");
    const CallerId one = harness.submit("one", "{\"other\":1}");
    const CallerId order = harness.submit("order", "{\"order\":1}");
    harness.storeReply(harness.nextStoreCall(), StoreStatus::Ok);
    harness.replyOk(harness.nextAttempt());
    harness.beginStop();
    harness.advance(harness.m_schedule.m_answerBy - harness.m_now - Duration(1));
    EXPECT_EQ(harness.answer(best), nullptr);
    harness.advance(Duration(1));
    expectAnswer(harness, best, Outcome::Partial, Reason::ShuttingDown);
    ASSERT_NE(harness.answer(best), nullptr);
    EXPECT_EQ(harness.answer(best)->m_included.size(), 1U);
    expectAnswer(harness, one, Outcome::Failed, Reason::ShuttingDown);
    expectAnswer(harness, order, Outcome::OutcomeUnknown, Reason::ShuttingDown);
    EXPECT_EQ(requestsInFlight(*harness.m_engine), 0U);
    EXPECT_EQ(harness.violations(), 0U);
}

// Guards against a stop that shortens requests which end by themselves before it.
TEST(Shutdown, EarlierDeadlinesStayAsTheyAre)
{
    Settings settings = patientSettings(1, 3);
    settings.m_kinds[2].m_deadline = milliseconds(500);
    StoppingHarness harness(settings);
    const CallerId one = harness.submit("one");
    harness.beginStop();
    harness.advance(milliseconds(499));
    EXPECT_EQ(harness.answer(one), nullptr);
    harness.advance(milliseconds(1));
    expectAnswer(harness, one, Outcome::Failed, Reason::Deadline);
}

// Guards against a failed request that waits for the budget of retries until the process is gone.
TEST(Shutdown, RequestThatWaitsForARetryIsAnsweredBeforeTheEnd)
{
    Settings settings = patientSettings(1, 3);
    settings.m_kinds[2].m_retries = 1000;
    StoppingHarness harness(settings);
    const CallerId one = harness.submit("one");
    harness.beginStop();
    const TimePoint end = harness.m_schedule.m_answerBy;
    while (harness.m_now < end) {
        while (!harness.m_attempts.empty()) {
            harness.reply(harness.nextAttempt(), AttemptStatus::Error);
        }
        harness.advance(milliseconds(10));
    }
    EXPECT_GT(queryStatistics(*harness.m_engine).m_budgetDenials, 0U);
    expectAnswer(harness, one, Outcome::Failed, Reason::TargetError);
}

// Guards against an order that is sent when no time is left to learn its result, and against a
// claim of it that stays in the store.
TEST(Shutdown, OrderThatWasNotSentIsRefusedAsNotRunAndReleased)
{
    StoppingHarness harness(patientSettings(1, 3));
    harness.learnDuration("order", milliseconds(200));
    const CallerId order = harness.submit("order", "{}", "o1");
    const CallStore claim = harness.nextStoreCall();
    harness.beginStop();
    harness.advance(harness.m_schedule.m_answerBy - harness.m_now - milliseconds(300));
    expectAnswer(harness, order, Outcome::NotRun, Reason::ShuttingDown);
    harness.storeReply(claim, StoreStatus::Ok);
    EXPECT_TRUE(harness.m_attempts.empty());
    EXPECT_EQ(harness.m_storeCalls.size(), 1U) << "the claim is not released";
    EXPECT_EQ(harness.violations(), 0U);
}

// Guards against requests that are accepted during a stop although they usually outlast it.
TEST(Shutdown, ArrivalThatCannotEndIsRefusedAtOnce)
{
    StoppingHarness harness(patientSettings(1, 3));
    harness.learnDuration("one", milliseconds(1000));
    harness.learnDuration("order", milliseconds(1000));
    harness.beginStop();
    const CallerId early = harness.submit("one", "{}", "early");
    EXPECT_EQ(harness.answer(early), nullptr);
    EXPECT_EQ(harness.nextAttempt().m_deadline, harness.m_schedule.m_answerBy);
    harness.advance(milliseconds(1200));
    const CallerId order = harness.submit("order");
    expectAnswer(harness, order, Outcome::NotRun, Reason::ShuttingDown);
    EXPECT_EQ(harness.answer(harness.submit("one")), nullptr);
    harness.advance(milliseconds(1000));
    expectAnswer(harness, harness.submit("one"), Outcome::NotRun, Reason::ShuttingDown);
    expectAnswer(harness, harness.submit("one", "{}", "again", 2), Outcome::Failed,
                 Reason::ShuttingDown);
    EXPECT_EQ(harness.violations(), 0U);
}

// Guards against queues whose order breaks when the deadlines of waiting requests change: some
// would be lost, others answered twice.
TEST(Shutdown, QueuedRequestsAreServedOrRefused)
{
    StoppingHarness harness(patientSettings(1, 1, 2));
    harness.learnDuration("one", milliseconds(100));
    constexpr int requests = 40;
    std::vector<CallerId> callers;
    callers.reserve(requests);
    for (int request = 0; request < requests; ++request) {
        callers.push_back(harness.submit("one", "{\"n\":" + std::to_string(request) + "}"));
    }
    harness.beginStop();
    while (harness.m_now < harness.m_schedule.m_answerBy) {
        harness.advance(milliseconds(100));
        if (!harness.m_attempts.empty()) {
            harness.replyOk(harness.nextAttempt());
        }
    }
    int served = 0;
    for (const CallerId caller : callers) {
        const CallerAnswer *answer = harness.answer(caller);
        ASSERT_NE(answer, nullptr);
        EXPECT_EQ(harness.m_answers.at(caller).size(), 1U);
        EXPECT_TRUE(answer->m_outcome == Outcome::Complete || answer->m_outcome == Outcome::NotRun)
            << outcomeName(answer->m_outcome);
        served += answer->m_outcome == Outcome::Complete ? 1 : 0;
    }
    EXPECT_GE(served, 20);
    EXPECT_EQ(queryStatistics(*harness.m_engine).m_queued, 0U);
    EXPECT_EQ(harness.violations(), 0U);
}

} // namespace
} // namespace arbutusgrade
