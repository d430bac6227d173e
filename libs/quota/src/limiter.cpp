#include "quota/quota.h"

#include <algorithm>
#include <optional>
#include <set>

#include "details/coordinator.h"
#include "details/fallback.h"
#include "details/node.h"
#include "details/selection.h"

namespace arbutusgrade {

namespace {

//! A coordinator without a reply for this long is passed over.
constexpr Duration silenceLimit = std::chrono::milliseconds(1000);

//! The same for a node that has not replied since it was chosen.
constexpr Duration firstReplyLimit = std::chrono::milliseconds(500);

//! Time between reports that ask whether a node that was passed over replies again. The first one
//! is sent after the tokens of that node have been used or have expired.
constexpr Duration probeInterval = std::chrono::milliseconds(1000);

//! A request waits this long for a token.
constexpr Duration pendingLimit = std::chrono::milliseconds(40);

//! Bounds the requests that wait at this node.
constexpr std::size_t maxPending = 1024;

//! Without calls for this long, the node itself was paused, so silence says nothing about others.
constexpr Duration pauseLimit = std::chrono::milliseconds(400);

//! Retry-After of requests on which the node may not decide.
constexpr Duration undecidedRetry = std::chrono::milliseconds(200);

//! Spreads callers that are refused at the same time.
constexpr Duration shortestJitter = std::chrono::milliseconds(100);

//! Bounds the rounds of reports that a coordinator exchanges with itself in one call.
constexpr int maxOwnReports = 3;

} // namespace

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

    //! By number of partitions and partition.
    std::map<std::pair<std::uint32_t, std::uint32_t>, PartitionCoordinator> m_coordinators;

    //! The request that admit() is deciding; it is decided by its return value.
    std::uint64_t m_admitting = 0;
    bool m_isAdmitting = false;
    std::optional<QuotaDecision> m_admitted;

    Implementation(const QuotaOptions &options, TimePoint now, QuotaOutput &output)
        : m_options(options), m_output(output), m_startedAt(now),
          m_lastRunAt(now), m_random{options.m_session}
    {
    }

    std::uint64_t newSession()
    {
        return std::max<std::uint64_t>(nextRandom(m_random), 1);
    }

    Duration withJitter(Duration wait)
    {
        const Duration spread = std::max(wait / 2, shortestJitter);
        const std::uint64_t extra =
            nextRandomBelow(m_random, static_cast<std::uint64_t>(spread.count()));
        return wait + Duration(static_cast<std::int64_t>(extra));
    }

    // Decisions ----------------------------------------------------------------------------------

    QuotaDecision admittedBy(const CoordinatorLink &link)
    {
        ++m_statistics.m_admitted;
        return {QuotaVerdict::Admitted, Duration(0), link.m_coordinator};
    }

    QuotaDecision undecided()
    {
        ++m_statistics.m_undecided;
        return {QuotaVerdict::Undecided, withJitter(undecidedRetry), {}};
    }

    QuotaDecision refused(const CoordinatorLink &link, const HeldTokens &tokens, TimePoint now)
    {
        if (tokens.m_coordinatorCannotTell) {
            return undecided();
        }
        ++m_statistics.m_exhausted;
        const Duration wait = std::max(tokens.m_tokenExpectedAt - now, Duration(0));
        return {QuotaVerdict::Exhausted, withJitter(wait), link.m_coordinator};
    }

    //! Decides without the coordinator.
    QuotaDecision decideAlone(CoordinatorLink &link, HeldTokens &tokens, TimePoint now)
    {
        if (!mayDecideAlone(link, now)) {
            return undecided();
        }
        const bool fresh = now < link.m_mayDelegateAt + quotaLease;
        const double capacity = fallbackCapacity(tokens.m_basis, m_nodes, tokens.m_rank, fresh);
        const double rate = tokens.m_basis.m_rate / std::max(m_nodes, 1);
        if (!takeFallbackToken(tokens.m_ownBucket, now, link.m_mayDelegateAt, rate, capacity)) {
            return undecided();
        }
        ++m_statistics.m_admittedAlone;
        return {QuotaVerdict::Admitted, Duration(0), {}};
    }

    void decide(const PendingRequest &pending, const QuotaDecision &decision)
    {
        --m_pendingRequests;
        const auto tokens = m_tokens.find(pending.m_organisation);
        if (tokens != m_tokens.end() && tokens->second.m_pending > 0) {
            --tokens->second.m_pending;
        }
        if (m_isAdmitting && pending.m_request == m_admitting) {
            m_admitted = decision;
            return;
        }
        m_output.decided(pending.m_request, decision);
    }

    //! @return no value while the request still has to wait.
    std::optional<QuotaDecision> tryDecide(CoordinatorLink &link, const PendingRequest &pending,
                                           TimePoint now)
    {
        const auto found = m_tokens.find(pending.m_organisation);
        if (found == m_tokens.end()) {
            // The organisation has lost its limit.
            ++m_statistics.m_admitted;
            return QuotaDecision();
        }
        HeldTokens &tokens = found->second;
        if (takeToken(link, tokens, now)) {
            return admittedBy(link);
        }
        if (pending.m_askedBy != 0 && pending.m_askedBy <= tokens.m_refusedReport) {
            return refused(link, tokens, now);
        }
        if (now >= pending.m_deadline) {
            return decideAlone(link, tokens, now);
        }
        return std::nullopt;
    }

    void decidePending(CoordinatorLink &link, TimePoint now)
    {
        std::deque<PendingRequest> waiting;
        std::swap(waiting, link.m_pending);
        for (const PendingRequest &pending : waiting) {
            const std::optional<QuotaDecision> decision = tryDecide(link, pending, now);
            if (decision.has_value()) {
                decide(pending, *decision);
            } else {
                link.m_pending.push_back(pending);
            }
        }
    }

    QuotaDecision admit(TimePoint now, std::string_view organisation, std::uint64_t request)
    {
        const auto found = m_tokens.find(stableHash(organisation));
        if (found == m_tokens.end()) {
            return {};
        }
        if (m_links.empty()) {
            return undecided();
        }
        HeldTokens &tokens = found->second;
        CoordinatorLink &link = m_links[tokens.m_partition];
        recordDemand(tokens, now);
        if (takeToken(link, tokens, now)) {
            return admittedBy(link);
        }
        if (now < tokens.m_refusedUntil) {
            return refused(link, tokens, now);
        }
        const bool silent = link.m_awaitsReply && now - link.m_waitingSince >= firstReplyLimit;
        if (link.m_coordinator.empty() || silent) {
            return decideAlone(link, tokens, now);
        }
        if (m_pendingRequests >= maxPending) {
            return undecided();
        }
        return waitForToken(link, tokens, now, request);
    }

    QuotaDecision waitForToken(CoordinatorLink &link, HeldTokens &tokens, TimePoint now,
                               std::uint64_t request)
    {
        ++m_pendingRequests;
        ++tokens.m_pending;
        if (!tokens.m_active) {
            tokens.m_active = true;
            link.m_active.push_back(&tokens);
        }
        link.m_pending.push_back({request, tokens.m_hash, now + pendingLimit, 0});
        link.m_reportNow = true;
        m_admitting = request;
        m_isAdmitting = true;
        m_admitted.reset();
        sendDueReports(link, now);
        m_isAdmitting = false;
        if (m_admitted.has_value()) {
            return *m_admitted;
        }
        ++m_statistics.m_pending;
        return {QuotaVerdict::Pending, Duration(0), link.m_coordinator};
    }

    // Choice of the coordinator ------------------------------------------------------------------

    void startSession(CoordinatorLink &link)
    {
        link.m_session = newSession();
        link.m_coordinatorSession = 0;
        link.m_coordinatorTime = 0;
        link.m_validUntil = TimePoint();
        link.m_awaitsReply = false;
        link.m_reportNow = true;
        for (std::pair<const std::uint64_t, HeldTokens> &entry : m_tokens) {
            HeldTokens &tokens = entry.second;
            if (tokens.m_partition == link.m_partition) {
                tokens.m_granted = 0;
                tokens.m_consumed = 0;
                tokens.m_returned = 0;
                tokens.m_unacknowledged = false;
                tokens.m_changeSentAt = 0;
                tokens.m_refusedUntil = TimePoint();
                tokens.m_refusedReport = 0;
                tokens.m_askAfter = TimePoint();
            }
        }
        for (PendingRequest &pending : link.m_pending) {
            pending.m_askedBy = 0;
        }
    }

    //! Tokens of the previous coordinator stay in use until they expire.
    void carryTokens(CoordinatorLink &link)
    {
        link.m_carriedUntil = link.m_validUntil;
        for (std::pair<const std::uint64_t, HeldTokens> &entry : m_tokens) {
            if (entry.second.m_partition == link.m_partition) {
                entry.second.m_carried = unusedTokens(entry.second);
            }
        }
    }

    static std::string preferredNode(const CoordinatorLink &link)
    {
        for (const std::string &node : link.m_order) {
            if (!link.m_silent.contains(node)) {
                return node;
            }
        }
        return {};
    }

    void chooseCoordinator(CoordinatorLink &link, TimePoint now, std::string_view reason)
    {
        std::string node = preferredNode(link);
        if (node.empty() && !link.m_order.empty()) {
            // All are silent: start over with the first one.
            link.m_silent.clear();
            node = link.m_order.front();
        }
        if (node == link.m_coordinator) {
            link.m_waitingSince = now;
            return;
        }
        carryTokens(link);
        if (link.m_delegated) {
            link.m_mayDelegateAt = link.m_lastDelegatedAt + quotaLease;
            link.m_delegated = false;
        }
        link.m_coordinator = std::move(node);
        startSession(link);
        m_output.coordinatorChanged(link.m_partition, link.m_coordinator, reason);
    }

    void checkSilence(CoordinatorLink &link, TimePoint now)
    {
        if (!link.m_awaitsReply || link.m_coordinator == m_options.m_node) {
            return;
        }
        const Duration limit = link.m_coordinatorSession == 0 ? firstReplyLimit : silenceLimit;
        if (now - link.m_waitingSince < limit) {
            return;
        }
        link.m_silent[link.m_coordinator] = now;
        link.m_nextProbeAt = std::max(link.m_nextProbeAt, now + probeInterval);
        chooseCoordinator(link, now, "no reply");
    }

    //! Asks one of the silent nodes that would be preferred whether it replies again.
    void probeSilentNode(CoordinatorLink &link, TimePoint now)
    {
        if (link.m_silent.empty() || now < link.m_nextProbeAt) {
            return;
        }
        link.m_nextProbeAt = now + probeInterval;
        std::vector<std::string_view> candidates;
        for (const std::string &node : link.m_order) {
            if (node == link.m_coordinator) {
                break;
            }
            const auto silent = link.m_silent.find(node);
            if (silent != link.m_silent.end() && now - silent->second >= probeInterval) {
                candidates.push_back(node);
            }
        }
        if (candidates.empty()) {
            return;
        }
        QuotaReport probe;
        link.m_probeSession = newSession();
        probe.m_nodeSession = link.m_probeSession;
        probe.m_sentAt = now.time_since_epoch().count();
        probe.m_partition = link.m_partition;
        probe.m_partitions = m_partitions;
        ++m_statistics.m_reports;
        m_output.sendReport(candidates[link.m_probeCursor++ % candidates.size()], probe);
    }

    // Reports ------------------------------------------------------------------------------------

    QuotaReport makeReport(CoordinatorLink &link, TimePoint now)
    {
        const bool delegates = link.m_coordinatorSession != 0 && now >= link.m_mayDelegateAt;
        if (delegates) {
            link.m_delegated = true;
            link.m_lastDelegatedAt = now;
        }
        const std::uint32_t nodes = delegates ? static_cast<std::uint32_t>(m_nodes) : 0;
        return buildReport(link, now, m_partitions, nodes);
    }

    void sendDueReports(CoordinatorLink &link, TimePoint now)
    {
        const bool own = link.m_coordinator == m_options.m_node;
        for (int round = 0; round < (own ? maxOwnReports : 1); ++round) {
            const bool urgent = own && link.m_reportNow;
            if (link.m_coordinator.empty() || (!urgent && now < nextReportAt(link))) {
                return;
            }
            const QuotaReport report = makeReport(link, now);
            if (!own) {
                ++m_statistics.m_reports;
                m_output.sendReport(link.m_coordinator, report);
                return;
            }
            const std::optional<QuotaReply> reply = coordinate(now, m_options.m_node, report);
            if (reply.has_value()) {
                takeReply(link, now, *reply);
            }
        }
    }

    void takeReply(CoordinatorLink &link, TimePoint now, const QuotaReply &reply)
    {
        if (link.m_coordinatorSession != reply.m_coordinatorSession) {
            const bool restarted = link.m_coordinatorSession != 0;
            if (restarted) {
                startSession(link);
            }
            link.m_coordinatorSession = reply.m_coordinatorSession;
            link.m_coordinatorTime = reply.m_coordinatorTime;
            link.m_reportNow = true;
            if (restarted) {
                return;
            }
        }
        applyReply(link, now, reply, m_tokens);
        decidePending(link, now);
    }

    void run(CoordinatorLink &link, TimePoint now)
    {
        checkSilence(link, now);
        if (!link.m_pending.empty() && now >= link.m_pending.front().m_deadline) {
            decidePending(link, now);
        }
        sendDueReports(link, now);
        probeSilentNode(link, now);
    }

    void run(TimePoint now)
    {
        for (CoordinatorLink &link : m_links) {
            run(link, now);
        }
    }

    //! Drops what has expired; comes first in each call.
    void begin(TimePoint now)
    {
        const bool paused = now - m_lastRunAt >= pauseLimit;
        m_lastRunAt = std::max(now, m_lastRunAt);
        for (CoordinatorLink &link : m_links) {
            returnExpiredTokens(link, now);
            if (paused && link.m_awaitsReply) {
                link.m_waitingSince = now;
            }
        }
    }

    // Coordinator --------------------------------------------------------------------------------

    bool acceptsPartition(std::uint32_t partition, std::uint32_t partitions) const
    {
        // Nodes may differ by one while their number changes.
        return partition < partitions && partitions <= m_partitions + 1
               && partitions + 1 >= m_partitions;
    }

    std::optional<QuotaReply> coordinate(TimePoint now, std::string_view node,
                                         const QuotaReport &report)
    {
        if (!m_peerNames.contains(node)
            || !acceptsPartition(report.m_partition, report.m_partitions)) {
            return std::nullopt;
        }
        const auto [entry, inserted] =
            m_coordinators.try_emplace({report.m_partitions, report.m_partition});
        PartitionCoordinator &coordinator = entry->second;
        if (inserted) {
            coordinator.m_partition = report.m_partition;
            coordinator.m_partitions = report.m_partitions;
            coordinator.m_session = newSession();
            setCoordinatorLimits(coordinator, now, m_bases);
        }
        return processReport(coordinator, now, node, report);
    }

    // Configuration ------------------------------------------------------------------------------

    void rebuildLinks(TimePoint now)
    {
        TimePoint mayDelegateAt = m_startedAt;
        std::deque<PendingRequest> waiting;
        for (CoordinatorLink &link : m_links) {
            const TimePoint released =
                link.m_delegated ? link.m_lastDelegatedAt + quotaLease : link.m_mayDelegateAt;
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

    void setPeers(TimePoint now, std::span<const QuotaPeer> peers, int nodeCount)
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
            link.m_order =
                coordinatorOrder(m_peers, link.m_partition, m_partitions, m_options.m_node);
            std::erase_if(link.m_silent, [this](const std::pair<const std::string, TimePoint> &e) {
                return !m_peerNames.contains(e.first);
            });
            chooseCoordinator(link, now, "registrations");
        }
        for (std::pair<const std::uint64_t, HeldTokens> &entry : m_tokens) {
            updateRank(entry.second);
        }
        updateCoordinators(now);
    }

    void updateCoordinators(TimePoint now)
    {
        std::erase_if(m_coordinators,
                      [this](const std::pair<const std::pair<std::uint32_t, std::uint32_t>,
                                             PartitionCoordinator> &entry) {
                          return !acceptsPartition(entry.first.second, entry.first.first);
                      });
        for (std::pair<const std::pair<std::uint32_t, std::uint32_t>, PartitionCoordinator> &entry :
             m_coordinators) {
            for (std::pair<const std::string, DelegatingNode> &node : entry.second.m_nodes) {
                node.second.m_known = m_peerNames.contains(node.first);
            }
            // The next call looks for nodes that have left.
            entry.second.m_nextChange = std::min(entry.second.m_nextChange, now);
        }
    }

    void updateRank(HeldTokens &tokens)
    {
        tokens.m_rank = rendezvousRank(m_peers, tokens.m_organisation, m_options.m_node);
    }

    //! Forgets organisations. Their counters must not restart within a session, so the sessions of
    //! their partitions end.
    void removeOrganisations()
    {
        std::set<std::uint32_t> changed;
        for (auto entry = m_tokens.begin(); entry != m_tokens.end();) {
            if (m_bases.contains(entry->first)) {
                ++entry;
                continue;
            }
            changed.insert(entry->second.m_partition);
            if (!m_links.empty()) {
                std::erase(m_links[entry->second.m_partition].m_active, &entry->second);
            }
            entry = m_tokens.erase(entry);
        }
        for (CoordinatorLink &link : m_links) {
            if (changed.contains(link.m_partition)) {
                startSession(link);
            }
        }
    }

    void setLimits(TimePoint now, std::span<const OrganisationLimit> limits)
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
            const auto [entry, inserted] = m_tokens.try_emplace(basis->first);
            HeldTokens &tokens = entry->second;
            tokens.m_basis = basis->second;
            if (inserted) {
                tokens.m_organisation = limit.m_organisation;
                tokens.m_hash = basis->first;
                tokens.m_partition = static_cast<std::uint32_t>(basis->first % m_partitions);
                tokens.m_demandAt = now;
                tokens.m_ownBucket.m_updatedAt = now;
                updateRank(tokens);
            }
        }
        for (std::pair<const std::pair<std::uint32_t, std::uint32_t>, PartitionCoordinator> &entry :
             m_coordinators) {
            setCoordinatorLimits(entry.second, now, m_bases);
        }
    }

    void updateStatistics()
    {
        m_statistics.m_granted = 0;
        m_statistics.m_delegatedShare = 0.0;
        for (const std::pair<const std::pair<std::uint32_t, std::uint32_t>, PartitionCoordinator>
                 &entry : m_coordinators) {
            m_statistics.m_granted += entry.second.m_granted;
            m_statistics.m_delegatedShare +=
                entry.second.m_share.m_mature + entry.second.m_share.m_fresh;
        }
    }
};

QuotaLimiter::QuotaLimiter(const QuotaOptions &options, TimePoint now, QuotaOutput &output)
    : m_implementation(std::make_unique<Implementation>(options, now, output))
{
}

QuotaLimiter::~QuotaLimiter() = default;

void QuotaLimiter::setPeers(TimePoint now, std::span<const QuotaPeer> peers, int nodeCount)
{
    m_implementation->begin(now);
    m_implementation->setPeers(now, peers, nodeCount);
    m_implementation->run(now);
}

void QuotaLimiter::setLimits(TimePoint now, std::span<const OrganisationLimit> limits)
{
    m_implementation->begin(now);
    m_implementation->setLimits(now, limits);
    m_implementation->run(now);
}

QuotaDecision QuotaLimiter::admit(TimePoint now, std::string_view organisation,
                                  std::uint64_t request)
{
    m_implementation->begin(now);
    return m_implementation->admit(now, organisation, request);
}

void QuotaLimiter::cancel(std::uint64_t request)
{
    for (CoordinatorLink &link : m_implementation->m_links) {
        const auto pending = std::find_if(
            link.m_pending.begin(), link.m_pending.end(),
            [request](const PendingRequest &waiting) { return waiting.m_request == request; });
        if (pending == link.m_pending.end()) {
            continue;
        }
        const auto tokens = m_implementation->m_tokens.find(pending->m_organisation);
        if (tokens != m_implementation->m_tokens.end() && tokens->second.m_pending > 0) {
            --tokens->second.m_pending;
        }
        --m_implementation->m_pendingRequests;
        link.m_pending.erase(pending);
        return;
    }
}

void QuotaLimiter::returnToken(TimePoint now, std::string_view organisation)
{
    m_implementation->begin(now);
    const auto tokens = m_implementation->m_tokens.find(stableHash(organisation));
    if (tokens != m_implementation->m_tokens.end() && !m_implementation->m_links.empty()) {
        CoordinatorLink &link = m_implementation->m_links[tokens->second.m_partition];
        if (mayDecideAlone(link, now)) {
            tokens->second.m_ownBucket.m_level += 1.0;
        } else {
            restoreToken(link, tokens->second);
        }
    }
}

void QuotaLimiter::receiveReport(TimePoint now, std::string_view node, const QuotaReport &report)
{
    m_implementation->begin(now);
    const std::optional<QuotaReply> reply = m_implementation->coordinate(now, node, report);
    if (reply.has_value()) {
        ++m_implementation->m_statistics.m_replies;
        m_implementation->m_output.sendReply(node, *reply);
    }
    m_implementation->run(now);
}

void QuotaLimiter::receiveReply(TimePoint now, std::string_view node, const QuotaReply &reply)
{
    m_implementation->begin(now);
    const TimePoint sentAt{Duration(reply.m_reportSentAt)};
    const bool known = reply.m_partitions == m_implementation->m_partitions
                       && reply.m_partition < m_implementation->m_links.size();
    // The coordinator may have dropped the tokens of an older reply by now.
    if (!known || sentAt > now || sentAt <= now - quotaLease || reply.m_coordinatorSession == 0) {
        return;
    }
    CoordinatorLink &link = m_implementation->m_links[reply.m_partition];
    if (reply.m_nodeSession == link.m_session && node == link.m_coordinator) {
        m_implementation->takeReply(link, now, reply);
    } else if (reply.m_nodeSession == link.m_probeSession && link.m_probeSession != 0) {
        const auto silent = link.m_silent.find(node);
        if (silent != link.m_silent.end()) {
            link.m_silent.erase(silent);
            m_implementation->chooseCoordinator(link, now, "replies again");
        }
    }
    m_implementation->run(now);
}

void QuotaLimiter::advance(TimePoint now)
{
    m_implementation->begin(now);
    m_implementation->run(now);
}

TimePoint QuotaLimiter::nextTimer() const
{
    TimePoint next = farFuture;
    for (const CoordinatorLink &link : m_implementation->m_links) {
        if (!link.m_coordinator.empty()) {
            next = std::min(next, nextReportAt(link));
        }
        if (!link.m_pending.empty()) {
            next = std::min(next, link.m_pending.front().m_deadline);
        }
    }
    return next;
}

const QuotaStatistics &QuotaLimiter::statistics() const
{
    m_implementation->updateStatistics();
    return m_implementation->m_statistics;
}

} // namespace arbutusgrade
