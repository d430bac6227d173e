#include "keptload.h"

#include <memory>

namespace arbutusgrade::review3 {

using std::chrono::seconds;

namespace {

constexpr milliseconds requestBudget = seconds(5);
constexpr milliseconds reconnectDelay{100};
constexpr milliseconds restartDelay = seconds(1);
constexpr milliseconds supervisionInterval{20};

} // namespace

KeptLoad::KeptLoad(Record &record, std::string path, milliseconds workTime)
    : m_record(record), m_path(std::move(path)), m_workTime(workTime)
{
}

KeptLoad::~KeptLoad()
{
    stop();
}

void KeptLoad::addBackend(const std::string &id)
{
    m_backends.push_back(std::make_unique<Backend>(id, [this, id](const Message &request) {
        if (isForOther(request, id)) {
            return wrongBackendText(request);
        }
        const std::string attempt = request.header("X-Attempt-Id");
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_arrived.insert(attempt);
        }
        std::this_thread::sleep_for(m_workTime);
        return answerText(request, id + ".07.5a2." + attempt, "the whole body of " + attempt);
    }));
}

void KeptLoad::start(const Node &node, int requesters)
{
    for (int number = 0; number < requesters; ++number) {
        const std::string name = node.name() + "-kept-" + std::to_string(number);
        m_requesters.emplace_back([this, address = node.address(), port = node.port(), name] {
            request(address, port, name);
        });
    }
}

void KeptLoad::stop()
{
    m_stopping = true;
    for (std::thread &requester : m_requesters) {
        requester.join();
    }
    m_requesters.clear();
}

bool KeptLoad::hasArrived(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_arrived.contains(id);
}

void KeptLoad::request(const std::string &address, std::uint16_t port, const std::string &name)
{
    int number = 0;
    while (!m_stopping) {
        Connection connection(address, port);
        int exchanges = 0;
        while (!m_stopping && connection.isOpen()) {
            const std::string id = name + '-' + std::to_string(++number);
            Message answer;
            const bool sent = connection.send(requestText("GET", m_path + id, id, requestBudget));
            const ReadEnd end = sent ? connection.read(answer, requestBudget) : ReadEnd::Closed;
            if (end == ReadEnd::Whole) {
                ++exchanges;
                ++m_answered;
                if (answer.status() != 200) {
                    m_record.write(id + " answered " + std::to_string(answer.status()));
                    std::this_thread::sleep_for(reconnectDelay);
                }
                if (answer.endsConnection()) {
                    break;
                }
                continue;
            }
            const bool isLost = end == ReadEnd::Closed && exchanges > 0 && hasArrived(id);
            m_lost += isLost ? 1 : 0;
            m_record.write(id
                           + (isLost ? " LOST: a backend works on it, and its kept connection was "
                                       "closed without an answer"
                                     : " not answered, not counted"));
            break;
        }
        if (!m_stopping) {
            std::this_thread::sleep_for(reconnectDelay);
        }
    }
}

void Supervisor::run(milliseconds time)
{
    const Clock::time_point end = Clock::now() + time;
    while (Clock::now() < end) {
        for (const std::unique_ptr<Node> &node : m_site.nodes()) {
            if (!node->process().ended()) {
                continue;
            }
            const auto restart = m_restartAt.find(node->name());
            if (restart == m_restartAt.end()) {
                ++m_ends;
                m_restartAt[node->name()] = Clock::now() + restartDelay;
                m_record.write(node->name() + " ENDED BY ITSELF, wait status "
                               + std::to_string(*node->process().ended())
                               + "; its last output: " + node->logTail());
            } else if (Clock::now() >= restart->second) {
                m_restartAt.erase(restart);
                node->start();
                m_record.write(node->name() + " started again by the platform");
            }
        }
        std::this_thread::sleep_for(supervisionInterval);
    }
}

} // namespace arbutusgrade::review3
