#include "details/nodeoptions.h"

#include <algorithm>

namespace arbutusgrade {

namespace {

// Unacknowledged data closes the connection to a caller after this time.
constexpr std::chrono::milliseconds callerPeerTimeout{20'000};

} // namespace

HttpServerOptions callerOptions(const CallerLimits &limits)
{
    HttpServerOptions options;
    options.m_headerLimitBytes = limits.m_headerBytes;
    options.m_bodyLimitBytes = limits.m_bodyBytes;
    options.m_readTimeout = limits.m_headerTimeout;
    options.m_idleTimeout = limits.m_idleTimeout;
    options.m_peerTimeout = callerPeerTimeout;
    return options;
}

ForwardOptions engineOptions(const GatewaySettings &settings,
                             const CoordinationSettings &coordination)
{
    ForwardOptions options;
    options.m_node = settings.m_node;
    options.m_dataCentre = settings.m_dataCentre;
    options.m_budget.m_ratio = settings.m_extraArrivalRatio;
    options.m_budget.m_slack = settings.m_extraArrivalSlack;
    options.m_budget.m_window = settings.m_extraArrivalWindow;
    options.m_warmup = coordination.m_warmup;
    options.m_drainBound = settings.m_drainBound;
    return options;
}

PrefixWatcherOptions watcherOptions(const GatewaySettings &settings)
{
    constexpr int batchDelayDivisor = 4;
    constexpr std::chrono::milliseconds reconnectTime{1'000};
    constexpr std::chrono::milliseconds minimumWatchTimeout{500};
    PrefixWatcherOptions options;
    options.m_watchTimeout = std::max(minimumWatchTimeout, settings.m_contactBound - reconnectTime);
    options.m_batchDelay = settings.m_changeBound / batchDelayDivisor;
    return options;
}

PrefixWatcherOptions relayWatcherOptions(const GatewaySettings &settings)
{
    PrefixWatcherOptions options;
    options.m_watchTimeout = relayWait;
    options.m_batchDelay = relayPause(settings.m_changeBound);
    return options;
}

RelayedStoreOptions relayOptions(const GatewaySettings &settings, const DeploymentFormat &format,
                                 const CoordinationSettings &coordination)
{
    RelayedStoreOptions options;
    options.m_node = settings.m_node;
    options.m_dataCentre = settings.m_dataCentre;
    options.m_prefix = format.m_watchedPrefix;
    options.m_changeBound = settings.m_changeBound;
    options.m_coordination = coordination;
    return options;
}

std::optional<RegisteredNode> ownRegistration(const GatewaySettings &settings,
                                              const CoordinationSettings &coordination)
{
    if (!coordination.m_link) {
        return std::nullopt;
    }
    return RegisteredNode{settings.m_node, settings.m_dataCentre, *coordination.m_link};
}

std::vector<OrganisationLimit> quotaLimits(const RoutingTable &table)
{
    std::vector<OrganisationLimit> limits;
    for (const Organisation &organisation : table.m_organisations) {
        // Without a rate there is no limit, whatever the burst.
        if (organisation.m_ratePerSecond <= 0.0) {
            continue;
        }
        limits.push_back(OrganisationLimit{
            organisation.m_name, QuotaLimit{organisation.m_ratePerSecond, organisation.m_burst}});
    }
    return limits;
}

} // namespace arbutusgrade
