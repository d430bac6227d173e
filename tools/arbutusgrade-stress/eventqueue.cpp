#include "eventqueue.h"

#include <algorithm>
#include <utility>

namespace arbutusgrade::stress {

bool EventQueue::Event::operator>(const Event &other) const noexcept
{
    if (m_time != other.m_time) {
        return m_time > other.m_time;
    }
    return m_sequence > other.m_sequence;
}

void EventQueue::schedule(TimePoint time, Callback callback)
{
    m_events.push(Event{std::max(time, m_now), m_sequence, std::move(callback)});
    ++m_sequence;
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().m_time <= end) {
        // The queue offers only a const reference; the copy keeps the callback alive while it runs.
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_time;
        ++m_executed;
        event.m_callback();
    }
    m_now = end;
}

} // namespace arbutusgrade::stress
