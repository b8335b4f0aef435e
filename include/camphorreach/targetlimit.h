// Adaptive concurrency limit of one target, driven by observed latency and refusals.
#pragma once

#include <camphorreach/units.h>

#include <cstdint>

namespace camphorreach {

/// Additive increase while latency stays near its recent minimum, multiplicative decrease when
/// latency rises clearly above it, a request times out or the gate refuses. The load that the gate
/// reports is not used, because it may be stale or wrong.
class TargetLimit
{
public:
    /// \a slots, as announced by the target, sets the initial value and the maximum of the limit.
    explicit TargetLimit(std::uint32_t slots);

    /// Records an answer after \a latency. \a inFlight includes the answered request.
    void onAnswer(Duration latency, std::uint32_t inFlight, TimePoint sentAt, TimePoint now);
    /// Records a refusal.
    void onRefused(TimePoint sentAt, TimePoint now);
    /// Records a request without an answer by its deadline.
    void onTimeout(Duration waited, TimePoint sentAt, TimePoint now);

    [[nodiscard]] double value() const noexcept { return m_limit; }
    /// Smoothed latency of recent answers; zero before the first.
    [[nodiscard]] Duration latency() const noexcept;
    /// The lowest smoothed latency of the last 10 to 20 s; zero before there are enough answers.
    [[nodiscard]] Duration baseline() const noexcept;

private:
    void observe(Duration latency, TimePoint now);
    void decrease(double factor, TimePoint sentAt, TimePoint now);

    double m_maxLimit; // at least 2
    double m_limit; // in [1, m_maxLimit]
    double m_latency = 0.0; // smoothed, in microseconds
    std::uint32_t m_samples = 0; // capped once the baseline is valid
    double m_longTermLatency = 0.0; // smoothed over more answers, in microseconds
    double m_windowMinimum = 0.0; // of the current window
    double m_previousMinimum = 0.0; // of the previous window
    TimePoint m_windowEnd {};
    TimePoint m_lastDecrease {};
};

} // namespace camphorreach
