// The departures that the store holds, for the thread that acknowledges them.
#pragma once

#include <camphorreach/departedrun.h>
#include <camphorreach/units.h>

#include <condition_variable>
#include <mutex>

namespace camphorreach::impl {

/// Thread-safe.
class StoredDepartures
{
public:
    void update(const DepartedRuns &departures)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_departures.add(departures);
        }
        m_changed.notify_all();
    }

    /// Waits until the store holds \a run, until close(), or for \a timeout. Returns whether the
    /// store holds it.
    [[nodiscard]] bool waitFor(const DepartedRun &run, Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [&] { return m_isClosed || m_departures.contains(run); });
        return m_departures.contains(run);
    }

    /// Ends the current wait and all later ones.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isClosed = true;
        }
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex; // guards all members below but m_changed
    bool m_isClosed = false;
    std::condition_variable m_changed;
    DepartedRuns m_departures;
};

} // namespace camphorreach::impl
