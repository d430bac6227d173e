#include <algorithm>
#include <iostream>

#include "../standins-2/standins.h"

//! @brief A server that leaves says so in all its answers, while one node is cut off from the store
//! and doesn't see the server's report there.
//!
//! DRAIN: no request that a caller sends later than drainMs after the node has passed on such an
//! answer reaches that server from that node, in touch or not.

using namespace review;

namespace {

constexpr int serverCount = 3;
constexpr int callersOfNode = 6;
constexpr double drainSeconds = 3.0;
constexpr Milliseconds drainTime{3'000};

// "and a little longer (at times many seconds)" (PROTOCOL.md, Service discovery).
constexpr Milliseconds servedLonger{2'000};

// core_cut: one machine, 5.5 s at most.
constexpr Milliseconds cutTime{5'500};

constexpr Milliseconds workTime{60};
constexpr Milliseconds timeBetweenOrders{30};
constexpr const char *leavingHeader = "Server-Leaving: 1\r\n";

struct Site
{
    Site(const CaseOptions &options) : m_record(options.m_record) { }

    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Server>> m_servers; //!< The first one leaves.
    std::vector<std::unique_ptr<Node>> m_nodes;     //!< The first one is cut off and has callers.
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isEnding{false};
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
};

bool startServers(Site &site)
{
    for (int index = 0; index < serverCount; ++index) {
        site.m_servers.push_back(std::make_unique<Server>(
            site.m_store, site.m_record, "i-order" + std::to_string(index), "orders", "north"));
        const bool isStarted =
            site.m_servers.back()->start([&site, index](Server &self, const Arrival &arrival,
                                                        const ConnectionPointer &connection) {
                sleepFor(workTime);
                const bool isLeaving = index == 0 && site.m_isLeaving;
                return connection->write(
                    self.success(arrival, "done", isLeaving ? leavingHeader : ""));
            });
        if (!isStarted) {
            return false;
        }
    }
    site.m_store.put(
        "op/config",
        makeConfiguration(1, {makeRoute("order", "/orders/", "unsafe", "orders")}, {"orders"}));
    return true;
}

bool startNodes(Site &site, const CaseOptions &options)
{
    for (const std::string &zone : std::vector<std::string>{"north", "south", "west"}) {
        const std::uint16_t entry = site.m_store.openEntry("127.0.0.1");
        site.m_nodes.push_back(
            std::make_unique<Node>(options.m_gateway, options.m_folder,
                                   NodeOptions{"front-" + zone, zone, "127.0.0.1", entry}));
        if (entry == 0 || !site.m_nodes.back()->start()
            || !site.m_nodes.back()->waitUntilReady(Milliseconds(10'000))) {
            return false;
        }
    }
    return true;
}

void placeOrders(Site &site)
{
    Caller caller(*site.m_nodes.front(), site.m_record);
    while (!site.m_isEnding) {
        const Outcome outcome = caller.send({"POST", "/orders/a", "order"});
        {
            const std::lock_guard<std::mutex> lock(site.m_mutex);
            site.m_outcomes.push_back(outcome);
        }
        sleepFor(timeBetweenOrders);
    }
}

//! @brief When the node had passed on the first answer of the server that it leaves.
std::optional<double> toldAt(const Site &site)
{
    std::optional<double> first;
    for (const Outcome &outcome : site.m_outcomes) {
        if (!outcome.m_answer.header("server-leaving").empty()) {
            first = std::min(first.value_or(outcome.m_answeredAt), outcome.m_answeredAt);
        }
    }
    return first;
}

int judge(Site &site)
{
    const std::optional<double> told = toldAt(site);
    std::map<std::string, double> sentAt;
    int cutOff = 0;
    for (const Outcome &outcome : site.m_outcomes) {
        sentAt[outcome.m_id] = outcome.m_sentAt;
        cutOff += outcome.m_status == 502 || outcome.m_status == 504 ? 1 : 0;
    }
    int late = 0;
    for (const Arrival &arrival : site.m_servers.front()->arrivals()) {
        late += told && sentAt[arrival.m_id] > *told + drainSeconds ? 1 : 0;
    }
    const std::string text = (told ? "told at " + std::to_string(*told) : std::string("never told"))
                             + "; " + std::to_string(late)
                             + " orders sent later than drainMs after that reached the server, "
                             + std::to_string(cutOff) + " of "
                             + std::to_string(site.m_outcomes.size()) + " orders were cut off";
    site.m_record.line(text);
    std::cout << text << '\n';
    return late > 0 ? ruleBroken : ruleHeld;
}

int run(const CaseOptions &options)
{
    Site site(options);
    if (!startServers(site) || !startNodes(site, options)) {
        return couldNotRun;
    }
    sleepFor(Milliseconds(4'500));
    std::vector<std::thread> callers(callersOfNode);
    for (std::thread &caller : callers) {
        caller = std::thread(placeOrders, std::ref(site));
    }
    sleepFor(Milliseconds(1'000));
    const std::uint16_t entry = site.m_nodes.front()->options().m_storePort;
    if (hasTrouble()) {
        site.m_store.setCut(entry, true);
        site.m_record.line("node front-north is cut off from the store");
    }
    Server &leaving = *site.m_servers.front();
    site.m_isLeaving = true;
    leaving.reportState("draining");
    site.m_record.line("the store accepts that " + leaving.id() + " is draining");
    sleepFor(drainTime + servedLonger);
    leaving.crash();
    leaving.removeEntry();
    site.m_record.line("server " + leaving.id() + " has left");
    sleepFor(cutTime - drainTime - servedLonger);
    site.m_store.setCut(entry, false);
    site.m_isEnding = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const int verdict = judge(site);
    site.m_nodes.clear();
    site.m_store.close();
    return verdict;
}

} // namespace

int main(int argc, char **argv)
{
    const std::optional<CaseOptions> options = parseArguments(argc, argv);
    return options ? run(*options) : couldNotRun;
}
