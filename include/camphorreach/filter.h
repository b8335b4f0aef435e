// Filters: deterministic state machines between pipes.
//
// A filter processes typed messages together with the time, and appends typed messages to an
// outbox. It owns no socket, clock, thread, global state, codec or random engine.
#pragma once

#include <camphorreach/units.h>

#include <concepts>
#include <optional>
#include <utility>
#include <vector>

namespace camphorreach {

/// Collects the messages that a filter emits, in order.
template <typename Message>
class Outbox
{
public:
    template <typename Alternative>
    void emit(Alternative &&message)
    {
        m_messages.emplace_back(std::forward<Alternative>(message));
    }

    [[nodiscard]] bool isEmpty() const noexcept { return m_messages.empty(); }
    [[nodiscard]] const std::vector<Message> &messages() const noexcept { return m_messages; }
    /// Returns the messages and leaves the outbox empty.
    [[nodiscard]] std::vector<Message> take() { return std::exchange(m_messages, {}); }

private:
    std::vector<Message> m_messages;
};

/// The requirements of a filter. `process` handles one message. `advance` runs the timers that are
/// due at `now`. `nextDeadline` returns the time of the next `advance`, or std::nullopt when no
/// timer is set.
template <typename F>
concept Filter = requires(F filter, const F &constFilter, typename F::Input input, TimePoint now,
                          Outbox<typename F::Output> &outbox)
{
    filter.process(std::move(input), now, outbox);
    filter.advance(now, outbox);
    {
        constFilter.nextDeadline()
        } -> std::same_as<std::optional<TimePoint>>;
};

} // namespace camphorreach
