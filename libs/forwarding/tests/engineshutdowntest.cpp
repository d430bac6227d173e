#include <gmock/gmock.h>

#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

class EngineShutdown : public EngineTest
{
protected:
    //! @brief Begins a stop in which the last answers are sent after the given time.
    void beginShutdown(Duration answerTime)
    {
        m_engine.beginShutdown(now(),
                               ShutdownSchedule{now(), now() + answerTime, now() + answerTime,
                                                now() + answerTime + 250ms});
    }

    //! @brief Lets the route to "orders" show a latency often enough to count.
    void showLatency(Duration latency)
    {
        constexpr int requests = 40;
        for (int request = 0; request < requests; ++request) {
            submit("/orders/x", 10s);
            advanceTime(latency);
            replySuccess(lastOrder());
        }
        m_output.m_answers.clear();
    }
};

} // namespace

// Guards against a request in flight that ends without an answer when the process exits.
TEST_F(EngineShutdown, AnswersRequestsInFlightBeforeTheEnd)
{
    submit("/orders/x");
    beginShutdown(1s);
    advanceTime(999ms);
    EXPECT_TRUE(m_output.m_answers.empty());
    advanceTime(1ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 504);
    EXPECT_EQ(m_engine.statistics().m_inFlight, 0U);
}

// Guards against losing the parts that a search has when the process exits.
TEST_F(EngineShutdown, AnswersASearchWithThePartsThatAreIn)
{
    submit("/search/x");
    replySuccess(m_output.m_orders[0]);
    beginShutdown(100ms);
    advanceTime(100ms);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 200);
    EXPECT_EQ(m_output.m_answers[0].m_missingShards, 1U);
}

// Guards against a request that waits for the budget of retries until the process has exited,
// although no target works on it.
TEST_F(EngineShutdown, AnswersARequestThatWaitsForARetry)
{
    useUpRetryBudget();
    ASSERT_EQ(m_engine.statistics().m_inFlight, 1U);
    m_output.m_answers.clear();
    beginShutdown(100ms);
    advanceTime(100ms);
    EXPECT_EQ(m_engine.statistics().m_inFlight, 0U);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 500);
}

// Guards against passing on a request that cannot be answered before the process exits.
TEST_F(EngineShutdown, RefusesRequestsThatOutlastTheProcess)
{
    beginShutdown(500ms);
    submit("/orders/x");
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
    EXPECT_EQ(m_output.m_answers[0].m_kind, AnswerKind::Refused);
    EXPECT_EQ(m_output.m_answers[0].m_retryAfter, Duration(0));
    EXPECT_TRUE(m_output.m_orders.empty());
    submit("/search/x");
    EXPECT_EQ(m_output.m_orders.size(), 2U);
    EXPECT_THAT(m_output.m_events, testing::IsSupersetOf({"shutdown-admission:outlasts-stop",
                                                          "shutdown-admission:fits"}));
}

// Guards against refusing requests by their latency target on a route that is known to be slower.
TEST_F(EngineShutdown, ExpectsTheLatencyThatARouteHasShown)
{
    m_table.m_routes[1].m_timeout = 10s;
    applyTable(2);
    showLatency(900ms);
    beginShutdown(3s);
    submit("/orders/x", 10s);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
}

// Guards against refusing requests by the latency target of a route that is known to be fast.
TEST_F(EngineShutdown, AcceptsRequestsOfAFastRouteUntilShortlyBeforeTheEnd)
{
    showLatency(5ms);
    beginShutdown(100ms);
    submit("/orders/x");
    EXPECT_TRUE(m_output.m_answers.empty());
}

// Guards against the two tests above passing whatever the route has shown: without history the
// latency target counts.
TEST_F(EngineShutdown, ExpectsTheLatencyTargetOfARouteWithoutHistory)
{
    m_table.m_routes[1].m_timeout = 10s;
    applyTable(2);
    beginShutdown(3s);
    submit("/orders/x", 10s);
    EXPECT_TRUE(m_output.m_answers.empty());
    beginShutdown(100ms);
    submit("/orders/y", 10s);
    ASSERT_EQ(m_output.m_answers.size(), 1U);
    EXPECT_EQ(m_output.m_answers[0].m_status, 503);
}

// Guards against passing on a request from the queue, or once more after a refusal, when it cannot
// be answered any more: its caller would lose the promise that it has not run.
TEST_F(EngineShutdown, RefusesWaitingRequestsThatOutlastTheProcess)
{
    constexpr std::size_t room = 12;
    m_table.m_routes[1].m_timeout = 20s;
    m_table.m_routes[1].m_latencyTarget = 1s;
    applyTable(2);
    beginShutdown(4'100ms);
    for (std::size_t request = 0; request < room + 1; ++request) {
        submit("/orders/x", 20s);
    }
    ASSERT_EQ(m_output.m_orders.size(), room);
    advanceTime(200ms);
    replyStatus(m_output.m_orders[0], 503, true);
    EXPECT_EQ(m_output.m_orders.size(), room);
    ASSERT_EQ(m_output.m_answers.size(), 2U);
    for (const ForwardAnswer &answer : m_output.m_answers) {
        EXPECT_EQ(answer.m_kind, AnswerKind::Refused);
        EXPECT_EQ(answer.m_status, 503);
    }
}

// Guards against targets that work on after the process has exited.
TEST_F(EngineShutdown, TellsTargetsTheTimeThatIsLeft)
{
    beginShutdown(1'700ms);
    submit("/orders/x");
    ASSERT_EQ(m_output.m_orders.size(), 1U);
    EXPECT_EQ(lastOrder().m_timeLeft, 1'700ms);
}

} // namespace arbutusgrade
