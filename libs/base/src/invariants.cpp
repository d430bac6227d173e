#include "base/base.h"

#include <numeric>

namespace arbutusgrade {

std::string formatFinding(const Finding &finding)
{
    return finding.m_file + ":" + std::to_string(finding.m_line) + ":"
           + std::to_string(finding.m_column) + ": " + finding.m_message;
}

std::string_view invariantName(Invariant invariant) noexcept
{
    switch (invariant) {
    case Invariant::OneSnapshot:
        return "one-snapshot";
    case Invariant::CoverageExact:
        return "coverage-exact";
    case Invariant::NoCrossedReply:
        return "no-crossed-reply";
    case Invariant::NotRunTruth:
        return "not-run-truth";
    case Invariant::AtMostOnce:
        return "at-most-once";
    case Invariant::ConnectionLimit:
        return "connection-limit";
    case Invariant::ExtraLoadBudget:
        return "extra-load-budget";
    case Invariant::NoWorkAfterDrain:
        return "no-work-after-drain";
    case Invariant::RevisionMonotonic:
        return "revision-monotonic";
    case Invariant::QuarantineBound:
        return "quarantine-bound";
    case Invariant::Count:
        break;
    }
    return "unknown";
}

bool checkInvariant(InvariantCounters &counters, Invariant invariant, bool condition,
                    std::string_view detail)
{
    const std::size_t index = static_cast<std::size_t>(invariant);
    ++counters.m_checks[index];
    if (condition) {
        return true;
    }
    ++counters.m_violations[index];
    if (counters.m_observer) {
        counters.m_observer(invariant, detail);
    }
    return false;
}

std::uint64_t totalChecks(const InvariantCounters &counters) noexcept
{
    return std::accumulate(counters.m_checks.begin(), counters.m_checks.end(), std::uint64_t{0});
}

std::uint64_t totalViolations(const InvariantCounters &counters) noexcept
{
    return std::accumulate(counters.m_violations.begin(), counters.m_violations.end(),
                           std::uint64_t{0});
}

} // namespace arbutusgrade
