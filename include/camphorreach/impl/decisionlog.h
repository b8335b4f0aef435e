// Log lines of decisions: one line each, within a bound per second.
#pragma once

#include <camphorreach/decision.h>
#include <camphorreach/log.h>
#include <camphorreach/metrics.h>
#include <camphorreach/tokenbucket.h>

namespace camphorreach::impl {

/// Used by one thread. What exceeds the bound is counted instead of written.
class DecisionLog
{
public:
    DecisionLog(std::string_view part, MetricsRegistry &metrics);

    void write(const RouterDecision &decision, TimePoint now);
    void write(const GateDecision &decision, TimePoint now);

private:
    [[nodiscard]] bool mayWrite(TimePoint now);

    Log m_log;
    Counter &m_dropped;
    TokenBucket m_lines;
};

} // namespace camphorreach::impl
