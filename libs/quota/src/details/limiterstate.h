#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "details/coordinator.h"
#include "details/node.h"

//! @brief State of a limiter: the links to coordinators, and the coordinators that it runs itself.
namespace arbutusgrade {

//! A node that has not replied since it was chosen as coordinator counts as silent after this long.
inline constexpr Duration firstReplyLimit = std::chrono::milliseconds(300);

//! @brief Number of partitions, then the partition.
using PartitionKey = std::pair<std::uint32_t, std::uint32_t>;

//! @brief State and steps of a limiter, by source file.
struct QuotaLimiter::Implementation
{
    QuotaOptions m_options;
    QuotaOutput &m_output;
    TimePoint m_startedAt;
    TimePoint m_lastRunAt;
    RandomGenerator m_random;
    QuotaStatistics m_statistics;
    std::vector<QuotaPeer> m_peers;
    std::set<std::string, std::less<>> m_peerNames;
    int m_nodes = 0; //!< 0 until the peers are known.
    std::uint32_t m_partitions = 1;
    std::unordered_map<std::uint64_t, QuotaBasis> m_bases;
    std::unordered_map<std::uint64_t, HeldTokens> m_tokens;
    std::vector<CoordinatorLink> m_links; //!< By partition; empty until the peers are known.
    std::size_t m_pendingRequests = 0;

    std::map<PartitionKey, PartitionCoordinator> m_coordinators;

    //! The request that admit() is deciding; it is decided by its return value.
    std::uint64_t m_admitting = 0;
    bool m_isAdmitting = false;
    std::optional<QuotaDecision> m_admitted;

    Implementation(const QuotaOptions &options, TimePoint now, QuotaOutput &output);
    std::uint64_t newSession();
    Duration withJitter(Duration wait);

    // decisions.cpp

    QuotaDecision admittedBy(const CoordinatorLink &link);
    QuotaDecision undecided();
    QuotaDecision refused(const CoordinatorLink &link, HeldTokens &tokens, TimePoint now);

    //! Decides without the coordinator.
    QuotaDecision decideAlone(CoordinatorLink &link, HeldTokens &tokens, TimePoint now);
    void decide(const PendingRequest &pending, const QuotaDecision &decision);

    //! @return no value while the request still has to wait.
    std::optional<QuotaDecision> tryDecide(CoordinatorLink &link, const PendingRequest &pending,
                                           TimePoint now);
    void decidePending(CoordinatorLink &link, TimePoint now);
    QuotaDecision admit(TimePoint now, std::string_view organisation, std::uint64_t request);
    QuotaDecision waitForToken(CoordinatorLink &link, HeldTokens &tokens, TimePoint now,
                               std::uint64_t request);

    // links.cpp: choice of the coordinators

    void startSession(CoordinatorLink &link);

    //! Tokens of the previous coordinator stay in use until they expire.
    void carryTokens(CoordinatorLink &link);
    static std::string preferredNode(const CoordinatorLink &link);
    void chooseCoordinator(CoordinatorLink &link, TimePoint now, std::string_view reason);
    void checkSilence(CoordinatorLink &link, TimePoint now);

    //! Asks one of the silent nodes that would be preferred whether it replies again.
    void probeSilentNode(CoordinatorLink &link, TimePoint now);

    // links.cpp: reports and replies

    QuotaReport makeReport(CoordinatorLink &link, TimePoint now);
    void sendDueReports(CoordinatorLink &link, TimePoint now);
    void takeReply(CoordinatorLink &link, TimePoint now, const QuotaReply &reply);
    void run(CoordinatorLink &link, TimePoint now);
    void run(TimePoint now);

    //! Returns expired tokens; called first in each call of the limiter.
    void begin(TimePoint now);

    // configuration.cpp

    bool acceptsPartition(std::uint32_t partition, std::uint32_t partitions) const;
    std::optional<QuotaReply> coordinate(TimePoint now, std::string_view node,
                                         const QuotaReport &report);

    void rebuildLinks(TimePoint now);
    void setPeers(TimePoint now, std::span<const QuotaPeer> peers, int nodeCount);
    void updateCoordinators(TimePoint now);

    //! Forgets organisations. Their counters must not restart within a session, so the sessions of
    //! their partitions end.
    void removeOrganisations();
    void setLimits(TimePoint now, std::span<const OrganisationLimit> limits);
    void updateStatistics();
};

} // namespace arbutusgrade
