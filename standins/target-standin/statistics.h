#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/json/object.hpp>

namespace arbutusgrade::standins {

//! @brief Counts of one target. They outlive its crashes, so that a test can prove at most once.
struct TargetStatistics
{
    std::uint64_t m_executions = 0; //!< Started.
    std::uint64_t m_completed = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_refusedDraining = 0;
    std::uint64_t m_snapshotGone = 0;
    std::uint64_t m_expired = 0; //!< Deadline passed before the start.
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_cancelRequests = 0;
    std::uint64_t m_ambiguousCancels = 0; //!< Matched more than one request; nothing cancelled.
    std::uint64_t m_errors = 0;
    std::uint64_t m_crossed = 0;
    std::uint64_t m_doubled = 0;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_startedAfterDrain = 0;
    std::int64_t m_arrivedAfterDrainMs = -1; //!< Time from the drain to the last arrival.
    std::map<std::string, std::uint64_t> m_executionsByShard;
    std::map<std::string, std::uint64_t> m_onceExecutions; //!< By id of non-idempotent requests.
};

//! @brief The counts as GET /v1/statistics shows them.
boost::json::object statisticsBody(const TargetStatistics &statistics);

} // namespace arbutusgrade::standins
