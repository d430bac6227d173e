#pragma once

#include "quota/quota.h"

//! @brief Token buckets and their capacities.
namespace arbutusgrade {

//! @brief Parameters of the bucket of an organisation for the whole quota.
struct QuotaBasis
{
    double m_rate = 0.0;    //!< Tokens per second.
    double m_burst = 0.0;   //!< Tokens.
    double m_reserve = 0.0; //!< Tokens; half of the excess that is permitted in a window.
};

//! @brief Part of the quota that a bucket may use, as fractions of the whole.
struct QuotaShare
{
    double m_mature = 0.0;
    //! Delegated for less than the lifetime of a token. Tokens that the previous coordinator
    //! granted from this part may still be in use, so it adds the reserve only to the capacity.
    double m_fresh = 0.0;
};

//! @brief Tokens available at a time.
struct TokenBucket
{
    double m_level = 0.0;
    TimePoint m_updatedAt;
};

//! @brief Computes the bucket parameters so that rate x window + burst + 2 x reserve is at most
//! what is permitted in a window. Values that are not finite or negative count as 0.
QuotaBasis makeQuotaBasis(const QuotaLimit &limit, const QuotaTolerance &tolerance) noexcept;

//! @brief True if the limit restricts the organisation at all.
bool isLimited(const QuotaLimit &limit) noexcept;

//! @brief Fraction of the whole quota, of whatever age.
double totalShare(const QuotaShare &share) noexcept;

//! @brief Limits the sum of both parts to 1, mature shares first.
QuotaShare cappedShare(double mature, double fresh) noexcept;

//! @brief Tokens that the bucket of a part of the quota holds at most.
double quotaCapacity(const QuotaBasis &basis, const QuotaShare &share) noexcept;

//! @brief Tokens per second that a part of the quota accrues.
double quotaRate(const QuotaBasis &basis, const QuotaShare &share) noexcept;

//! @brief Adds the tokens accrued since the last update. The level is at most `limit`.
void accrueTokens(TokenBucket &bucket, TimePoint now, double rate, double limit) noexcept;

} // namespace arbutusgrade
