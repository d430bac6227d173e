#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "details/bucket.h"

//! @brief State of the coordinator of one partition: delegated shares, buckets and tokens granted.
namespace arbutusgrade {

//! Lifetime of a delegation and of a token. Three regular reports fit into it.
inline constexpr Duration quotaLease = std::chrono::milliseconds(1000);

//! Uses in a report and grants in a reply; a use takes up to 40 bytes, a message at most 1,200.
inline constexpr std::size_t maxQuotaUses = 24;

//! Greater counters are invalid: at 10^6 tokens/s they would take more than 30,000 years.
inline constexpr std::uint64_t greatestCounter = std::uint64_t{1} << 60U;

//! @brief Tokens of one organisation at one node, cumulative since the start of the node's session.
struct TokenAccount
{
    std::uint64_t m_granted = 0;
    std::uint64_t m_consumed = 0;
    std::uint64_t m_returned = 0;
    bool m_dropped = false; //!< The node was silent until its tokens had expired.
};

//! @brief What the coordinator knows of a node that reports to it.
struct DelegatingNode
{
    std::uint64_t m_session = 0;
    std::uint64_t m_previousSession = 0; //!< Late reports of it are discarded.
    std::int64_t m_lastSentAt = 0;       //!< On the node's clock, in microseconds.
    bool m_known = true;                 //!< Still among the peers.
    double m_share = 0.0;
    TimePoint m_leaseUntil;     //!< End of the delegation.
    TimePoint m_freshUntil;     //!< Until then the share counts as QuotaShare::m_fresh.
    TimePoint m_lastReplyAt;    //!< Last reply of the coordinator to the node.
    bool m_holdsTokens = false; //!< Accounts may have outstanding tokens.
    std::unordered_map<std::uint64_t, TokenAccount> m_accounts;
};

//! @brief Tokens of one organisation at the coordinator.
struct OrganisationBucket
{
    QuotaBasis m_basis;
    TokenBucket m_bucket;
    std::uint64_t m_outstanding = 0; //!< Granted and neither consumed nor returned, all nodes.
};

//! @brief State of the coordinator of one partition of the organisations.
struct PartitionCoordinator
{
    std::uint32_t m_partition = 0;
    std::uint32_t m_partitions = 1;
    std::uint64_t m_session = 0;
    std::map<std::string, DelegatingNode, std::less<>> m_nodes;
    std::unordered_map<std::uint64_t, OrganisationBucket> m_organisations;
    std::set<std::uint64_t> m_overdrawn; //!< Organisations with more outstanding than the capacity.
    QuotaShare m_share;
    TimePoint m_nextChange = farFuture; //!< At this time or later, a lease or tokens may expire.
    std::uint64_t m_granted = 0;        //!< Tokens, for statistics.
};

//! @brief Sets the buckets; levels of organisations that stay are kept up to the new capacity.
void setCoordinatorLimits(PartitionCoordinator &coordinator, TimePoint now,
                          const std::unordered_map<std::uint64_t, QuotaBasis> &bases);

//! @brief Drops delegations and tokens that have expired. Called before anything is granted.
void expireDelegations(PartitionCoordinator &coordinator, TimePoint now);

//! @brief Processes a report of a registered node.
//! @return the reply; none for a duplicated, late or unusable report.
std::optional<QuotaReply> processReport(PartitionCoordinator &coordinator, TimePoint now,
                                        std::string_view node, const QuotaReport &report);

} // namespace arbutusgrade
