#include "systemtest.h"

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;

// Guards against one request that takes down target after target while its caller sends it again.
TEST(Targets, CrashingRequestSentThroughAllNodesLosesTwoTargetsAtMost)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    json::object request = makeRequest("crash", "manual-fetch", json::object{{"crash", true}});
    HttpReply last;
    for (int send = 1; send <= 9; ++send) {
        request["attempt"] = send;
        last = site.query(send % 3, request);
        EXPECT_NE(last.m_status, 200U) << last.m_body;
    }
    EXPECT_LE(site.sumStatistics("handbok", "crashes"), 2);
    EXPECT_EQ(jsonBody(last).at("reason").as_string(), "quarantined") << last.m_body;
    // Another request of the same kind still works.
    EXPECT_EQ(site.query(0, makeRequest("manual-2", "manual-fetch")).m_status, 200U);
}

} // namespace
} // namespace arbutusgrade::support
