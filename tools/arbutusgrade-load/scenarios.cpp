#include "scenarios.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <boost/json.hpp>

#include "load.h"
#include "support/site.h"

namespace arbutusgrade::load {

namespace json = boost::json;
using support::GroupPlan;
using support::Site;
using support::SitePlan;
using support::TargetLocation;

namespace {

// Time for connections to be made and latencies to be learned before anything is measured.
constexpr Duration warmUp = std::chrono::seconds(3);

//! What a scenario gathers while it runs.
struct Trial
{
    ScenarioOptions m_options;
    ScenarioResult m_result;
    Ratios m_figures;
    std::vector<Bound> m_bounds;
};

Duration toDuration(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

LoadOptions makeLoad(const Trial &trial, const Site &site, std::string_view mix, double rate)
{
    LoadOptions load;
    for (const std::uint16_t port : site.callerPorts()) {
        load.m_nodes.push_back(NodeAddress{"127.0.0.1", port});
    }
    load.m_mix = *parseMix(mix);
    load.m_rate = rate * trial.m_options.m_scale;
    load.m_length = toDuration(trial.m_options.m_seconds);
    load.m_warmUp = warmUp;
    load.m_seed = trial.m_options.m_seed;
    load.m_checkEntries = true;
    return load;
}

LoadResult runNamed(Trial &trial, const std::string &name, LoadOptions load,
                    const std::vector<TimedAction> &actions = {})
{
    load.m_idPrefix = name;
    LoadResult result = runLoad(load, actions);
    trial.m_result.m_report[name] = reportJson(result);
    char heading[160];
    std::snprintf(heading, sizeof heading, "%s: %.1f requests/s, extra load %.2f %%\n",
                  name.c_str(), load.m_rate, extraLoad(result) * 100.0);
    trial.m_result.m_text += heading + reportTable(summarise(result));
    for (const std::string &problem : result.m_problems) {
        trial.m_result.m_text += "WRONG " + problem + "\n";
        trial.m_result.m_holds = false;
    }
    return result;
}

void setBound(Trial &trial, const std::string &kind, const std::string &metric, double figure,
              bool upper, double limit)
{
    trial.m_figures[kind][metric] = figure;
    trial.m_bounds.push_back(Bound{kind, metric, upper, limit});
}

double ratio(Duration now, Duration before)
{
    return before.count() > 0
               ? static_cast<double>(now.count()) / static_cast<double>(before.count())
               : 1e9;
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void runStragglers(Trial &trial, int services, double rate)
{
    Site site(support::fanOutPlan(trial.m_options.m_nodes, services), trial.m_options.m_programs);
    site.startNodes();
    const LoadOptions load = makeLoad(trial, site, "search", rate);
    const KindSummary before = summarise(runNamed(trial, "without", load)).front();
    site.callGroup("search", "PUT", "/v1/faults",
                   R"({"stragglerProbability":0.01,"stragglerFactor":20})");
    const LoadResult with = runNamed(trial, "stragglers", load);
    const KindSummary after = summarise(with).front();
    setBound(trial, "search", "p99Ratio", ratio(after.m_p99, before.m_p99), true, 2.0);
    setBound(trial, "search", "extraLoad", extraLoad(with), true, 0.05);
    setBound(trial, "search", "coverage", after.m_coverage, false, 1.0);
    setBound(trial, "search", "goodShare", share(after.m_good, after.m_sent), false, 1.0);
}

void runFrozenTarget(Trial &trial)
{
    Site site(support::sendernettPlan(trial.m_options.m_nodes), trial.m_options.m_programs);
    site.startNodes();
    const LoadOptions load = makeLoad(trial, site, "alarm-lookup:8,fault-history-search:2", 100);
    const KindSummary before = summarise(runNamed(trial, "without", load)).front();
    const std::vector<TimedAction> freeze{{Duration(0), [&site] {
                                               site.callTarget(TargetLocation{"feilsok", 0, 0},
                                                               "PUT", "/v1/faults",
                                                               R"({"frozen":true})");
                                           }}};
    const LoadResult with = runNamed(trial, "frozen", load, freeze);
    const KindSummary after = summarise(with, std::chrono::seconds(2), with.m_length).front();
    trial.m_result.m_text += "from 2 s on\n" + reportTable({after});
    setBound(trial, "alarm-lookup", "p99Ratio", ratio(after.m_p99, before.m_p99), true, 1.5);
    setBound(trial, "alarm-lookup", "goodShare", share(after.m_good, after.m_sent), false, 1.0);
}

// Service time long enough that the slots of the targets, and no processor, are the limit.
constexpr double slowServiceMs = 40;

SitePlan slowPlan(const Trial &trial)
{
    SitePlan plan = support::sendernettPlan(trial.m_options.m_nodes);
    plan.m_groups.front().m_serviceMs = slowServiceMs;
    return plan;
}

//! Requests per second that fill all slots of a group whose requests go to each service.
double capacity(const GroupPlan &group)
{
    return group.m_replicas * group.m_slots * 1000.0 / group.m_serviceMs;
}

double goodPerSecond(const std::vector<KindSummary> &kinds)
{
    double sum = 0;
    for (const KindSummary &kind : kinds) {
        sum += kind.m_goodPerSecond;
    }
    return sum;
}

void runOverload(Trial &trial)
{
    const SitePlan plan = slowPlan(trial);
    Site site(plan, trial.m_options.m_programs);
    site.startNodes();
    const double full = capacity(plan.m_groups.front());
    const std::string_view mix = "fault-history-search:8,alarm-lookup:2";
    const std::vector<KindSummary> at100 =
        summarise(runNamed(trial, "full", makeLoad(trial, site, mix, full)));
    const std::vector<KindSummary> at130 =
        summarise(runNamed(trial, "overload", makeLoad(trial, site, mix, full * 1.3)));
    setBound(trial, "all", "goodputRatio", goodPerSecond(at130) / goodPerSecond(at100), false, 0.9);
    const double searches = share(at130[0].m_refused, at130[0].m_sent);
    const double alarms = share(at130[1].m_sent - at130[1].m_good, at130[1].m_sent);
    setBound(trial, "alarm-lookup", "notGoodShareMinusRefusedSearches", alarms - searches, true, 0);
}

void runOutage(Trial &trial)
{
    constexpr std::chrono::seconds outage(30);
    constexpr std::chrono::seconds recovery(10);
    const SitePlan plan = slowPlan(trial);
    Site site(plan, trial.m_options.m_programs);
    site.startNodes();
    LoadOptions load = makeLoad(trial, site, "fault-history-search:8,alarm-lookup:2",
                                capacity(plan.m_groups.front()) * 0.85);
    const std::vector<KindSummary> before = summarise(runNamed(trial, "without", load));
    load.m_length = outage + recovery + toDuration(trial.m_options.m_seconds);
    const std::vector<TimedAction> actions{
        {Duration(0),
         [&site] { site.callGroup("feilsok", "PUT", "/v1/faults", R"({"frozen":true})"); }},
        {outage,
         [&site] { site.callGroup("feilsok", "PUT", "/v1/faults", R"({"frozen":false})"); }}};
    const LoadResult with = runNamed(trial, "outage", load, actions);
    const std::vector<KindSummary> after =
        summarise(with, Duration(outage + recovery), with.m_length);
    trial.m_result.m_text += "from 10 s after the outage on\n" + reportTable(after);
    for (std::size_t kind = 0; kind < after.size(); ++kind) {
        setBound(trial, after[kind].m_kind, "p99Ratio",
                 ratio(after[kind].m_p99, before[kind].m_p99), true, 1.5);
        setBound(trial, after[kind].m_kind, "goodPerSecondRatio",
                 after[kind].m_goodPerSecond / before[kind].m_goodPerSecond, false, 0.95);
    }
}

struct Scenario
{
    std::string_view m_name;
    void (*m_run)(Trial &trial);
};

const std::array<Scenario, 5> scenarios{{
    {"stragglers-30", [](Trial &trial) { runStragglers(trial, 30, 60); }},
    {"stragglers-290", [](Trial &trial) { runStragglers(trial, 290, 15); }},
    {"frozen-target", runFrozenTarget},
    {"overload", runOverload},
    {"outage", runOutage},
}};

} // namespace

std::vector<std::string_view> scenarioNames()
{
    std::vector<std::string_view> names;
    names.reserve(scenarios.size());
    for (const Scenario &scenario : scenarios) {
        names.push_back(scenario.m_name);
    }
    return names;
}

ScenarioResult runScenario(std::string_view name, const ScenarioOptions &options)
{
    for (const Scenario &scenario : scenarios) {
        if (scenario.m_name == name) {
            Trial trial{options, {}, {}, {}};
            scenario.m_run(trial);
            const bool holds = checkBounds(trial.m_bounds, trial.m_figures, trial.m_result.m_text);
            trial.m_result.m_holds = trial.m_result.m_holds && holds;
            json::object figures;
            for (const std::pair<const std::string, std::map<std::string, double>> &kind :
                 trial.m_figures) {
                for (const std::pair<const std::string, double> &figure : kind.second) {
                    figures[kind.first + "." + figure.first] = figure.second;
                }
            }
            trial.m_result.m_report["figures"] = figures;
            trial.m_result.m_report["holds"] = trial.m_result.m_holds;
            return trial.m_result;
        }
    }
    throw std::runtime_error("no such scenario: " + std::string(name));
}

} // namespace arbutusgrade::load
