// A bounded message queue between threads: the pipe of the pipes-and-filters layout.
//
// No packaged bounded queue has both a timed wait and reserved capacity, so this one is built on
// std::deque, whose memory grows and shrinks with its contents, a mutex and two condition
// variables.
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

/// Multi-producer queue of fixed capacity. The last `reserve` slots are only available to
/// pushReserved().
template <typename T>
class Ring
{
public:
    /// \a capacity is the total number of slots, including \a reserve.
    explicit Ring(std::size_t capacity, std::size_t reserve = 0)
        : m_capacity(capacity), m_reserve(reserve)
    { }

    /// Sets a callback that runs, without the lock held, after a push into an empty ring. For
    /// consumers that do not block in pop(), such as an io_context. Set before the first push.
    void setWakeUp(std::function<void()> wakeUp) { m_wakeUp = std::move(wakeUp); }

    /// Appends \a item unless the ring is closed or full except for its reserve. Returns whether it
    /// was appended; if not, \a item is unchanged.
    [[nodiscard]] bool tryPush(T &&item) { return tryAppend(std::move(item), m_reserve); }

    /// Like tryPush(), but may also use the reserve. For messages that must not be dropped; the
    /// producer ensures that no more of them are queued than the reserve holds.
    [[nodiscard]] bool pushReserved(T &&item) { return tryAppend(std::move(item), 0); }

    /// Waits for a free slot, then appends. Returns false when the ring is closed.
    bool push(T item)
    {
        std::unique_lock lock(m_mutex);
        ++m_slotWaiters;
        m_slotAvailable.wait(lock, [this] { return m_closed || hasSlot(m_reserve); });
        --m_slotWaiters;
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
            m_itemAvailable.wait_for(lock, *timeout, isReady);
        else
            m_itemAvailable.wait(lock, isReady);
        return takeFront(lock);
    }

    /// Like pop(), but removes all queued messages, so that one wake-up handles a whole burst.
    /// Returns an empty deque after the timeout, or when the ring is closed and empty.
    [[nodiscard]] std::deque<T> popAll(std::optional<Duration> timeout)
    {
        std::unique_lock lock(m_mutex);
        const auto isReady = [this] { return m_closed || !m_items.empty(); };
        if (!isReady()) {
            if (timeout)
                m_itemAvailable.wait_for(lock, *timeout, isReady);
            else
                m_itemAvailable.wait(lock, isReady);
        }
        return takeAll(lock);
    }

    /// Removes all queued messages without waiting.
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

    /// Rejects further pushes and wakes all waiters. Queued messages can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_itemAvailable.notify_all();
        m_slotAvailable.notify_all();
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
    [[nodiscard]] bool hasSlot(std::size_t reserved) const
    {
        return m_items.size() + reserved < m_capacity;
    }

    [[nodiscard]] bool tryAppend(T &&item, std::size_t reserved)
    {
        std::unique_lock lock(m_mutex);
        if (m_closed || !hasSlot(reserved))
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
            return; // the consumer was already woken for the earlier messages
        m_itemAvailable.notify_one();
        if (m_wakeUp)
            m_wakeUp();
    }

    [[nodiscard]] std::deque<T> takeAll(std::unique_lock<std::mutex> &lock)
    {
        std::deque<T> items = std::exchange(m_items, {});
        const bool hadWaiters = m_slotWaiters > 0;
        lock.unlock();
        if (hadWaiters)
            m_slotAvailable.notify_all();
        return items;
    }

    [[nodiscard]] std::optional<T> takeFront(std::unique_lock<std::mutex> &lock)
    {
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        // append() only notifies for the first item in an empty ring, so wake a consumer for the
        // remaining ones.
        const bool hasMore = !m_items.empty();
        const bool hadWaiters = m_slotWaiters > 0;
        lock.unlock();
        if (hadWaiters)
            m_slotAvailable.notify_one();
        if (hasMore)
            m_itemAvailable.notify_one();
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_itemAvailable;
    std::condition_variable m_slotAvailable;
    const std::size_t m_capacity;
    std::deque<T> m_items; // at most m_capacity
    std::size_t m_slotWaiters = 0; // threads inside push()
    const std::size_t m_reserve; // less than m_capacity
    bool m_closed = false; // never reset
    std::function<void()> m_wakeUp;
};

} // namespace camphorreach
