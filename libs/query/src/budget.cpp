#include "details/jobs.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Steady share of extra attempts: each first attempt earns this part of one. The rest of the 5 %
//! covers the tokens that a group starts with, which came to 0.2 % in load runs of 12 s.
constexpr double earnedTokens = 0.045;

//! Restarts on another snapshot have a share of their own, so that a new index version cannot use
//! up what stragglers need; both together stay within 10 %.
constexpr double earnedRestartTokens = 0.05;

//! Lets a group with little traffic retry at all.
constexpr double smallestCap = 10.0;

//! The cap holds what this time earns, so extra load over such a time is at most 10 %.
constexpr double capSeconds = 2.0;

constexpr Duration window = std::chrono::seconds(1);

constexpr double saturationWeight = 1.0 / 64.0;

//! With a third of the sub-requests finding no capacity, extra attempts only lengthen the queues.
constexpr double saturationLimit = 0.33;

void startWindow(Budget &budget, TimePoint now) noexcept
{
    const Duration elapsed = std::max(now - budget.m_windowStart, window);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double rate = static_cast<double>(budget.m_windowAttempts) / seconds;
    budget.m_cap = std::max(smallestCap, earnedTokens * rate * capSeconds);
    budget.m_tokens = std::min(budget.m_tokens, budget.m_cap);
    budget.m_windowStart = now;
    budget.m_windowAttempts = 0;
}

void ensureStarted(Budget &budget) noexcept
{
    if (budget.m_cap <= 0) {
        budget.m_cap = smallestCap;
        budget.m_tokens = smallestCap;
        budget.m_restartTokens = smallestCap;
    }
}

} // namespace

void earnBudget(GroupRuntime &group, TimePoint now) noexcept
{
    Budget &budget = group.m_budget;
    ensureStarted(budget);
    if (now - budget.m_windowStart >= window) {
        startWindow(budget, now);
    }
    ++budget.m_windowAttempts;
    ++budget.m_firstAttempts;
    budget.m_tokens = std::min(budget.m_tokens + earnedTokens, budget.m_cap);
    budget.m_restartTokens = std::min(budget.m_restartTokens + earnedRestartTokens, budget.m_cap);
}

bool spendRestart(QueryEngine &engine, GroupIndex group, std::size_t attempts)
{
    Budget &budget = engine.m_groups[group].m_budget;
    ensureStarted(budget);
    if (budget.m_restartTokens <= 0) {
        ++engine.m_statistics.m_budgetDenials;
        return false;
    }
    // A restart repeats all shards or none, so the last one may overdraw the budget.
    budget.m_restartTokens -= static_cast<double>(attempts);
    budget.m_restartAttempts += attempts;
    return true;
}

bool spendBudget(QueryEngine &engine, GroupIndex group)
{
    Budget &budget = engine.m_groups[group].m_budget;
    ensureStarted(budget);
    if (budget.m_tokens < 1.0) {
        ++engine.m_statistics.m_budgetDenials;
        return false;
    }
    budget.m_tokens -= 1.0;
    return true;
}

void checkBudget(QueryEngine &engine, GroupIndex group)
{
    Budget &budget = engine.m_groups[group].m_budget;
    ++budget.m_extraAttempts;
    const double bound =
        smallestCap + earnedTokens * static_cast<double>(budget.m_firstAttempts) + 1e-6;
    checkInvariant(engine.m_invariants, Invariant::ExtraLoadBudget,
                   static_cast<double>(budget.m_extraAttempts) <= bound,
                   "more hedges and retries than first attempts have earned");
}

void noteCapacity(GroupRuntime &group, bool found) noexcept
{
    group.m_saturation += ((found ? 0.0 : 1.0) - group.m_saturation) * saturationWeight;
}

bool isSaturated(const GroupRuntime &group) noexcept
{
    return group.m_saturation > saturationLimit;
}

} // namespace arbutusgrade
