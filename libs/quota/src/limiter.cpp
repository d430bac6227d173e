#include "details/limiterstate.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

//! Spreads callers that are refused at the same time.
constexpr Duration shortestJitter = std::chrono::milliseconds(100);

} // namespace

QuotaLimiter::Implementation::Implementation(const QuotaOptions &options, TimePoint now,
                                             QuotaOutput &output)
    : m_options(options), m_output(output), m_startedAt(now),
      m_lastRunAt(now), m_random{options.m_session}
{
}

std::uint64_t QuotaLimiter::Implementation::newSession()
{
    return std::max<std::uint64_t>(nextRandom(m_random), 1);
}

Duration QuotaLimiter::Implementation::withJitter(Duration wait)
{
    const Duration spread = std::max(wait / 2, shortestJitter);
    const std::uint64_t extra =
        nextRandomBelow(m_random, static_cast<std::uint64_t>(spread.count()));
    return wait + Duration(static_cast<std::int64_t>(extra));
}

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
