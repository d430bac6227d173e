#include "base/base.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace arbutusgrade {

namespace {

constexpr unsigned subBucketBits = 4;

std::size_t bucketIndex(std::uint64_t value) noexcept
{
    if (value < LatencyHistogram::subBuckets) {
        return value;
    }
    const unsigned exponent = static_cast<unsigned>(std::bit_width(value)) - 1 - subBucketBits;
    const std::uint64_t mantissa = (value >> exponent) - LatencyHistogram::subBuckets;
    const std::size_t index = (exponent + 1) * LatencyHistogram::subBuckets + mantissa;
    return std::min(index, LatencyHistogram::bucketCount - 1);
}

std::uint64_t bucketUpperBound(std::size_t index) noexcept
{
    if (index < LatencyHistogram::subBuckets) {
        return index;
    }
    const unsigned exponent = static_cast<unsigned>(index / LatencyHistogram::subBuckets) - 1;
    const std::uint64_t mantissa = index % LatencyHistogram::subBuckets;
    return ((LatencyHistogram::subBuckets + mantissa + 1) << exponent) - 1;
}

} // namespace

void recordLatency(LatencyHistogram &histogram, Duration latency) noexcept
{
    const std::int64_t microseconds = std::max<std::int64_t>(latency.count(), 0);
    ++histogram.m_buckets[bucketIndex(static_cast<std::uint64_t>(microseconds))];
    ++histogram.m_total;
}

Duration latencyQuantile(const LatencyHistogram &histogram, double quantile) noexcept
{
    if (histogram.m_total == 0) {
        return Duration::zero();
    }
    const double wanted = std::ceil(quantile * static_cast<double>(histogram.m_total));
    const std::uint64_t rank = std::max<std::uint64_t>(static_cast<std::uint64_t>(wanted), 1);
    std::uint64_t seen = 0;
    for (std::size_t index = 0; index < LatencyHistogram::bucketCount; ++index) {
        seen += histogram.m_buckets[index];
        if (seen >= rank) {
            return Duration(static_cast<std::int64_t>(bucketUpperBound(index)));
        }
    }
    return Duration(static_cast<std::int64_t>(bucketUpperBound(LatencyHistogram::bucketCount - 1)));
}

void decayHistogram(LatencyHistogram &histogram) noexcept
{
    histogram.m_total = 0;
    for (std::uint32_t &count : histogram.m_buckets) {
        count /= 2;
        histogram.m_total += count;
    }
}

} // namespace arbutusgrade
