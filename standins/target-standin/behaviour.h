#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "base/base.h"

namespace arbutusgrade::standins {

//! @brief Capacity, speed and faults of one target; set by PUT /v1/faults while it runs. Members
//! that the body omits stay as they are.
struct TargetBehaviour
{
    std::int64_t m_slots = 3;
    std::int64_t m_queueLimit = 32;      //!< Requests beyond it are shed.
    std::int64_t m_connectionLimit = 30; //!< Connections beyond it are closed.
    double m_connectMs = 0;              //!< Delay of the first request of each connection.

    double m_serviceMs = 5;     //!< Mean service time.
    double m_serviceSpread = 0; //!< 0: constant, 1: exponential; between: share that varies.
    double m_stragglerProbability = 0;
    double m_stragglerFactor = 20;

    std::int64_t m_restartMs = 1000; //!< Time for which a crashed target is dead.
    std::int64_t m_coldMs = 0;       //!< Time after a start in which requests are slower.
    double m_coldFactor = 3;

    bool m_frozen = false;                 //!< Accepts requests and never answers.
    bool m_draining = false;               //!< Announced in replies and health.
    bool m_refuseWhenDraining = false;     //!< Draining requests get 503 `draining`.
    bool m_healthAlwaysGood = false;       //!< Health and load say idle whatever the state.
    std::int64_t m_healthLagMs = 0;        //!< Age of what health and load show.
    std::int64_t m_snapshotKeepMs = 10000; //!< An old snapshot stays available this long.

    double m_errorProbability = 0;
    double m_crossedAttemptProbability = 0; //!< Replies that name another attempt.
    double m_crossedRequestProbability = 0; //!< Replies that name another request.
    double m_doubledProbability = 0;        //!< Replies written twice.
    double m_loseReplyProbability = 0;      //!< Executed, then closed without a reply.
};

//! @brief Applies a patch. @return empty, or what is wrong with it.
std::string patchBehaviour(TargetBehaviour &behaviour, const boost::json::object &patch);

//! @brief Draws the service time of one request.
Duration drawServiceTime(const TargetBehaviour &behaviour, RandomGenerator &random, bool cold);

//! @brief A snapshot that a target holds, until it ends.
struct HeldSnapshot
{
    Snapshot m_snapshot;
    TimePoint m_end = farFuture;
};

//! @brief Makes a snapshot the current one; the others stay available for the keep time.
void advanceSnapshot(std::vector<HeldSnapshot> &held, Snapshot snapshot, TimePoint now,
                     Duration keep);

//! @brief Drops the snapshots whose time has ended.
void dropEndedSnapshots(std::vector<HeldSnapshot> &held, TimePoint now);

} // namespace arbutusgrade::standins
