// Counters and latency histograms of a process.
#pragma once

#include <camphorreach/units.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace camphorreach {

/// A monotonically increasing counter. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// Histogram of durations from 1 us to 100 s with logarithmic bins, 40 per decade (6 % wide).
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Duration duration);
    [[nodiscard]] std::uint64_t count() const;
    /// The \a quantile, from 0 to 1, of the recorded durations, interpolated within its bin.
    [[nodiscard]] Duration quantile(double quantile) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// The metrics of one process by name. Returned references stay valid for the lifetime of the
/// registry.
class MetricsRegistry
{
public:
    [[nodiscard]] Counter &counter(const std::string &name);
    [[nodiscard]] LatencyHistogram &histogram(const std::string &name);

    struct CounterValue
    {
        std::string name;
        std::uint64_t value = 0;
    };
    struct HistogramValue
    {
        std::string name;
        std::uint64_t count = 0;
        Duration median {};
        Duration p99 {};
        Duration p999 {};
    };

    [[nodiscard]] std::vector<CounterValue> counters() const;
    [[nodiscard]] std::vector<HistogramValue> histograms() const;

private:
    mutable std::mutex m_mutex; // guards both maps, not the metrics in them
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<LatencyHistogram>> m_histograms;
};

} // namespace camphorreach
