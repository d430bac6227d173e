#pragma once

#include <optional>
#include <vector>

#include "details/prefixwatcher.h"
#include "details/relayedstore.h"
#include "gatewaynode/gatewaynode.h"
#include "transport/transport.h"

//! @brief Options of the parts of a node, derived from its settings and its configuration.
namespace arbutusgrade {

//! @brief Options of the server for callers.
HttpServerOptions callerOptions(const CallerLimits &limits);

ForwardOptions engineOptions(const GatewaySettings &settings,
                             const CoordinationSettings &coordination);

//! @brief Derives the options of the watch from the bounds in the settings.
//!
//! Changes are batched for a quarter of the time within which they must take effect. The wait time
//! of a watch is short enough that, if the store loses the watch in an outage, the node reconnects
//! and is up to date again within the contact bound.
PrefixWatcherOptions watcherOptions(const GatewaySettings &settings);

//! @brief Options of the watch of a relay, whose data must be fresher than that of other nodes.
PrefixWatcherOptions relayWatcherOptions(const GatewaySettings &settings);

RelayedStoreOptions relayOptions(const GatewaySettings &settings, const DeploymentFormat &format,
                                 const CoordinationSettings &coordination);

//! @brief Returns what this node is registered with; nothing without a link.
std::optional<RegisteredNode> ownRegistration(const GatewaySettings &settings,
                                              const CoordinationSettings &coordination);

//! @brief Limits of the organisations that have one.
std::vector<OrganisationLimit> quotaLimits(const RoutingTable &table);

} // namespace arbutusgrade
