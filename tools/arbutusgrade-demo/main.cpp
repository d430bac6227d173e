// Shows both users' sites at work on one machine: what callers get, and that a killed daemon and a
// killed target cost neither coverage nor a second run of an order. Exits with 1 if they do.
#include <algorithm>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "load.h"
#include "support/site.h"

namespace {

using namespace arbutusgrade;
using support::HttpReply;
using support::Site;
using support::SitePlan;
using support::TargetLocation;
namespace json = boost::json;
using std::chrono::seconds;

struct User
{
    SitePlan m_plan;
    std::vector<std::string_view> m_kinds; //!< The last one is non-idempotent.
    std::string_view m_mix;
};

void printAnswer(std::string_view kind, const HttpReply &reply)
{
    const json::object answer = support::jsonBody(reply);
    const json::object &coverage = answer.at("coverage").as_object();
    const std::size_t included = coverage.at("included").as_array().size();
    const std::size_t lacking = coverage.at("lacking").as_array().size();
    std::cout << "  " << kind << ": " << answer.at("outcome").as_string() << ", coverage "
              << included << " of " << included + lacking << " shards, "
              << answer.at("entries").as_array().size() << " entries, snapshot "
              << json::serialize(answer.at("snapshot")) << "\n";
}

bool askOnce(Site &site, std::string_view kind, const std::string &id, int node, int sendNumber)
{
    const HttpReply reply = site.query(node, json::object{{"requestId", id},
                                                          {"kind", kind},
                                                          {"attempt", sendNumber},
                                                          {"payload", {{"text", "demo"}}}});
    load::Sample sample;
    const std::string problem = load::readAnswer(reply.m_status, reply.m_body, id, true, sample);
    printAnswer(kind, reply);
    if (!problem.empty()) {
        std::cout << "  WRONG " << problem << "\n";
    }
    return problem.empty() && sample.m_outcome == "complete";
}

bool showKinds(Site &site, const User &user)
{
    bool good = true;
    for (const std::string_view kind : user.m_kinds) {
        good = askOnce(site, kind, "demo-" + std::string(kind), 0, 1) && good;
    }
    const std::string order = "demo-" + std::string(user.m_kinds.back());
    std::cout << "  the same " << user.m_kinds.back() << " sent again to another daemon:\n";
    good = askOnce(site, user.m_kinds.back(), order, 1, 2) && good;
    const std::int64_t executions = site.onceExecutions()[order];
    std::cout << "  it ran " << executions << " time(s)\n";
    return good && executions == 1;
}

//! G4 and G5 from the targets' own counts.
bool ranTruly(const Site &site, const load::LoadResult &result)
{
    const std::map<std::string, std::int64_t> executions = site.onceExecutions();
    const bool once = std::all_of(
        executions.begin(), executions.end(),
        [](const std::pair<const std::string, std::int64_t> &count) { return count.second <= 1; });
    const bool truly =
        std::none_of(result.m_samples.begin(), result.m_samples.end(),
                     [&executions](const load::Sample &sample) {
                         return sample.m_outcome == "not-run" && executions.contains(sample.m_id);
                     });
    std::cout << "  orders that ran: " << executions.size()
              << ", any of them twice: " << (once ? "no" : "YES")
              << ", any that was answered not-run: " << (truly ? "no" : "YES") << "\n";
    return once && truly;
}

bool showFailures(Site &site, const User &user)
{
    load::LoadOptions options;
    for (const std::uint16_t port : site.callerPorts()) {
        options.m_nodes.push_back(load::NodeAddress{"127.0.0.1", port});
    }
    options.m_mix = *load::parseMix(user.m_mix);
    options.m_rate = 100;
    options.m_length = seconds(6);
    options.m_resends = 1;
    options.m_checkEntries = true;
    const TargetLocation target{user.m_plan.m_groups.front().m_name, 0, 0};
    std::cout << "  6 s of load; kill -9 of daemon " << site.nodeName(0) << " at 2 s and of target "
              << support::serviceName(user.m_plan.m_groups.front(), 0) << "-1 at 3 s\n";
    const load::LoadResult result = load::runLoad(
        options, {{seconds(2), [&site] { site.node(0).kill(); }},
                  {seconds(3), [&site, &target] { site.targetProcess(target).kill(); }}});
    std::cout << load::reportTable(load::summarise(result));
    for (const std::string &problem : result.m_problems) {
        std::cout << "  WRONG " << problem << "\n";
    }
    bool answered = true;
    for (const load::KindSummary &kind : load::summarise(result)) {
        answered = answered && kind.m_answered == kind.m_sent;
    }
    std::cout << "  answers whose coverage, snapshot or entries were wrong: "
              << (result.m_problems.empty() ? "none" : "SOME")
              << ", requests without an answer: " << (answered ? "none" : "SOME") << "\n";
    return ranTruly(site, result) && result.m_problems.empty() && answered;
}

bool show(User user, const std::string &programs)
{
    user.m_plan.m_groups.front().m_firstAlone = true;
    int targets = 0;
    for (const support::GroupPlan &group : user.m_plan.m_groups) {
        targets += group.m_services * group.m_replicas;
    }
    std::cout << user.m_plan.m_firm << ": " << user.m_plan.m_nodes << " daemons in "
              << user.m_plan.m_dataCentres.size() << " data centres, " << targets << " targets\n";
    Site site(user.m_plan, programs);
    site.startNodes();
    const bool kinds = showKinds(site, user);
    const bool failures = showFailures(site, user);
    std::cout << (kinds && failures ? "  as it should be\n\n" : "  NOT AS IT SHOULD BE\n\n")
              << std::flush;
    return kinds && failures;
}

} // namespace

int main()
{
    const std::vector<User> users{
        {support::sendernettPlan(9),
         {"fault-history-search", "alarm-lookup", "manual-fetch", "work-order"},
         "fault-history-search:3,alarm-lookup:2,manual-fetch:2,work-order:1"},
        {support::kilwaPlan(8),
         {"land-claim-search", "quick-lookup", "accession-search", "box-request"},
         "land-claim-search:3,quick-lookup:2,accession-search:2,box-request:1"}};
    try {
        const std::string programs =
            std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
        bool good = true;
        for (const User &user : users) {
            good = show(user, programs) && good;
        }
        return good ? 0 : 1;
    } catch (const std::exception &failure) {
        std::cerr << "arbutusgrade-demo: " << failure.what() << std::endl;
        return 1;
    }
}
