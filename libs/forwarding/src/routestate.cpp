#include <algorithm>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "details/enginestate.h"

namespace arbutusgrade {

namespace {

bool hasSameServices(std::span<const WeightedService> left, std::span<const WeightedService> right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const WeightedService &one, const WeightedService &other) {
                          return one.m_service == other.m_service;
                      });
}

//! @brief Returns whether latencies that were measured on one route hold for the other.
bool hasSameLatencies(const Route &left, const Route &right)
{
    return left.m_host == right.m_host && left.m_prefix == right.m_prefix
           && hasSameServices(left.m_services, right.m_services) && left.m_shards == right.m_shards;
}

//! @brief Returns what is still true of a route in its next version.
RouteState keptState(const Route &previous, const Route &next, RouteState &&state)
{
    RouteState kept;
    // Credits are in the scale of the weights under which they were earned.
    if (previous.m_services == next.m_services) {
        kept.m_splitCredits = std::move(state.m_splitCredits);
    }
    if (!hasSameLatencies(previous, next)) {
        return kept;
    }
    kept.m_latency = std::move(state.m_latency);
    if (kept.m_latency && previous.m_timeout != next.m_timeout) {
        kept.m_latency->m_maximumTimeLeft = Duration::zero();
    }
    return kept;
}

} // namespace

void ForwardEngine::Implementation::forgetChangedRoutes(const RoutingTable &next)
{
    if (!m_routingTable) {
        return;
    }
    std::unordered_map<std::string_view, const Route *> previousRoutes;
    for (const Route &route : m_routingTable->m_routes) {
        previousRoutes[route.m_name] = &route;
    }
    std::unordered_map<std::string, RouteState> kept;
    for (const Route &route : next.m_routes) {
        const std::unordered_map<std::string_view, const Route *>::const_iterator previous =
            previousRoutes.find(route.m_name);
        const std::unordered_map<std::string, RouteState>::iterator state =
            m_routeStates.find(route.m_name);
        if (previous == previousRoutes.end() || state == m_routeStates.end()) {
            continue;
        }
        kept[route.m_name] = keptState(*previous->second, route, std::move(state->second));
    }
    m_routeStates = std::move(kept);
}

RouteLatencyPointer ForwardEngine::Implementation::routeLatency(const RoutingTable &table,
                                                                const Route &route)
{
    if (&table != m_routingTable.get()) {
        // A request of an earlier version; its route may mean something else by now.
        return std::make_shared<RouteLatency>(initialRouteLatency(route));
    }
    RouteLatencyPointer &latency = m_routeStates[route.m_name].m_latency;
    if (!latency) {
        latency = std::make_shared<RouteLatency>(initialRouteLatency(route));
    }
    return latency;
}

std::size_t ForwardEngine::Implementation::selectService(const RoutingTable &table,
                                                         const Route &route)
{
    std::vector<double> creditsOfEarlierVersion;
    const bool isCurrent = &table == m_routingTable.get();
    return selectWeightedService(route.m_services, isCurrent
                                                       ? m_routeStates[route.m_name].m_splitCredits
                                                       : creditsOfEarlierVersion);
}

} // namespace arbutusgrade
