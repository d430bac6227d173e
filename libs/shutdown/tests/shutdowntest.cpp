#include <gtest/gtest.h>

#include "shutdown/shutdown.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};

ShutdownSchedule sixSeconds()
{
    return scheduleShutdown(start, 4'300ms, 5'750ms);
}

} // namespace

// Guards against an exit that comes together with the final answers, or before them.
TEST(Shutdown, LeavesTimeToWriteTheFinalAnswers)
{
    const ShutdownSchedule schedule = sixSeconds();
    EXPECT_EQ(schedule.m_acceptUntil, start + 4'300ms);
    EXPECT_EQ(schedule.m_exitBy, start + 5'750ms);
    EXPECT_LT(schedule.m_acceptUntil, schedule.m_answerBy);
    EXPECT_LT(schedule.m_answerBy, schedule.m_exitBy);
}

// Guards against times in the past or out of order when the grace is too short for all steps.
TEST(Shutdown, KeepsTheOrderOfItsTimesInAShortGrace)
{
    for (const Duration exitTime : {Duration(-1s), Duration(0), Duration(100ms), Duration(1s)}) {
        const ShutdownSchedule schedule = scheduleShutdown(start, 4'300ms, exitTime);
        EXPECT_LE(schedule.m_begunAt, schedule.m_acceptUntil);
        EXPECT_LE(schedule.m_acceptUntil, schedule.m_answerBy);
        EXPECT_LE(schedule.m_answerBy, schedule.m_exitBy);
        EXPECT_EQ(schedule.m_exitBy, start + std::max(Duration(0), exitTime));
    }
}

// Guards against refusing requests that end in time by their own limit.
TEST(Shutdown, AcceptsARequestWhoseLimitEndsInTime)
{
    const ShutdownSchedule schedule = sixSeconds();
    const TimePoint late = schedule.m_answerBy - 800ms;
    EXPECT_TRUE(canFinish(schedule, late, {800ms, 5s, false}));
    EXPECT_FALSE(canFinish(schedule, late + 1us, {800ms, 5s, false}));
}

// Guards against accepting a request that usually takes longer than the process has left, and
// against the same risk for a request that its caller cannot repeat.
TEST(Shutdown, RefusesARequestThatUsuallyOutlastsTheProcess)
{
    const ShutdownSchedule schedule = sixSeconds();
    const TimePoint late = schedule.m_answerBy - 1s;
    EXPECT_TRUE(canFinish(schedule, late, {10s, 1s, true}));
    EXPECT_FALSE(canFinish(schedule, late, {10s, 1'001ms, true}));
    EXPECT_TRUE(canFinish(schedule, late, {10s, 250ms, false}));
    EXPECT_FALSE(canFinish(schedule, late, {10s, 251ms, false}));
}

// Guards against accepting a request when its answer could not be sent any more.
TEST(Shutdown, RefusesEveryRequestAfterTheLastAnswer)
{
    const ShutdownSchedule schedule = sixSeconds();
    EXPECT_FALSE(canFinish(schedule, schedule.m_answerBy + 1us, {0ms, 0ms, true}));
}

} // namespace arbutusgrade
