#pragma once

#include <cstdint>
#include <string_view>

#include "forwarding/forwarding.h"
#include "telemetry/telemetry.h"

namespace arbutusgrade {

//! @brief Writes decisions as log lines, within a bound of lines a second.
//!
//! Of ordinary successes only a sample is written. Lines beyond the bound are counted, and the
//! count is reported when the second is over.
class DecisionLog
{
public:
    explicit DecisionLog(Log &log) : m_log(log) { }

    void record(TimePoint now, const ForwardDecision &decision);

    //! @brief Reports lines that were left out; call about once a second.
    void reportDropped(TimePoint now);

    std::uint64_t dropped() const
    {
        return m_droppedTotal;
    }

private:
    bool takeToken(TimePoint now);

    Log &m_log;
    TimePoint m_second;
    int m_linesInSecond = 0;
    std::uint64_t m_dropped = 0; //!< Since the last report.
    std::uint64_t m_droppedTotal = 0;
    std::uint64_t m_ordinary = 0;
};

} // namespace arbutusgrade
