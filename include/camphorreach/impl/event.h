// An event that happens once, and that another thread waits for.
#pragma once

#include <camphorreach/clock.h>
#include <camphorreach/units.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace camphorreach::impl {

/// Set by one thread, awaited by another within a time.
class Event
{
public:
    void set()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isSet = true;
        }
        m_change.notify_all();
    }

    /// Returns whether the event has happened by \a end.
    [[nodiscard]] bool waitUntil(TimePoint end)
    {
        std::unique_lock lock(m_mutex);
        const Duration left = std::max(Duration::zero(), end - SteadyClock().now());
        return m_change.wait_for(lock, left, [this] { return m_isSet; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_change;
    bool m_isSet = false; // never becomes false again
};

} // namespace camphorreach::impl
