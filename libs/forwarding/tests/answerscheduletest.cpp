#include "enginefixture.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

//! @brief A caller at a distance from the node, given as the time of one way.
class AnswerScheduleTest : public EngineTest, public testing::WithParamInterface<Duration>
{
protected:
    static constexpr Duration timeBudget = 2s;
    static constexpr Duration latencyTarget = 150ms; //!< Of the search route.

    //! @brief Submits a request of a caller that starts now, which arrives later.
    void submitFromCaller(std::string_view path, bool newConnection)
    {
        const Duration oneWay = GetParam();
        m_callerStarted = now();
        Duration timeLeft = timeBudget;
        if (newConnection) {
            advanceTime(2 * oneWay);
            timeLeft -= 2 * oneWay;
        }
        advanceTime(oneWay);
        submit(path, timeLeft, CallerPath{2 * oneWay, newConnection});
    }

    //! @brief Lets time pass until the answer is sent.
    //! @return the time between the caller's start and the arrival of the answer.
    Duration timeUntilAnswer()
    {
        while (m_output.m_answers.empty() && now() - m_callerStarted < 2 * timeBudget) {
            advanceTime(500us);
        }
        EXPECT_EQ(m_output.m_answers.size(), 1U);
        return now() + GetParam() - m_callerStarted;
    }

    TimePoint m_callerStarted;
};

} // namespace

// Guards against partial answers that leave so late that they reach a distant caller after the
// latency target, or so early that shards are left out without need.
TEST_P(AnswerScheduleTest, PartialAnswerArrivesShortlyBeforeTheLatencyTarget)
{
    for (const bool newConnection : {true, false}) {
        m_output.m_answers.clear();
        submitFromCaller("/search/x", newConnection);
        replySuccess(m_output.m_orders.back());
        const Duration elapsed = timeUntilAnswer();
        EXPECT_EQ(m_output.m_answers.front().m_missingShards, 1U);
        EXPECT_LE(elapsed, latencyTarget) << "new connection: " << newConnection;
        EXPECT_GE(elapsed, latencyTarget - latencyTarget / 10);
    }
}

// Guards against an answer that a distant caller receives after it has given up.
TEST_P(AnswerScheduleTest, AnswerAtTheDeadlineArrivesWithinTheTimeBudget)
{
    for (const bool newConnection : {true, false}) {
        m_output.m_answers.clear();
        submitFromCaller("/search/x", newConnection);
        EXPECT_LE(timeUntilAnswer(), timeBudget) << "new connection: " << newConnection;
        EXPECT_EQ(m_output.m_answers.front().m_kind, AnswerKind::TimedOut);
    }
}

// Guards against a refusal that reaches the caller too late for a request to another node.
TEST_P(AnswerScheduleTest, RefusalArrivesWithinAQuarterOfTheLatencyTarget)
{
    constexpr Duration refusalLimit = latencyTarget / 4;
    for (const std::string &shard : m_table.m_routes.front().m_shards) {
        for (const TargetPointer &target : m_engine.registry().m_targetsByService[shard]) {
            // No slot is free.
            target->m_inFlight.assign(16, OutstandingAttempt{0, farFuture});
        }
    }
    for (const bool newConnection : {true, false}) {
        const Duration onTheWay = (newConnection ? 4 : 2) * GetParam();
        if (onTheWay >= refusalLimit) {
            continue;
        }
        m_output.m_answers.clear();
        submitFromCaller("/search/x", newConnection);
        EXPECT_LE(timeUntilAnswer(), refusalLimit) << "new connection: " << newConnection;
        EXPECT_EQ(m_output.m_answers.front().m_kind, AnswerKind::Refused);
    }
}

// Guards against a request that is given up at once because a single measurement of the round trip
// was far too high.
TEST(AnswerSchedule, ExcessiveRoundTripLeavesHalfOfTheTimeBudget)
{
    Route route;
    route.m_timeout = 2s;
    route.m_latencyTarget = 80ms;
    const AnswerSchedule schedule = scheduleAnswers(route, CallerPath{3s, true}, 400ms, 0ms);
    EXPECT_GE(schedule.m_deadline, 190ms);
    EXPECT_GT(schedule.m_refusal, Duration::zero());
}

INSTANTIATE_TEST_SUITE_P(OneWay, AnswerScheduleTest, testing::Values(200us, 3ms, 20ms));

} // namespace arbutusgrade
