#include "details/quotaservice.h"

#include <algorithm>
#include <random>
#include <utility>

namespace arbutusgrade {

namespace {

// Time between attempts to bind the port of the link.
constexpr Duration openRetryInterval = std::chrono::seconds(1);

// A new node has read the registrations, its own among them, within this time if the store works.
constexpr Duration settlingTime = std::chrono::seconds(3);

//! @brief Returns a random number other than 0, which no other process is likely to have.
std::uint64_t newSession()
{
    std::random_device device;
    const std::uint64_t high = device();
    return std::max<std::uint64_t>(1, (high << 32U) | device());
}

bool hasLimit(const OrganisationLimit &organisation)
{
    return organisation.m_limit.m_ratePerSecond > 0.0 || organisation.m_limit.m_burst > 0.0;
}

} // namespace

QuotaService::QuotaService(boost::asio::io_context &context, std::string node,
                           const CoordinationSettings &coordination, Log &log,
                           DecisionHandler handler)
    : m_node(std::move(node)), m_coordination(coordination), m_log(log),
      m_decisionHandler(std::move(handler)), m_timer(context)
{
    if (!coordination.m_link) {
        return;
    }
    QuotaLink::Handlers handlers;
    handlers.m_report = [this](std::string_view sender, const QuotaReport &report) {
        const TimePoint now = bootTimeNow();
        m_limiter->receiveReport(now, sender, report);
        finishCall(now);
    };
    handlers.m_reply = [this](std::string_view sender, const QuotaReply &reply) {
        const TimePoint now = bootTimeNow();
        m_limiter->receiveReply(now, sender, reply);
        finishCall(now);
    };
    m_link =
        std::make_unique<QuotaLink>(context, m_node, *coordination.m_link, std::move(handlers));
}

QuotaService::~QuotaService() = default;

QuotaDecision QuotaService::admit(TimePoint now, std::string_view organisation,
                                  std::uint64_t request)
{
    if (!m_isActive) {
        return {};
    }
    QuotaDecision decision = m_limiter->admit(now, organisation, request);
    if (decision.m_verdict == QuotaVerdict::Pending) {
        m_pending.insert(request);
    }
    finishCall(now);
    return decision;
}

void QuotaService::cancel(std::uint64_t request)
{
    if (m_pending.erase(request) > 0) {
        m_limiter->cancel(request);
    }
}

void QuotaService::returnToken(TimePoint now, std::string_view organisation)
{
    if (m_limiter) {
        m_limiter->returnToken(now, organisation);
        finishCall(now);
    }
}

void QuotaService::setNodes(TimePoint now, std::span<const RegisteredNode> nodes, int nodeCount)
{
    if (!m_link) {
        return;
    }
    m_link->setNodes(nodes);
    const bool isRegistered =
        std::any_of(nodes.begin(), nodes.end(),
                    [this](const RegisteredNode &node) { return node.m_name == m_node; });
    // A node that is not registered is not known to the others. It keeps the peers it had.
    if (!isRegistered) {
        return;
    }
    m_peers.clear();
    for (const RegisteredNode &node : nodes) {
        m_peers.push_back(QuotaPeer{node.m_name, node.m_link.m_weight});
    }
    m_nodeCount = nodeCount;
    updatePeers(now);
}

bool QuotaService::isSettled(TimePoint now) const
{
    return !m_isActive || !m_peers.empty() || now - m_activatedAt >= settlingTime;
}

void QuotaService::updatePeers(TimePoint now)
{
    if (m_limiter && !m_peers.empty()) {
        m_limiter->setPeers(now, m_peers, m_nodeCount);
        finishCall(now);
    }
}

void QuotaService::setLimits(TimePoint now, std::span<const OrganisationLimit> limits)
{
    if (!m_link || !m_coordination.m_quota) {
        return;
    }
    std::vector<OrganisationLimit> effective;
    std::copy_if(limits.begin(), limits.end(), std::back_inserter(effective), hasLimit);
    if (!effective.empty() && !m_isActive) {
        activate(now);
    }
    if (m_limiter) {
        m_limiter->setLimits(now, effective);
    }
    if (effective.empty() && m_isActive) {
        deactivate();
    }
    finishCall(now);
}

void QuotaService::activate(TimePoint now)
{
    m_isActive = true;
    m_activatedAt = now;
    if (!m_limiter) {
        QuotaOptions options;
        options.m_node = m_node;
        options.m_tolerance = *m_coordination.m_quota;
        options.m_session = newSession();
        m_limiter = std::make_unique<QuotaLimiter>(options, now, *this);
        updatePeers(now);
    }
    m_log.write(LogLevel::Info, "quotas-begun", "an organisation has a limit");
    openLink(now);
}

void QuotaService::deactivate()
{
    m_isActive = false;
    m_link->close();
    for (const std::uint64_t request : m_pending) {
        m_limiter->cancel(request);
        m_decisions.push_back(Decision{request, {}});
    }
    m_log.write(LogLevel::Info, "quotas-ended", "no organisation has a limit");
}

void QuotaService::openLink(TimePoint now)
{
    if (m_link->isOpen() || now < m_nextOpenAttempt) {
        return;
    }
    m_nextOpenAttempt = now + openRetryInterval;
    const std::string error = m_link->open();
    if (!error.empty() && !m_loggedOpenError) {
        m_log.write(LogLevel::Error, "link-unavailable",
                    error + "; this node shares no quotas until the port is free");
    }
    m_loggedOpenError = !error.empty();
}

void QuotaService::advance(TimePoint now)
{
    if (!m_isActive) {
        return;
    }
    openLink(now);
    m_limiter->advance(now);
    logCoordination();
    finishCall(now);
}

void QuotaService::sendReport(std::string_view node, const QuotaReport &report)
{
    m_link->send(node, report);
}

void QuotaService::sendReply(std::string_view node, const QuotaReply &reply)
{
    m_link->send(node, reply);
}

void QuotaService::decided(std::uint64_t request, const QuotaDecision &decision)
{
    m_decisions.push_back(Decision{request, decision});
}

void QuotaService::coordinatorChanged(std::uint32_t partition, std::string_view node,
                                      std::string_view reason)
{
    m_log.write(LogLevel::Info, "quota-coordinator-changed", "",
                {{"partition", partition}, {"coordinator", node}, {"reason", reason}});
}

void QuotaService::logCoordination()
{
    const double share = m_limiter->statistics().m_delegatedShare;
    const bool isCoordinator = share > 0.0;
    if (isCoordinator == m_isCoordinator) {
        return;
    }
    m_isCoordinator = isCoordinator;
    m_log.write(LogLevel::Info,
                isCoordinator ? "quota-coordination-begun" : "quota-coordination-ended", "",
                {{"delegatedShare", share}});
}

void QuotaService::finishCall(TimePoint now)
{
    // Handlers give tokens back and so return here; the outer call hands their decisions over.
    if (m_isDelivering) {
        return;
    }
    m_isDelivering = true;
    while (!m_decisions.empty()) {
        const std::vector<Decision> decisions = std::exchange(m_decisions, {});
        for (const Decision &decision : decisions) {
            if (m_pending.erase(decision.m_request) > 0) {
                m_decisionHandler(now, decision.m_request, decision.m_decision);
            }
        }
    }
    m_isDelivering = false;
    armTimer();
}

void QuotaService::armTimer()
{
    const TimePoint next = m_isActive ? m_limiter->nextTimer() : farFuture;
    if (next >= m_timerExpiry) {
        return;
    }
    m_timerExpiry = next;
    m_timer.expires_after(std::max(Duration::zero(), next - bootTimeNow()));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        m_timerExpiry = farFuture;
        advance(bootTimeNow());
    });
}

void QuotaService::collect(MetricFamilies &families) const
{
    if (!m_limiter) {
        return;
    }
    const QuotaStatistics &quota = m_limiter->statistics();
    const auto addDecisions = [&families](std::string_view decision, std::uint64_t value) {
        addCounter(families, "arbutusgrade_quota_decisions_total",
                   "Requests of organisations with a limit", static_cast<double>(value),
                   {{"decision", decision}});
    };
    addDecisions("admitted", quota.m_admitted);
    addDecisions("admitted-alone", quota.m_admittedAlone);
    addDecisions("exhausted", quota.m_exhausted);
    addDecisions("undecided", quota.m_undecided);
    addCounter(families, "arbutusgrade_quota_waits_total", "Requests that waited for a token",
               static_cast<double>(quota.m_pending));
    addCounter(families, "arbutusgrade_quota_tokens_granted_total",
               "Tokens granted to nodes as coordinator", static_cast<double>(quota.m_granted));
    addGauge(families, "arbutusgrade_quota_delegated_share",
             "Share of the limits delegated to this node", quota.m_delegatedShare);
    const QuotaLinkStatistics &link = m_link->statistics();
    const auto addDatagrams = [&families](std::string_view result, std::uint64_t value) {
        addCounter(families, "arbutusgrade_link_datagrams_total",
                   "Datagrams between nodes by what became of them", static_cast<double>(value),
                   {{"result", result}});
    };
    addDatagrams("sent", link.m_sent);
    addDatagrams("unsent", link.m_unsent);
    addDatagrams("received", link.m_received);
    addDatagrams("dropped-unregistered", link.m_unregistered);
    addDatagrams("dropped-wrong-name", link.m_wrongName);
    addDatagrams("dropped-malformed", link.m_malformed);
    addDatagrams("dropped-other-version", link.m_otherVersion);
    addCounter(families, "arbutusgrade_link_bytes_total", "Bytes of datagrams between nodes",
               static_cast<double>(link.m_sentBytes), {{"direction", "sent"}});
    addCounter(families, "arbutusgrade_link_bytes_total", "Bytes of datagrams between nodes",
               static_cast<double>(link.m_receivedBytes), {{"direction", "received"}});
}

} // namespace arbutusgrade
