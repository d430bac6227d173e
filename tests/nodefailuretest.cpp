#include <csignal>

#include "systemtest.h"

namespace arbutusgrade::support {
namespace {

using std::chrono::seconds;

// Guards against work that a node resumes after a pause although its deadline or claim has lapsed.
TEST(Nodes, StopForFiveSecondsBreaksNoGuarantee)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    load::LoadOptions options =
        makeLoad(site, "fault-history-search:3,manual-fetch:1,work-order:2", 60, 10);
    options.m_resends = 1;
    const load::LoadResult result =
        load::runLoad(options, {{seconds(1), [&site] { site.node(0).sendSignal(SIGSTOP); }},
                                {seconds(6), [&site] { site.node(0).sendSignal(SIGCONT); }}});
    expectNoProblems(result);
    expectOnceTruth(site, result, "work-order");
    for (const load::KindSummary &kind : load::summarise(result)) {
        EXPECT_EQ(kind.m_answered, kind.m_sent) << kind.m_kind;
    }
    for (const load::KindSummary &kind : load::summarise(result, seconds(8), seconds(10))) {
        EXPECT_EQ(kind.m_good, kind.m_sent) << kind.m_kind << " after the pause";
    }
}

// Guards against requests that a planned restart cuts off (G7).
TEST(Nodes, TermOfEachNodeInTurnLosesNoRequest)
{
    Site site(sendernettPlan(3), programs);
    site.startNodes();
    const load::LoadOptions options =
        makeLoad(site, "fault-history-search:3,manual-fetch:1,work-order:2", 60, 13);
    std::vector<std::optional<ExitState>> ends(3);
    std::vector<load::TimedAction> actions;
    actions.reserve(3);
    for (int node = 0; node < 3; ++node) {
        actions.push_back({seconds(1 + 4 * node), [&site, &ends, node] {
                               site.node(node).sendSignal(SIGTERM);
                               ends[static_cast<std::size_t>(node)] =
                                   site.node(node).wait(milliseconds(10000));
                               site.startNode(node);
                               site.waitUntilReady(node);
                           }});
    }
    const load::LoadResult result = load::runLoad(options, actions);
    expectNoProblems(result);
    expectOnceTruth(site, result, "work-order");
    for (const std::optional<ExitState> &end : ends) {
        ASSERT_TRUE(end.has_value());
        EXPECT_EQ(end->m_code, 0);
    }
    for (const load::KindSummary &kind : load::summarise(result)) {
        EXPECT_EQ(kind.m_good, kind.m_sent) << kind.m_kind;
    }
}

} // namespace
} // namespace arbutusgrade::support
