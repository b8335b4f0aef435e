// Formatting and rate limit of decisions in the log.
#include <camphorreach/impl/decisionlog.h>

#include <sstream>
#include <string>

namespace camphorreach::impl {
namespace {

// Writing a line costs about as much as forwarding a request, so under overload most decisions are
// only counted.
constexpr double linesPerSecond = 20;
constexpr double lineBurst = 100;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

DecisionLog::DecisionLog(std::string_view component, MetricsRegistry &metrics)
    : m_log(component), m_dropped(metrics.counter("log.dropped." + std::string(component))),
      m_rateLimit(linesPerSecond, lineBurst)
{ }

bool DecisionLog::mayWrite(TimePoint now)
{
    if (m_rateLimit.take(1.0, now))
        return true;
    m_dropped.add();
    return false;
}

void DecisionLog::write(const RouterDecision &decision, TimePoint now)
{
    if (!mayWrite(now))
        return;
    std::ostringstream line;
    line << "event=request-ended id=" << decision.attempt.value()
         << " service=" << decision.service.value() << " route=" << decision.route.value()
         << " outcome=" << decision.outcome;
    if (decision.status != 0)
        line << " status=" << decision.status;
    else
        line << " reason=" << decision.reason;
    line << " attempts=" << decision.attempts << " refusals=" << decision.refusals
         << " target=" << decision.lastTarget.value() << " spilled=" << decision.wasSpilled
         << " config=" << decision.configVersion.value()
         << " taken_ms=" << milliseconds(decision.elapsed)
         << " left_ms=" << milliseconds(decision.timeLeft);
    if (decision.retryAfter > Duration::zero())
        line << " retry_after_ms=" << milliseconds(decision.retryAfter);
    m_log.info(line.str());
}

void DecisionLog::write(const GateDecision &decision, TimePoint now)
{
    if (!mayWrite(now))
        return;
    std::ostringstream line;
    line << "event=gate-refused id=" << decision.attempt.value()
         << " service=" << decision.service.value() << " route=" << decision.route.value()
         << " reason=" << toText(decision.reason) << " running=" << decision.load.running
         << " queued=" << decision.load.queued << " slots=" << decision.load.slots
         << " wait_ms=" << milliseconds(decision.expectedWait)
         << " usual_ms=" << milliseconds(decision.meanServiceTime)
         << " left_ms=" << milliseconds(decision.timeLeft);
    m_log.info(line.str());
}

} // namespace camphorreach::impl
