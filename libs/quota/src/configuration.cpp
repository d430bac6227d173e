#include "details/limiterstate.h"

#include <algorithm>

#include "details/selection.h"

namespace arbutusgrade {

bool QuotaLimiter::Implementation::acceptsPartition(std::uint32_t partition,
                                                    std::uint32_t partitions) const
{
    // Nodes may differ by one while their number changes.
    return partition < partitions && partitions <= m_partitions + 1
           && partitions + 1 >= m_partitions;
}

std::optional<QuotaReply> QuotaLimiter::Implementation::coordinate(TimePoint now,
                                                                   std::string_view node,
                                                                   const QuotaReport &report)
{
    if (!m_peerNames.contains(node) || !acceptsPartition(report.m_partition, report.m_partitions)) {
        return std::nullopt;
    }
    using Iterator = std::map<PartitionKey, PartitionCoordinator>::iterator;
    const std::pair<Iterator, bool> added =
        m_coordinators.try_emplace({report.m_partitions, report.m_partition});
    PartitionCoordinator &coordinator = added.first->second;
    if (added.second) {
        coordinator.m_partition = report.m_partition;
        coordinator.m_partitions = report.m_partitions;
        coordinator.m_session = newSession();
        setCoordinatorLimits(coordinator, now, m_bases);
    }
    return processReport(coordinator, now, node, report);
}

void QuotaLimiter::Implementation::rebuildLinks(TimePoint now)
{
    TimePoint mayDelegateAt = m_startedAt;
    std::deque<PendingRequest> waiting;
    for (CoordinatorLink &link : m_links) {
        const TimePoint released = link.m_delegated ? delegationEnd(link) : link.m_mayDelegateAt;
        mayDelegateAt = std::max(mayDelegateAt, released);
        waiting.insert(waiting.end(), link.m_pending.begin(), link.m_pending.end());
    }
    m_links.assign(m_partitions, CoordinatorLink());
    for (std::uint32_t partition = 0; partition < m_partitions; ++partition) {
        m_links[partition].m_partition = partition;
        m_links[partition].m_mayDelegateAt = mayDelegateAt;
        m_links[partition].m_lastSentAt = now - reportInterval;
    }
    for (std::pair<const std::uint64_t, HeldTokens> &entry : m_tokens) {
        entry.second.m_partition = static_cast<std::uint32_t>(entry.first % m_partitions);
        entry.second.m_active = entry.second.m_pending > 0;
        entry.second.m_carried = 0;
        if (entry.second.m_active) {
            m_links[entry.second.m_partition].m_active.push_back(&entry.second);
        }
    }
    for (const PendingRequest &pending : waiting) {
        m_links[pending.m_organisation % m_partitions].m_pending.push_back(pending);
    }
    for (CoordinatorLink &link : m_links) {
        startSession(link);
    }
}

void QuotaLimiter::Implementation::setPeers(TimePoint now, std::span<const QuotaPeer> peers,
                                            int nodeCount)
{
    m_peers.assign(peers.begin(), peers.end());
    m_peerNames.clear();
    for (const QuotaPeer &peer : m_peers) {
        m_peerNames.insert(peer.m_node);
    }
    m_nodes = std::max({nodeCount, static_cast<int>(peers.size()), 1});
    const std::uint32_t partitions = partitionCount(m_nodes);
    if (m_links.empty() || partitions != m_partitions) {
        m_partitions = partitions;
        rebuildLinks(now);
    }
    for (CoordinatorLink &link : m_links) {
        link.m_order = coordinatorOrder(m_peers, link.m_partition, m_partitions, m_options.m_node);
        std::erase_if(link.m_silent, [this](const std::pair<const std::string, TimePoint> &e) {
            return !m_peerNames.contains(e.first);
        });
        chooseCoordinator(link, now, "registrations");
    }
    updateCoordinators(now);
}

void QuotaLimiter::Implementation::updateCoordinators(TimePoint now)
{
    std::erase_if(m_coordinators,
                  [this](const std::pair<const PartitionKey, PartitionCoordinator> &entry) {
                      return !acceptsPartition(entry.first.second, entry.first.first);
                  });
    for (std::pair<const PartitionKey, PartitionCoordinator> &entry : m_coordinators) {
        for (std::pair<const std::string, DelegatingNode> &node : entry.second.m_nodes) {
            node.second.m_known = m_peerNames.contains(node.first);
        }
        // Has the next call remove nodes that have left.
        entry.second.m_nextChange = std::min(entry.second.m_nextChange, now);
    }
}

void QuotaLimiter::Implementation::removeOrganisations()
{
    for (std::pair<const std::uint64_t, HeldTokens> &entry : m_tokens) {
        HeldTokens &tokens = entry.second;
        if (!tokens.m_isLimited || m_bases.contains(entry.first)) {
            continue;
        }
        tokens.m_isLimited = false;
        tokens.m_returned += unusedTokens(tokens);
        tokens.m_carried = 0;
        tokens.m_active = false;
        if (!m_links.empty()) {
            std::erase(m_links[tokens.m_partition].m_active, &tokens);
        }
    }
}

void QuotaLimiter::Implementation::setLimits(TimePoint now,
                                             std::span<const OrganisationLimit> limits)
{
    m_bases.clear();
    for (const OrganisationLimit &limit : limits) {
        if (isLimited(limit.m_limit)) {
            m_bases[stableHash(limit.m_organisation)] =
                makeQuotaBasis(limit.m_limit, m_options.m_tolerance);
        }
    }
    removeOrganisations();
    for (const OrganisationLimit &limit : limits) {
        const auto basis = m_bases.find(stableHash(limit.m_organisation));
        if (basis == m_bases.end()) {
            continue;
        }
        using Iterator = std::unordered_map<std::uint64_t, HeldTokens>::iterator;
        const std::pair<Iterator, bool> added = m_tokens.try_emplace(basis->first);
        HeldTokens &tokens = added.first->second;
        tokens.m_basis = basis->second;
        tokens.m_isLimited = true;
        if (added.second) {
            tokens.m_organisation = limit.m_organisation;
            tokens.m_hash = basis->first;
            tokens.m_partition = static_cast<std::uint32_t>(basis->first % m_partitions);
            tokens.m_demandAt = now;
            tokens.m_ownBucket.m_updatedAt = now;
        }
    }
    for (std::pair<const PartitionKey, PartitionCoordinator> &entry : m_coordinators) {
        setCoordinatorLimits(entry.second, now, m_bases);
    }
}

void QuotaLimiter::Implementation::updateStatistics()
{
    m_statistics.m_granted = 0;
    m_statistics.m_delegatedShare = 0.0;
    for (const std::pair<const PartitionKey, PartitionCoordinator> &entry : m_coordinators) {
        m_statistics.m_granted += entry.second.m_granted;
        m_statistics.m_delegatedShare += totalShare(entry.second.m_share);
    }
}

} // namespace arbutusgrade
