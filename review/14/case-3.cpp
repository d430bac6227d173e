//! @brief Case 14: a traffic split goes on with what an earlier version of the configuration left
//! over, so that a service without weight gets requests.

#include <iostream>
#include <memory>

#include "../standins-3/keptload.h"

namespace {

using namespace arbutusgrade::review3;
using std::chrono::seconds;

constexpr int nodeCount = 6;
constexpr milliseconds requestInterval{200}; // At each node, as at the nodes of the site.
constexpr milliseconds calmTime = seconds(6);
constexpr milliseconds configApplyTime{3'000};
constexpr milliseconds timeAfter = seconds(12);
constexpr milliseconds workTime{20};

std::string configText(int version, double newWeight, double oldWeight)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"roster","host":"leno12.example","prefix":"/rany330/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"maxAttempts":2,"trafficSplit":[
   {"service":"roster-new","weight":)"
           + std::to_string(newWeight) + R"(},{"service":"roster-old","weight":)"
           + std::to_string(oldWeight) + R"(}]}],
 "services":[
 {"name":"roster-new","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false},
 {"name":"roster-old","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":)"
           + limitsText() + "}";
}

//! @brief What was run, and by which service.
struct Runs
{
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_serviceById;

    std::string answer(const Message &request, const std::string &id, const std::string &service)
    {
        if (isForOther(request, id)) {
            return wrongBackendText(request);
        }
        const std::string attempt = request.header("X-Attempt-Id");
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_serviceById[attempt] = service;
        }
        m_record.write(attempt + " run by " + service);
        std::this_thread::sleep_for(workTime);
        return answerText(request, id + ".07." + attempt, "roster");
    }
};

//! @brief Requests that were sent after the new version had to be in force.
struct LateRequests
{
    std::mutex m_mutex;
    std::vector<std::string> m_ids;
};

void requestRoster(const Node &node, const std::atomic<bool> &stopping,
                   const std::atomic<bool> &isInForce, LateRequests &late)
{
    Connection connection(node.address(), node.port());
    for (int number = 1; !stopping && connection.isOpen(); ++number) {
        std::string id = node.name();
        id += '-';
        id += std::to_string(number);
        if (isInForce) {
            const std::lock_guard<std::mutex> lock(late.m_mutex);
            late.m_ids.push_back(id);
        }
        Message answer;
        if (!connection.send(requestText("GET", "/rany330/2f", id, seconds(10)))
            || connection.read(answer, seconds(10)) != ReadEnd::Whole) {
            return;
        }
        std::this_thread::sleep_for(requestInterval - workTime);
    }
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Site site;
    Runs runs{record, {}, {}};
    // Without the disruption the weights are those of the later version from the start.
    const std::string before = hasTrouble() ? configText(7, 50, 50) : configText(7, 1, 0);
    if (!site.startStore() || !site.put("op/config", before)) {
        return caseFailed;
    }
    std::vector<std::unique_ptr<Backend>> backends;
    for (const std::string service : {"roster-new", "roster-old"}) {
        for (const std::string prefix : {"i-1-", "i-2-"}) {
            const std::string id = prefix + service;
            backends.push_back(
                std::make_unique<Backend>(id, [&runs, id, service](const Message &request) {
                    return runs.answer(request, id, service);
                }));
            site.putBackend(*backends.back(), service);
        }
    }
    for (int number = 1; number <= nodeCount; ++number) {
        Node &node = site.addNode("front-" + std::to_string(number));
        if (!node.start() || !node.waitUntilReady(seconds(10))) {
            record.write(node.name() + " does not become ready: " + node.logTail());
            return caseFailed;
        }
    }
    std::atomic<bool> stopping{false};
    std::atomic<bool> isInForce{false};
    LateRequests late;
    std::vector<std::thread> requesters;
    for (const std::unique_ptr<Node> &node : site.nodes()) {
        requesters.emplace_back([&node, &stopping, &isInForce, &late] {
            requestRoster(*node, stopping, isInForce, late);
        });
        // Requesters begin at different times.
        std::this_thread::sleep_for(milliseconds(130));
    }
    Supervisor supervisor(record, site);
    supervisor.run(calmTime);
    if (hasTrouble()) {
        if (!site.put("op/config", configText(11, 1, 0))) {
            return caseFailed;
        }
        record.write("version 11 confirmed: weight 1 for roster-new, 0 for roster-old");
    }
    supervisor.run(configApplyTime);
    isInForce = true;
    record.write("configApplyMs has passed since the confirmation");
    supervisor.run(timeAfter);
    stopping = true;
    for (std::thread &requester : requesters) {
        requester.join();
    }
    const std::lock_guard<std::mutex> lock(runs.m_mutex);
    int byOld = 0;
    int all = 0;
    for (const std::string &id : late.m_ids) {
        const auto service = runs.m_serviceById.find(id);
        all += service != runs.m_serviceById.end() ? 1 : 0;
        byOld += service != runs.m_serviceById.end() && service->second == "roster-old" ? 1 : 0;
    }
    const std::string result = "of " + std::to_string(all)
                               + " requests sent after configApplyMs, run by the old service "
                               + std::to_string(byOld);
    record.write(result);
    std::cout << result << std::endl;
    if (all == 0) {
        return caseFailed;
    }
    return byOld > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return argc == 2 ? run(argv[1]) : caseFailed;
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
        return caseFailed;
    }
}
