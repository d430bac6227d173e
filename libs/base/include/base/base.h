#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/outcome/result.hpp>
#include <boost/outcome/std_result.hpp>

//! @brief Value types shared by all libraries: time, identifiers, findings, invariants, statistics.
//!
//! Nothing here performs input or output or reads a clock.
namespace arbutusgrade {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

//! @brief Length of time in microseconds.
using Duration = std::chrono::microseconds;

//! @brief Time since an arbitrary fixed point, in microseconds; the caller supplies it.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

//! @brief A time later than any that occurs; used where no timer is needed.
inline constexpr TimePoint farFuture = TimePoint::max();

//! @brief Identity of an index state: partitioning epoch, then index version within it.
struct Snapshot
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;

    std::strong_ordering operator<=>(const Snapshot &other) const noexcept = default;
};

//! @brief Header fields of an HTTP message, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

//! @brief How an attempt to forward a request to a target ended.
enum class ForwardEnd {
    Reply,
    ConnectFailed, //!< No connection; no byte was sent.
    Closed,        //!< The target closed the connection, or broke off its reply.
    Reset,         //!< The connection was reset or timed out after bytes had been sent.
    Malformed,     //!< What came is no HTTP/1.1 response, or larger than allowed.
};

//! @brief Deterministic generator of pseudo-random numbers (SplitMix64). Not for secrets.
//!
//! The same seed gives the same sequence on every platform, which std:: distributions do not
//! promise. Not thread-safe.
struct RandomGenerator
{
    std::uint64_t m_state = 1;
};

//! @brief Returns the next 64 pseudo-random bits.
std::uint64_t nextRandom(RandomGenerator &generator) noexcept;

//! @brief Returns a number in [0, bound); 0 if bound is 0.
std::uint64_t nextRandomBelow(RandomGenerator &generator, std::uint64_t bound) noexcept;

//! @brief Returns a number in [0, 1).
double nextRandomUnit(RandomGenerator &generator) noexcept;

//! @brief Returns a stable 64-bit hash of the text (xxHash, seed 0).
std::uint64_t stableHash(std::string_view text) noexcept;

//! @brief Weight of a candidate for a key in rendezvous hashing; the highest weight wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) noexcept;

//! @brief Score of a candidate for a key in weighted rendezvous hashing; the highest score wins, so
//! that candidates win in proportion to their weights.
//! @param weight above 0 and finite.
double weightedRendezvousScore(std::string_view key, std::string_view candidate,
                               double weight) noexcept;

//! @brief One problem found in an input, with its place. Lines and columns count from 1; 0 if
//! unknown.
struct Finding
{
    std::string m_file;
    int m_line = 0;
    int m_column = 0;
    std::string m_message;
};

//! @brief Formats a finding as "file:line:column: message".
std::string formatFinding(const Finding &finding);

//! @brief A value, or all findings of an input at once.
template <typename Value> using Checked = outcome::std_result<Value, std::vector<Finding>>;

//! @brief Properties that are asserted at run time, in release builds too.
enum class Invariant {
    OneSnapshot,
    CoverageExact,
    NoCrossedReply,
    NotRunTruth,
    AtMostOnce,
    ConnectionLimit,
    ExtraLoadBudget,
    NoWorkAfterDrain,
    RevisionMonotonic,
    QuarantineBound,
    Count
};

inline constexpr std::size_t invariantCount = static_cast<std::size_t>(Invariant::Count);

//! @brief Name of an invariant as used in metrics and reports, for example "one-snapshot".
std::string_view invariantName(Invariant invariant) noexcept;

//! @brief Counts of checks and violations by invariant. Not thread-safe.
//!
//! The observer is called on each violation with the invariant and a description of the state.
struct InvariantCounters
{
    std::array<std::uint64_t, invariantCount> m_checks{};
    std::array<std::uint64_t, invariantCount> m_violations{};
    std::function<void(Invariant, std::string_view)> m_observer;
};

//! @brief Counts a check; if the condition is false, counts a violation and calls the observer.
//! @return the condition.
bool checkInvariant(InvariantCounters &counters, Invariant invariant, bool condition,
                    std::string_view detail);

//! @brief Returns the number of checks over all invariants.
std::uint64_t totalChecks(const InvariantCounters &counters) noexcept;

//! @brief Returns the number of violations over all invariants.
std::uint64_t totalViolations(const InvariantCounters &counters) noexcept;

//! @brief Log-linear histogram of durations with a relative error of at most 1/16.
//!
//! Covers 1 us to about 18 minutes; larger values count in the last bucket. Fixed size.
struct LatencyHistogram
{
    static constexpr std::size_t subBuckets = 16;
    static constexpr std::size_t bucketCount = 28 * subBuckets;

    std::array<std::uint32_t, bucketCount> m_buckets{};
    std::uint64_t m_total = 0;
};

//! @brief Adds one observation; negative durations count as zero.
void recordLatency(LatencyHistogram &histogram, Duration latency) noexcept;

//! @brief Returns the upper bound of the bucket that holds the quantile in [0, 1]; 0 if empty.
Duration latencyQuantile(const LatencyHistogram &histogram, double quantile) noexcept;

//! @brief Halves all counts, so that old observations lose weight.
void decayHistogram(LatencyHistogram &histogram) noexcept;

} // namespace arbutusgrade
