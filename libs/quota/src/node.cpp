#include "details/node.h"

#include <algorithm>
#include <cmath>

#include "details/coordinator.h"

namespace arbutusgrade {

namespace {

//! Tokens of an organisation without requests for this long are returned.
constexpr Duration idleTime = std::chrono::seconds(4);

//! Time over which the rate of admitted requests is smoothed.
constexpr Duration takenHorizon = std::chrono::seconds(2);

//! Longest time that a caller is told to wait for its place; few callers wait longer.
constexpr double longestRetrySeconds = 30.0;

//! Bounds the tokens that a node asks for.
constexpr double greatestTarget = 1e6;

//! A refusal is kept this long, so that requests above the quota cost few reports.
constexpr Duration shortestRefusal = std::chrono::milliseconds(20);
constexpr Duration longestRefusal = std::chrono::milliseconds(100);

//! Unreported use takes up capacity, so it is reported more often for this long after the
//! coordinator had fewer tokens than wanted.
constexpr Duration scarcityKept = std::chrono::seconds(1);

//! @brief Factor by which a count that is smoothed over the horizon has decayed.
double decay(Duration elapsed, Duration horizon) noexcept
{
    return std::exp(-std::max(std::chrono::duration<double>(elapsed) / horizon, 0.0));
}

double decayedDemand(const HeldTokens &tokens, TimePoint now) noexcept
{
    return tokens.m_demand * decay(now - tokens.m_demandAt, demandHorizon);
}

void recordTaken(HeldTokens &tokens, TimePoint now) noexcept
{
    tokens.m_taken = tokens.m_taken * decay(now - tokens.m_takenAt, takenHorizon) + 1.0;
    tokens.m_takenAt = now;
}

//! True if the node asks for tokens ahead of demand.
bool asksAhead(const HeldTokens &tokens, TimePoint now) noexcept
{
    return now >= tokens.m_askAfter && unusedTokens(tokens) < targetTokens(tokens, now);
}

bool belongsInReport(const HeldTokens &tokens, TimePoint now) noexcept
{
    return tokens.m_unacknowledged || tokens.m_pending > 0 || asksAhead(tokens, now);
}

void returnSurplus(CoordinatorLink &link, HeldTokens &tokens, TimePoint now)
{
    const std::uint64_t unused = unusedTokens(tokens);
    const std::uint64_t target = targetTokens(tokens, now);
    // Twice the target is tolerated so that varying demand does not move tokens back and forth.
    if (tokens.m_pending == 0 && unused > 2 * target) {
        tokens.m_returned += unused - target;
        markChanged(link, tokens);
    }
}

void addUse(QuotaReport &report, HeldTokens &tokens, TimePoint now)
{
    const std::uint64_t ahead = now >= tokens.m_askAfter
                                    ? targetTokens(tokens, now)
                                    : std::min(targetTokens(tokens, now), unusedTokens(tokens));
    QuotaUse &use = report.m_uses.emplace_back();
    use.m_organisation = tokens.m_hash;
    use.m_consumed = tokens.m_consumed;
    use.m_returned = tokens.m_returned;
    use.m_pending = tokens.m_pending;
    use.m_wanted = static_cast<std::uint32_t>(ahead) + tokens.m_pending;
    if (tokens.m_unacknowledged && tokens.m_changeSentAt == 0) {
        tokens.m_changeSentAt = report.m_sentAt;
    }
    if (use.m_wanted > unusedTokens(tokens)) {
        // Reports contain it until one is answered, since the reply with a grant may be lost.
        tokens.m_unacknowledged = true;
        tokens.m_changeSentAt = report.m_sentAt;
    }
}

void removeInactive(CoordinatorLink &link, TimePoint now)
{
    std::erase_if(link.m_active, [now](HeldTokens *tokens) {
        const bool inactive = !belongsInReport(*tokens, now) && unusedTokens(*tokens) == 0
                              && targetTokens(*tokens, now) == 0;
        tokens->m_active = !inactive;
        return inactive;
    });
}

//! Adds organisations with waiting requests first, then the others in rotation.
void fillReport(CoordinatorLink &link, QuotaReport &report, TimePoint now)
{
    const std::size_t count = link.m_active.size();
    for (HeldTokens *tokens : link.m_active) {
        if (tokens->m_pending > 0 && report.m_uses.size() < maxQuotaUses) {
            addUse(report, *tokens, now);
        }
    }
    const std::size_t start = count > 0 ? link.m_cursor % count : 0;
    for (std::size_t step = 0; step < count && report.m_uses.size() < maxQuotaUses; ++step) {
        link.m_cursor = start + step + 1;
        HeldTokens &tokens = *link.m_active[(start + step) % count];
        if (tokens.m_pending == 0 && belongsInReport(tokens, now)) {
            addUse(report, tokens, now);
        }
    }
}

//! Records for waiting requests that this report asks for their tokens.
void markAsked(CoordinatorLink &link, const QuotaReport &report)
{
    for (PendingRequest &pending : link.m_pending) {
        const bool asked = std::any_of(report.m_uses.begin(), report.m_uses.end(),
                                       [&pending](const QuotaUse &use) {
                                           return use.m_organisation == pending.m_organisation;
                                       });
        if (pending.m_askedBy == 0 && asked) {
            pending.m_askedBy = report.m_sentAt;
        }
    }
}

void applyGrant(CoordinatorLink &link, TimePoint now, const QuotaReply &reply,
                const QuotaGrant &grant, HeldTokens &tokens)
{
    if (grant.m_granted > greatestCounter) {
        return;
    }
    if (grant.m_granted > tokens.m_granted) {
        tokens.m_granted = grant.m_granted;
        activate(link, tokens);
    }
    if (grant.m_recalled && unusedTokens(tokens) > 0) {
        tokens.m_returned += unusedTokens(tokens);
        markChanged(link, tokens);
    }
    if (grant.m_exhausted || unusedTokens(tokens) < targetTokens(tokens, now)) {
        tokens.m_scarceUntil = now + scarcityKept;
        tokens.m_askAfter = now + usageInterval;
    }
    if (!grant.m_exhausted) {
        return;
    }
    const Duration wait = std::chrono::milliseconds(grant.m_retryAfterMilliseconds);
    tokens.m_refusedReport = std::max(tokens.m_refusedReport, reply.m_reportSentAt);
    tokens.m_coordinatorCannotTell = grant.m_retryAfterMilliseconds == 0;
    tokens.m_tokenExpectedAt = now + wait;
    tokens.m_refusedUntil = now + std::clamp(wait, shortestRefusal, longestRefusal);
    tokens.m_askAfter = now + std::clamp(wait, usageInterval, reportInterval);
}

} // namespace

void recordDemand(HeldTokens &tokens, TimePoint now) noexcept
{
    tokens.m_demand = decayedDemand(tokens, now) + 1.0;
    tokens.m_demandAt = now;
    tokens.m_lastSeen = now;
}

Duration scheduleRetry(RetryBacklog &backlog, TimePoint now, double rate) noexcept
{
    const std::chrono::duration<double> elapsed = now - backlog.m_updatedAt;
    backlog.m_requests = std::max(backlog.m_requests - elapsed.count() * rate, 0.0);
    backlog.m_updatedAt = now;
    const std::chrono::duration<double> wait(
        std::min(backlog.m_requests / rate, longestRetrySeconds));
    backlog.m_requests = std::min(backlog.m_requests + 1.0, longestRetrySeconds * rate);
    return std::chrono::duration_cast<Duration>(wait);
}

double takenRate(const HeldTokens &tokens, TimePoint now) noexcept
{
    const std::chrono::duration<double> horizon = takenHorizon;
    return tokens.m_taken * decay(now - tokens.m_takenAt, takenHorizon) / horizon.count();
}

std::uint64_t targetTokens(const HeldTokens &tokens, TimePoint now) noexcept
{
    if (tokens.m_demand <= 0 || now - tokens.m_lastSeen >= idleTime) {
        return 0;
    }
    const double target = std::clamp(decayedDemand(tokens, now), 1.0, greatestTarget);
    return static_cast<std::uint64_t>(std::lround(target));
}

std::uint64_t unusedTokens(const HeldTokens &tokens) noexcept
{
    return tokens.m_granted - tokens.m_consumed - tokens.m_returned;
}

bool takeToken(CoordinatorLink &link, HeldTokens &tokens, TimePoint now) noexcept
{
    if (tokens.m_carried > 0 && now < link.m_carriedUntil) {
        --tokens.m_carried;
        recordTaken(tokens, now);
        return true;
    }
    if (unusedTokens(tokens) == 0 || now >= link.m_validUntil) {
        return false;
    }
    ++tokens.m_consumed;
    recordTaken(tokens, now);
    markChanged(link, tokens);
    const bool low =
        2 * unusedTokens(tokens) < targetTokens(tokens, now) && now >= tokens.m_askAfter;
    if (low || now < tokens.m_scarceUntil) {
        link.m_usageChanged = true;
    }
    return true;
}

void restoreToken(CoordinatorLink &link, HeldTokens &tokens) noexcept
{
    if (tokens.m_consumed > 0) {
        --tokens.m_consumed;
        markChanged(link, tokens);
    }
}

void activate(CoordinatorLink &link, HeldTokens &tokens)
{
    if (!tokens.m_active) {
        tokens.m_active = true;
        link.m_active.push_back(&tokens);
    }
}

void markChanged(CoordinatorLink &link, HeldTokens &tokens)
{
    tokens.m_unacknowledged = true;
    tokens.m_changeSentAt = 0;
    activate(link, tokens);
}

void returnExpiredTokens(CoordinatorLink &link, TimePoint now)
{
    if (now < link.m_validUntil) {
        return;
    }
    for (HeldTokens *tokens : link.m_active) {
        const std::uint64_t unused = unusedTokens(*tokens);
        if (unused > 0) {
            tokens->m_returned += unused;
            markChanged(link, *tokens);
        }
    }
}

QuotaReport buildReport(CoordinatorLink &link, TimePoint now, std::uint32_t partitions,
                        std::uint32_t nodes)
{
    // The coordinator discards reports that are not newer than the last one.
    link.m_lastSentAt = std::max(now, link.m_lastSentAt + Duration(1));
    QuotaReport report;
    report.m_nodeSession = link.m_session;
    report.m_coordinatorSession = link.m_coordinatorSession;
    report.m_sentAt = link.m_lastSentAt.time_since_epoch().count();
    report.m_coordinatorTime = link.m_coordinatorTime;
    report.m_partition = link.m_partition;
    report.m_partitions = partitions;
    report.m_nodes = nodes;
    for (HeldTokens *tokens : link.m_active) {
        returnSurplus(link, *tokens, now);
    }
    removeInactive(link, now);
    fillReport(link, report, now);
    markAsked(link, report);
    link.m_lastEcho = link.m_coordinatorTime;
    // Requests that did not fit are asked for with the next report.
    link.m_reportNow =
        std::any_of(link.m_pending.begin(), link.m_pending.end(),
                    [](const PendingRequest &pending) { return pending.m_askedBy == 0; });
    link.m_usageChanged = false;
    if (!link.m_awaitsReply) {
        link.m_awaitsReply = true;
        link.m_waitingSince = now;
    }
    return report;
}

void applyReply(CoordinatorLink &link, TimePoint now, const QuotaReply &reply,
                std::unordered_map<std::uint64_t, HeldTokens> &organisations)
{
    const TimePoint sentAt{Duration(reply.m_reportSentAt)};
    link.m_awaitsReply = sentAt < link.m_lastSentAt;
    link.m_waitingSince = now;
    if (reply.m_coordinatorTime > link.m_coordinatorTime) {
        link.m_coordinatorTime = reply.m_coordinatorTime;
        link.m_timeReceivedAt = now;
    }
    // An expired delegation is renewed at once, with the time that this reply has brought.
    const std::int64_t echoAge = reply.m_coordinatorTime - link.m_lastEcho;
    if (!link.m_awaitsReply && echoAge >= quotaLease.count()) {
        link.m_reportNow = true;
    }
    if (reply.m_renews) {
        link.m_validUntil = std::max(link.m_validUntil, sentAt + quotaLease);
    }
    for (HeldTokens *tokens : link.m_active) {
        if (tokens->m_changeSentAt != 0 && tokens->m_changeSentAt <= reply.m_reportSentAt) {
            tokens->m_unacknowledged = false;
            tokens->m_changeSentAt = 0;
        }
    }
    for (const QuotaGrant &grant : reply.m_grants) {
        const auto tokens = organisations.find(grant.m_organisation);
        if (tokens != organisations.end() && tokens->second.m_partition == link.m_partition) {
            applyGrant(link, now, reply, grant, tokens->second);
        }
    }
}

bool mayDecideAlone(const CoordinatorLink &link, TimePoint now) noexcept
{
    return !link.m_delegated && now >= link.m_mayDelegateAt;
}

TimePoint delegationEnd(const CoordinatorLink &link) noexcept
{
    return std::min(link.m_lastDelegatedAt, link.m_timeReceivedAt) + quotaLease;
}

TimePoint nextReportAt(const CoordinatorLink &link) noexcept
{
    if (link.m_reportNow) {
        return link.m_lastSentAt + urgentInterval;
    }
    if (link.m_awaitsReply && !link.m_pending.empty()) {
        return link.m_lastSentAt + pendingInterval;
    }
    TimePoint due = link.m_lastSentAt + reportInterval;
    if (link.m_usageChanged || link.m_awaitsReply) {
        // An unanswered report is repeated, as it or its reply may be lost.
        due = link.m_lastSentAt + usageInterval;
    }
    if (!link.m_delegated && link.m_coordinatorSession != 0
        && link.m_mayDelegateAt > link.m_lastSentAt) {
        due = std::min(due, link.m_mayDelegateAt);
    }
    return due;
}

} // namespace arbutusgrade
