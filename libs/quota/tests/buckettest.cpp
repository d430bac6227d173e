#include <limits>

#include <gtest/gtest.h>

#include "details/bucket.h"
#include "details/fallback.h"
#include "details/selection.h"

namespace arbutusgrade {
namespace {

constexpr QuotaTolerance tolerance{std::chrono::seconds(5), 0.1, 20.0};
constexpr QuotaShare whole{1.0, 0.0};

double mostInWindow(const QuotaBasis &basis)
{
    return quotaCapacity(basis, whole) + basis.m_reserve + 5.0 * quotaRate(basis, whole);
}

// Guards against a bucket that permits more than the contract, for limits of any kind.
TEST(QuotaBucket, WholeBucketAndReserveStayWithinThePermittedExcess)
{
    const std::vector<QuotaLimit> limits{{0.3, 1.0}, {500.0, 100.0}, {40.0, 0.0}, {0.0, 30.0}};
    for (const QuotaLimit &limit : limits) {
        const QuotaBasis basis = makeQuotaBasis(limit, tolerance);
        const double allowed = limit.m_ratePerSecond * 5.0 + limit.m_burst;
        EXPECT_LE(mostInWindow(basis), allowed * 1.1 + 20.0 + 1e-6);
        EXPECT_GT(basis.m_rate, 0.0);
        EXPECT_GE(quotaCapacity(basis, whole), 1.0);
    }
}

// Guards against limits that admit nothing where no excess is permitted.
TEST(QuotaBucket, RateWithoutBurstAndToleranceAdmits)
{
    const QuotaTolerance none;
    const QuotaBasis basis = makeQuotaBasis({40.0, 0.0}, none);
    EXPECT_GE(quotaCapacity(basis, whole), 1.0);
    EXPECT_LE(mostInWindow(basis), 200.0 + 1e-6);
}

// Guards against undefined arithmetic with unusable limits.
TEST(QuotaBucket, UnusableLimitsCountAsNone)
{
    const double infinite = std::numeric_limits<double>::infinity();
    const double noNumber = std::numeric_limits<double>::quiet_NaN();
    EXPECT_FALSE(isLimited({-5.0, noNumber}));
    EXPECT_FALSE(isLimited({infinite, -infinite}));
    EXPECT_TRUE(isLimited({1e300, 0.0}));
    EXPECT_LE(makeQuotaBasis({1e300, 1e300}, tolerance).m_rate, 1e9);
}

// Guards against a level that grows when a share is lowered or time goes backwards.
TEST(QuotaBucket, LevelIsCutToTheLimit)
{
    TokenBucket bucket{50.0, TimePoint(std::chrono::seconds(10))};
    accrueTokens(bucket, TimePoint(std::chrono::seconds(9)), 100.0, 60.0);
    EXPECT_DOUBLE_EQ(bucket.m_level, 50.0);
    accrueTokens(bucket, TimePoint(std::chrono::seconds(10)), 100.0, 20.0);
    EXPECT_DOUBLE_EQ(bucket.m_level, 20.0);
    accrueTokens(bucket, TimePoint(std::chrono::seconds(10)), 100.0, -3.0);
    EXPECT_DOUBLE_EQ(bucket.m_level, 0.0);
}

// Guards against more than the reserve in the nodes' own buckets of small organisations.
TEST(QuotaFallback, SmallSharesGoToTheFirstNodes)
{
    const QuotaBasis basis = makeQuotaBasis({0.3, 1.0}, tolerance);
    double sum = 0.0;
    for (std::size_t rank = 0; rank < 68; ++rank) {
        sum += fallbackCapacity(basis, 68, rank, false);
    }
    EXPECT_DOUBLE_EQ(sum, 10.0);
    EXPECT_LE(sum, basis.m_reserve);
}

// Guards against a bucket that is full each time a node loses its coordinator.
TEST(QuotaFallback, OwnBucketStartsEmpty)
{
    TokenBucket bucket{5.0, TimePoint(std::chrono::seconds(1))};
    const TimePoint since(std::chrono::seconds(10));
    EXPECT_FALSE(takeFallbackToken(bucket, since, since, 1.0, 5.0));
    EXPECT_TRUE(takeFallbackToken(bucket, since + std::chrono::seconds(1), since, 1.0, 5.0));
    EXPECT_FALSE(takeFallbackToken(bucket, since + std::chrono::seconds(1), since, 1.0, 5.0));
}

// Guards against a choice that ignores the weights or differs with the order of registrations.
TEST(QuotaSelection, ChoiceFollowsTheWeights)
{
    std::vector<QuotaPeer> peers{{"a", 1.0}, {"b", 3.0}};
    int heavy = 0;
    for (std::uint32_t partition = 0; partition < 2000; ++partition) {
        const std::vector<std::string> order = coordinatorOrder(peers, partition, 2000, "a");
        heavy += order.front() == "b" ? 1 : 0;
        std::swap(peers[0], peers[1]);
        EXPECT_EQ(coordinatorOrder(peers, partition, 2000, "a"), order);
    }
    EXPECT_NEAR(heavy, 1500, 100);
}

// Guards against division by zero and negative counts of partitions.
TEST(QuotaSelection, PartitionsGrowWithTheNodes)
{
    EXPECT_EQ(partitionCount(-1), 1U);
    EXPECT_EQ(partitionCount(127), 1U);
    EXPECT_EQ(partitionCount(128), 2U);
    EXPECT_EQ(partitionCount(410), 4U);
    EXPECT_EQ(coordinatorOrder(std::vector<QuotaPeer>{{"a", 0.0}, {"b", -1.0}}, 0, 1, "a").size(),
              2U);
}

} // namespace
} // namespace arbutusgrade
