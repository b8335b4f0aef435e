// E-processes for and against a new version.
#include <camphorreach/evidencetest.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

// Half of the capital is invested at the start and the rest evenly over the horizon.
constexpr double initialPart = 0.5;
constexpr double largestWealth = 1e200; // keeps products finite
constexpr std::array extraRates { 0.05, 0.2, 0.8 };
// A reference rate is from an earlier time, so the null hypothesis leaves room for drift.
constexpr double referenceDrift = 0.01;
// In nats for each window. An overload reaches the new version's counts before enough requests to
// the old version have shown it, so that a few windows alone must not condemn.
constexpr double largestReferenceStep = 1.5;
constexpr double largestRate = 0.999;
// In nats. High enough for the strictest weights when one group in nine alone vouches against the
// rest; low enough that a version that starts to fail 5 % loses the vouch within 60 requests.
constexpr double vouchCap = 9.5;
constexpr double smallestRate = 0.002;

template <typename Wealth>
double logOfMean(const Wealth &wealth, double cash)
{
    double sum = cash;
    for (const double part : wealth)
        sum += part;
    return std::log(std::max(sum, 1e-300));
}

} // namespace

OddsTest::OddsTest(double horizonWindows, const OddsHypotheses &hypotheses)
    : m_hypotheses(hypotheses), m_stake((1.0 - initialPart) / std::max(1.0, horizonWindows)),
      m_cash(1.0 - initialPart)
{
    m_wealth.fill(initialPart / static_cast<double>(m_wealth.size()));
}

void OddsTest::add(const WindowCounts &window)
{
    const double stake = std::min(m_stake, m_cash);
    m_cash -= stake;
    for (double &wealth : m_wealth)
        wealth += stake / static_cast<double>(m_wealth.size());
    const double adverse = window.oldAdverse + window.newAdverse;
    const double requests = window.oldRequests + window.newRequests;
    if (adverse <= 0 || window.oldRequests <= 0 || window.newRequests <= 0)
        return; // says nothing about a difference
    const double q = window.newRequests / requests;
    const double nullNorm = 1.0 - q + q * m_hypotheses.tolerated;
    for (std::size_t i = 0; i < m_wealth.size(); ++i) {
        const double odds = m_hypotheses.alternatives[i];
        const double logRatio = window.newAdverse * std::log(odds / m_hypotheses.tolerated)
            - adverse * std::log((1.0 - q + q * odds) / nullNorm);
        m_wealth[i] = std::min(m_wealth[i] * std::exp(logRatio), largestWealth);
    }
}

double OddsTest::logEvidence() const noexcept
{
    return logOfMean(m_wealth, m_cash);
}

ReferenceTest::ReferenceTest(double horizonWindows)
    : m_stake((1.0 - initialPart) / std::max(1.0, horizonWindows)), m_cash(1.0 - initialPart)
{
    m_wealth.fill(initialPart / static_cast<double>(m_wealth.size()));
}

void ReferenceTest::addAgainst(const WindowCounts &window, double reference)
{
    const double stake = std::min(m_stake, m_cash);
    m_cash -= stake;
    for (double &wealth : m_wealth)
        wealth += stake / static_cast<double>(m_wealth.size());
    const double nullRate = std::min(reference * 1.5 + referenceDrift, largestRate);
    const double good = window.newRequests - window.newAdverse;
    for (std::size_t i = 0; i < m_wealth.size(); ++i) {
        const double rate = std::min(nullRate + extraRates[i], largestRate);
        const double logRatio = window.newAdverse * std::log(rate / nullRate)
            + good * std::log((1.0 - rate) / (1.0 - nullRate));
        const double bounded = std::min(logRatio, largestReferenceStep);
        m_wealth[i] = std::min(m_wealth[i] * std::exp(bounded), largestWealth);
    }
}

double ReferenceTest::logEvidence() const noexcept
{
    return logOfMean(m_wealth, m_cash);
}

void VouchTest::add(double requests, double adverse, double reference)
{
    const double low = std::clamp(reference, smallestRate, 0.98);
    const double high = std::min(low + m_excess, largestRate);
    m_logWealth += adverse * std::log(low / high)
        + (requests - adverse) * std::log((1.0 - low) / (1.0 - high));
    m_logWealth = std::min(m_logWealth, vouchCap);
}

} // namespace camphorreach
