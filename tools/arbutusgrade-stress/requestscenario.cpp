#include <array>
#include <utility>

#include "requestworld.h"

namespace arbutusgrade::stress {

namespace {

struct MutantName
{
    std::string_view m_name;
    QueryMutant m_mutant;
};

constexpr std::array<MutantName, 12> mutants{{
    {"merge-any-snapshot", QueryMutant::MergeAnySnapshot},
    {"retry-non-idempotent", QueryMutant::RetryNonIdempotent},
    {"ignore-drain", QueryMutant::IgnoreDrain},
    {"count-shard-twice", QueryMutant::CountShardTwice},
    {"coverage-from-plan", QueryMutant::CoverageFromPlan},
    {"accept-crossed-reply", QueryMutant::AcceptCrossedReply},
    {"claim-not-needed", QueryMutant::ClaimNotNeeded},
    {"claim-lost-means-held", QueryMutant::ClaimLostMeansHeld},
    {"not-run-after-send", QueryMutant::NotRunAfterSend},
    {"unlimited-hedges", QueryMutant::UnlimitedHedges},
    {"ignore-connection-share", QueryMutant::IgnoreConnectionShare},
    {"no-quarantine", QueryMutant::NoQuarantine},
}};

constexpr std::array<std::string_view, mutants.size()> listNames()
{
    std::array<std::string_view, mutants.size()> names;
    for (std::size_t index = 0; index < mutants.size(); ++index) {
        names[index] = mutants[index].m_name;
    }
    return names;
}

constexpr std::array<std::string_view, mutants.size()> mutantNames = listNames();

// Each run has a random subset of the faults, so that single faults, pairs and the calm case occur.
RunPlan drawPlan(RandomGenerator &random)
{
    RunPlan plan;
    if (nextRandomBelow(random, 8) == 0) {
        plan.m_calm = true;
        return plan;
    }
    const std::function<double(double)> maybe = [&random](double highest) {
        return nextRandomBelow(random, 2) == 0 ? 0.0 : highest * nextRandomUnit(random);
    };
    const std::function<bool()> coin = [&random]() { return nextRandomBelow(random, 2) == 0; };
    plan.m_targetFaults.m_straggle = maybe(0.05);
    plan.m_targetFaults.m_error = maybe(0.05);
    plan.m_targetFaults.m_loseReply = maybe(0.05);
    plan.m_targetFaults.m_duplicate = maybe(0.2);
    plan.m_targetFaults.m_cross = maybe(0.1);
    plan.m_targetFaults.m_delayReply = maybe(0.1);
    plan.m_targetFaults.m_refuseConnect = maybe(0.05);
    plan.m_targetFaults.m_wrongSnapshot = maybe(0.2);
    plan.m_storeLoseReply = maybe(0.2);
    plan.m_storeLoseCall = maybe(0.1);
    plan.m_storeOutages = coin();
    plan.m_nodeKills = coin();
    plan.m_nodePauses = coin();
    plan.m_targetCrashes = coin();
    plan.m_targetFreezes = coin();
    plan.m_drains = coin();
    plan.m_versionsMove = coin();
    plan.m_repartition = coin();
    plan.m_crashingRequests = coin() ? 0.01 : 0.0;
    plan.m_requestsPerSecond = 60 + 400 * nextRandomUnit(random);
    return plan;
}

RunResult runRequests(const RunOptions &options)
{
    RandomGenerator random{options.m_seed};
    const RunPlan plan = drawPlan(random);
    RequestWorld world(options, plan);
    return world.run();
}

} // namespace

QueryMutant queryMutant(std::string_view name)
{
    for (const MutantName &entry : mutants) {
        if (entry.m_name == name) {
            return entry.m_mutant;
        }
    }
    return QueryMutant::None;
}

std::span<const std::string_view> queryMutantNames()
{
    return mutantNames;
}

const Scenario requestScenario{
    "requests", "callers, nodes, targets and a store with faults on the request path", mutantNames,
    &runRequests};

} // namespace arbutusgrade::stress
