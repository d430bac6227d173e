#include "base/base.h"

#include <gtest/gtest.h>

namespace arbutusgrade {
namespace {

// Guards against hedge delays and admission estimates that are off by more than the stated error.
TEST(LatencyHistogram, QuantileStaysWithinTheStatedError)
{
    LatencyHistogram histogram;
    for (int microseconds = 1; microseconds <= 100000; ++microseconds) {
        recordLatency(histogram, Duration(microseconds));
    }
    for (const double quantile : {0.01, 0.5, 0.9, 0.99, 0.999}) {
        const double exact = quantile * 100000;
        const double estimate = static_cast<double>(latencyQuantile(histogram, quantile).count());
        EXPECT_GE(estimate, exact - 1) << quantile;
        EXPECT_LE(estimate, exact * (1 + 1.0 / 16) + 1) << quantile;
    }
}

// Guards against a huge or negative latency that writes outside the buckets.
TEST(LatencyHistogram, ExtremeValuesStayInRange)
{
    LatencyHistogram histogram;
    recordLatency(histogram, Duration::max());
    recordLatency(histogram, Duration(-5));
    EXPECT_EQ(histogram.m_total, 2U);
    EXPECT_EQ(latencyQuantile(histogram, 0.5), Duration(0));
}

// Guards against randomised runs that cannot be repeated from their seed.
TEST(RandomGenerator, SameSeedGivesSameSequence)
{
    RandomGenerator first{42};
    RandomGenerator second{42};
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(nextRandom(first), nextRandom(second));
    }
    EXPECT_EQ(nextRandomBelow(first, 0), 0U);
}

// Guards against a candidate that wins more or less often than its weight allows.
TEST(WeightedRendezvous, CandidatesWinInProportionToTheirWeights)
{
    int heavy = 0;
    for (int key = 0; key < 2000; ++key) {
        const std::string text = std::to_string(key);
        const double light = weightedRendezvousScore(text, "a", 1.0);
        heavy += weightedRendezvousScore(text, "b", 3.0) > light ? 1 : 0;
    }
    EXPECT_NEAR(heavy, 1500, 100);
}

// Guards against a violation that is neither counted nor reported.
TEST(Invariants, ViolationIsCountedAndObserved)
{
    InvariantCounters counters;
    std::string seen;
    counters.m_observer = [&seen](Invariant invariant, std::string_view detail) {
        seen = std::string(invariantName(invariant)) + " " + std::string(detail);
    };
    EXPECT_TRUE(checkInvariant(counters, Invariant::AtMostOnce, true, "unused"));
    EXPECT_FALSE(checkInvariant(counters, Invariant::OneSnapshot, false, "two epochs"));
    EXPECT_EQ(totalChecks(counters), 2U);
    EXPECT_EQ(totalViolations(counters), 1U);
    EXPECT_EQ(seen, "one-snapshot two epochs");
}

} // namespace
} // namespace arbutusgrade
