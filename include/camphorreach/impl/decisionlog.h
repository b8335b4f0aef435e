// Rate-limited log of decisions about requests, one line per decision.
#pragma once

#include <camphorreach/decision.h>
#include <camphorreach/log.h>
#include <camphorreach/metrics.h>
#include <camphorreach/tokenbucket.h>

namespace camphorreach::impl {

/// Not thread-safe. Decisions above the rate limit are counted in a metric instead of written.
class DecisionLog
{
public:
    DecisionLog(std::string_view component, MetricsRegistry &metrics);

    void write(const RouterDecision &decision, TimePoint now);
    void write(const GateDecision &decision, TimePoint now);

private:
    [[nodiscard]] bool mayWrite(TimePoint now);

    Log m_log;
    Counter &m_dropped;
    TokenBucket m_rateLimit;
};

} // namespace camphorreach::impl
