#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "base/base.h"
#include "behaviour.h"
#include "standins/httpserver.h"
#include "statistics.h"

namespace arbutusgrade::standins {

//! @brief One target: its own listener, slots, queue, snapshots and faults.
class Target
{
public:
    Target(boost::asio::io_context &context, std::uint16_t port, std::uint64_t seed,
           const TargetBehaviour &behaviour);

    void start();
    std::uint16_t port() const;

    //! @brief Serves /v1/faults, /v1/snapshots, /v1/crash and /v1/statistics, even while the
    //! target is frozen or dead.
    //! @return false if the path is not one of these.
    bool control(const HttpRequest &request, const Responder &responder);

private:
    struct Job
    {
        std::uint64_t m_number = 0;
        boost::json::value m_attempt;
        std::string m_attemptKey;
        std::string m_requestId;
        std::string m_shard;
        Snapshot m_snapshot;
        TimePoint m_deadline = farFuture;
        bool m_idempotent = true;
        boost::json::value m_payload;
        Responder m_responder;
        std::unique_ptr<boost::asio::steady_timer> m_timer; //!< Runs while the job does.
    };
    using Jobs = std::list<Job>;

    void handle(const HttpRequest &request, const Responder &responder);
    std::optional<Job> parseJob(const std::string &body, const Responder &responder);
    bool chooseSnapshot(Job &job);
    void accept(Job job);
    void startJobs();
    void startJob(Jobs::iterator job);
    void finishJob(std::uint64_t number);
    void cancel(const std::string &body, const Responder &responder);
    void crash();
    void restart();
    void refuse(const Job &job, unsigned status, std::string_view name);
    void reply(const Job &job, unsigned status, boost::json::object body);
    boost::json::object describe(const Job &job);
    boost::json::array entries(const Job &job) const;
    boost::json::array holdings();
    boost::json::object load() const;
    boost::json::object health();
    boost::json::object laggingState(const boost::json::object &current);
    std::string changeSnapshot(const boost::json::object &body);
    boost::json::object statistics() const;
    void noteDrain();

    boost::asio::io_context &m_context;
    std::uint16_t m_port = 0;
    RandomGenerator m_random;
    TargetBehaviour m_behaviour;
    HttpServer m_server;
    boost::asio::steady_timer m_restartTimer;
    std::vector<HeldSnapshot> m_snapshots;
    Jobs m_queued;
    Jobs m_running;
    TimePoint m_startTime;
    std::optional<TimePoint> m_drainTime;
    std::uint64_t m_starts = 0;
    std::uint64_t m_nextJob = 1;
    bool m_dead = false;
    std::deque<std::pair<TimePoint, boost::json::object>> m_healthHistory; //!< Oldest first.
    TargetStatistics m_statistics;
};

} // namespace arbutusgrade::standins
