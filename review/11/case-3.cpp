//! @brief Case 11: one spoilt answer of a backend ends each node that receives it.

#include <iostream>
#include <memory>

#include "../standins-3/keptload.h"

namespace {

using namespace arbutusgrade::review3;
using std::chrono::seconds;

// The largest doses of `garble` in the site file: a third of a service's backends spoil 2 in 100 of
// their answers for 5.5 s.
constexpr int answersPerSpoiltOne = 50;
constexpr int firstSpoiltAnswer = 10;
constexpr milliseconds troubleTime{5'500};

constexpr milliseconds calmTime = seconds(6); // Longer than contactMs.
constexpr milliseconds timeAfter = seconds(4);
constexpr int lostLimit = 3;

// As on the sheet of the site: 45 requests a second, 160 ms of work each.
constexpr int manualRequestersOfNode = 4;
constexpr milliseconds manualWorkTime{160};

// The line that stands where the answer should end.
constexpr std::size_t spoiltLineBytes = 70'000;

const std::string config = R"({"version":7,"routes":[
 {"name":"manuals","host":"leno12.example","prefix":"/goka902/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"handbok","maxAttempts":2},
 {"name":"roster","host":"leno12.example","prefix":"/rany330/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"vaktplan","maxAttempts":2}],
 "services":[
 {"name":"handbok","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false},
 {"name":"vaktplan","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":)" + limitsText() + "}";

//! @brief Backends of which one spoils some answers.
struct Manuals
{
    Record &m_record;
    std::atomic<bool> m_inTrouble{false};
    std::atomic<int> m_answersInTrouble{0};
    std::atomic<int> m_spoilt{0};

    std::string answer(const Message &request, const std::string &id, bool isFaulty)
    {
        if (isForOther(request, id)) {
            return wrongBackendText(request);
        }
        std::this_thread::sleep_for(manualWorkTime);
        const std::string attempt = request.header("X-Attempt-Id");
        const std::string receipt = id + ".07.5a2." + attempt;
        const bool isSpoilt = isFaulty && m_inTrouble
                              && ++m_answersInTrouble % answersPerSpoiltOne == firstSpoiltAnswer;
        if (!isSpoilt) {
            return answerText(request, receipt, "manual");
        }
        ++m_spoilt;
        m_record.write(id + " spoils its answer to " + attempt);
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + receipt
               + "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nmanual\r\n0\r\nX-Rest: "
               + std::string(spoiltLineBytes, 'a') + "\r\n\r\n";
    }
};

//! @brief Sends requests for manuals, each on a connection of its own.
void requestManuals(const Node &node, const std::string &name, const std::atomic<bool> &stopping)
{
    int number = 0;
    while (!stopping) {
        const std::string id = name + '-' + std::to_string(++number);
        Connection connection(node.address(), node.port());
        Message answer;
        if (connection.send(requestText("GET", "/goka902/2f", id, seconds(10)))) {
            connection.read(answer, seconds(10));
        }
        std::this_thread::sleep_for(milliseconds(25));
    }
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Site site;
    Manuals manuals{record};
    std::vector<std::unique_ptr<Backend>> backends;
    KeptLoad load(record, "/rany330/", milliseconds(250));
    if (!site.startStore() || !site.put("op/config", config)) {
        return caseFailed;
    }
    for (const std::string id : {"i-handbok-1", "i-handbok-2", "i-handbok-3"}) {
        backends.push_back(std::make_unique<Backend>(id, [&manuals, id](const Message &request) {
            return manuals.answer(request, id, id == "i-handbok-1");
        }));
        site.putBackend(*backends.back(), "handbok");
    }
    for (const std::string id : {"i-vaktplan-1", "i-vaktplan-2"}) {
        load.addBackend(id);
        site.putBackend(*load.backends().back(), "vaktplan");
    }
    std::atomic<bool> stopping{false};
    std::vector<std::thread> requesters;
    for (const std::string name : {"front-1", "front-2"}) {
        Node &node = site.addNode(name);
        if (!node.start() || !node.waitUntilReady(seconds(10))) {
            record.write(name + " does not become ready: " + node.logTail());
            return caseFailed;
        }
    }
    for (const std::unique_ptr<Node> &node : site.nodes()) {
        load.start(*node, 6);
        for (int number = 0; number < manualRequestersOfNode; ++number) {
            const std::string name = node->name() + "-manual-" + std::to_string(number);
            requesters.emplace_back(
                [&node, &stopping, name] { requestManuals(*node, name, stopping); });
        }
    }
    Supervisor supervisor(record, site);
    supervisor.run(calmTime);
    record.write(hasTrouble() ? "i-handbok-1 begins to spoil 2 in 100 of its answers" : "calm");
    manuals.m_inTrouble = hasTrouble();
    supervisor.run(troubleTime);
    manuals.m_inTrouble = false;
    record.write("calm again");
    supervisor.run(timeAfter);
    stopping = true;
    for (std::thread &requester : requesters) {
        requester.join();
    }
    load.stop();
    const std::string result = "spoilt answers " + std::to_string(manuals.m_spoilt)
                               + ", ends of nodes " + std::to_string(supervisor.ends())
                               + ", requests answered " + std::to_string(load.answered())
                               + ", lost " + std::to_string(load.lost());
    record.write(result);
    std::cout << result << std::endl;
    if (load.answered() == 0 || (hasTrouble() && manuals.m_spoilt == 0)) {
        return caseFailed;
    }
    return load.lost() > lostLimit ? ruleBroken : ruleHeld;
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
