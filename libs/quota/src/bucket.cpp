#include "details/bucket.h"

#include <algorithm>
#include <cmath>

namespace arbutusgrade {

namespace {

//! Keeps products of limits and times within the range in which a double counts exactly.
constexpr double greatestLimit = 1e9;

constexpr double shortestWindowSeconds = 0.001;

double sanitised(double value) noexcept
{
    if (!std::isfinite(value) || value < 0) {
        return 0.0;
    }
    return std::min(value, greatestLimit);
}

} // namespace

bool isLimited(const QuotaLimit &limit) noexcept
{
    return sanitised(limit.m_ratePerSecond) > 0 || sanitised(limit.m_burst) > 0;
}

QuotaBasis makeQuotaBasis(const QuotaLimit &limit, const QuotaTolerance &tolerance) noexcept
{
    const double window =
        std::max(std::chrono::duration<double>(tolerance.m_window).count(), shortestWindowSeconds);
    QuotaBasis basis{sanitised(limit.m_ratePerSecond), sanitised(limit.m_burst)};
    const double allowed = basis.m_rate * window + basis.m_burst;
    basis.m_reserve =
        (sanitised(tolerance.m_overage) * allowed + sanitised(tolerance.m_slack)) / 2.0;
    if (basis.m_rate <= 0) {
        // Without a rate, the burst is what a window allows, so it refills over a window.
        basis.m_rate = basis.m_burst / (2.0 * window);
        basis.m_burst /= 2.0;
    } else if (basis.m_burst + basis.m_reserve < 1.0) {
        // A bucket of less than one token never admits anything.
        basis.m_burst += basis.m_rate * window / 2.0;
        basis.m_rate /= 2.0;
    }
    return basis;
}

QuotaShare cappedShare(double mature, double fresh) noexcept
{
    QuotaShare share;
    share.m_mature = std::clamp(mature, 0.0, 1.0);
    share.m_fresh = std::clamp(fresh, 0.0, 1.0 - share.m_mature);
    return share;
}

double totalShare(const QuotaShare &share) noexcept
{
    return share.m_mature + share.m_fresh;
}

double quotaCapacity(const QuotaBasis &basis, const QuotaShare &share) noexcept
{
    return share.m_mature * (basis.m_burst + basis.m_reserve) + share.m_fresh * basis.m_reserve;
}

double quotaRate(const QuotaBasis &basis, const QuotaShare &share) noexcept
{
    return totalShare(share) * basis.m_rate;
}

void accrueTokens(TokenBucket &bucket, TimePoint now, double rate, double limit) noexcept
{
    if (now > bucket.m_updatedAt) {
        const std::chrono::duration<double> elapsed = now - bucket.m_updatedAt;
        bucket.m_level += rate * elapsed.count();
        bucket.m_updatedAt = now;
    }
    bucket.m_level = std::clamp(bucket.m_level, 0.0, std::max(limit, 0.0));
}

} // namespace arbutusgrade
