// One crash of a target shuts a route for minutes: the requests of several callers for the same
// path count as one request that crashes targets, each lost one as a crash of its own.

#include <iostream>
#include <thread>

#include "../standins/standins.h"

using namespace arbutusgrade::review;

namespace {

constexpr int targetCount = 7;
// One of the 7 targets crashes at a time (share 0.14), for 4.5 s.
constexpr int crashCount = 3;
constexpr Milliseconds crashTime{4'500};
constexpr Milliseconds timeBetweenCrashes{9'000};

// Steady state: contactMs after the end of the last disruption.
constexpr Milliseconds contactTime{4'000};
constexpr Milliseconds measuredTime{15'000};
constexpr double requestsPerSecond = 120.0;
constexpr int leastRequests = 20;

std::string configuration(int version, bool withAddedRoute)
{
    const std::string added =
        withAddedRoute ? R"(,{"name":"r-summary","host":"manuals.example","prefix":"/summary/",)"
                         R"("routeType":"safe","timeoutMs":10000,"targetLatencyMs":600,)"
                         R"("priority":2,"service":"manuals","maxAttempts":2})"
                       : "";
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r-manual","host":"manuals.example","prefix":"/manual/",)"
             R"("routeType":"safe","timeoutMs":10000,"targetLatencyMs":600,"priority":2,)"
             R"("service":"manuals","maxAttempts":2})"
           + added
           + R"(],"services":[{"name":"manuals","healthPath":"/health","maxConnections":110,)"
             R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
             R"("maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

//! @brief Requests on a route in the measured time.
struct Share
{
    std::atomic<int> m_sent{0};
    std::atomic<int> m_served{0};

    double served() const
    {
        return m_sent > 0 ? static_cast<double>(m_served) / m_sent : 0.0;
    }
};

void sendRequest(const Gateway &gateway, const std::string &path, Share *share)
{
    const std::string id = newRequestId();
    const std::string request = "GET " + path
                                + " HTTP/1.1\r\nHost: manuals.example\r\nX-Attempt-Id: " + id
                                + "\r\nX-Deadline-Ms: 10000\r\n\r\n";
    const ConnectionPointer connection =
        connectTo(gateway.address(), gateway.callerPort(), Milliseconds(1000));
    record().write("caller sends " + id + " for " + path);
    const std::optional<Message> response =
        connection ? exchange(*connection, request, Milliseconds(10'000)) : std::nullopt;
    const int status = response ? response->status() : 0;
    record().write("caller gets " + std::to_string(status) + " for " + id
                   + (status == 200 ? "" : " " + (response ? response->m_body : "")));
    if (share != nullptr) {
        ++share->m_sent;
        share->m_served += status == 200 ? 1 : 0;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = readCaseOptions(argc, argv);
    const std::string address = loopbackAddress();
    Store store;
    store.start(address);
    store.put("op/config", configuration(7, false));
    Runs runs;
    std::vector<std::unique_ptr<Target>> targets;
    for (int index = 0; index < targetCount; ++index) {
        TargetOptions target;
        target.m_id = "i-manual" + std::to_string(index);
        target.m_service = "manuals";
        target.m_slots = 6;
        target.m_queueLimit = 24;
        target.m_work = [](const Message & /*request*/) {
            return Milliseconds(80 + static_cast<int>(160 * randomShare()));
        };
        targets.push_back(std::make_unique<Target>(store, runs, target));
        targets.back()->start(address);
    }
    Gateway gateway(options.m_gateway, options.m_folder, "front-bergen-1", address);
    if (!gateway.start(store, address)) {
        endProgram(2);
    }
    sleepFor(Milliseconds(2'000));
    store.put("op/config", configuration(9, true));
    sleepFor(Milliseconds(4'000));
    std::atomic<bool> ended = false;
    std::atomic<bool> measured = false;
    Share first;
    Share added;
    std::thread load([&] {
        for (int number = 0; !ended; ++number) {
            std::thread([&, number, counts = measured.load()] {
                // Each caller of the first route fetches another manual; those of the added route
                // fetch the same summary.
                if (number % 4 == 0) {
                    sendRequest(gateway, "/manual/" + newRequestId(), counts ? &first : nullptr);
                } else {
                    sendRequest(gateway, "/summary/today", counts ? &added : nullptr);
                }
            }).detach();
            sleepFor(Milliseconds(static_cast<int>(2000.0 / requestsPerSecond * randomShare())));
        }
    });
    for (int index = 0; index < crashCount; ++index) {
        sleepFor(timeBetweenCrashes - crashTime);
        Target &target = *targets[static_cast<std::size_t>(index)];
        if (options.m_trouble) {
            record().write(target.key() + " crashes");
            target.end();
        }
        sleepFor(crashTime);
        if (options.m_trouble) {
            record().write(target.key() + " is back");
            target.restart();
        }
    }
    sleepFor(contactTime + Milliseconds(1'000));
    measured = true;
    sleepFor(measuredTime);
    measured = false;
    ended = true;
    load.join();
    sleepFor(Milliseconds(1'000));
    std::cout << "served in steady state, first route: " << first.m_served << " of " << first.m_sent
              << ", added route: " << added.m_served << " of " << added.m_sent << "\n";
    if (added.m_sent < leastRequests || first.m_sent < leastRequests) {
        endProgram(2);
    }
    endProgram(added.served() * 4 >= first.served() ? 0 : 1);
}
