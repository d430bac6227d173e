#include <set>

#include "systemtest.h"

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;

class Service : public testing::Test
{
protected:
    void SetUp() override
    {
        m_site.startNodes();
    }

    //! Asks a node and expects a complete answer over exactly the shards of the group.
    void expectComplete(int node, const std::string &id, const std::string &kind,
                        const std::set<std::string> &shards)
    {
        const HttpReply reply = m_site.query(node, makeRequest(id, kind));
        load::Sample sample;
        EXPECT_EQ(load::readAnswer(reply.m_status, reply.m_body, id, true, sample), "")
            << reply.m_body;
        EXPECT_EQ(sample.m_outcome, "complete") << reply.m_body << reply.m_error;
        if (sample.m_outcome != "complete") {
            return;
        }
        std::set<std::string> included;
        const json::object answer = jsonBody(reply);
        for (const json::value &shard : answer.at("coverage").at("included").as_array()) {
            included.insert(std::string(shard.as_string()));
        }
        EXPECT_EQ(included, shards);
        EXPECT_EQ(answer.at("entries").as_array().size(), 2 * shards.size());
    }

    std::set<std::string> shardsOf(const GroupPlan &group)
    {
        std::set<std::string> shards;
        for (int service = 0; service < group.m_services; ++service) {
            shards.insert(serviceName(group, service));
        }
        return shards;
    }

    Site m_site{sendernettPlan(3), programs};
};

// Guards against answers that lack shards or state coverage that the entries do not bear out.
TEST_F(Service, SearchesCoverEachShardOfTheirGroup)
{
    const std::set<std::string> shards = shardsOf(m_site.plan().m_groups.front());
    ASSERT_EQ(shards.size(), 10U);
    for (int node = 0; node < 3; ++node) {
        const std::string suffix = std::to_string(node);
        expectComplete(node, "search-" + suffix, "fault-history-search", shards);
        expectComplete(node, "alarm-" + suffix, "alarm-lookup", shards);
    }
}

// Guards against requests for one place that reach several, and orders that run twice.
TEST_F(Service, OnePlaceKindsReachOneTarget)
{
    expectComplete(0, "manual-1", "manual-fetch", {"handbok"});
    expectComplete(1, "roster-1", "duty-roster", {"vaktplan"});
    EXPECT_EQ(m_site.sumStatistics("handbok", "executions"), 1);
    EXPECT_EQ(m_site.sumStatistics("vaktplan", "executions"), 1);
    json::object order = makeRequest("order-1", "work-order");
    order["service"] = "arbeidsordre-03";
    const HttpReply first = m_site.query(0, order);
    EXPECT_EQ(first.m_status, 200U) << first.m_body;
    // The caller sends again to another node, as if the answer had been lost.
    order["attempt"] = 2;
    const HttpReply second = m_site.query(1, order);
    EXPECT_EQ(second.m_status, 200U) << second.m_body;
    EXPECT_EQ(jsonBody(first).at("entries"), jsonBody(second).at("entries"));
    EXPECT_EQ(m_site.onceExecutions().at("order-1"), 1);
    order["payload"] = json::object{{"text", "another order"}};
    EXPECT_EQ(m_site.query(2, order).m_status, 409U);
}

// Guards against nodes that together open more connections than a target accepts.
TEST_F(Service, ConnectionLimitsHoldUnderLoad)
{
    const load::LoadResult result =
        load::runLoad(makeLoad(m_site,
                               "fault-history-search:6,alarm-lookup:2,manual-fetch:2,"
                               "work-order:1",
                               150, 3));
    expectNoProblems(result);
    expectOnceTruth(m_site, result, "work-order");
    for (const GroupPlan &group : m_site.plan().m_groups) {
        EXPECT_LE(m_site.maximumStatistics(group.m_name, "maximumConnections"),
                  group.m_connections);
        EXPECT_EQ(m_site.sumStatistics(group.m_name, "refusedConnections"), 0) << group.m_name;
    }
    for (const load::KindSummary &kind : load::summarise(result)) {
        EXPECT_EQ(kind.m_good, kind.m_sent) << kind.m_kind;
    }
}

} // namespace
} // namespace arbutusgrade::support
