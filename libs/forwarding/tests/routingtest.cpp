#include <array>

#include <limits>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

namespace arbutusgrade {

namespace {

Route createRoute(std::string_view host, std::string_view prefix)
{
    Route route;
    route.m_host = host;
    route.m_prefix = prefix;
    return route;
}

} // namespace

// Guards against accepting a configuration with a route that cannot serve any request.
TEST(Routing, ReportsRoutesWithoutAService)
{
    RoutingTable table;
    table.m_routes = {createRoute("a", "/x/"), createRoute("a", "/y/"), createRoute("a", "/z/")};
    table.m_routes[0].m_services = {WeightedService{"s", 1.0}};
    table.m_routes[1].m_shards = {"s"};
    table.m_routes[2].m_name = "empty";
    const std::vector<Finding> findings = validateRoutingTable(table);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings.front().m_message, "the route empty names no service");
}

// Guards against matching a shorter prefix or the routes of another host.
TEST(Routing, MatchesTheLongestPrefixOfTheHost)
{
    RoutingTable table;
    table.m_routes = {createRoute("a", "/x/"), createRoute("a", "/x/y/"),
                      createRoute("b", "/x/y/z/")};
    EXPECT_EQ(findRoute(table, "a", "/x/y/z/1"), &table.m_routes[1]);
    EXPECT_EQ(findRoute(table, "a", "/x/1"), &table.m_routes[0]);
    EXPECT_EQ(findRoute(table, "a", "/x"), nullptr);
    EXPECT_EQ(findRoute(table, "c", "/x/1"), nullptr);
}

// Guards against a split that deviates from its weights over a small number of requests.
TEST(Routing, SplitsByWeightWithinFewRequests)
{
    const std::array<WeightedService, 3> services{{{"a", 70.0}, {"b", 20.0}, {"c", 10.0}}};
    std::vector<double> credits;
    std::array<int, 3> counts{};
    for (int request = 0; request < 100; ++request) {
        ++counts[selectWeightedService(services, credits)];
    }
    EXPECT_EQ(counts, (std::array<int, 3>{70, 20, 10}));
}

// Guards against requests at a service without weight, also if it is paid off from the credits of
// earlier weights.
TEST(Routing, NeverSelectsAServiceWithoutWeight)
{
    const std::array<WeightedService, 2> equal{{{"a", 50.0}, {"b", 50.0}}};
    const std::array<WeightedService, 2> first{{{"a", 1.0}, {"b", 0.0}}};
    const std::array<WeightedService, 2> second{{{"a", 0.0}, {"b", 1.0}}};
    std::vector<double> credits;
    EXPECT_EQ(selectWeightedService(equal, credits), 0U);
    for (int request = 0; request < 10; ++request) {
        EXPECT_EQ(selectWeightedService(first, credits), 0U);
    }
    EXPECT_EQ(selectWeightedService(second, credits), 1U);
}

// Guards against comparing bytes as signed values, dropping duplicates and keeping incomplete
// records.
TEST(Records, MergesTheGreatestByUnsignedBytesWithDuplicates)
{
    const std::string high(recordBytes, '\xff');
    const std::string low(recordBytes, 'a');
    const std::string first = low + high + "tail";
    const std::array<std::string_view, 2> parts{first, high};
    EXPECT_EQ(mergeRecords(parts, 2), high + high);
    EXPECT_EQ(mergeRecords(parts, 10), high + high + low);
}

} // namespace arbutusgrade
