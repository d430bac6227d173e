#include "details/selection.h"

#include <algorithm>
#include <cmath>

namespace arbutusgrade {

namespace {

constexpr int nodesPerPartition = 128;

//! Weights at or below 0 or not finite count as this one.
constexpr double smallestWeight = 1e-6;

struct ScoredPeer
{
    double m_score = 0.0;
    std::string m_node;
};

double weightedScore(std::string_view key, const QuotaPeer &peer) noexcept
{
    constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
    const std::uint64_t hash = rendezvousWeight(key, peer.m_node);
    // The half keeps the number away from 0 and 1.
    const double unit = (static_cast<double>(hash >> 11U) + 0.5) * scale;
    const bool usable = std::isfinite(peer.m_weight) && peer.m_weight > smallestWeight;
    return -(usable ? peer.m_weight : smallestWeight) / std::log(unit);
}

} // namespace

std::uint32_t partitionCount(int nodes) noexcept
{
    return 1U + static_cast<std::uint32_t>(std::max(nodes, 0) / nodesPerPartition);
}

std::vector<std::string> coordinatorOrder(std::span<const QuotaPeer> peers,
                                          std::uint32_t partition, std::uint32_t partitions)
{
    const std::string key =
        "quota/" + std::to_string(partition) + "/" + std::to_string(partitions);
    std::vector<ScoredPeer> scored;
    scored.reserve(peers.size());
    for (const QuotaPeer &peer : peers) {
        scored.push_back({weightedScore(key, peer), peer.m_node});
    }
    std::sort(scored.begin(), scored.end(), [](const ScoredPeer &a, const ScoredPeer &b) {
        return a.m_score != b.m_score ? a.m_score > b.m_score : a.m_node < b.m_node;
    });
    std::vector<std::string> order;
    order.reserve(scored.size());
    for (ScoredPeer &peer : scored) {
        order.push_back(std::move(peer.m_node));
    }
    return order;
}

std::size_t rendezvousRank(std::span<const QuotaPeer> peers, std::string_view key,
                           std::string_view node) noexcept
{
    const std::uint64_t own = rendezvousWeight(key, node);
    std::size_t rank = 0;
    for (const QuotaPeer &peer : peers) {
        if (peer.m_node != node && rendezvousWeight(key, peer.m_node) > own) {
            ++rank;
        }
    }
    return rank;
}

} // namespace arbutusgrade
