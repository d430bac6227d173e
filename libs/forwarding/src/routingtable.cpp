#include "details/organisations.h"

namespace arbutusgrade {

std::vector<Finding> validateRoutingTable(const RoutingTable &table)
{
    std::vector<Finding> findings;
    for (const Route &route : table.m_routes) {
        if (route.m_shards.empty() && route.m_services.empty()) {
            Finding &finding = findings.emplace_back();
            finding.m_message = "the route " + route.m_name + " names no service";
        }
    }
    validateOrganisations(table, findings);
    return findings;
}

const Route *findRoute(const RoutingTable &table, std::string_view host, std::string_view path)
{
    const Route *best = nullptr;
    for (const Route &route : table.m_routes) {
        const bool matches = route.m_host == host && path.starts_with(route.m_prefix);
        if (matches && (best == nullptr || route.m_prefix.size() > best->m_prefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::size_t selectWeightedService(std::span<const WeightedService> services,
                                  std::vector<double> &credits)
{
    if (credits.size() != services.size()) {
        credits.assign(services.size(), 0.0);
    }
    double total = 0.0;
    std::size_t best = services.size();
    for (std::size_t index = 0; index < services.size(); ++index) {
        if (services[index].m_weight <= 0.0) {
            credits[index] = 0.0;
            continue;
        }
        credits[index] += services[index].m_weight;
        total += services[index].m_weight;
        if (best == services.size() || credits[index] > credits[best]) {
            best = index;
        }
    }
    if (best == services.size()) {
        return 0;
    }
    credits[best] -= total;
    return best;
}

} // namespace arbutusgrade
