#include "details/selection.h"

#include <algorithm>
#include <cmath>

namespace arbutusgrade {

namespace {

constexpr int nodesPerPartition = 128;

//! Trying a silent candidate takes 300 ms (firstReplyLimit), so more would not be reached in a
//! usual outage.
constexpr std::size_t maxCandidates = 16;

//! Weights at or below 0 or not finite count as this one.
constexpr double smallestWeight = 1e-6;

struct ScoredPeer
{
    double m_score = 0.0;
    const QuotaPeer *m_peer = nullptr;
};

bool isPreferred(const ScoredPeer &a, const ScoredPeer &b) noexcept
{
    return a.m_score != b.m_score ? a.m_score > b.m_score : a.m_peer->m_node < b.m_peer->m_node;
}

double usableWeight(double weight) noexcept
{
    return std::isfinite(weight) && weight > smallestWeight ? weight : smallestWeight;
}

} // namespace

std::uint32_t partitionCount(int nodes) noexcept
{
    return 1U + static_cast<std::uint32_t>(std::max(nodes, 0) / nodesPerPartition);
}

std::vector<std::string> coordinatorOrder(std::span<const QuotaPeer> peers, std::uint32_t partition,
                                          std::uint32_t partitions, std::string_view node)
{
    const std::string key = "quota/" + std::to_string(partition) + "/" + std::to_string(partitions);
    std::vector<ScoredPeer> scored;
    scored.reserve(peers.size());
    for (const QuotaPeer &peer : peers) {
        const double weight = usableWeight(peer.m_weight);
        scored.push_back({weightedRendezvousScore(key, peer.m_node, weight), &peer});
    }
    const std::size_t count = std::min(scored.size(), maxCandidates);
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end(), isPreferred);
    std::vector<std::string> order;
    order.reserve(count + 1);
    for (std::size_t index = 0; index < count; ++index) {
        order.push_back(scored[index].m_peer->m_node);
    }
    const bool isPeer = std::any_of(peers.begin(), peers.end(),
                                    [node](const QuotaPeer &peer) { return peer.m_node == node; });
    if (isPeer && std::find(order.begin(), order.end(), node) == order.end()) {
        order.emplace_back(node);
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
