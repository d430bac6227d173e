#include <algorithm>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

// Buckets of a window; the one in progress comes on top.
constexpr std::int64_t bucketsInWindow = 20;

// Part of the slack that is used, so that nodes that come and go do not exceed it together.
constexpr double slackMargin = 0.75;
constexpr double ratioMargin = 0.95;

std::int64_t bucketNumber(const BudgetLimits &limits, TimePoint now)
{
    return now.time_since_epoch() / (limits.m_window / bucketsInWindow);
}

ArrivalBudget::Bucket &currentBucket(ArrivalBudget &budget, const BudgetLimits &limits,
                                     TimePoint now)
{
    const std::int64_t number = bucketNumber(limits, now);
    ArrivalBudget::Bucket &bucket =
        budget.m_buckets[static_cast<std::size_t>(number) % ArrivalBudget::bucketCount];
    if (bucket.m_number != number) {
        bucket = ArrivalBudget::Bucket{number, 0, 0};
    }
    return bucket;
}

} // namespace

void countFirstArrival(ArrivalBudget &budget, const BudgetLimits &limits, TimePoint now)
{
    ++currentBucket(budget, limits, now).m_first;
}

void countExtraArrival(ArrivalBudget &budget, const BudgetLimits &limits, TimePoint now)
{
    ++currentBucket(budget, limits, now).m_extra;
}

bool allowsExtraArrival(const ArrivalBudget &budget, const BudgetLimits &limits, TimePoint now,
                        TimePoint started)
{
    const std::int64_t current = bucketNumber(limits, now);
    double first = 0;
    double extra = 0;
    for (const ArrivalBudget::Bucket &bucket : budget.m_buckets) {
        const std::int64_t age = current - bucket.m_number;
        if (bucket.m_number < 0 || age < 0 || age > bucketsInWindow) {
            continue;
        }
        // The oldest bucket lies partly outside the window: its extra arrivals count, to be on the
        // safe side, and its first arrivals do not.
        extra += bucket.m_extra;
        first += age < bucketsInWindow ? bucket.m_first : 0;
    }
    double slack = slackMargin * limits.m_slack / std::max(1, limits.m_nodes);
    if (now - started < limits.m_window) {
        slack /= 2;
    }
    return extra + 1 <= ratioMargin * limits.m_ratio * first + slack;
}

} // namespace arbutusgrade
