#pragma once

#include <cstdint>

#include "query/query.h"

namespace arbutusgrade {

//! @brief One run of several engines against simulated targets under a simulated clock.
struct SimulationOptions
{
    int m_nodes = 9;
    int m_services = 10;
    int m_targets = 3; //!< For each service.
    int m_slots = 3;
    int m_connections = 30;
    int m_targetQueue = 30;   //!< Requests that a target queues before it sheds.
    double m_load = 0.6;      //!< Part of the capacity of all slots.
    double m_seconds = 20;    //!< Requests are submitted for this long.
    double m_warmUp = 3;      //!< Requests submitted earlier are left out of the figures.
    double m_meanService = 5; //!< Milliseconds of work of one attempt.
    double m_slowShare = 0;   //!< Share of attempts that take slowFactor times as long.
    double m_slowFactor = 20;
    double m_stragglerFactor = 1; //!< The first target of the first service is slower by this.
    double m_freezeAt = -1;       //!< Time in seconds at which that target stops for good.
    double m_pauseAt = -1;        //!< Time in seconds at which the first node stops for 5 s.
    double m_outageAt = -1;       //!< Time in seconds at which all targets refuse connections.
    double m_outageSeconds = 30;
    double m_poisonEvery = 0;    //!< Seconds between requests that crash their targets; 0 for none.
    double m_restartSeconds = 2; //!< A crashed target is back after this long.
    bool m_hedge = true;
    bool m_uniquePayloads = true;
    double m_urgentShare = 0; //!< Share of requests of the urgent kind.
    double m_deadline = 1000; //!< Milliseconds.
    QueryOptions m_query;
    std::uint64_t m_seed = 1;
};

struct SimulationFigures
{
    std::uint64_t m_submitted = 0;
    std::uint64_t m_complete = 0;
    std::uint64_t m_partial = 0;
    std::uint64_t m_notRun = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_urgentRefused = 0;
    std::uint64_t m_urgentSubmitted = 0;
    std::uint64_t m_violations = 0;
    std::uint64_t m_poisonRequests = 0;
    std::uint64_t m_lostTargets = 0;
    std::uint64_t m_mostLostToOne = 0; //!< Targets lost to the worst fingerprint.
    double m_extraLoad = 0;            //!< Hedges and retries for each first attempt.
    double m_restartLoad = 0;
    double m_sheds = 0; //!< For each attempt.
    Duration m_p50{0};
    Duration m_p99{0};
    Duration m_p999{0};
    Duration m_urgentP99{0};
    //! Complete answers of each second of submission.
    std::vector<std::uint64_t> m_completeBySecond;
    std::vector<std::uint64_t> m_submittedBySecond;
};

SimulationFigures runSimulation(const SimulationOptions &options);

} // namespace arbutusgrade
