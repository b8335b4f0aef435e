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

/// Runs \a F on its own thread. Input messages arrive through ring(); every output message is
/// passed to the sink, which routes it to the next ring.
template <Filter F, Clock C = SteadyClock>
class Stage
{
public:
    using Input = typename F::Input;
    using Output = typename F::Output;
    using Sink = std::function<void(Output &&)>;

    Stage(std::unique_ptr<F> filter, Sink sink, std::size_t capacity, std::size_t reserve,
          C clock = {})
        : m_filter(std::move(filter)), m_sink(std::move(sink)), m_ring(capacity, reserve),
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

    /// Closes the ring, processes the queued messages, and joins the thread.
    void stop()
    {
        m_ring.close();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Calls \a reader with the filter between two batches of messages, for state dumps. It blocks
    /// the stage, so \a reader must be short.
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
            processBatch(std::move(inputs));
            deliver();
        }
    }

    void processBatch(std::deque<Input> inputs)
    {
        const std::lock_guard lock(m_filterMutex);
        const TimePoint now = m_clock.now();
        for (Input &input : inputs)
            m_filter->process(std::move(input), now, m_outbox);
        const std::optional<TimePoint> deadline = m_filter->nextDeadline();
        if (deadline && *deadline <= now)
            m_filter->advance(now, m_outbox);
    }

    // Runs without m_filterMutex, because the sink may wait for a free slot in a ring.
    void deliver()
    {
        for (Output &output : m_outbox.take())
            m_sink(std::move(output));
    }

    [[nodiscard]] std::optional<Duration> timeToDeadline() const
    {
        const std::lock_guard lock(m_filterMutex);
        const std::optional<TimePoint> deadline = m_filter->nextDeadline();
        if (!deadline)
            return std::nullopt;
        return std::max(Duration::zero(), *deadline - m_clock.now());
    }

    mutable std::mutex m_filterMutex; // guards *m_filter; m_outbox is used by the thread only
    std::unique_ptr<F> m_filter;
    Sink m_sink;
    Outbox<Output> m_outbox;
    Ring<Input> m_ring;
    C m_clock;
    std::thread m_thread;
};

} // namespace camphorreach
