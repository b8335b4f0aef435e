// Virtual clock and event queue. Events run in order of their time; events with the same time run
// in the order in which they were added.
#pragma once

#include <camphorreach/units.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace camphorreach::scenario {

class EventQueue
{
public:
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    void scheduleAt(TimePoint time, std::function<void()> event)
    {
        m_events.emplace(Key { std::max(time, m_now), m_nextSequence++ }, std::move(event));
    }
    void scheduleAfter(Duration delay, std::function<void()> event)
    {
        scheduleAt(m_now + delay, std::move(event));
    }

    [[nodiscard]] std::optional<TimePoint> nextTime() const
    {
        if (m_events.empty())
            return std::nullopt;
        return m_events.begin()->first.first;
    }

    /// Advances the clock to \a time. The clock never goes backward.
    void advanceTo(TimePoint time) { m_now = std::max(m_now, time); }

    void runNext()
    {
        auto entry = m_events.extract(m_events.begin());
        advanceTo(entry.key().first);
        entry.mapped()();
    }

private:
    using Key = std::pair<TimePoint, std::uint64_t>;

    TimePoint m_now { std::chrono::seconds(1000) };
    std::uint64_t m_nextSequence = 0;
    std::map<Key, std::function<void()>> m_events;
};

} // namespace camphorreach::scenario
