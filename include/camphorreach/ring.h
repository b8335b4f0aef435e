// A bounded ring between two threads: the pipe of the pipes-and-filters layout.
//
// No packaged bounded queue has both a timed wait and a reserve, so this one stands on std::deque,
// whose memory grows and shrinks with what is inside, a mutex and two condition variables.
#pragma once

#include <camphorreach/units.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace camphorreach {

/// Multi-producer ring of fixed capacity. The last `reserve` places are only for pushReserved().
template <typename T>
class Ring
{
public:
    /// \a capacity counts all places, \a reserve included.
    explicit Ring(std::size_t capacity, std::size_t reserve = 0)
        : m_capacity(capacity), m_reserve(reserve)
    { }

    /// Called, outside the lock, after a push into an empty ring. For consumers that sleep
    /// elsewhere than in pop(), such as an io_context. Set before the first push.
    void setWakeUp(std::function<void()> wakeUp) { m_wakeUp = std::move(wakeUp); }

    /// Appends unless the ring is full up to its reserve or closed. Returns whether it did; on
    /// false \a item is untouched.
    [[nodiscard]] bool tryPush(T &&item) { return pushUpTo(std::move(item), m_reserve); }

    /// Appends using the reserve too. For messages that must not be dropped, whose number the
    /// producer bounds by the reserve.
    [[nodiscard]] bool pushReserved(T &&item) { return pushUpTo(std::move(item), 0); }

    /// Waits for space, then appends. Returns false when the ring is closed.
    bool push(T item)
    {
        std::unique_lock lock(m_mutex);
        ++m_spaceWaiters;
        m_space.wait(lock, [this] { return m_closed || hasSpace(m_reserve); });
        --m_spaceWaiters;
        if (m_closed)
            return false;
        append(std::move(item), lock);
        return true;
    }

    /// Waits until a message arrives, the ring is closed, or \a timeout passes.
    [[nodiscard]] std::optional<T> pop(std::optional<Duration> timeout)
    {
        std::unique_lock lock(m_mutex);
        const auto isReady = [this] { return m_closed || !m_items.empty(); };
        if (timeout)
            m_arrival.wait_for(lock, *timeout, isReady);
        else
            m_arrival.wait(lock, isReady);
        return takeFront(lock);
    }

    /// As pop(), but takes all that is inside, so that one wake-up serves a whole burst. Empty when
    /// the time has passed or the ring is closed.
    [[nodiscard]] std::deque<T> popAll(std::optional<Duration> timeout)
    {
        std::unique_lock lock(m_mutex);
        const auto isReady = [this] { return m_closed || !m_items.empty(); };
        if (!isReady()) {
            if (timeout)
                m_arrival.wait_for(lock, *timeout, isReady);
            else
                m_arrival.wait(lock, isReady);
        }
        return takeAll(lock);
    }

    /// Takes all that is inside without waiting.
    [[nodiscard]] std::deque<T> tryPopAll()
    {
        std::unique_lock lock(m_mutex);
        return takeAll(lock);
    }

    [[nodiscard]] std::optional<T> tryPop()
    {
        std::unique_lock lock(m_mutex);
        return takeFront(lock);
    }

    /// Refuses further pushes and wakes all waiters. What is inside can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_arrival.notify_all();
        m_space.notify_all();
    }

    [[nodiscard]] bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }
    [[nodiscard]] std::size_t capacity() const noexcept { return m_capacity; }

private:
    [[nodiscard]] bool hasSpace(std::size_t keepFree) const
    {
        return m_items.size() + keepFree < m_capacity;
    }

    [[nodiscard]] bool pushUpTo(T &&item, std::size_t keepFree)
    {
        std::unique_lock lock(m_mutex);
        if (m_closed || !hasSpace(keepFree))
            return false;
        append(std::move(item), lock);
        return true;
    }

    void append(T &&item, std::unique_lock<std::mutex> &lock)
    {
        const bool wasEmpty = m_items.empty();
        m_items.push_back(std::move(item));
        lock.unlock();
        if (!wasEmpty)
            return; // the consumer has been woken for what was there before
        m_arrival.notify_one();
        if (m_wakeUp)
            m_wakeUp();
    }

    [[nodiscard]] std::deque<T> takeAll(std::unique_lock<std::mutex> &lock)
    {
        std::deque<T> items = std::exchange(m_items, {});
        const bool hadWaiters = m_spaceWaiters > 0;
        lock.unlock();
        if (hadWaiters)
            m_space.notify_all();
        return items;
    }

    [[nodiscard]] std::optional<T> takeFront(std::unique_lock<std::mutex> &lock)
    {
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        // A consumer that left items behind comes back for them, or another one is woken.
        const bool hasMore = !m_items.empty();
        const bool hadWaiters = m_spaceWaiters > 0;
        lock.unlock();
        if (hadWaiters)
            m_space.notify_one();
        if (hasMore)
            m_arrival.notify_one();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_arrival;
    std::condition_variable m_space;
    const std::size_t m_capacity;
    std::deque<T> m_items; // never more than m_capacity
    std::size_t m_spaceWaiters = 0; // threads inside push()
    const std::size_t m_reserve; // less than m_capacity
    bool m_closed = false; // never becomes false again
    std::function<void()> m_wakeUp;
};

} // namespace camphorreach
