//! @brief Case 15: entries of another writer, which name no backend, take nodes over their memory.

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <csignal>

#include "../standins-3/keptload.h"

namespace {

using namespace arbutusgrade::review3;
using std::chrono::seconds;

constexpr milliseconds calmTime = seconds(6); // Longer than contactMs.
constexpr milliseconds longestWritingTime = seconds(60);
constexpr milliseconds timeAfter = seconds(35);
constexpr milliseconds lookInterval{20};
constexpr milliseconds restartDelay = seconds(1);

// Of the site: memoryMb in the settings, valueBytes of the store.
constexpr long memoryLimitKilobytes = 260L * 1024;
constexpr std::size_t valueBytes = 1'000'000; // At most 1,048,576.
constexpr int entryCount = 300;
constexpr int entriesOfCall =
    3; // Their text is below 4 MiB, which the stand-in of the store takes.

// As in the rule Fault.
constexpr int endsOfOneMachine = 3;
constexpr int machinesWithEnds = 2;

const std::string config = R"({"version":7,"routes":[
 {"name":"roster","host":"leno12.example","prefix":"/rany330/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"vaktplan","maxAttempts":2}],
 "services":[
 {"name":"vaktplan","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":)" + limitsText() + "}";

long residentKilobytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::atol(line.c_str() + std::string("VmRSS:").size());
        }
    }
    return 0;
}

//! @brief Kills a process that takes more memory than its machine has, and starts it again, as the
//! platform does.
class Platform
{
public:
    Platform(Record &record, Site &site) : m_record(record), m_site(site) { }

    void run(milliseconds time)
    {
        const Clock::time_point end = Clock::now() + time;
        while (Clock::now() < end) {
            for (const std::unique_ptr<Node> &node : m_site.nodes()) {
                look(*node);
            }
            std::this_thread::sleep_for(lookInterval);
        }
    }

    //! @brief Number of nodes that have ended so often.
    int nodesThatEnded(int times) const
    {
        int nodes = 0;
        for (const std::pair<const std::string, int> &ends : m_ends) {
            nodes += ends.second >= times ? 1 : 0;
        }
        return nodes;
    }
    long peakKilobytes() const
    {
        return m_peak;
    }

private:
    void look(Node &node)
    {
        if (node.process().ended()) {
            const auto restart = m_restartAt.find(node.name());
            if (restart == m_restartAt.end()) {
                m_restartAt[node.name()] = Clock::now() + restartDelay;
                ++m_ends[node.name()];
                m_record.write(node.name() + " ENDED, for the "
                               + std::to_string(m_ends[node.name()]) + ". time");
            } else if (Clock::now() >= restart->second) {
                m_restartAt.erase(restart);
                node.start();
                m_record.write(node.name() + " started again by the platform");
            }
            return;
        }
        const long memory = residentKilobytes(node.process().id());
        m_peak = std::max(m_peak, memory);
        if (memory > memoryLimitKilobytes) {
            m_record.write(node.name() + " takes " + std::to_string(memory)
                           + " kB, more than memoryMb; the platform kills it");
            node.process().signal(SIGKILL);
        }
    }

    Record &m_record;
    Site &m_site;
    std::map<std::string, Clock::time_point> m_restartAt; //!< By node.
    std::map<std::string, int> m_ends;                    //!< By node.
    long m_peak = 0;
};

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Site site;
    KeptLoad load(record, "/rany330/", milliseconds(250));
    if (!site.startStore() || !site.put("op/config", config)) {
        return caseFailed;
    }
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
    Platform platform(record, site);
    platform.run(calmTime);
    std::atomic<bool> isWritten{false};
    std::thread writer([&site, &record, &isWritten] {
        if (!hasTrouble()) {
            return;
        }
        record.write("another writer begins to write entries");
        const std::string value(valueBytes, 'x');
        bool isTaken = true;
        for (int number = 0; number < entryCount && isTaken; number += entriesOfCall) {
            std::vector<std::pair<std::string, std::string>> items;
            for (int item = number; item < number + entriesOfCall; ++item) {
                items.emplace_back("servers/other-" + std::to_string(item), value);
            }
            isTaken = site.putAll(items);
        }
        isWritten = isTaken;
        record.write("another writer has written its entries");
    });
    const Clock::time_point longestWriting = Clock::now() + longestWritingTime;
    while (hasTrouble() && !isWritten && Clock::now() < longestWriting) {
        platform.run(lookInterval);
    }
    platform.run(timeAfter);
    writer.join();
    load.stop();
    const std::string result =
        "nodes that ended three times or more " + std::to_string(platform.nodesThatEnded(3))
        + ", once or more " + std::to_string(platform.nodesThatEnded(1)) + ", largest memory "
        + std::to_string(platform.peakKilobytes()) + " kB, requests answered "
        + std::to_string(load.answered()) + ", lost " + std::to_string(load.lost());
    record.write(result);
    std::cout << result << std::endl;
    if (load.answered() == 0 || (hasTrouble() && !isWritten)) {
        return caseFailed;
    }
    return platform.nodesThatEnded(endsOfOneMachine) >= machinesWithEnds ? ruleBroken : ruleHeld;
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
