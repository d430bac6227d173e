#include <algorithm>

#include "details/nodeimplementation.h"

namespace arbutusgrade {

namespace {

// How often a shutdown looks whether all requests have ended.
constexpr std::chrono::milliseconds shutdownPollInterval{20};

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
    if (m_shuttingDown) {
        return;
    }
    m_shuttingDown = true;
    m_shutdownStarted = steadyNow();
    m_shutdownFinished = std::move(finished);
    m_log.write(LogLevel::Info, "shutdown-started",
                "not ready any more; accepting goes on for a while",
                {{"requestsInFlight", requestsInFlight(*m_engine)}});
    m_server.announceClose();
    for (const std::unique_ptr<NodeService> &service : m_services) {
        service->stop();
    }
    m_shutdownTimer.expires_after(m_settings.m_shutdownLinger);
    m_shutdownTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            endAccepting();
        }
    });
}

void NodeShell::Implementation::endAccepting()
{
    m_server.stopAccepting();
    arbutusgrade::beginShutdown(*m_engine);
    waitForEnd();
}

void NodeShell::Implementation::waitForEnd()
{
    const std::size_t engineRequests = requestsInFlight(*m_engine);
    const std::size_t serverRequests = m_server.requestsInFlight();
    const bool ended = engineRequests == 0 && serverRequests == 0;
    if (ended || steadyNow() - m_shutdownStarted >= m_settings.m_shutdownBound) {
        m_log.write(ended ? LogLevel::Info : LogLevel::Error, "shutdown-finished",
                    ended ? "all requests have ended" : "requests did not end within the bound",
                    {{"requestsInFlight", std::max(engineRequests, serverRequests)}});
        m_shutdownFinished();
        return;
    }
    m_shutdownTimer.expires_after(shutdownPollInterval);
    m_shutdownTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            waitForEnd();
        }
    });
}

} // namespace arbutusgrade
