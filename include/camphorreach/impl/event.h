// A one-shot event that one thread sets and another waits for.
#pragma once

#include <camphorreach/clock.h>
#include <camphorreach/units.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace camphorreach::impl {

/// Set once; waiting for it has a deadline.
class Event
{
public:
    void set()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isSet = true;
        }
        m_changed.notify_all();
    }

    /// Waits until the event is set or \a deadline has passed. Returns whether the event is set.
    [[nodiscard]] bool waitUntil(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        const Duration remaining = std::max(Duration::zero(), deadline - SteadyClock().now());
        return m_changed.wait_for(lock, remaining, [this] { return m_isSet; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isSet = false; // never reset
};

} // namespace camphorreach::impl
