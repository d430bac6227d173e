#include <algorithm>

#include "details/enginestate.h"

namespace arbutusgrade {

namespace {

constexpr int samplesBetweenUpdates = 32;
constexpr std::uint64_t decaySamples = 2048;

// Before there are samples, part of the latency target stands in for the usual time.
constexpr int guessedUsualDivisor = 6;
constexpr int guessedHedgeDivisor = 3;

constexpr double hedgeQuantile = 0.95;
constexpr double hedgeMargin = 1.25;
constexpr double leastHedgeFactor = 1.8;
constexpr Duration leastHedgeDelay{3'000};

} // namespace

RouteTimes &ForwardEngine::Implementation::timesOf(const Route &route)
{
    std::unique_ptr<RouteTimes> &times = m_times[route.m_name];
    if (!times) {
        times = std::make_unique<RouteTimes>();
        times->m_usual = route.m_latencyTarget / guessedUsualDivisor;
        times->m_hedgeDelay = route.m_latencyTarget / guessedHedgeDivisor;
    }
    return *times;
}

void learnRouteTime(RouteTimes &times, Duration taken)
{
    recordLatency(times.m_histogram, taken);
    if (++times.m_sinceUpdate < samplesBetweenUpdates) {
        return;
    }
    times.m_sinceUpdate = 0;
    times.m_usual = latencyQuantile(times.m_histogram, 0.5);
    const Duration tail = latencyQuantile(times.m_histogram, hedgeQuantile);
    times.m_hedgeDelay =
        std::max({leastHedgeDelay, std::chrono::duration_cast<Duration>(tail * hedgeMargin),
                  std::chrono::duration_cast<Duration>(times.m_usual * leastHedgeFactor)});
    if (times.m_histogram.m_total > decaySamples) {
        decayHistogram(times.m_histogram);
    }
}

} // namespace arbutusgrade
