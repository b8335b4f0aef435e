// Virtual time for benchmarks and tests: events run in order of time, without real waiting.
#pragma once

#include <camphorreach/units.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace camphorreach::bench {

class VirtualTime
{
public:
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    /// Events at the same time run in the order in which they were added.
    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({ std::max(time, m_now), m_nextSequence++, std::move(action) });
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            // top() is const; moving the action out is safe, since the event is popped right away.
            auto action = std::move(const_cast<Event &>(m_events.top()).action); // NOLINT
            m_now = m_events.top().time;
            m_events.pop();
            action();
        }
        m_now = end;
    }
    void runFor(Duration duration) { runUntil(m_now + duration); }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::pair(left.time, left.sequence) > std::pair(right.time, right.sequence);
        }
    };

    TimePoint m_now {};
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace camphorreach::bench
