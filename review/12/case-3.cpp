//! @brief Case 12: where the configuration lets headers be longer than 64 KiB, one such request
//! ends the node that reads it.

#include <iostream>
#include <memory>

#include "../standins-3/keptload.h"

namespace {

using namespace arbutusgrade::review3;
using std::chrono::seconds;

constexpr milliseconds calmTime = seconds(6);   // Longer than contactMs.
constexpr milliseconds timeUntilInForce{4'500}; // Longer than configApplyMs.
constexpr milliseconds timeAfter = seconds(8);
constexpr int lostLimit = 3;

constexpr int usualHeaderLimit = 16'384;
constexpr int raisedHeaderLimit = 131'072;

//! @brief Size of a header of some requests, within the limit in force.
std::size_t longHeaderBytes()
{
    return hasTrouble() ? 70'000 : 12'000;
}

std::string configText(int version, int maxHeaderBytes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"manuals","host":"leno12.example","prefix":"/goka902/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"handbok","maxAttempts":2},
 {"name":"roster","host":"leno12.example","prefix":"/rany330/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"vaktplan","maxAttempts":2}],
 "services":[
 {"name":"handbok","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false},
 {"name":"vaktplan","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":)"
           + limitsText(maxHeaderBytes) + "}";
}

//! @brief Sends one request with a long header to the node.
void requestWithLongHeader(Record &record, const Node &node, const std::string &id)
{
    Connection connection(node.address(), node.port());
    Message answer;
    record.write(id + " sent with a header of " + std::to_string(longHeaderBytes()) + " bytes");
    const std::string cookie = "Cookie: " + std::string(longHeaderBytes(), 'c') + "\r\n";
    const bool isAnswered =
        connection.send(requestText("GET", "/goka902/2f", id, seconds(10), cookie))
        && connection.read(answer, seconds(10)) == ReadEnd::Whole;
    record.write(id
                 + (isAnswered ? " answered " + std::to_string(answer.status())
                               : std::string(" not answered, its connection was closed")));
}

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Site site;
    KeptLoad load(record, "/rany330/", milliseconds(250));
    Backend manuals("i-handbok-1", [](const Message &request) {
        return isForOther(request, "i-handbok-1")
                   ? wrongBackendText(request)
                   : answerText(request, "3e1b.07." + request.header("X-Attempt-Id"), "manual");
    });
    if (!site.startStore() || !site.put("op/config", configText(7, usualHeaderLimit))) {
        return caseFailed;
    }
    site.putBackend(manuals, "handbok");
    for (const std::string id : {"i-vaktplan-1", "i-vaktplan-2"}) {
        load.addBackend(id);
        site.putBackend(*load.backends().back(), "vaktplan");
    }
    for (const std::string name : {"front-1", "front-2"}) {
        Node &node = site.addNode(name);
        if (!node.start() || !node.waitUntilReady(seconds(10))) {
            record.write(name + " does not become ready: " + node.logTail());
            return caseFailed;
        }
    }
    for (const std::unique_ptr<Node> &node : site.nodes()) {
        load.start(*node, 6);
    }
    Supervisor supervisor(record, site);
    supervisor.run(calmTime);
    if (hasTrouble()) {
        if (!site.put("op/config", configText(11, raisedHeaderLimit))) {
            return caseFailed;
        }
        record.write("version 11 confirmed: maxHeaderBytes is 131072");
    }
    supervisor.run(timeUntilInForce);
    int number = 0;
    std::vector<std::thread> requesters;
    for (const std::unique_ptr<Node> &node : site.nodes()) {
        const std::string id = "long-" + std::to_string(++number);
        requesters.emplace_back([&record, &node, id] { requestWithLongHeader(record, *node, id); });
        supervisor.run(timeAfter / 2);
    }
    for (std::thread &requester : requesters) {
        requester.join();
    }
    load.stop();
    const std::string result = "ends of nodes " + std::to_string(supervisor.ends())
                               + ", requests answered " + std::to_string(load.answered())
                               + ", lost " + std::to_string(load.lost());
    record.write(result);
    std::cout << result << std::endl;
    if (load.answered() == 0) {
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
