#include <algorithm>
#include <iostream>

#include "../standins-2/standins.h"

//! @brief A node that relays the store's changes to others is cut off from the store, and a server
//! leaves whose entry is removed without having said "draining".
//!
//! DRAIN: no request reaches it later than drainMs after the store has confirmed the removal, from
//! nodes that are in touch. Only the others of the zone get requests, which reach the store.

using namespace review;

namespace {

constexpr int nodeCount = 9;
constexpr int rounds = 5;
constexpr double drainSeconds = 3.0;

// core_cut: one machine, 5.5 s at most.
constexpr Milliseconds cutTime{5'500};

// Followers return to a relay 5 s after it has failed them.
constexpr Milliseconds timeBetweenRounds{8'000};

constexpr Milliseconds timeToSettle{10'000};
constexpr Milliseconds timeBetweenRequests{20};

struct Site
{
    Site(const CaseOptions &options) : m_record(options.m_record) { }

    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Server>> m_servers; //!< One for each round.
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::atomic<int> m_round{0};
    std::atomic<const Node *> m_relay{nullptr}; //!< Gets no requests.
    std::atomic<bool> m_isEnding{false};
};

std::string serviceOf(int round)
{
    return "shelf" + std::to_string(round);
}

bool startServers(Site &site)
{
    json::array routes;
    std::vector<std::string> services;
    for (int round = 0; round < rounds; ++round) {
        const std::string service = serviceOf(round);
        site.m_servers.push_back(std::make_unique<Server>(site.m_store, site.m_record,
                                                          "i-" + service, service, "north"));
        services.push_back(service);
        routes.push_back(makeRoute(service, "/" + service + "/", "safe", service));
        const bool isStarted = site.m_servers.back()->start(
            [](Server &self, const Arrival &arrival, const ConnectionPointer &connection) {
                sleepFor(Milliseconds(5));
                return connection->write(self.success(arrival, "record"));
            });
        if (!isStarted) {
            return false;
        }
    }
    site.m_store.put("op/config", makeConfiguration(1, routes, services));
    return true;
}

bool startNodes(Site &site, const CaseOptions &options)
{
    for (int index = 1; index <= nodeCount; ++index) {
        const std::uint16_t entry = site.m_store.openEntry("127.0.0.1");
        const std::string number = std::to_string(index);
        site.m_nodes.push_back(std::make_unique<Node>(
            options.m_gateway, options.m_folder,
            NodeOptions{"front-" + number, "north", "127.0.0." + number, entry}));
        if (entry == 0 || !site.m_nodes.back()->start()) {
            return false;
        }
    }
    return std::all_of(site.m_nodes.begin(), site.m_nodes.end(),
                       [](const std::unique_ptr<Node> &node) {
                           return node->waitUntilReady(Milliseconds(10'000));
                       });
}

//! @brief The relay that the node asks, by the last line of its log that tells it.
std::string relayOf(const Node &node)
{
    static constexpr std::string_view event = "\"relay-changed\"";
    static constexpr std::string_view field = "\"to\":\"";
    const std::string output = node.output();
    const std::size_t line = output.rfind(event);
    const std::size_t start = line == std::string::npos ? line : output.find(field, line);
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t name = start + field.size();
    return output.substr(name, output.find('"', name) - name);
}

//! @brief The relay that most nodes ask, or null.
const Node *busiestRelay(const Site &site)
{
    std::map<std::string, int> followers;
    for (const std::unique_ptr<Node> &node : site.m_nodes) {
        ++followers[relayOf(*node)];
    }
    const Node *busiest = nullptr;
    int most = 0;
    for (const std::unique_ptr<Node> &node : site.m_nodes) {
        const int count = followers[node->options().m_name];
        if (count > most) {
            busiest = node.get();
            most = count;
        }
    }
    return busiest;
}

void sendRequests(Site &site, const Node &node)
{
    Caller caller(node, site.m_record);
    while (!site.m_isEnding) {
        if (site.m_relay != &node) {
            caller.send({"GET", "/" + serviceOf(site.m_round) + "/a", ""});
        }
        sleepFor(timeBetweenRequests);
    }
}

//! @brief Returns how many requests came too late to the server that leaves in this round.
int playRound(Site &site, int round)
{
    const Node *const relay = busiestRelay(site);
    if (relay == nullptr) {
        return -1;
    }
    site.m_relay = relay;
    site.m_round = round;
    sleepFor(Milliseconds(1'000));
    if (hasTrouble()) {
        site.m_store.setCut(relay->options().m_storePort, true);
        site.m_record.line("relay " + relay->options().m_name + " is cut off from the store");
    }
    Server &server = *site.m_servers[static_cast<std::size_t>(round)];
    server.removeEntry();
    const double confirmed = secondsNow();
    site.m_record.line("the store confirms that " + server.id() + " is gone");
    sleepFor(cutTime);
    site.m_store.setCut(relay->options().m_storePort, false);
    int late = 0;
    double last = confirmed;
    for (const Arrival &arrival : server.arrivals()) {
        late += arrival.m_time > confirmed + drainSeconds ? 1 : 0;
        last = std::max(last, arrival.m_time);
    }
    const std::string text = server.id() + ": last request " + std::to_string(last - confirmed)
                             + " s after the removal, " + std::to_string(late)
                             + " later than drainMs";
    site.m_record.line(text);
    std::cout << text << '\n';
    return late;
}

int run(const CaseOptions &options)
{
    Site site(options);
    if (!startServers(site) || !startNodes(site, options)) {
        return couldNotRun;
    }
    sleepFor(timeToSettle);
    std::vector<std::thread> callers(site.m_nodes.size());
    for (std::size_t index = 0; index < callers.size(); ++index) {
        callers[index] = std::thread(sendRequests, std::ref(site), std::cref(*site.m_nodes[index]));
    }
    int late = 0;
    bool hasRelay = true;
    for (int round = 0; round < rounds && hasRelay; ++round) {
        const int count = playRound(site, round);
        hasRelay = count >= 0;
        late += std::max(count, 0);
        sleepFor(timeBetweenRounds);
    }
    site.m_isEnding = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    site.m_nodes.clear();
    site.m_store.close();
    if (!hasRelay) {
        return couldNotRun;
    }
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    const std::optional<CaseOptions> options = parseArguments(argc, argv);
    return options ? run(*options) : couldNotRun;
}
