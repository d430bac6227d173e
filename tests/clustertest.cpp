#include "support/httpclient.h"
#include "support/process.h"
#include "support/site.h"

#include <csignal>
#include <thread>

#include <gtest/gtest.h>

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;
using std::chrono::seconds;
using std::chrono::steady_clock;

class ClusterTest : public testing::Test
{
protected:
    ClusterTest() : m_site(fanOutPlan(6, 2), ARBUTUSGRADE_PROGRAMS) { }

    json::object get(int node, std::string_view path)
    {
        return jsonBody(httpCall(m_site.callerPort(node), "GET", path));
    }

    //! Applies the settings of the site under a change id.
    HttpReply apply(int node, std::string_view changeId, std::int64_t expected)
    {
        const json::object body{{"changeId", changeId},
                                {"expectedRevision", expected},
                                {"author", "kari"},
                                {"base", m_site.settingsText()},
                                {"overlays", json::object()}};
        return httpCall(m_site.callerPort(node), "POST", "/v1/admin/configuration",
                        json::serialize(body));
    }

    std::int64_t revisionOf(int node)
    {
        return get(node, "/v1/admin/configuration").at("revision").to_number<std::int64_t>();
    }

    template <typename Condition> bool waitFor(seconds limit, Condition condition)
    {
        const steady_clock::time_point end = steady_clock::now() + limit;
        while (steady_clock::now() < end) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    bool allAtRevision(std::int64_t revision)
    {
        for (int node = 0; node < m_site.plan().m_nodes; ++node) {
            if (revisionOf(node) != revision) {
                return false;
            }
        }
        return true;
    }

    std::size_t countAt(int node, std::string_view state)
    {
        std::size_t count = 0;
        const json::object reply = get(node, "/v1/admin/nodes");
        for (const json::value &entry : reply.at("nodes").as_array()) {
            count += entry.at("state").as_string() == state ? 1 : 0;
        }
        return count;
    }

    Site m_site;
};

// Guards against a change that some nodes do not put in force within 5 s, and against a second
// operator who overwrites it.
TEST_F(ClusterTest, AcceptedChangeIsInForceEverywhere)
{
    m_site.startNodes();
    EXPECT_TRUE(waitFor(seconds(10), [this] { return countAt(0, "alive") == 6; }));
    const HttpReply accepted = apply(1, "change-first", 0);
    ASSERT_EQ(accepted.m_status, 200U) << accepted.m_body;
    const std::int64_t revision = jsonBody(accepted).at("revision").to_number<std::int64_t>();
    EXPECT_TRUE(waitFor(seconds(5), [&] { return allAtRevision(revision); }));
    EXPECT_EQ(apply(2, "change-second", 0).m_status, 409U);
    EXPECT_EQ(jsonBody(apply(3, "change-first", 0)).at("revision"), revision);
    EXPECT_EQ(get(4, "/v1/admin/changes/change-first").at("state"), "accepted");
    EXPECT_EQ(get(4, "/v1/admin/changes/change-third").at("state"), "absent");
    const std::string target = serviceName(m_site.plan().m_groups[0], 0) + "-1";
    const HttpReply drained =
        httpCall(m_site.callerPort(5), "POST", "/v1/admin/targets/" + target + "/drain");
    EXPECT_EQ(drained.m_status, 200U) << drained.m_body;
    EXPECT_TRUE(waitFor(seconds(5), [&] { return allAtRevision(revisionOf(5)); }));
    EXPECT_GT(revisionOf(0), revision);
}

// Guards against a restarted node that reverts to its files, or never gets ready, while the store
// is down and its peers know the revision.
TEST_F(ClusterTest, RestartedNodeTakesTheRevisionFromPeersWhileTheStoreIsDown)
{
    m_site.startNodes();
    const HttpReply accepted = apply(0, "change-first", 0);
    ASSERT_EQ(accepted.m_status, 200U) << accepted.m_body;
    const std::int64_t revision = jsonBody(accepted).at("revision").to_number<std::int64_t>();
    EXPECT_TRUE(waitFor(seconds(5), [&] { return allAtRevision(revision); }));
    m_site.callStore("PUT", "/v1/faults", R"({"down":true})");
    m_site.node(2).kill();
    m_site.startNode(2);
    m_site.waitUntilReady(2);
    EXPECT_EQ(revisionOf(2), revision);
}

// Guards against a lost node that stays in use.
TEST_F(ClusterTest, LostNodeIsSeenDead)
{
    m_site.startNodes();
    EXPECT_TRUE(waitFor(seconds(10), [this] { return countAt(0, "alive") == 6; }));
    m_site.node(2).kill();
    EXPECT_TRUE(waitFor(seconds(20),
                        [this] { return countAt(0, "dead") == 1 && countAt(1, "dead") == 1; }));
}

} // namespace
} // namespace arbutusgrade::support
