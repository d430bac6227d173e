// A non-idempotent request runs twice: the late second copy of a refusal is taken for the answer
// to the next sending of the same request on the same connection.

#include <iostream>
#include <set>
#include <thread>

#include "../standins/standins.h"

using namespace arbutusgrade::review;

namespace {

// The work order services of the small deployment: 15 of them, each with 3 targets of 3 slots.
constexpr int serviceCount = 15;
constexpr int targetsPerService = 3;
constexpr Milliseconds duration{80'000};
constexpr double requestsPerSecond = 60.0;

// All targets of 12 of the 15 services (share 0.8) refuse a part of their requests for 9 s, again
// after a pause.
constexpr int refusingServices = 12;
constexpr double refusedShare = 0.6;
constexpr std::int64_t refusalsMs = 9'000;
constexpr std::int64_t refusalsPeriodMs = 11'000;

// Half of the targets send a second, late copy of a few of their answers for 5 s, again after a
// pause.
constexpr double copyShare = 0.04;
constexpr std::int64_t copiesMs = 5'000;
constexpr std::int64_t copiesPeriodMs = 6'000;

// In both texts, @ stands for the number of a service.
constexpr std::string_view routeText =
    R"({"name":"r-order@","host":"orders.example","prefix":"/order@/","routeType":"unsafe",)"
    R"("timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"orders@","maxAttempts":2})";
constexpr std::string_view serviceText =
    R"({"name":"orders@","healthPath":"/health","maxConnections":31,"protocol":"h1","tls":false})";

std::string configuration()
{
    std::string text = R"({"version":7,"routes":[)";
    std::string services;
    for (int index = 0; index < serviceCount; ++index) {
        const std::string number = std::to_string(index);
        if (index > 0) {
            text += ',';
            services += ',';
        }
        text += replaceAll(std::string(routeText), "@", number);
        services += replaceAll(std::string(serviceText), "@", number);
    }
    text += R"(],"services":[)";
    text += services;
    text += R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
            R"("idleTimeoutMs":15000}})";
    return text;
}

bool isInSpan(std::int64_t loadStarted, std::int64_t span, std::int64_t period)
{
    return loadStarted != 0 && (elapsedMs() - loadStarted) % period < span;
}

//! @brief Delay of the second copy of an answer, if one follows.
std::optional<Milliseconds> drawCopy(std::int64_t loadStarted)
{
    if (!isInSpan(loadStarted, copiesMs, copiesPeriodMs) || randomShare() >= copyShare) {
        return std::nullopt;
    }
    return Milliseconds(5 + static_cast<int>(95 * randomShare()));
}

Milliseconds drawWork(const Message & /*request*/)
{
    return Milliseconds(80 + static_cast<int>(160 * randomShare()));
}

struct Answers
{
    std::mutex m_mutex;
    std::size_t m_sent = 0;
    std::map<std::string, int> m_statusById; //!< 0: the connection ended without an answer.
};

void sendRequest(const Gateway &gateway, Answers &answers)
{
    const int service = static_cast<int>(serviceCount * randomShare());
    const std::string id = newRequestId();
    const std::string request =
        "POST /order" + std::to_string(service) + "/" + id
        + " HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 10000\r\nContent-Length: 12\r\n\r\na work order";
    record().write("caller sends " + id);
    const ConnectionPointer connection =
        connectTo(gateway.address(), gateway.callerPort(), Milliseconds(1000));
    {
        const std::lock_guard<std::mutex> lock(answers.m_mutex);
        ++answers.m_sent;
    }
    std::optional<Message> response;
    if (connection) {
        response = exchange(*connection, request, Milliseconds(10'000));
    }
    const int status = response ? response->status() : 0;
    record().write("caller gets " + std::to_string(status) + " for " + id);
    const std::lock_guard<std::mutex> lock(answers.m_mutex);
    answers.m_statusById[id] = status;
}

//! @brief Prints the requests that ran more than once, or ran though refused. True if none did.
bool check(Runs &runs, Answers &answers)
{
    std::map<std::string, std::vector<std::string>> targetsById;
    for (const Run &run : runs.all()) {
        targetsById[run.m_requestId].push_back(run.m_target);
    }
    int twice = 0;
    int refused = 0;
    const std::lock_guard<std::mutex> lock(answers.m_mutex);
    for (const std::pair<const std::string, std::vector<std::string>> &entry : targetsById) {
        const int status = answers.m_statusById[entry.first];
        if (entry.second.size() > 1) {
            ++twice;
            std::string line = "TWICE: " + entry.first + " ran at";
            for (const std::string &target : entry.second) {
                line += " " + target;
            }
            record().write(line + ", answered " + std::to_string(status));
        }
        if (status == 503 || status == 429) {
            ++refused;
            record().write("REFUSED: " + entry.first + " ran and was answered "
                           + std::to_string(status));
        }
    }
    std::map<int, int> countByStatus;
    for (const std::pair<const std::string, int> &answer : answers.m_statusById) {
        ++countByStatus[answer.second];
    }
    std::cout << answers.m_statusById.size() << " requests, ran more than once: " << twice
              << ", refused though run: " << refused << "; answers:";
    for (const std::pair<const int, int> &count : countByStatus) {
        std::cout << " " << count.first << " x " << count.second;
    }
    std::cout << "\n";
    return twice == 0 && refused == 0;
}

} // namespace

int main(int argc, char **argv)
{
    const CaseOptions options = readCaseOptions(argc, argv);
    const std::string address = loopbackAddress();
    Store store;
    store.start(address);
    store.put("op/config", configuration());
    Runs runs;
    std::atomic<std::int64_t> loadStarted = 0;
    std::vector<std::unique_ptr<Target>> targets;
    for (int index = 0; index < serviceCount * targetsPerService; ++index) {
        const int service = index / targetsPerService;
        TargetOptions target;
        target.m_id = "i-order" + std::to_string(index);
        target.m_service = "orders" + std::to_string(service);
        target.m_work = drawWork;
        if (service < refusingServices) {
            target.m_refuses = [&loadStarted] {
                return isInSpan(loadStarted, refusalsMs, refusalsPeriodMs)
                       && randomShare() < refusedShare;
            };
        }
        if (options.m_trouble && index % 2 == 0) {
            target.m_copyDelay = [&loadStarted](int /*status*/) { return drawCopy(loadStarted); };
        }
        targets.push_back(std::make_unique<Target>(store, runs, target));
        targets.back()->start(address);
    }
    Gateway gateway(options.m_gateway, options.m_folder, "front-bergen-1", address);
    if (!gateway.start(store, address)) {
        endProgram(2);
    }
    // The gateway counts 12 nodes for its first 15 s.
    sleepFor(Milliseconds(16'000));
    loadStarted = elapsedMs();
    Answers answers;
    while (elapsedMs() - loadStarted < duration.count()) {
        std::thread([&] { sendRequest(gateway, answers); }).detach();
        sleepFor(Milliseconds(static_cast<int>(2000.0 / requestsPerSecond * randomShare())));
    }
    // Every request is answered within its time of 10 s; runs end soon after that.
    for (bool all = false; !all;) {
        sleepFor(Milliseconds(500));
        const std::lock_guard<std::mutex> lock(answers.m_mutex);
        all = answers.m_sent == answers.m_statusById.size();
    }
    sleepFor(Milliseconds(1'000));
    endProgram(check(runs, answers) ? 0 : 1);
}
