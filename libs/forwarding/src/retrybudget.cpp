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
        bucket = RetryBudget::Bucket{index, {}, {}};
    }
    return bucket;
}

// Part of the slack that less urgent requests may use while there are more urgent ones.
constexpr double commonSlackShare = 0.5;

std::size_t levelOf(int priority)
{
    constexpr int lastLevel = static_cast<int>(RetryBudget::levelCount) - 1;
    return static_cast<std::size_t>(std::clamp(priority, 0, lastLevel));
}

//! @brief Attempts in the window.
struct AttemptCounts
{
    double m_first = 0.0;
    double m_extra = 0.0;
    double m_leaving = 0.0; //!< First attempts in the bucket that leaves the window next.
};

using CountsByLevel = std::array<AttemptCounts, RetryBudget::levelCount>;

CountsByLevel countAttempts(const RetryBudget &budget, std::int64_t current)
{
    CountsByLevel counts{};
    for (const RetryBudget::Bucket &bucket : budget.m_buckets) {
        const std::int64_t age = current - bucket.m_index;
        if (bucket.m_index < 0 || age < 0 || age > bucketsPerWindow) {
            continue;
        }
        for (std::size_t level = 0; level < counts.size(); ++level) {
            // The oldest bucket lies partly outside the window. To stay within the limit, its extra
            // attempts count and its first attempts do not.
            counts[level].m_extra += bucket.m_extraAttempts[level];
            counts[level].m_first += age < bucketsPerWindow ? bucket.m_firstAttempts[level] : 0;
            counts[level].m_leaving +=
                age == bucketsPerWindow - 1 ? bucket.m_firstAttempts[level] : 0;
        }
    }
    return counts;
}

//! @brief Extra attempts that a request leaves to more urgent ones.
struct Reserve
{
    bool m_hasMoreUrgent = false;
    double m_attempts = 0.0;
};

Reserve reserveForMoreUrgent(const CountsByLevel &counts, std::size_t ownLevel, double ratio)
{
    Reserve reserve;
    for (std::size_t level = 0; level < ownLevel; ++level) {
        reserve.m_hasMoreUrgent = reserve.m_hasMoreUrgent || counts[level].m_first > 0.0;
        reserve.m_attempts += std::max(0.0, ratio * counts[level].m_first - counts[level].m_extra);
    }
    if (!reserve.m_hasMoreUrgent) {
        return Reserve{};
    }
    // When first attempts leave the window, extra attempts that they paid for would otherwise be
    // paid for by the part of the more urgent requests.
    for (std::size_t level = ownLevel; level < counts.size(); ++level) {
        reserve.m_attempts += ratio * counts[level].m_leaving;
    }
    return reserve;
}

} // namespace

void recordFirstAttempt(RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        int priority)
{
    ++currentBucket(budget, limits, now).m_firstAttempts[levelOf(priority)];
}

void recordExtraAttempt(RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        int priority)
{
    ++currentBucket(budget, limits, now).m_extraAttempts[levelOf(priority)];
}

bool allowsExtraAttempt(const RetryBudget &budget, const RetryBudgetLimits &limits, TimePoint now,
                        TimePoint started, int priority)
{
    const CountsByLevel counts = countAttempts(budget, bucketIndex(limits, now));
    const double ratio = ratioSafetyFactor * limits.m_ratio;
    double slack = slackSafetyFactor * limits.m_slack / std::max(1, limits.m_nodes);
    if (now - started < limits.m_window) {
        slack /= 2;
    }
    const Reserve reserve = reserveForMoreUrgent(counts, levelOf(priority), ratio);
    double allowed = reserve.m_hasMoreUrgent ? commonSlackShare * slack : slack;
    double used = reserve.m_attempts;
    for (const AttemptCounts &level : counts) {
        allowed += ratio * level.m_first;
        used += level.m_extra;
    }
    return used + 1 <= allowed;
}

} // namespace arbutusgrade
