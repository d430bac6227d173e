#pragma once

#include <cstdint>
#include <string_view>

#include "forwarding/forwarding.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Writes forwarding decisions to the log, limited to a number of lines per second.
//!
//! Only a sample of the successes is logged. Lines above the limit are dropped and counted, and the
//! count is logged when the second is over.
class DecisionLog
{
public:
    explicit DecisionLog(Log &log) : m_log(log) { }

    void record(TimePoint now, const ForwardDecision &decision);

    //! @brief Logs the number of dropped lines, if any. To be called at least once per second.
    void reportDropped(TimePoint now);

    std::uint64_t droppedLines() const
    {
        return m_droppedLines;
    }

private:
    bool admitLine(TimePoint now); //!< Counts the line as dropped if it is above the limit.

    Log &m_log;
    TimePoint m_windowStart;
    int m_linesInWindow = 0;
    std::uint64_t m_unreportedDrops = 0; //!< Dropped lines that are not logged yet.
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_successes = 0;
};

} // namespace arbutusgrade
