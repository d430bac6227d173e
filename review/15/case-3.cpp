//! @brief Case 15: a report of a backend that the store executes late brings the backend back into
//! use after it has left.

#include <iostream>
#include <memory>

#include "../standins-3/keptload.h"

namespace {

using namespace arbutusgrade::review3;
using std::chrono::seconds;

constexpr int requestersOfNode = 4;
constexpr milliseconds workTime{60};
constexpr milliseconds calmTime = seconds(6); // Longer than contactMs.

// Of the site.
constexpr milliseconds reportInterval{1'200};
constexpr milliseconds silenceOfGoneBackend = 3 * reportInterval;
constexpr milliseconds drainTime{3'000};
constexpr milliseconds contactTime{4'000};

// From the moment at which the report is sent whose answer is lost.
constexpr milliseconds removalAt = contactTime + milliseconds(300);
constexpr milliseconds lateExecutionAt{5'800}; // 1 to 6 s.
constexpr milliseconds endAt = lateExecutionAt + silenceOfGoneBackend;

// In the reports.
constexpr int firstConcurrency = 6;
constexpr int laterConcurrency = 5;

const std::string leavingBackend = "i-vaktplan-1";
const std::string config = R"({"version":7,"routes":[
 {"name":"roster","host":"leno12.example","prefix":"/rany330/","routeType":"safe",
  "timeoutMs":10000,"targetLatencyMs":600,"priority":2,"service":"vaktplan","maxAttempts":2}],
 "services":[
 {"name":"vaktplan","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
 "limits":)" + limitsText() + "}";

//! @brief What arrived at the backend that leaves.
struct Arrivals
{
    Record &m_record;
    std::mutex m_mutex;
    std::vector<Clock::time_point> m_times;

    std::string answer(const Message &request, const std::string &id)
    {
        if (isForOther(request, id)) {
            return wrongBackendText(request);
        }
        const std::string attempt = request.header("X-Attempt-Id");
        if (id == leavingBackend) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_times.push_back(Clock::now());
            m_record.write(attempt + " arrives at " + id);
        }
        std::this_thread::sleep_for(workTime);
        return answerText(request, id + ".07.5a2." + attempt, "roster");
    }
    int countBetween(Clock::time_point begin, Clock::time_point end)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        int count = 0;
        for (const Clock::time_point time : m_times) {
            count += time > begin && time <= end ? 1 : 0;
        }
        return count;
    }
};

struct Answers
{
    std::atomic<int> m_good{0};
    std::atomic<int> m_other{0};
};

void requestRoster(const Node &node, const std::string &name, const std::atomic<bool> &stopping,
                   Answers &answers)
{
    int number = 0;
    while (!stopping) {
        Connection connection(node.address(), node.port());
        bool isOpen = connection.isOpen();
        while (!stopping && isOpen) {
            const std::string id = name + '-' + std::to_string(++number);
            Message answer;
            isOpen = connection.send(requestText("GET", "/rany330/2f", id, seconds(10)))
                     && connection.read(answer, seconds(10)) == ReadEnd::Whole;
            const bool isGood = isOpen && answer.status() == 200;
            ++(isGood ? answers.m_good : answers.m_other);
            isOpen = isOpen && !answer.endsConnection();
            std::this_thread::sleep_for(milliseconds(40));
        }
    }
}

//! @brief Writes the reports of the backends.
class Reports
{
public:
    Reports(Record &record, Site &site, std::vector<std::unique_ptr<Backend>> &backends)
        : m_record(record), m_site(site), m_backends(backends)
    {
    }

    bool writeAll()
    {
        ++m_sequence;
        bool isTaken = true;
        for (const std::unique_ptr<Backend> &backend : m_backends) {
            const bool isGone = m_hasLeft && backend->id() == leavingBackend;
            isTaken = isTaken && (isGone || write(*backend, m_sequence));
        }
        return isTaken;
    }
    //! @brief As writeAll(), but the report of the backend that is to leave is not executed.
    void loseOne()
    {
        ++m_sequence;
        m_lostSequence = m_sequence;
        for (const std::unique_ptr<Backend> &backend : m_backends) {
            if (backend->id() != leavingBackend) {
                write(*backend, m_sequence);
            }
        }
        m_record.write(leavingBackend + " sends report " + std::to_string(m_lostSequence)
                       + "; the store does not answer it and has not executed it yet");
    }
    void executeLost()
    {
        m_record.write("the store executes report " + std::to_string(m_lostSequence) + " of "
                       + leavingBackend);
        write(*m_backends.front(), m_lostSequence);
    }
    bool removeEntry()
    {
        m_hasLeft = true;
        const bool isTaken = m_site.remove("servers/" + leavingBackend);
        m_record.write("the store confirms that the entry of " + leavingBackend + " is removed");
        return isTaken;
    }

private:
    //! @brief All reports after the lost one say another concurrency, so that more than `sequence`
    //! changes with them.
    bool write(const Backend &backend, int sequence)
    {
        const bool isAfterLost = m_lostSequence > 0 && sequence > m_lostSequence;
        return m_site.putBackend(
            backend, "vaktplan",
            StatusReport{sequence, isAfterLost ? laterConcurrency : firstConcurrency});
    }

    Record &m_record;
    Site &m_site;
    std::vector<std::unique_ptr<Backend>> &m_backends;
    int m_sequence = 0;
    int m_lostSequence = 0;
    bool m_hasLeft = false;
};

int run(const std::string &folder)
{
    Record record(folder + "/record.txt");
    Site site;
    Arrivals arrivals{record, {}, {}};
    std::vector<std::unique_ptr<Backend>> backends;
    if (!site.startStore() || !site.put("op/config", config)) {
        return caseFailed;
    }
    for (const std::string id : {"i-vaktplan-1", "i-vaktplan-2", "i-vaktplan-3"}) {
        backends.push_back(std::make_unique<Backend>(
            id, [&arrivals, id](const Message &request) { return arrivals.answer(request, id); }));
    }
    Reports reports(record, site, backends);
    if (!reports.writeAll()) {
        return caseFailed;
    }
    for (const std::string name : {"front-1", "front-2"}) {
        Node &node = site.addNode(name);
        if (!node.start() || !node.waitUntilReady(seconds(10))) {
            record.write(name + " does not become ready: " + node.logTail());
            return caseFailed;
        }
    }
    std::atomic<bool> stopping{false};
    Answers answers;
    std::vector<std::thread> requesters;
    for (const std::unique_ptr<Node> &node : site.nodes()) {
        for (int number = 0; number < requestersOfNode; ++number) {
            const std::string name = node->name() + '-' + std::to_string(number);
            requesters.emplace_back([&node, &stopping, &answers, name] {
                requestRoster(*node, name, stopping, answers);
            });
        }
    }
    for (milliseconds time{0}; time < calmTime; time += reportInterval) {
        reports.writeAll();
        std::this_thread::sleep_for(reportInterval);
    }
    const Clock::time_point start = Clock::now();
    if (hasTrouble()) {
        reports.loseOne();
    } else {
        reports.writeAll();
    }
    // The disruption of the store is over. The reports go on.
    for (milliseconds at = reportInterval; at < removalAt; at += reportInterval) {
        std::this_thread::sleep_until(start + at);
        reports.writeAll();
    }
    std::this_thread::sleep_until(start + removalAt);
    bool isTaken = reports.removeEntry();
    const Clock::time_point removal = Clock::now();
    std::this_thread::sleep_until(start + 4 * reportInterval);
    reports.writeAll();
    std::this_thread::sleep_until(start + lateExecutionAt);
    if (hasTrouble()) {
        reports.executeLost();
    }
    for (milliseconds at = 5 * reportInterval; at < endAt; at += reportInterval) {
        std::this_thread::sleep_until(start + at);
        reports.writeAll();
    }
    std::this_thread::sleep_until(start + endAt);
    if (hasTrouble()) {
        // Three intervals of silence since the late report.
        isTaken = isTaken && reports.removeEntry();
    }
    std::this_thread::sleep_for(seconds(2));
    stopping = true;
    for (std::thread &requester : requesters) {
        requester.join();
    }
    const int before = arrivals.countBetween(start, removal);
    const int late = arrivals.countBetween(removal + drainTime, Clock::now());
    const int lateOfFirst =
        arrivals.countBetween(removal + drainTime, removal + silenceOfGoneBackend);
    const std::string result = "arrivals at " + leavingBackend + " before its entry was removed "
                               + std::to_string(before) + ", later than drainMs after it "
                               + std::to_string(late) + ", of these " + std::to_string(lateOfFirst)
                               + " within three report intervals of it; requests answered well "
                               + std::to_string(answers.m_good) + ", otherwise "
                               + std::to_string(answers.m_other);
    record.write(result);
    std::cout << result << std::endl;
    if (!isTaken || before == 0) {
        return caseFailed;
    }
    return late > 0 ? ruleBroken : ruleHeld;
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
