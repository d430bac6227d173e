#include "quota/quota.h"

namespace arbutusgrade {

struct QuotaLimiter::Implementation
{
    QuotaStatistics m_statistics;
};

QuotaLimiter::QuotaLimiter(const QuotaOptions & /*options*/, TimePoint /*now*/,
                           QuotaOutput & /*output*/)
    : m_implementation(std::make_unique<Implementation>())
{
}

QuotaLimiter::~QuotaLimiter() = default;

void QuotaLimiter::setPeers(TimePoint /*now*/, std::span<const QuotaPeer> /*peers*/,
                            int /*nodeCount*/)
{
}

void QuotaLimiter::setLimits(TimePoint /*now*/, std::span<const OrganisationLimit> /*limits*/) { }

QuotaDecision QuotaLimiter::admit(TimePoint /*now*/, std::string_view /*organisation*/,
                                  std::uint64_t /*request*/)
{
    return {};
}

void QuotaLimiter::cancel(std::uint64_t /*request*/) { }

void QuotaLimiter::returnToken(TimePoint /*now*/, std::string_view /*organisation*/) { }

void QuotaLimiter::receiveReport(TimePoint /*now*/, std::string_view /*node*/,
                                 const QuotaReport & /*report*/)
{
}

void QuotaLimiter::receiveReply(TimePoint /*now*/, std::string_view /*node*/,
                                const QuotaReply & /*reply*/)
{
}

void QuotaLimiter::advance(TimePoint /*now*/) { }

TimePoint QuotaLimiter::nextTimer() const
{
    return farFuture;
}

const QuotaStatistics &QuotaLimiter::statistics() const
{
    return m_implementation->m_statistics;
}

} // namespace arbutusgrade
