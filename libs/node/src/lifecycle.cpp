#include <algorithm>

#include "details/nodeimplementation.h"

namespace arbutusgrade {

namespace {

// How often a shutdown looks whether all requests have ended.
constexpr std::chrono::milliseconds shutdownPollInterval{20};

// Bounds the lines that a shutdown writes; the count of all requests is logged beside them.
constexpr int maximumUnansweredLines = 50;

StoreClientOptions storeOptions(const StoreSettings &settings)
{
    StoreClientOptions options;
    options.m_address = settings.m_address;
    options.m_port = settings.m_port;
    options.m_timeout = settings.m_timeout;
    return options;
}

const NodeSettings *findNode(const Settings &settings, std::string_view name)
{
    const std::vector<NodeSettings>::const_iterator node =
        std::find_if(settings.m_nodes.begin(), settings.m_nodes.end(),
                     [name](const NodeSettings &item) { return item.m_name == name; });
    return node == settings.m_nodes.end() ? nullptr : &*node;
}

} // namespace

bool NodeShell::Implementation::adopt(const Settings &settings, std::int64_t revision)
{
    if (revision <= m_revision) {
        m_log.write(LogLevel::Warning, "settings-refused",
                    "the revision is not above the one in force",
                    {{"revision", revision}, {"inForce", m_revision}});
        return false;
    }
    checkInvariant(invariantCounters(*m_engine), Invariant::RevisionMonotonic,
                   revision > m_revision, "adopted settings");
    m_settings = settings;
    m_revision = revision;
    if (const NodeSettings *self = findNode(settings, m_options.m_node)) {
        m_self = *self;
    } else {
        m_log.write(LogLevel::Warning, "node-not-in-settings",
                    "the settings do not name this node");
    }
    m_store.setOptions(storeOptions(settings.m_store));
    m_server.setBodyLimit(settings.m_bodyLimitBytes);
    feed([&](TimePoint now) { arbutusgrade::adoptSettings(*m_engine, now, settings, m_actions); });
    updateTargets();
    m_targetWatch.setTargets(settings, m_self.m_dataCentre);
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->settingsAdopted(m_settings, m_revision);
    }
    m_log.write(LogLevel::Info, "settings-adopted", "settings are in force",
                {{"revision", revision}});
    return true;
}

void NodeShell::Implementation::updateTargets()
{
    std::unordered_map<std::string, int> shares;
    for (const TargetView &view : targetViews(*m_engine)) {
        shares[view.m_target] = view.m_connectionShare;
    }
    std::vector<TargetEndpoint> endpoints;
    for (const GroupSettings &group : m_settings.m_groups) {
        for (const ServiceSettings &service : group.m_services) {
            for (const TargetSettings &target : service.m_targets) {
                endpoints.push_back(
                    {target.m_name, target.m_address, target.m_port, shares[target.m_name]});
            }
        }
    }
    m_targets.setTargets(endpoints);
}

std::string NodeShell::Implementation::start()
{
    if (m_self.m_name.empty()) {
        return "the settings have no node named " + m_options.m_node;
    }
    const boost::system::error_code error = m_server.listen(m_self.m_address, m_self.m_callerPort);
    if (error) {
        return "cannot listen at " + m_self.m_address + ":" + std::to_string(m_self.m_callerPort)
               + ": " + error.message();
    }
    m_running = true;
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->start();
    }
    armTimer();
    m_log.write(LogLevel::Info, "started", "the node serves callers",
                {{"address", m_self.m_address},
                 {"port", m_server.port()},
                 {"dataCentre", m_self.m_dataCentre},
                 {"incarnation", m_options.m_incarnation}});
    return {};
}

void NodeShell::Implementation::beginShutdown(std::function<void()> finished)
{
    if (m_shutdown) {
        return;
    }
    m_shutdown =
        scheduleShutdown(steadyNow(), m_settings.m_shutdownLinger, m_settings.m_shutdownBound);
    m_shutdownFinished = std::move(finished);
    m_log.write(
        LogLevel::Info, "shutdown-started", "not ready any more; accepting goes on for a while",
        {{"requestsInFlight", requestsInFlight(*m_engine)},
         {"acceptMicroseconds", (m_shutdown->m_acceptUntil - m_shutdown->m_begunAt).count()},
         {"exitMicroseconds", (m_shutdown->m_exitBy - m_shutdown->m_begunAt).count()}});
    m_server.announceClose();
    feed([this](TimePoint now) { limitByShutdown(*m_engine, now, *m_shutdown, m_actions); });
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->stop(*m_shutdown);
    }
    m_shutdownTimer.expires_at(m_shutdown->m_acceptUntil);
    m_shutdownTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            endAccepting();
        }
    });
}

void NodeShell::Implementation::endAccepting()
{
    const HttpConnectionCounts before = m_server.connectionCounts();
    m_server.stopAccepting();
    arbutusgrade::beginShutdown(*m_engine);
    m_log.write(
        LogLevel::Info, "accepting-ended", "requests in flight go on",
        {{"requestsInFlight", requestsInFlight(*m_engine)}, {"idleConnections", before.m_idle}});
    waitForEnd();
}

void NodeShell::Implementation::waitForEnd()
{
    // After a stall of the process the last answers may still be due.
    advance(steadyNow());
    performActions();
    // A connection that ends with the process may reset before its caller has read the answer. A
    // claim that is neither recorded nor released leaves its next send in doubt.
    const bool ended = requestsInFlight(*m_engine) == 0 && storeCallsInFlight(*m_engine) == 0
                       && m_server.statistics().m_connections == 0;
    if (ended || steadyNow() >= m_shutdown->m_exitBy) {
        endShutdown();
        return;
    }
    m_shutdownTimer.expires_after(shutdownPollInterval);
    m_shutdownTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            waitForEnd();
        }
    });
}

void NodeShell::Implementation::endShutdown()
{
    logUnansweredCallers();
    const HttpConnectionCounts counts = m_server.connectionCounts();
    const std::size_t requests = std::max(requestsInFlight(*m_engine), m_server.requestsInFlight());
    m_log.write(requests == 0 ? LogLevel::Info : LogLevel::Error, "shutdown-finished",
                requests == 0 ? "all requests have ended" : "requests did not end within the bound",
                {{"requestsInFlight", requests},
                 {"sinceShutdownMicroseconds", (steadyNow() - m_shutdown->m_begunAt).count()},
                 {"unanswered", m_callers.size()},
                 {"storeCalls", storeCallsInFlight(*m_engine)},
                 {"reading", counts.m_reading},
                 {"handling", counts.m_handling},
                 {"writing", counts.m_writing},
                 {"draining", counts.m_draining},
                 {"closedWithUnreadBytes", m_server.statistics().m_closedWithUnreadBytes}});
    m_log.flush();
    m_shutdownFinished();
}

void NodeShell::Implementation::logUnansweredCallers()
{
    const TimePoint now = steadyNow();
    int lines = 0;
    for (const std::pair<const CallerId, WaitingCaller> &entry : m_callers) {
        if (++lines > maximumUnansweredLines) {
            return;
        }
        const WaitingCaller &caller = entry.second;
        m_log.write(LogLevel::Warning, "request-cut", "the process ends before the answer",
                    {{"kind", caller.m_kind},
                     {"ageMicroseconds", (now - caller.m_arrived).count()},
                     {"arrivedSinceShutdownMicroseconds",
                      (caller.m_arrived - m_shutdown->m_begunAt).count()}});
    }
}

} // namespace arbutusgrade
