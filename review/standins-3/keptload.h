#pragma once

#include <set>

#include "harness.h"

namespace arbutusgrade::review3 {

//! @brief Sound backends with a fixed work time, and requesters that send one request after the
//! other to them on kept connections.
//!
//! Counts the requests that a node passed on and whose connection it closed without an answer.
class KeptLoad
{
public:
    KeptLoad(Record &record, std::string path, milliseconds workTime);
    ~KeptLoad();
    KeptLoad(const KeptLoad &) = delete;
    KeptLoad &operator=(const KeptLoad &) = delete;

    std::vector<std::unique_ptr<Backend>> &backends()
    {
        return m_backends;
    }
    void addBackend(const std::string &id);
    //! @brief Starts requesters, each with a connection of its own to the node.
    void start(const Node &node, int requesters);
    void stop();

    int answered() const
    {
        return m_answered;
    }
    int lost() const
    {
        return m_lost;
    }

private:
    void request(const std::string &address, std::uint16_t port, const std::string &name);
    bool hasArrived(const std::string &id);

    Record &m_record;
    std::string m_path;
    milliseconds m_workTime;
    std::vector<std::unique_ptr<Backend>> m_backends;
    std::mutex m_mutex;
    std::set<std::string> m_arrived; //!< Ids of requests that a backend has begun to work on.
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_answered{0};
    std::atomic<int> m_lost{0};
    std::vector<std::thread> m_requesters;
};

//! @brief Restarts a node that has ended by itself, a second later, as the platform does.
class Supervisor
{
public:
    Supervisor(Record &record, Site &site) : m_record(record), m_site(site) { }

    //! @brief Looks after the nodes for a time. Must be called by the thread that started them.
    void run(milliseconds time);
    int ends() const
    {
        return m_ends;
    }

private:
    Record &m_record;
    Site &m_site;
    std::map<std::string, Clock::time_point> m_restartAt; //!< By node.
    int m_ends = 0;
};

} // namespace arbutusgrade::review3
