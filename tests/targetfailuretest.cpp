#include "systemtest.h"

namespace arbutusgrade::support {
namespace {

namespace json = boost::json;
using std::chrono::seconds;

// Guards against new work for a target later than 3 s after it began to leave (G6).
TEST(Targets, DrainedTargetGetsNoNewWorkAfterThreeSeconds)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    const TargetLocation leaving{"feilsok", 0, 0};
    const load::LoadResult result =
        load::runLoad(makeLoad(site, "fault-history-search:3,alarm-lookup:1", 80, 7),
                      {{seconds(1), [&site, &leaving] {
                            site.callTarget(leaving, "PUT", "/v1/faults", R"({"draining":true})");
                        }}});
    expectNoProblems(result);
    const json::object statistics = site.targetStatistics(leaving);
    EXPECT_GT(statistics.at("executions").as_int64(), 0);
    EXPECT_LE(statistics.at("arrivedAfterDrainMs").as_int64(), 3000);
    for (const load::KindSummary &kind : load::summarise(result)) {
        EXPECT_EQ(kind.m_good, kind.m_sent) << kind.m_kind;
        EXPECT_EQ(kind.m_coverage, 1.0) << kind.m_kind;
    }
}

// Guards against entries of one request in the answer to another when replies are crossed or
// come twice on one connection (G3).
TEST(Targets, CrossedAndDoubledRepliesReachNobody)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    site.callGroup("feilsok", "PUT", "/v1/faults",
                   R"({"crossedAttemptProbability":0.02,"crossedRequestProbability":0.02,)"
                   R"("doubledProbability":0.02})");
    const load::LoadResult result =
        load::runLoad(makeLoad(site, "fault-history-search:3,alarm-lookup:1", 60, 5));
    expectNoProblems(result);
    EXPECT_GT(site.sumStatistics("feilsok", "crossed"), 0);
    EXPECT_GT(site.sumStatistics("feilsok", "doubled"), 0);
    for (const load::KindSummary &kind : load::summarise(result)) {
        EXPECT_EQ(kind.m_answered, kind.m_sent) << kind.m_kind;
    }
}

} // namespace
} // namespace arbutusgrade::support
