#pragma once

#include <cstdint>

#include "query/query.h"

namespace arbutusgrade {

//! @brief Parameters of a run of several engines against simulated targets with a simulated clock.
struct SimulationOptions
{
    int m_nodes = 9;
    int m_services = 10;
    int m_targets = 3; //!< For each service.
    int m_slots = 3;
    int m_connections = 30;
    int m_targetQueue = 30;               //!< Requests that a target queues before it sheds.
    double m_load = 0.6;                  //!< Offered load as a share of the capacity of all slots.
    double m_durationSeconds = 20;        //!< Time during which requests are submitted.
    double m_warmUpSeconds = 3;           //!< Requests submitted earlier are not counted.
    double m_meanServiceMilliseconds = 5; //!< Mean service time of an attempt.
    double m_slowShare = 0;               //!< Share of attempts that take slowFactor times as long.
    double m_slowFactor = 20;
    double m_stragglerFactor = 1;  //!< Slowdown of the first target of the first service.
    double m_freezeAtSeconds = -1; //!< When that target stops replying; negative for never.
    double m_pauseAtSeconds = -1;  //!< When the first node is paused for 5 s; negative for never.
    double m_outageAtSeconds = -1; //!< When targets refuse connections; negative for never.
    double m_outageSeconds = 30;
    double m_poisonIntervalSeconds = 0; //!< Time between requests that crash targets; 0 for none.
    double m_restartSeconds = 2;        //!< Restart time of a crashed target.
    bool m_hedge = true;
    bool m_uniquePayloads = true;
    double m_urgentShare = 0; //!< Share of requests of the urgent kind.
    double m_deadlineMilliseconds = 1000;
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
    std::uint64_t m_maximumLostToOneRequest = 0; //!< Most targets that one payload crashed.
    double m_extraLoad = 0;                      //!< Hedges and retries per first attempt.
    double m_restartLoad = 0;
    double m_sheds = 0; //!< Shed attempts per attempt sent.
    Duration m_p50{0};
    Duration m_p99{0};
    Duration m_p999{0};
    Duration m_urgentP99{0};
    //! Complete answers, by the second in which the request was submitted.
    std::vector<std::uint64_t> m_completeBySecond;
    std::vector<std::uint64_t> m_submittedBySecond;
};

SimulationFigures runSimulation(const SimulationOptions &options);

} // namespace arbutusgrade
