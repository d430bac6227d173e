#include <algorithm>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

// Without the current, incomplete bucket.
constexpr std::int64_t bucketsPerWindow = 20;

// Use only part of the limits, so that all nodes together stay within them while nodes join and
// leave.
constexpr double slackSafetyFactor = 0.75;
constexpr double ratioSafetyFactor = 0.95;

std::int64_t bucketIndex(const RetryBudgetLimits &limits, TimePoint now)
{
    return now.time_since_epoch() / (limits.m_window / bucketsPerWindow);
}

RetryBudget::Bucket &currentBucket(RetryBudget &budget, const RetryBudgetLimits &limits,
                                   TimePoint now)
{
    const std::int64_t index = bucketIndex(limits, now);
    RetryBudget::Bucket &bucket =
        budget.m_buckets[static_cast<std::size_t>(index) % RetryBudget::bucketCount];
    if (bucket.m_index != index) {
        bucket = RetryBudget::Bucket{index, 0, 0};
    }
    return bucket;
}

} // namespace

void recordFirstAttempt(RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now)
{
    ++currentBucket(budget, limits, now).m_firstAttempts;
}

void recordExtraAttempt(RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now)
{
    ++currentBucket(budget, limits, now).m_extraAttempts;
}

bool allowsExtraAttempt(const RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        TimePoint started)
{
    const std::int64_t current = bucketIndex(limits, now);
    double firstAttempts = 0;
    double extraAttempts = 0;
    for (const RetryBudget::Bucket &bucket : budget.m_buckets) {
        const std::int64_t age = current - bucket.m_index;
        if (bucket.m_index < 0 || age < 0 || age > bucketsPerWindow) {
            continue;
        }
        // The oldest bucket lies partly outside the window. To stay within the limit, its extra
        // attempts count and its first attempts do not.
        extraAttempts += bucket.m_extraAttempts;
        firstAttempts += age < bucketsPerWindow ? bucket.m_firstAttempts : 0;
    }
    double slack = slackSafetyFactor * limits.m_slack / std::max(1, limits.m_nodes);
    if (now - started < limits.m_window) {
        slack /= 2;
    }
    return extraAttempts + 1 <= ratioSafetyFactor * limits.m_ratio * firstAttempts + slack;
}

} // namespace arbutusgrade
