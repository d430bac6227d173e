#pragma once

#include "base/base.h"

//! @brief Planned stop of a process: its times, and which requests can be answered before its end.
//!
//! Reads no clock and performs no input or output.
namespace arbutusgrade {

//! @brief Times of a planned stop, in order. Fixed when the signal arrives, so that later changes
//! of the settings do not move the end under requests in flight.
struct ShutdownSchedule
{
    TimePoint m_begunAt;
    TimePoint m_acceptUntil; //!< End of new connections and of requests on idle ones.
    TimePoint m_answerBy;    //!< Accepted requests are answered by then; later ones are refused.
    TimePoint m_exitBy;      //!< The process ends, even if a caller has not read its answer.
};

//! @brief Computes the schedule of a stop that begins now.
//! @param acceptTime how long requests are still accepted; shortened if exitTime requires it.
//! @param exitTime how long the process may take in all.
ShutdownSchedule scheduleShutdown(TimePoint now, Duration acceptTime, Duration exitTime);

//! @brief What is known of a request when it arrives during a planned stop.
struct RequestEstimate
{
    Duration m_limit{0};       //!< It has its final answer after this time in any case.
    Duration m_slowLatency{0}; //!< Time that the slow requests of its kind take.
    bool m_idempotent = false;
};

//! @brief Time that a request must have left before m_answerBy in order to be accepted.
//!
//! An idempotent request that takes longer is repeated by its caller elsewhere. A non-idempotent
//! one is lost to its caller, so it needs more room.
Duration timeNeeded(const RequestEstimate &estimate);

//! @brief Returns whether the request can be expected to end before m_answerBy. One that cannot is
//! to be refused at once, before it is passed on.
bool canFinish(const ShutdownSchedule &schedule, TimePoint now, const RequestEstimate &estimate);

} // namespace arbutusgrade
