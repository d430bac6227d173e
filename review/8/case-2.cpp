#include <algorithm>
#include <iostream>

#include "../standins-2/standins.h"

//! @brief A version of the configuration changes the weights of a traffic split, and their scale.
//!
//! CONFIG: in steady state of 200 requests or more, each part's share lies within 0.2 of that of
//! its weight.

using namespace review;

namespace {

// Sent to each node before the change. Any number gives a fault of some size.
constexpr int requestsBefore = 65;

constexpr int judgedRequests = 200;
constexpr double permittedDifference = 0.2;
constexpr double newWeightOfTrial = 0.01;

// configApplyMs, and two seconds more.
constexpr Milliseconds applyTime{5'000};

void applyConfiguration(Store &store, int version, double stable, double trial)
{
    json::object route = makeRoute("lookup", "/lookup/", "safe", "stable");
    route.erase("service");
    route["trafficSplit"] = json::array{json::object{{"service", "stable"}, {"weight", stable}},
                                        json::object{{"service", "trial"}, {"weight", trial}}};
    store.put("op/config", makeConfiguration(version, {route}, {"stable", "trial"}));
}

int run(const CaseOptions &options)
{
    Record record(options.m_record);
    Store store;
    const std::uint16_t storePort = store.openEntry("127.0.0.1");
    std::vector<std::unique_ptr<Server>> servers;
    for (const std::string &service : std::vector<std::string>{"stable", "trial"}) {
        for (int index = 0; index < 3; ++index) {
            servers.push_back(std::make_unique<Server>(
                store, record, "i-" + service + std::to_string(index), service, "north"));
            const bool isStarted =
                servers.back()->start([service](Server &self, const Arrival &arrival,
                                                const ConnectionPointer &connection) {
                    return connection->write(self.success(arrival, service));
                });
            if (!isStarted) {
                return couldNotRun;
            }
        }
    }
    if (hasTrouble()) {
        applyConfiguration(store, 1, 90, 10);
    } else {
        applyConfiguration(store, 1, 1 - newWeightOfTrial, newWeightOfTrial);
    }
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Caller>> callers;
    for (const std::string &zone : std::vector<std::string>{"north", "south", "west"}) {
        nodes.push_back(
            std::make_unique<Node>(options.m_gateway, options.m_folder,
                                   NodeOptions{"front-" + zone, zone, "127.0.0.1", storePort}));
        if (!nodes.back()->start() || !nodes.back()->waitUntilReady(Milliseconds(10'000))) {
            return couldNotRun;
        }
        callers.push_back(std::make_unique<Caller>(*nodes.back(), record));
    }
    sleepFor(Milliseconds(4'500));
    for (int index = 0; index < requestsBefore; ++index) {
        for (const std::unique_ptr<Caller> &caller : callers) {
            if (caller->send({"GET", "/lookup/a", ""}).m_status != 200) {
                return couldNotRun;
            }
        }
    }
    if (hasTrouble()) {
        applyConfiguration(store, 2, 1 - newWeightOfTrial, newWeightOfTrial);
        record.line("the store confirms version 2: weight 0.99 for stable, 0.01 for trial");
    }
    sleepFor(applyTime);
    int served = 0;
    int trial = 0;
    for (int index = 0; index < judgedRequests; ++index) {
        const Outcome outcome = callers[static_cast<std::size_t>(index) % callers.size()]->send(
            {"GET", "/lookup/b", ""});
        served += outcome.m_status == 200 ? 1 : 0;
        trial += outcome.m_answer.m_body == "trial" ? 1 : 0;
    }
    if (served < judgedRequests) {
        return couldNotRun;
    }
    const double share = static_cast<double>(trial) / judgedRequests;
    const std::string text = "share of trial " + std::to_string(share) + " of "
                             + std::to_string(judgedRequests) + " requests, by its weight "
                             + std::to_string(newWeightOfTrial);
    record.line(text);
    std::cout << text << '\n';
    nodes.clear();
    store.close();
    return std::abs(share - newWeightOfTrial) > permittedDifference ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    const std::optional<CaseOptions> options = parseArguments(argc, argv);
    return options ? run(*options) : couldNotRun;
}
