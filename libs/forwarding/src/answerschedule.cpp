#include <algorithm>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

// Time to build an answer and pass it to the network.
constexpr Duration processingMargin = 2ms;

// A late answer at the deadline is worth nothing to the caller, so it has a larger margin.
constexpr Duration deadlineMargin = 4ms;

// Additional time to merge the parts of a search: the latency target divided by this value.
constexpr int mergeMarginDivisor = 30;

// A request that has not been sent to any target is refused after the latency target divided by
// this value.
constexpr int refusalDivisor = 4;

} // namespace

AnswerSchedule scheduleAnswers(const Route &route, const CallerPath &path, Duration timeLeft,
                               Duration elapsedBefore)
{
    const Duration handshake = path.m_newConnection ? path.m_roundTrip : Duration::zero();
    // A single measurement may be far too high, for example on a congested link, and must not use
    // up the time of the request.
    const Duration deadlineTravel = std::min(path.m_roundTrip, timeLeft / 2);
    AnswerSchedule schedule;
    // The handshake came before the caller computed the time left.
    schedule.m_deadline = std::min(timeLeft - deadlineTravel - deadlineMargin, route.m_timeout);
    schedule.m_partialAnswer = route.m_latencyTarget - std::max(elapsedBefore, handshake)
                               - path.m_roundTrip - processingMargin
                               - route.m_latencyTarget / mergeMarginDivisor;
    const Duration refusalLimit = route.m_latencyTarget / refusalDivisor;
    const Duration refusal = refusalLimit - handshake - path.m_roundTrip - processingMargin;
    // For a caller that is too far away for an early refusal, only the queue time is limited.
    schedule.m_refusal = refusal > Duration::zero() ? refusal : refusalLimit;
    return schedule;
}

} // namespace arbutusgrade
