#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr int samplesPerUpdate = 32;
constexpr std::uint64_t histogramDecayThreshold = 2048;

// Until there are samples, estimates are derived from the latency target.
constexpr int initialLatencyDivisor = 6;
constexpr int initialHedgeDelayDivisor = 3;

constexpr double hedgeQuantile = 0.95;
constexpr double slowQuantile = 0.99;
constexpr double hedgeQuantileFactor = 1.25;
constexpr double minimumHedgeMedianFactor = 1.8;
constexpr Duration minimumHedgeDelay = 3ms;

} // namespace

RouteLatency initialRouteLatency(const Route &route)
{
    RouteLatency statistics;
    statistics.m_typicalLatency = route.m_latencyTarget / initialLatencyDivisor;
    statistics.m_hedgeDelay = route.m_latencyTarget / initialHedgeDelayDivisor;
    statistics.m_slowLatency = route.m_latencyTarget;
    return statistics;
}

void recordRouteLatency(RouteLatency &statistics, Duration latency)
{
    recordLatency(statistics.m_histogram, latency);
    if (++statistics.m_samplesSinceUpdate < samplesPerUpdate) {
        return;
    }
    statistics.m_samplesSinceUpdate = 0;
    statistics.m_typicalLatency = latencyQuantile(statistics.m_histogram, 0.5);
    statistics.m_slowLatency = latencyQuantile(statistics.m_histogram, slowQuantile);
    const Duration tail = latencyQuantile(statistics.m_histogram, hedgeQuantile);
    statistics.m_hedgeDelay = std::max(
        {minimumHedgeDelay, std::chrono::duration_cast<Duration>(tail * hedgeQuantileFactor),
         std::chrono::duration_cast<Duration>(statistics.m_typicalLatency
                                              * minimumHedgeMedianFactor)});
    if (statistics.m_histogram.m_total > histogramDecayThreshold) {
        decayHistogram(statistics.m_histogram);
    }
}

} // namespace arbutusgrade
