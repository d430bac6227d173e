#include "details/limiterstate.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! A coordinator that has not replied for this long is replaced by the next node in the order.
constexpr Duration silenceLimit = std::chrono::milliseconds(600);

//! Time between reports that ask whether a silent node replies again. The first one
//! is sent after the tokens of that node have been used or have expired.
constexpr Duration probeInterval = std::chrono::milliseconds(1000);

//! Without calls for this long, the node itself was paused, so silence says nothing about others.
constexpr Duration pauseLimit = std::chrono::milliseconds(400);

//! Bounds the rounds of reports that a coordinator exchanges with itself in one call.
constexpr int maxOwnReports = 3;

} // namespace

void QuotaLimiter::Implementation::startSession(CoordinatorLink &link)
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

void QuotaLimiter::Implementation::carryTokens(CoordinatorLink &link)
{
    link.m_carriedUntil = link.m_validUntil;
    for (std::pair<const std::uint64_t, HeldTokens> &entry : m_tokens) {
        if (entry.second.m_partition == link.m_partition) {
            entry.second.m_carried = unusedTokens(entry.second);
        }
    }
}

std::string QuotaLimiter::Implementation::preferredNode(const CoordinatorLink &link)
{
    for (const std::string &node : link.m_order) {
        if (!link.m_silent.contains(node)) {
            return node;
        }
    }
    return {};
}

void QuotaLimiter::Implementation::chooseCoordinator(CoordinatorLink &link, TimePoint now,
                                                     std::string_view reason)
{
    std::string node = preferredNode(link);
    if (node.empty() && !link.m_order.empty()) {
        // All are silent: start over with the first one.
        link.m_silent.clear();
        node = link.m_order.front();
        link.m_waitingSince = now;
    }
    // Changes of the registrations must not extend the time in which a silent coordinator is
    // noticed.
    if (node == link.m_coordinator) {
        return;
    }
    carryTokens(link);
    if (link.m_delegated) {
        link.m_mayDelegateAt = delegationEnd(link);
        link.m_delegated = false;
    }
    link.m_coordinator = std::move(node);
    startSession(link);
    m_output.coordinatorChanged(link.m_partition, link.m_coordinator, reason);
}

void QuotaLimiter::Implementation::checkSilence(CoordinatorLink &link, TimePoint now)
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

void QuotaLimiter::Implementation::probeSilentNode(CoordinatorLink &link, TimePoint now)
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

QuotaReport QuotaLimiter::Implementation::makeReport(CoordinatorLink &link, TimePoint now)
{
    const bool delegates = link.m_coordinatorSession != 0 && now >= link.m_mayDelegateAt;
    if (delegates) {
        link.m_delegated = true;
        link.m_lastDelegatedAt = now;
    }
    const std::uint32_t nodes = delegates ? static_cast<std::uint32_t>(m_nodes) : 0;
    return buildReport(link, now, m_partitions, nodes);
}

void QuotaLimiter::Implementation::sendDueReports(CoordinatorLink &link, TimePoint now)
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

void QuotaLimiter::Implementation::takeReply(CoordinatorLink &link, TimePoint now,
                                             const QuotaReply &reply)
{
    if (link.m_coordinatorSession != reply.m_coordinatorSession) {
        const bool restarted = link.m_coordinatorSession != 0;
        if (restarted) {
            startSession(link);
        }
        link.m_coordinatorSession = reply.m_coordinatorSession;
        link.m_coordinatorTime = reply.m_coordinatorTime;
        link.m_timeReceivedAt = now;
        link.m_reportNow = true;
        if (restarted) {
            return;
        }
    }
    applyReply(link, now, reply, m_tokens);
    decidePending(link, now);
}

void QuotaLimiter::Implementation::run(CoordinatorLink &link, TimePoint now)
{
    checkSilence(link, now);
    if (!link.m_pending.empty() && now >= link.m_pending.front().m_deadline) {
        decidePending(link, now);
    }
    sendDueReports(link, now);
    probeSilentNode(link, now);
}

void QuotaLimiter::Implementation::run(TimePoint now)
{
    for (CoordinatorLink &link : m_links) {
        run(link, now);
    }
}

void QuotaLimiter::Implementation::begin(TimePoint now)
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

} // namespace arbutusgrade
