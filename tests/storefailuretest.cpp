#include <csignal>

#include "systemtest.h"

namespace arbutusgrade::support {
namespace {

using std::chrono::seconds;

// Guards against a work order that runs again when its node dies and its caller sends it to
// another one.
TEST(WorkOrders, KillOfTheirNodeAndSendToAnotherRunsThemAtMostOnce)
{
    SitePlan plan = sendernettPlan(3);
    plan.m_groups[1].m_serviceMs = 150;
    Site site(plan, programs);
    site.startNodes();
    load::LoadOptions options = makeLoad(site, "work-order", 60, 5);
    options.m_resends = 2;
    const load::LoadResult result =
        load::runLoad(options, {{seconds(2), [&site] { site.node(0).kill(); }}});
    expectNoProblems(result);
    expectOnceTruth(site, result, "work-order");
    const load::KindSummary orders = load::summarise(result).front();
    EXPECT_GT(orders.m_resent, 0U) << "the kill hit no order";
    EXPECT_EQ(orders.m_answered, orders.m_sent);
}

struct StoreFault
{
    std::string m_name;
    std::string m_fault;
    bool m_ordersGoOn;
};

class StoreFailure : public testing::TestWithParam<StoreFault>
{
};

// Guards against orders that run twice or are falsely called not run while the store fails, and
// against searches that depend on the store.
TEST_P(StoreFailure, OrdersRunAtMostOnceAndSearchesGoOn)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    load::LoadOptions options = makeLoad(site, "fault-history-search:2,work-order:1", 60, 8);
    options.m_resends = 1;
    const std::string recovery = R"({"down":false,"delayMs":0,"replyDelayMs":0,"loseReplies":0})";
    const load::LoadResult result = load::runLoad(
        options,
        {{seconds(1), [&site] { site.callStore("PUT", "/v1/faults", GetParam().m_fault); }},
         {seconds(4), [&site, &recovery] { site.callStore("PUT", "/v1/faults", recovery); }}});
    expectNoProblems(result);
    expectOnceTruth(site, result, "work-order");
    const std::vector<load::KindSummary> all = load::summarise(result);
    EXPECT_EQ(all[0].m_good, all[0].m_sent) << "searches need no store";
    EXPECT_EQ(all[1].m_answered, all[1].m_sent);
    // Orders that wait for a slow store when it recovers are answered within its timeout.
    const load::KindSummary after = load::summarise(result, seconds(7), seconds(8))[1];
    EXPECT_EQ(after.m_good, after.m_sent) << "orders after the recovery";
    const load::KindSummary during = load::summarise(result, seconds(2), seconds(3))[1];
    if (GetParam().m_ordersGoOn) {
        EXPECT_EQ(during.m_good, during.m_sent) << "a slow store only delays orders";
    } else if (GetParam().m_name == "Down") {
        EXPECT_EQ(during.m_refused, during.m_sent) << "first sends are refused as not run";
    }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, StoreFailure,
    testing::Values(StoreFault{"Down", R"({"down":true})", false},
                    StoreFault{"Slow", R"({"delayMs":300})", true},
                    StoreFault{"RepliesLost", R"({"loseReplies":0.5})", false}),
    [](const testing::TestParamInfo<StoreFault> &fault) { return fault.param.m_name; });

} // namespace
} // namespace arbutusgrade::support
