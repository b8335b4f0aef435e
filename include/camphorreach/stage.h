// A stage: one thread that owns one filter and its input ring.
#pragma once

#include <camphorreach/clock.h>
#include <camphorreach/filter.h>
#include <camphorreach/ring.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace camphorreach {

/// Runs \a F on its own thread. Messages come in through ring(); each output is handed to the
/// outlet, which routes it to the next ring.
template <Filter F, Clock C = SteadyClock>
class Stage
{
public:
    using Input = typename F::Input;
    using Output = typename F::Output;
    using Outlet = std::function<void(Output &&)>;

    Stage(std::unique_ptr<F> filter, Outlet outlet, std::size_t capacity, std::size_t reserve,
          C clock = {})
        : m_filter(std::move(filter)), m_outlet(std::move(outlet)), m_ring(capacity, reserve),
          m_clock(std::move(clock))
    { }

    Stage(const Stage &) = delete;
    Stage &operator=(const Stage &) = delete;
    ~Stage() { stop(); }

    [[nodiscard]] Ring<Input> &ring() noexcept { return m_ring; }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /// Closes the ring, processes what is inside, and joins the thread.
    void stop()
    {
        m_ring.close();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Calls \a reader with the filter between two messages, for state dumps. The reader is short.
    template <typename Reader>
    auto inspect(Reader &&reader) const
    {
        const std::lock_guard lock(m_filterMutex);
        return std::forward<Reader>(reader)(std::as_const(*m_filter));
    }

private:
    void run()
    {
        {
            const std::lock_guard lock(m_filterMutex);
            m_filter->advance(m_clock.now(), m_outbox);
        }
        deliver();
        while (true) {
            std::deque<Input> inputs = m_ring.popAll(timeToDeadline());
            if (inputs.empty() && m_ring.isClosed())
                return;
            step(std::move(inputs));
            deliver();
        }
    }

    void step(std::deque<Input> inputs)
    {
        const std::lock_guard lock(m_filterMutex);
        const TimePoint now = m_clock.now();
        for (Input &input : inputs)
            m_filter->process(std::move(input), now, m_outbox);
        const std::optional<TimePoint> deadline = m_filter->nextDeadline();
        if (deadline && *deadline <= now)
            m_filter->advance(now, m_outbox);
    }

    // Outside the filter's lock: the outlet may wait for space in a ring.
    void deliver()
    {
        for (Output &output : m_outbox.take())
            m_outlet(std::move(output));
    }

    [[nodiscard]] std::optional<Duration> timeToDeadline() const
    {
        const std::lock_guard lock(m_filterMutex);
        const std::optional<TimePoint> deadline = m_filter->nextDeadline();
        if (!deadline)
            return std::nullopt;
        return std::max(Duration::zero(), *deadline - m_clock.now());
    }

    mutable std::mutex m_filterMutex; // guards *m_filter; the outbox belongs to the thread
    std::unique_ptr<F> m_filter;
    Outlet m_outlet;
    Outbox<Output> m_outbox;
    Ring<Input> m_ring;
    C m_clock;
    std::thread m_thread;
};

} // namespace camphorreach
