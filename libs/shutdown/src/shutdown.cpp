#include "shutdown/shutdown.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

// Time for the final answers to be written and read before the process ends.
constexpr Duration answerTime = std::chrono::milliseconds(250);

constexpr int nonIdempotentFactor = 4;

} // namespace

ShutdownSchedule scheduleShutdown(TimePoint now, Duration acceptTime, Duration exitTime)
{
    ShutdownSchedule schedule;
    schedule.m_begunAt = now;
    schedule.m_exitBy = now + std::max(Duration::zero(), exitTime);
    schedule.m_answerBy = std::max(now, schedule.m_exitBy - answerTime);
    schedule.m_acceptUntil = std::clamp(now + acceptTime, now, schedule.m_answerBy);
    return schedule;
}

Duration timeNeeded(const RequestEstimate &estimate)
{
    const int factor = estimate.m_idempotent ? 1 : nonIdempotentFactor;
    return std::min(estimate.m_limit, estimate.m_slowLatency * factor);
}

bool canFinish(const ShutdownSchedule &schedule, TimePoint now, const RequestEstimate &estimate)
{
    return now + timeNeeded(estimate) <= schedule.m_answerBy;
}

} // namespace arbutusgrade
