#include "details/operations.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Hedges and retries earned by each first attempt. The rest of the 5 % limit covers the initial
//! tokens of a group, which added 0.2 % in load runs of 12 s.
constexpr double tokensPerFirstAttempt = 0.045;

//! Restarts on another snapshot have a separate budget, so that a new index version does not use up
//! the tokens for hedges and retries. Both budgets together stay within 10 %.
constexpr double restartTokensPerFirstAttempt = 0.05;

//! Allows retries in groups with little traffic.
constexpr double minimumTokenCapacity = 10.0;

//! The capacity equals the tokens earned in this time, which limits the extra load over the same
//! time to 10 %.
constexpr double tokenCapacitySeconds = 2.0;

constexpr Duration budgetWindow = std::chrono::seconds(1);

constexpr double saturationWeight = 1.0 / 64.0;

//! When a third of the sub-requests find no capacity, extra attempts only lengthen the queues.
constexpr double saturationLimit = 0.33;

void startWindow(RetryTokenBucket &budget, TimePoint now) noexcept
{
    const Duration elapsed = std::max(now - budget.m_windowStart, budgetWindow);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double rate = static_cast<double>(budget.m_windowAttempts) / seconds;
    budget.m_tokenCapacity =
        std::max(minimumTokenCapacity, tokensPerFirstAttempt * rate * tokenCapacitySeconds);
    budget.m_tokens = std::min(budget.m_tokens, budget.m_tokenCapacity);
    budget.m_windowStart = now;
    budget.m_windowAttempts = 0;
}

void ensureInitialised(RetryTokenBucket &budget) noexcept
{
    if (budget.m_tokenCapacity <= 0) {
        budget.m_tokenCapacity = minimumTokenCapacity;
        budget.m_tokens = minimumTokenCapacity;
        budget.m_restartTokens = minimumTokenCapacity;
    }
}

} // namespace

void earnRetryBudget(GroupRuntime &group, TimePoint now) noexcept
{
    RetryTokenBucket &budget = group.m_retryBudget;
    ensureInitialised(budget);
    if (now - budget.m_windowStart >= budgetWindow) {
        startWindow(budget, now);
    }
    ++budget.m_windowAttempts;
    ++budget.m_firstAttempts;
    budget.m_tokens = std::min(budget.m_tokens + tokensPerFirstAttempt, budget.m_tokenCapacity);
    budget.m_restartTokens =
        std::min(budget.m_restartTokens + restartTokensPerFirstAttempt, budget.m_tokenCapacity);
}

bool spendRestartBudget(QueryEngine &engine, GroupIndex group, std::size_t attempts)
{
    RetryTokenBucket &budget = engine.m_groups[group].m_retryBudget;
    ensureInitialised(budget);
    if (budget.m_restartTokens <= 0) {
        ++engine.m_statistics.m_budgetDenials;
        return false;
    }
    // A restart repeats all shards or none, so the balance may become negative.
    budget.m_restartTokens -= static_cast<double>(attempts);
    budget.m_restartAttempts += attempts;
    return true;
}

bool spendRetryBudget(QueryEngine &engine, GroupIndex group)
{
    RetryTokenBucket &budget = engine.m_groups[group].m_retryBudget;
    ensureInitialised(budget);
    if (budget.m_tokens < 1.0) {
        ++engine.m_statistics.m_budgetDenials;
        return false;
    }
    budget.m_tokens -= 1.0;
    return true;
}

void checkRetryBudget(QueryEngine &engine, GroupIndex group)
{
    RetryTokenBucket &budget = engine.m_groups[group].m_retryBudget;
    ++budget.m_extraAttempts;
    const double bound = minimumTokenCapacity
                         + tokensPerFirstAttempt * static_cast<double>(budget.m_firstAttempts)
                         + 1e-6;
    checkInvariant(engine.m_invariants, Invariant::ExtraLoadBudget,
                   static_cast<double>(budget.m_extraAttempts) <= bound,
                   "hedges and retries exceed the earned budget");
}

void recordCapacity(GroupRuntime &group, bool found) noexcept
{
    group.m_saturation += ((found ? 0.0 : 1.0) - group.m_saturation) * saturationWeight;
}

bool isSaturated(const GroupRuntime &group) noexcept
{
    return group.m_saturation > saturationLimit;
}

} // namespace arbutusgrade
