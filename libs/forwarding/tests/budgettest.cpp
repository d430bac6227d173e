#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint processStart{std::chrono::hours(1)};
constexpr TimePoint start{std::chrono::hours(2)};

} // namespace

// Guards against nodes that together send more extra requests than the service allows: whatever the
// moment, the extra arrivals of the last window stay within the part of each node.
TEST(ArrivalBudget, StaysWithinItsPartInEveryWindow)
{
    const BudgetLimits limits{0.2, 58.0, 10s, 9};
    ArrivalBudget budget;
    std::vector<TimePoint> first;
    std::vector<TimePoint> extra;
    RandomGenerator random{7};
    for (TimePoint now = start; now < start + 60s; now += Duration(1000)) {
        const bool burst = (now - start) % 20s < 5s;
        if (nextRandomUnit(random) < (burst ? 0.05 : 0.01)) {
            countFirstArrival(budget, limits, now);
            first.push_back(now);
        }
        if (allowsExtraArrival(budget, limits, now, processStart)) {
            countExtraArrival(budget, limits, now);
            extra.push_back(now);
        }
    }
    for (const TimePoint end : extra) {
        const auto inWindow = [end](TimePoint time) { return time > end - 10s && time <= end; };
        const double firsts = std::count_if(first.begin(), first.end(), inWindow);
        const double extras = std::count_if(extra.begin(), extra.end(), inWindow);
        ASSERT_LE(extras, 0.2 * firsts + 58.0 / 9 + 1e-9);
    }
    EXPECT_GT(extra.size(), 100U);
}

// Guards against a restarted node that spends the slack that its predecessor has used.
TEST(ArrivalBudget, StartsWithHalfOfItsSlack)
{
    const BudgetLimits limits{0.2, 80.0, 10s, 1};
    const auto allowed = [&limits](TimePoint started) {
        ArrivalBudget budget;
        int count = 0;
        while (allowsExtraArrival(budget, limits, start, started)) {
            countExtraArrival(budget, limits, start);
            ++count;
        }
        return count;
    };
    EXPECT_EQ(allowed(start - 1s), allowed(start - 11s) / 2);
}

} // namespace arbutusgrade
