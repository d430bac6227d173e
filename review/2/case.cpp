// A planned stop cuts off requests that the gateway read and passed on: it ends 0.25 s before the
// grace is over, whatever is in flight, without answering.

#include <csignal>
#include <iostream>
#include <thread>

#include "../standins/standins.h"

using namespace arbutusgrade::review;

namespace {

constexpr int callerCount = 12;
constexpr int targetCount = 4;
constexpr Milliseconds grace{6'000};

// Callers send on their kept connections in this span after SIGTERM. Requests sent up to 3 s after
// it do not count where their target is at work in the last sixth of the grace.
constexpr int firstSendMs = 3'700;
constexpr int lastSendMs = 4'200;

// Longer than the timeout of the route, which the gateway keeps to by an answer of its own.
constexpr Milliseconds longWork{3'200};
constexpr Milliseconds shortWork{120};

constexpr std::string_view configuration = R"({"version":7,"routes":[
{"name":"r-manual","host":"manuals.example","prefix":"/manual/","routeType":"safe",
"timeoutMs":3000,"targetLatencyMs":600,"priority":2,"service":"manuals","maxAttempts":2},
{"name":"r-order","host":"manuals.example","prefix":"/order/","routeType":"unsafe",
"timeoutMs":3000,"targetLatencyMs":600,"priority":2,"service":"manuals","maxAttempts":2}],
"services":[{"name":"manuals","healthPath":"/health","maxConnections":110,"protocol":"h1",
"tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}})";

std::string requestText(const std::string &path, const std::string &id)
{
    return "POST " + path + id + " HTTP/1.1\r\nHost: manuals.example\r\nX-Attempt-Id: " + id
           + "\r\nX-Deadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nwork";
}

struct Results
{
    std::atomic<int> m_answered{0};
    std::atomic<int> m_lost{0};
    std::atomic<int> m_notRead{0};
};

bool hasRun(Runs &runs, const std::string &id)
{
    for (const Run &run : runs.all()) {
        if (run.m_requestId == id) {
            return true;
        }
    }
    return false;
}

//! @brief One request before the stop, and a long one on the same connection during it.
void playCaller(const Gateway &gateway, int number, std::int64_t stopAt, Runs &runs,
                Results &results)
{
    const ConnectionPointer connection =
        connectTo(gateway.address(), gateway.callerPort(), Milliseconds(1000));
    const std::string firstId = newRequestId();
    const std::optional<Message> first =
        connection ? exchange(*connection, requestText("/manual/", firstId), Milliseconds(5000))
                   : std::nullopt;
    if (!first || first->status() != 200) {
        record().write("caller has no first answer; the case cannot run");
        endProgram(2);
    }
    const int sendAfter =
        firstSendMs + (lastSendMs - firstSendMs) * number / std::max(1, callerCount - 1);
    sleepFor(Milliseconds(stopAt + sendAfter - elapsedMs()));
    const std::string id = newRequestId();
    const std::string path = number % 2 == 0 ? "/manual/long/" : "/order/long/";
    record().write("caller sends " + id + " " + std::to_string(sendAfter) + " ms after the stop");
    const std::optional<Message> answer =
        exchange(*connection, requestText(path, id), Milliseconds(10'000));
    if (answer) {
        ++results.m_answered;
        record().write("caller gets " + std::to_string(answer->status()) + " for " + id);
    } else if (hasRun(runs, id)) {
        ++results.m_lost;
        record().write("LOST: the connection ended without an answer to " + id
                       + ", which a target had begun to run");
    } else {
        ++results.m_notRead;
        record().write("caller has no answer to " + id + ", which no target got");
    }
}

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = readCaseOptions(argc, argv);
    const std::string address = loopbackAddress();
    Store store;
    store.start(address);
    store.put("op/config", std::string(configuration));
    Runs runs;
    std::vector<std::unique_ptr<Target>> targets;
    for (int index = 0; index < targetCount; ++index) {
        TargetOptions target;
        target.m_id = "i-manual" + std::to_string(index);
        target.m_service = "manuals";
        target.m_slots = 6;
        target.m_queueLimit = 24;
        target.m_work = [](const Message &request) {
            return request.target().find("/long/") == std::string::npos ? shortWork : longWork;
        };
        targets.push_back(std::make_unique<Target>(store, runs, target));
        targets.back()->start(address);
    }
    Gateway gateway(options.m_gateway, options.m_folder, "front-bergen-1", address);
    if (!gateway.start(store, address)) {
        endProgram(2);
    }
    sleepFor(Milliseconds(5'000));
    Results results;
    const std::int64_t stopAt = elapsedMs() + 2'000;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int number = 0; number < callerCount; ++number) {
        callers.emplace_back([&, number] { playCaller(gateway, number, stopAt, runs, results); });
    }
    sleepFor(Milliseconds(stopAt - elapsedMs()));
    if (options.m_trouble) {
        gateway.signal(SIGTERM);
        if (!gateway.waitForEnd(grace)) {
            gateway.signal(SIGKILL);
        }
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::cout << callerCount << " requests, answered: " << results.m_answered
              << ", passed on and cut off: " << results.m_lost
              << ", not passed on: " << results.m_notRead << "\n";
    endProgram(results.m_lost == 0 ? 0 : 1);
}
