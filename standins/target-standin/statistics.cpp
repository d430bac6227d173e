#include "statistics.h"

#include <algorithm>
#include <utility>

namespace arbutusgrade::standins {

namespace json = boost::json;

json::object statisticsBody(const TargetStatistics &statistics)
{
    json::object shards;
    for (const std::pair<const std::string, std::uint64_t> &count :
         statistics.m_executionsByShard) {
        shards[count.first] = count.second;
    }
    json::object once;
    std::uint64_t mostOnce = 0;
    for (const std::pair<const std::string, std::uint64_t> &count : statistics.m_onceExecutions) {
        once[count.first] = count.second;
        mostOnce = std::max(mostOnce, count.second);
    }
    return {{"executions", statistics.m_executions},
            {"completed", statistics.m_completed},
            {"shed", statistics.m_shed},
            {"refusedDraining", statistics.m_refusedDraining},
            {"snapshotGone", statistics.m_snapshotGone},
            {"expired", statistics.m_expired},
            {"cancelled", statistics.m_cancelled},
            {"cancelRequests", statistics.m_cancelRequests},
            {"ambiguousCancels", statistics.m_ambiguousCancels},
            {"errors", statistics.m_errors},
            {"crossed", statistics.m_crossed},
            {"doubled", statistics.m_doubled},
            {"crashes", statistics.m_crashes},
            {"malformed", statistics.m_malformed},
            {"startedAfterDrain", statistics.m_startedAfterDrain},
            {"arrivedAfterDrainMs", statistics.m_arrivedAfterDrainMs},

            {"executionsByShard", shards},
            {"mostOnceExecutions", mostOnce},
            {"onceExecutions", once}};
}

} // namespace arbutusgrade::standins
