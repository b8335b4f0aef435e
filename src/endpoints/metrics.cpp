// Metrics based on Boost.Histogram.
#include <camphorreach/metrics.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace camphorreach {

namespace histogram = boost::histogram;

namespace {

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr int binsPerDecade = 40;
constexpr int decades = 8;
constexpr double minMicroseconds = 1.0;
constexpr double maxMicroseconds = 1e8;

} // namespace

class LatencyHistogram::Impl
{
public:
    mutable std::mutex mutex;
    decltype(histogram::make_histogram(LogAxis(1, 1.0, 2.0))) bins = histogram::make_histogram(
        LogAxis(binsPerDecade * decades, minMicroseconds, maxMicroseconds));
    std::uint64_t total = 0;
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) { }
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->bins(std::max(minMicroseconds, static_cast<double>(duration.count())));
    ++m_impl->total;
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->total;
}

Duration LatencyHistogram::quantile(double quantile) const
{
    const std::lock_guard lock(m_impl->mutex);
    const double target = std::clamp(quantile, 0.0, 1.0) * static_cast<double>(m_impl->total);
    double below = 0;
    const auto &axis = m_impl->bins.axis();
    for (int index = 0; index < axis.size(); ++index) {
        const auto inBin = static_cast<double>(m_impl->bins.at(index));
        if (inBin > 0 && below + inBin >= target) {
            const double fraction = (target - below) / inBin;
            const double value = axis.value(index + fraction);
            return Duration(std::llround(value));
        }
        below += inBin;
    }
    return m_impl->total == 0 ? Duration::zero()
                              : Duration(static_cast<Duration::rep>(maxMicroseconds));
}

Counter &MetricsRegistry::counter(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_counters[name];
    if (!entry)
        entry = std::make_unique<Counter>();
    return *entry;
}

LatencyHistogram &MetricsRegistry::histogram(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_histograms[name];
    if (!entry)
        entry = std::make_unique<LatencyHistogram>();
    return *entry;
}

std::vector<MetricsRegistry::CounterValue> MetricsRegistry::counters() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CounterValue> values;
    for (const auto &[name, counter] : m_counters)
        values.push_back({ name, counter->value() });
    return values;
}

std::vector<MetricsRegistry::HistogramValue> MetricsRegistry::histograms() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<HistogramValue> values;
    for (const auto &[name, histogram] : m_histograms) {
        values.push_back({ name, histogram->count(), histogram->quantile(0.5),
                           histogram->quantile(0.99), histogram->quantile(0.999) });
    }
    return values;
}

} // namespace camphorreach
