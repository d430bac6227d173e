#include "details/limiterstate.h"

#include <algorithm>

#include "details/fallback.h"
#include "details/selection.h"

namespace arbutusgrade {

namespace {

//! A request waits this long for a token.
constexpr Duration pendingLimit = std::chrono::milliseconds(40);

//! Bounds the requests that wait at this node.
constexpr std::size_t maxPending = 1024;

//! Retry-After of requests on which the node may not decide.
constexpr Duration undecidedRetry = std::chrono::milliseconds(200);

} // namespace

QuotaDecision QuotaLimiter::Implementation::admittedBy(const CoordinatorLink &link)
{
    ++m_statistics.m_admitted;
    return {QuotaVerdict::Admitted, Duration(0), link.m_coordinator};
}

QuotaDecision QuotaLimiter::Implementation::undecided()
{
    ++m_statistics.m_undecided;
    return {QuotaVerdict::Undecided, withJitter(undecidedRetry), {}};
}

QuotaDecision QuotaLimiter::Implementation::refused(const CoordinatorLink &link, HeldTokens &tokens,
                                                    TimePoint now)
{
    if (tokens.m_coordinatorCannotTell) {
        return undecided();
    }
    ++m_statistics.m_exhausted;
    const Duration wait = std::max(tokens.m_tokenExpectedAt - now, Duration(0));
    const double ownRate = tokens.m_basis.m_rate / std::max(m_nodes, 1);
    const double rate = std::max(takenRate(tokens, now), ownRate);
    const Duration place = scheduleRetry(tokens.m_retryBacklog, now, rate);
    return {QuotaVerdict::Exhausted, withJitter(wait) + place, link.m_coordinator};
}

QuotaDecision QuotaLimiter::Implementation::decideAlone(CoordinatorLink &link, HeldTokens &tokens,
                                                        TimePoint now)
{
    if (!mayDecideAlone(link, now)) {
        return undecided();
    }
    const bool fresh = now < link.m_mayDelegateAt + quotaLease;
    const std::size_t rank = rendezvousRank(m_peers, tokens.m_organisation, m_options.m_node);
    const double capacity = fallbackCapacity(tokens.m_basis, m_nodes, rank, fresh);
    const double rate = tokens.m_basis.m_rate / std::max(m_nodes, 1);
    if (!takeFallbackToken(tokens.m_ownBucket, now, link.m_mayDelegateAt, rate, capacity)) {
        return undecided();
    }
    ++m_statistics.m_admittedAlone;
    return {QuotaVerdict::Admitted, Duration(0), {}};
}

void QuotaLimiter::Implementation::decide(const PendingRequest &pending,
                                          const QuotaDecision &decision)
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

std::optional<QuotaDecision> QuotaLimiter::Implementation::tryDecide(CoordinatorLink &link,
                                                                     const PendingRequest &pending,
                                                                     TimePoint now)
{
    const auto found = m_tokens.find(pending.m_organisation);
    if (found == m_tokens.end() || !found->second.m_isLimited) {
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

void QuotaLimiter::Implementation::decidePending(CoordinatorLink &link, TimePoint now)
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

QuotaDecision QuotaLimiter::Implementation::admit(TimePoint now, std::string_view organisation,
                                                  std::uint64_t request)
{
    const auto found = m_tokens.find(stableHash(organisation));
    if (found == m_tokens.end() || !found->second.m_isLimited) {
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

QuotaDecision QuotaLimiter::Implementation::waitForToken(CoordinatorLink &link, HeldTokens &tokens,
                                                         TimePoint now, std::uint64_t request)
{
    ++m_pendingRequests;
    ++tokens.m_pending;
    activate(link, tokens);
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

} // namespace arbutusgrade
