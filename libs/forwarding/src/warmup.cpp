#include <algorithm>
#include <cmath>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

constexpr Duration shareInterval = std::chrono::seconds(1);

bool isRecent(TimePoint sent, TimePoint now)
{
    return now - sent < shareInterval;
}

//! @brief Number of nodes that precede this one in the rendezvous order for a target.
int rendezvousRank(std::string_view target, std::string_view node,
                   std::span<const std::string> nodes)
{
    const std::uint64_t weight = rendezvousWeight(target, node);
    return static_cast<int>(
        std::count_if(nodes.begin(), nodes.end(), [&](const std::string &other) {
            const std::uint64_t otherWeight = rendezvousWeight(target, other);
            return otherWeight > weight || (otherWeight == weight && other < node);
        }));
}

} // namespace

int warmupShares(const WarmupLimit &limit, const WarmupTolerance &tolerance)
{
    // Keeps the result in range for any configuration.
    constexpr double maximumShares = 1e6;
    const double permitted = limit.m_requestsPerSecond * tolerance.m_overage + tolerance.m_slack;
    return static_cast<int>(std::clamp(std::floor(permitted / 2.0), 0.0, maximumShares));
}

int warmupShareOfNode(int shares, std::string_view target, std::string_view node,
                      std::span<const std::string> nodes, int nodeCount)
{
    if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
        return 0;
    }
    const int count = std::max(nodeCount, static_cast<int>(nodes.size()));
    const bool hasExtra = rendezvousRank(target, node, nodes) < shares % count;
    return shares / count + (hasExtra ? 1 : 0);
}

bool isCold(const Target &target, TimePoint now, const WarmupLimit &limit)
{
    const bool mayHaveCooled =
        target.m_evacuationEndedAt && now < *target.m_evacuationEndedAt + limit.m_duration;
    return now < target.m_warmupEnd || mayHaveCooled;
}

bool allowsColdRequest(const Target &target, TimePoint now, const WarmupCriteria &criteria)
{
    if (!isCold(target, now, criteria.m_limit)) {
        return true;
    }
    const std::ptrdiff_t recent =
        std::count_if(target.m_coldRequests.begin(), target.m_coldRequests.end(),
                      [now](TimePoint sent) { return isRecent(sent, now); });
    const int shares = warmupShares(criteria.m_limit, criteria.m_tolerance);
    return recent < warmupShareOfNode(shares, target.m_entry.m_id, criteria.m_node,
                                      criteria.m_nodes, criteria.m_nodeCount);
}

void recordColdRequest(Target &target, TimePoint now, const WarmupLimit &limit)
{
    if (!isCold(target, now, limit)) {
        return;
    }
    std::erase_if(target.m_coldRequests, [now](TimePoint sent) { return !isRecent(sent, now); });
    target.m_coldRequests.push_back(now);
}

} // namespace arbutusgrade
