#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/base.h"

namespace arbutusgrade::stress {

//! @brief Simulated clock with events in order of time, then of insertion.
class EventQueue
{
public:
    using Callback = std::function<void()>;

    TimePoint now() const noexcept
    {
        return m_now;
    }
    std::uint64_t executed() const noexcept
    {
        return m_executed;
    }

    //! @brief Runs the callback at the given time, or now if that has passed.
    void schedule(TimePoint time, Callback callback);

    //! @brief Runs all events up to and including the given time.
    void runUntil(TimePoint end);

private:
    struct Event
    {
        TimePoint m_time;
        std::uint64_t m_sequence = 0;
        Callback m_callback;

        bool operator>(const Event &other) const noexcept;
    };

    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    TimePoint m_now{Duration(1'000'000)};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_executed = 0;
};

} // namespace arbutusgrade::stress
