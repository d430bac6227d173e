#include "details/fallback.h"

#include <algorithm>
#include <cmath>

namespace arbutusgrade {

double fallbackCapacity(const QuotaBasis &basis, int nodes, std::size_t rank, bool fresh) noexcept
{
    const double whole = fresh ? basis.m_reserve : basis.m_burst + basis.m_reserve;
    const double own = whole / std::max(nodes, 1);
    if (own >= 1.0) {
        return own;
    }
    return static_cast<double>(rank) < std::floor(basis.m_reserve) ? 1.0 : 0.0;
}

bool takeFallbackToken(TokenBucket &bucket, TimePoint now, TimePoint since, double rate,
                       double capacity) noexcept
{
    if (bucket.m_updatedAt < since) {
        bucket = TokenBucket{0.0, since};
    }
    accrueTokens(bucket, now, rate, capacity);
    if (bucket.m_level < 1.0) {
        return false;
    }
    bucket.m_level -= 1.0;
    return true;
}

} // namespace arbutusgrade
