#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint processStart{std::chrono::hours(1)};
constexpr TimePoint start{std::chrono::hours(2)};

} // namespace

// Guards against nodes that together send more retries and hedges than the limits of the service
// allow. Checks every window that ends with an extra attempt.
TEST(RetryBudget, StaysWithinItsShareInEveryWindow)
{
    const RetryBudgetLimits limits{0.2, 58.0, 10s, 9};
    RetryBudget budget;
    std::vector<TimePoint> firstAttempts;
    std::vector<TimePoint> extraAttempts;
    RandomGenerator random{7};
    for (TimePoint now = start; now < start + 60s; now += Duration(1000)) {
        const bool burst = (now - start) % 20s < 5s;
        if (nextRandomUnit(random) < (burst ? 0.05 : 0.01)) {
            recordFirstAttempt(budget, limits, now);
            firstAttempts.push_back(now);
        }
        if (allowsExtraAttempt(budget, limits, now, processStart)) {
            recordExtraAttempt(budget, limits, now);
            extraAttempts.push_back(now);
        }
    }
    for (const TimePoint end : extraAttempts) {
        const auto inWindow = [end](TimePoint time) { return time > end - 10s && time <= end; };
        const double firstCount =
            std::count_if(firstAttempts.begin(), firstAttempts.end(), inWindow);
        const double extraCount =
            std::count_if(extraAttempts.begin(), extraAttempts.end(), inWindow);
        ASSERT_LE(extraCount, 0.2 * firstCount + 58.0 / 9 + 1e-9);
    }
    EXPECT_GT(extraAttempts.size(), 100U);
}

// Guards against a restarted process that reuses slack which the previous process already spent.
TEST(RetryBudget, StartsWithHalfOfItsSlack)
{
    const RetryBudgetLimits limits{0.2, 80.0, 10s, 1};
    const auto countAllowed = [&limits](TimePoint started) {
        RetryBudget budget;
        int count = 0;
        while (allowsExtraAttempt(budget, limits, start, started)) {
            recordExtraAttempt(budget, limits, start);
            ++count;
        }
        return count;
    };
    EXPECT_EQ(countAllowed(start - 1s), countAllowed(start - 11s) / 2);
}

// Guards against a less urgent kind of request whose retries use up the budget, so that a more
// urgent kind of the same service has fewer than it has earned, or no part of the slack.
TEST(RetryBudget, LessUrgentRequestsLeaveTheMoreUrgentOnesTheirPart)
{
    constexpr int steps = 1200;
    constexpr int firstStepOfRetries = 240; // A full window has first attempts.
    for (const RetryBudgetLimits &limits :
         {RetryBudgetLimits{0.2, 0.0, 10s, 1}, RetryBudgetLimits{0.0, 40.0, 10s, 1}}) {
        RetryBudget budget;
        int urgentDenied = 0;
        int lessUrgentAllowed = 0;
        // Each of the less urgent requests wants a retry, and one in eight of the urgent ones.
        for (int step = 0; step < steps; ++step) {
            const TimePoint now = start + step * 50ms;
            recordFirstAttempt(budget, limits, now, 2);
            if (allowsExtraAttempt(budget, limits, now, processStart, 2)) {
                recordExtraAttempt(budget, limits, now, 2);
                ++lessUrgentAllowed;
            }
            if (step % 10 == 3) {
                recordFirstAttempt(budget, limits, now, 0);
            }
            if (step % 80 != 3 || step < firstStepOfRetries) {
                continue;
            }
            if (allowsExtraAttempt(budget, limits, now, processStart, 0)) {
                recordExtraAttempt(budget, limits, now, 0);
            } else {
                ++urgentDenied;
            }
        }
        EXPECT_EQ(urgentDenied, 0) << "ratio " << limits.m_ratio;
        EXPECT_GE(lessUrgentAllowed, 80) << "ratio " << limits.m_ratio;
    }
}

} // namespace arbutusgrade
