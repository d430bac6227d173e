#include <iostream>

#include "../standins-2/standins.h"

//! @brief A version of the configuration raises the body limit while callers keep connections open.
//!
//! DENIED: proper requests that every configuration in force allows are not refused with 413.

using namespace review;

namespace {

constexpr int callersOfNode = 10;
constexpr std::size_t bodyBytes = 100'000;
constexpr int smallLimitBytes = 65'536;
constexpr int largeLimitBytes = 262'144;

// configApplyMs, and a second more.
constexpr Milliseconds applyTime{4'000};

// DENIED: 5 + one in 500 of all requests.
constexpr int permittedRefusals = 5;
constexpr int requestsForOneMore = 500;

void applyConfiguration(Store &store, int version, int limitBytes)
{
    json::object configuration =
        makeConfiguration(version, {makeRoute("upload", "/files/", "unsafe", "files")}, {"files"});
    configuration["limits"].as_object()["maxBodyBytes"] = limitBytes;
    store.put("op/config", configuration);
}

int run(const CaseOptions &options)
{
    Record record(options.m_record);
    Store store;
    const std::uint16_t storePort = store.openEntry("127.0.0.1");
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < 4; ++index) {
        servers.push_back(std::make_unique<Server>(store, record, "i-file" + std::to_string(index),
                                                   "files", "north"));
        const bool isStarted = servers.back()->start(
            [](Server &self, const Arrival &arrival, const ConnectionPointer &connection) {
                return connection->write(self.success(arrival, "stored"));
            });
        if (!isStarted) {
            return couldNotRun;
        }
    }
    applyConfiguration(store, 1, hasTrouble() ? smallLimitBytes : largeLimitBytes);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Caller>> callers;
    const std::vector<std::string> zones{"north", "south", "west"};
    for (const std::string &zone : zones) {
        nodes.push_back(
            std::make_unique<Node>(options.m_gateway, options.m_folder,
                                   NodeOptions{"front-" + zone, zone, "127.0.0.1", storePort}));
        if (!nodes.back()->start() || !nodes.back()->waitUntilReady(Milliseconds(10'000))) {
            return couldNotRun;
        }
        for (int index = 0; index < callersOfNode; ++index) {
            callers.push_back(std::make_unique<Caller>(*nodes.back(), record));
        }
    }
    sleepFor(Milliseconds(4'500));
    for (const std::unique_ptr<Caller> &caller : callers) {
        if (caller->send({"POST", "/files/small", "small"}).m_status != 200) {
            return couldNotRun;
        }
    }
    if (hasTrouble()) {
        applyConfiguration(store, 2, largeLimitBytes);
        record.line("the store confirms version 2: bodies of up to "
                    + std::to_string(largeLimitBytes) + " bytes");
    }
    sleepFor(applyTime);
    int denied = 0;
    for (const std::unique_ptr<Caller> &caller : callers) {
        const Outcome outcome = caller->send({"POST", "/files/large", std::string(bodyBytes, 'x')});
        denied += outcome.m_status == 413 ? 1 : 0;
    }
    const int requests = 2 * static_cast<int>(callers.size());
    const int permitted = permittedRefusals + requests / requestsForOneMore;
    const std::string text = "413 for " + std::to_string(denied) + " of "
                             + std::to_string(callers.size()) + " proper requests, permitted "
                             + std::to_string(permitted);
    record.line(text);
    std::cout << text << '\n';
    nodes.clear();
    store.close();
    return denied > permitted ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    const std::optional<CaseOptions> options = parseArguments(argc, argv);
    return options ? run(*options) : couldNotRun;
}
