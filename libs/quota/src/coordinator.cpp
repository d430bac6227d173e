#include "details/coordinator.h"

#include <algorithm>
#include <cmath>

namespace arbutusgrade {

namespace {

//! Bounds the work for one report and keeps sums of wanted tokens small.
constexpr std::uint64_t greatestWanted = 1'000'000;

constexpr std::size_t maxGrantsInReply = 32;

constexpr double shortestRetryMilliseconds = 1.0;
constexpr double longestRetryMilliseconds = 60'000.0;

//! With less than this part of the quota, a coordinator cannot tell that the quota is used up; the
//! other part may be at another coordinator.
constexpr double decisiveShare = 0.5;

//! Tolerates rounding when outstanding tokens are compared with the capacity.
constexpr double rounding = 1e-6;

std::uint64_t outstandingTokens(const TokenAccount &account) noexcept
{
    if (account.m_dropped) {
        return 0;
    }
    return account.m_granted - account.m_consumed - account.m_returned;
}

//! Tokens of the organisation that may be held or outstanding at this coordinator.
double capacityOf(const PartitionCoordinator &coordinator, const OrganisationBucket &entry)
{
    return quotaCapacity(entry.m_basis, coordinator.m_share);
}

//! Brings the level up to date and cuts it to the capacity left by outstanding tokens.
void settle(PartitionCoordinator &coordinator, TimePoint now, std::uint64_t organisation,
            OrganisationBucket &entry)
{
    const double capacity = capacityOf(coordinator, entry);
    const double outstanding = static_cast<double>(entry.m_outstanding);
    accrueTokens(entry.m_bucket, now, quotaRate(entry.m_basis, coordinator.m_share),
                 capacity - outstanding);
    if (outstanding > capacity + rounding) {
        coordinator.m_overdrawn.insert(organisation);
    } else if (!coordinator.m_overdrawn.empty()) {
        coordinator.m_overdrawn.erase(organisation);
    }
}

void settleAll(PartitionCoordinator &coordinator, TimePoint now)
{
    for (std::pair<const std::uint64_t, OrganisationBucket> &entry : coordinator.m_organisations) {
        settle(coordinator, now, entry.first, entry.second);
    }
}

//! Sums the delegated shares; those delegated for less than a lease count as fresh.
void setShare(PartitionCoordinator &coordinator, TimePoint now)
{
    double mature = 0.0;
    double fresh = 0.0;
    for (const std::pair<const std::string, DelegatingNode> &node : coordinator.m_nodes) {
        (node.second.m_freshUntil > now ? fresh : mature) += node.second.m_share;
    }
    coordinator.m_share = cappedShare(mature, fresh);
}

//! Has expireDelegations() look for expired delegations and tokens at this time.
void scheduleChange(PartitionCoordinator &coordinator, TimePoint at)
{
    coordinator.m_nextChange = std::min(coordinator.m_nextChange, at);
}

void scheduleChanges(PartitionCoordinator &coordinator, TimePoint now, const DelegatingNode &node)
{
    if (node.m_share > 0) {
        scheduleChange(coordinator, node.m_leaseUntil);
        if (node.m_freshUntil > now) {
            scheduleChange(coordinator, node.m_freshUntil);
        }
    }
    if (node.m_holdsTokens || !node.m_known) {
        scheduleChange(coordinator, std::max(node.m_lastReplyAt + quotaLease, now));
    }
}

//! Counts the outstanding tokens of a node as unused: it can no longer use them.
void dropTokens(PartitionCoordinator &coordinator, DelegatingNode &node)
{
    for (std::pair<const std::uint64_t, TokenAccount> &entry : node.m_accounts) {
        const auto organisation = coordinator.m_organisations.find(entry.first);
        if (organisation != coordinator.m_organisations.end()) {
            organisation->second.m_outstanding -= outstandingTokens(entry.second);
        }
        entry.second.m_dropped = true;
    }
    node.m_holdsTokens = false;
}

//! @return false if the report is late, duplicated or of an earlier session.
bool acceptSession(PartitionCoordinator &coordinator, DelegatingNode &node,
                   const QuotaReport &report)
{
    if (report.m_nodeSession == 0 || report.m_nodeSession == node.m_previousSession) {
        return false;
    }
    if (report.m_nodeSession == node.m_session) {
        if (report.m_sentAt <= node.m_lastSentAt) {
            return false;
        }
        node.m_lastSentAt = report.m_sentAt;
        return true;
    }
    // The node discards the tokens of its earlier session.
    dropTokens(coordinator, node);
    node.m_accounts.clear();
    node.m_previousSession = node.m_session;
    node.m_session = report.m_nodeSession;
    node.m_lastSentAt = report.m_sentAt;
    return true;
}

void updateDelegation(PartitionCoordinator &coordinator, TimePoint now, DelegatingNode &node,
                      const QuotaReport &report)
{
    const std::int64_t ownTime = now.time_since_epoch().count();
    const bool echoed = report.m_coordinatorSession == coordinator.m_session
                        && report.m_coordinatorTime > 0 && report.m_coordinatorTime <= ownTime;
    const TimePoint leaseUntil =
        echoed ? TimePoint(Duration(report.m_coordinatorTime)) + quotaLease : TimePoint();
    const bool delegates = report.m_nodes > 0 && echoed && leaseUntil > now;
    const double share = delegates ? 1.0 / report.m_nodes : 0.0;
    if (delegates) {
        if (node.m_share <= 0) {
            node.m_freshUntil = now + quotaLease;
        }
        node.m_leaseUntil = leaseUntil;
    }
    if (share != node.m_share) {
        settleAll(coordinator, now);
        node.m_share = share;
        setShare(coordinator, now);
        settleAll(coordinator, now);
    }
}

void updateAccount(OrganisationBucket &entry, TokenAccount &account, const QuotaUse &use)
{
    entry.m_outstanding -= outstandingTokens(account);
    const std::uint64_t consumed = std::min(use.m_consumed, account.m_granted);
    const std::uint64_t returned = std::min(use.m_returned, account.m_granted - consumed);
    if (returned > account.m_returned) {
        entry.m_bucket.m_level += static_cast<double>(returned - account.m_returned);
    }
    account.m_consumed = consumed;
    account.m_returned = std::max(returned, account.m_returned);
    account.m_consumed = std::min(consumed, account.m_granted - account.m_returned);
    account.m_dropped = false;
    entry.m_outstanding += outstandingTokens(account);
}

//! Milliseconds until the bucket holds another whole token.
std::uint32_t retryAfter(double level, double rate)
{
    if (rate <= 0) {
        return static_cast<std::uint32_t>(longestRetryMilliseconds);
    }
    const double milliseconds = std::ceil((std::floor(level) + 1.0 - level) / rate * 1000.0);
    return static_cast<std::uint32_t>(
        std::clamp(milliseconds, shortestRetryMilliseconds, longestRetryMilliseconds));
}

//! Grants all tokens for waiting requests. Ahead of demand, it grants half of what is left, and
//! only while less than half of the capacity is outstanding: tokens that are idle at some nodes
//! would otherwise fill the capacity and stop the accrual while requests at other nodes are
//! refused.
std::uint64_t tokensToGrant(const QuotaUse &use, std::uint64_t missing,
                            const OrganisationBucket &entry, double capacity)
{
    const std::uint64_t available = static_cast<std::uint64_t>(entry.m_bucket.m_level + rounding);
    const std::uint64_t urgent = std::min({missing, std::uint64_t{use.m_pending}, available});
    const double room =
        capacity / 2.0 - static_cast<double>(entry.m_outstanding) - static_cast<double>(urgent);
    const std::uint64_t ahead = room >= 1.0 ? static_cast<std::uint64_t>(room) : 0;
    return urgent + std::min({missing - urgent, (available - urgent) / 2, ahead});
}

TokenAccount &accountOf(DelegatingNode &node, const QuotaUse &use)
{
    using Iterator = std::unordered_map<std::uint64_t, TokenAccount>::iterator;
    const std::pair<Iterator, bool> added = node.m_accounts.try_emplace(use.m_organisation);
    TokenAccount &account = added.first->second;
    if (added.second) {
        // The account may have been dropped with its organisation, so counting goes on from here.
        account.m_granted = use.m_consumed + use.m_returned;
        account.m_consumed = use.m_consumed;
        account.m_returned = use.m_returned;
    }
    return account;
}

void grantTokens(PartitionCoordinator &coordinator, TimePoint now, DelegatingNode &node,
                 const QuotaUse &use, QuotaReply &reply)
{
    const auto found = coordinator.m_organisations.find(use.m_organisation);
    if (found == coordinator.m_organisations.end() || use.m_consumed > greatestCounter
        || use.m_returned > greatestCounter) {
        return;
    }
    OrganisationBucket &entry = found->second;
    settle(coordinator, now, use.m_organisation, entry);
    TokenAccount &account = accountOf(node, use);
    updateAccount(entry, account, use);
    settle(coordinator, now, use.m_organisation, entry);

    const std::uint64_t held = outstandingTokens(account);
    const std::uint64_t wanted = std::min<std::uint64_t>(use.m_wanted, greatestWanted);
    const std::uint64_t missing = wanted - std::min(wanted, held);
    const std::uint64_t granted =
        tokensToGrant(use, missing, entry, capacityOf(coordinator, entry));
    entry.m_bucket.m_level -= static_cast<double>(granted);
    entry.m_outstanding += granted;
    account.m_granted += granted;
    coordinator.m_granted += granted;
    node.m_holdsTokens = node.m_holdsTokens || outstandingTokens(account) > 0;

    QuotaGrant &grant = reply.m_grants.emplace_back();
    grant.m_organisation = use.m_organisation;
    grant.m_granted = account.m_granted;
    const std::uint64_t urgent = std::min<std::uint64_t>(missing, use.m_pending);
    grant.m_exhausted = granted < urgent || (granted < missing && entry.m_bucket.m_level < 1.0);
    grant.m_recalled = coordinator.m_overdrawn.contains(use.m_organisation);
    if (grant.m_exhausted && totalShare(coordinator.m_share) >= decisiveShare) {
        grant.m_retryAfterMilliseconds =
            retryAfter(entry.m_bucket.m_level, quotaRate(entry.m_basis, coordinator.m_share));
    }
}

//! Adds organisations whose tokens must be returned to the reply, since a reply renews all tokens
//! of the node that it does not recall.
void recallTokens(PartitionCoordinator &coordinator, const DelegatingNode &node, QuotaReply &reply)
{
    for (const std::uint64_t organisation : coordinator.m_overdrawn) {
        const auto account = node.m_accounts.find(organisation);
        if (account == node.m_accounts.end() || outstandingTokens(account->second) == 0) {
            continue;
        }
        const bool named = std::any_of(
            reply.m_grants.begin(), reply.m_grants.end(),
            [organisation](const QuotaGrant &g) { return g.m_organisation == organisation; });
        if (named) {
            continue;
        }
        if (reply.m_grants.size() >= maxGrantsInReply) {
            reply.m_renews = false;
            return;
        }
        QuotaGrant &grant = reply.m_grants.emplace_back();
        grant.m_organisation = organisation;
        grant.m_granted = account->second.m_granted;
        grant.m_recalled = true;
    }
}

} // namespace

void setCoordinatorLimits(PartitionCoordinator &coordinator, TimePoint now,
                          const std::unordered_map<std::uint64_t, QuotaBasis> &bases)
{
    expireDelegations(coordinator, now);
    settleAll(coordinator, now);
    std::unordered_map<std::uint64_t, OrganisationBucket> organisations;
    for (const std::pair<const std::uint64_t, QuotaBasis> &basis : bases) {
        if (basis.first % coordinator.m_partitions != coordinator.m_partition) {
            continue;
        }
        OrganisationBucket &entry = organisations[basis.first];
        const auto previous = coordinator.m_organisations.find(basis.first);
        if (previous != coordinator.m_organisations.end()) {
            entry = previous->second;
        } else {
            entry.m_bucket.m_updatedAt = now;
        }
        entry.m_basis = basis.second;
    }
    coordinator.m_organisations = std::move(organisations);
    coordinator.m_overdrawn.clear();
    for (std::pair<const std::string, DelegatingNode> &node : coordinator.m_nodes) {
        std::erase_if(node.second.m_accounts,
                      [&coordinator](const std::pair<const std::uint64_t, TokenAccount> &account) {
                          return !coordinator.m_organisations.contains(account.first);
                      });
    }
    settleAll(coordinator, now);
}

void expireDelegations(PartitionCoordinator &coordinator, TimePoint now)
{
    if (now < coordinator.m_nextChange) {
        return;
    }
    // Accrual stops at the earliest expiry for all shares that have expired by now.
    settleAll(coordinator, coordinator.m_nextChange);
    coordinator.m_nextChange = farFuture;
    for (auto node = coordinator.m_nodes.begin(); node != coordinator.m_nodes.end();) {
        DelegatingNode &state = node->second;
        if (state.m_share > 0 && state.m_leaseUntil <= now) {
            state.m_share = 0.0;
        }
        const bool silent = state.m_lastReplyAt + quotaLease <= now;
        if (silent && state.m_holdsTokens) {
            dropTokens(coordinator, state);
        }
        if (silent && !state.m_known && state.m_share <= 0) {
            node = coordinator.m_nodes.erase(node);
            continue;
        }
        scheduleChanges(coordinator, now, state);
        ++node;
    }
    setShare(coordinator, now);
    settleAll(coordinator, now);
}

std::optional<QuotaReply> processReport(PartitionCoordinator &coordinator, TimePoint now,
                                        std::string_view node, const QuotaReport &report)
{
    expireDelegations(coordinator, now);
    auto found = coordinator.m_nodes.find(node);
    if (found == coordinator.m_nodes.end()) {
        found = coordinator.m_nodes.emplace(std::string(node), DelegatingNode()).first;
    }
    DelegatingNode &state = found->second;
    if (!acceptSession(coordinator, state, report)) {
        return std::nullopt;
    }
    updateDelegation(coordinator, now, state, report);

    QuotaReply reply;
    reply.m_nodeSession = report.m_nodeSession;
    reply.m_coordinatorSession = coordinator.m_session;
    reply.m_reportSentAt = report.m_sentAt;
    reply.m_coordinatorTime = now.time_since_epoch().count();
    reply.m_partition = coordinator.m_partition;
    reply.m_partitions = coordinator.m_partitions;
    // Counters that refer to an earlier process of this coordinator mean nothing here.
    const bool sameSession =
        report.m_coordinatorSession == 0 || report.m_coordinatorSession == coordinator.m_session;
    if (sameSession) {
        const std::size_t uses = std::min(report.m_uses.size(), maxQuotaUses);
        for (std::size_t index = 0; index < uses; ++index) {
            grantTokens(coordinator, now, state, report.m_uses[index], reply);
        }
    }
    recallTokens(coordinator, state, reply);
    state.m_lastReplyAt = now;
    scheduleChanges(coordinator, now, state);
    return reply;
}

} // namespace arbutusgrade
