#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

//! @brief Randomised runs of the core with small fakes at its interfaces, on a simulated clock.
//!
//! A scenario is a pure function of its options: the same seed gives the same events and digest.
namespace arbutusgrade::stress {

struct RunOptions
{
    std::uint64_t m_seed = 1;
    std::string m_mutant;  //!< Name of a deliberate fault, or empty.
    std::string m_subject; //!< Request or node whose events are written to the trace, or empty.
};

//! @brief A broken property, with the request or node concerned so that it can be traced.
struct Violation
{
    std::string m_check;
    std::string m_detail;
    std::string m_subject;
};

struct RunResult
{
    std::uint64_t m_events = 0;
    std::uint64_t m_checks = 0;
    std::uint64_t m_digest = 0;
    std::vector<Violation> m_violations;
    std::vector<std::string> m_trace;
    std::string m_summary; //!< Counts of interest, for the report.
};

struct Scenario
{
    std::string_view m_name;
    std::string_view m_description;
    std::span<const std::string_view> m_mutants;
    RunResult (*m_run)(const RunOptions &) = nullptr;
    bool m_onlyByName = false; //!< Left out where no scenario is named.
};

//! @brief All scenarios, in the order in which runs alternate between them.
std::span<const Scenario> allScenarios();

//! @brief Folds a number into a digest.
inline void addToDigest(std::uint64_t &digest, std::uint64_t value) noexcept
{
    digest = (digest ^ value) * 0x100000001b3ULL;
    digest ^= digest >> 29U;
}

//! @brief Requests of callers against several nodes, targets and a store with faults.
extern const Scenario requestScenario;

//! @brief Configuration between several nodes and a store with faults.
extern const Scenario configurationScenario;

//! @brief Membership and shared target state between nodes over a lossy network.
extern const Scenario membershipScenario;
extern const Scenario heavyLossScenario;

} // namespace arbutusgrade::stress
