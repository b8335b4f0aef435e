// Sequential tests for and against a candidate version.
#include <camphorreach/evidencetest.h>

#include <algorithm>
#include <cmath>

namespace camphorreach {
namespace {

// Prior weight of an onset at the start. The rest is spread evenly over the horizon.
constexpr double initialWeight = 0.5;
constexpr double maxLikelihoodRatio = 1e200; // keeps products finite
constexpr std::array excessRates { 0.05, 0.2, 0.8 };
// A reference rate is from an earlier time, so the null hypothesis allows for drift.
constexpr double referenceDrift = 0.01;
// In nats per window. An overload can show in the candidate's counts before enough requests to the
// baseline have shown it, so a few windows alone must not reach the rollback threshold.
constexpr double maxReferenceStep = 1.5;
constexpr double maxRate = 0.999;
// In nats. High enough to pass with the strictest weights when only one of the nine averaged tests
// is at the cap. Low enough that a candidate that starts to fail 5 % of its requests no longer
// passes within 60 requests.
constexpr double maxNonInferiorityEvidence = 9.5;
constexpr double minRate = 0.002;

template <typename Ratios>
double logMixture(const Ratios &ratios, double pendingWeight)
{
    double sum = pendingWeight;
    for (const double ratio : ratios)
        sum += ratio;
    return std::log(std::max(sum, 1e-300));
}

} // namespace

OddsRatioTest::OddsRatioTest(double horizonWindows, const OddsHypotheses &hypotheses)
    : m_hypotheses(hypotheses),
      m_onsetWeight((1.0 - initialWeight) / std::max(1.0, horizonWindows)),
      m_pendingWeight(1.0 - initialWeight)
{
    m_likelihoodRatios.fill(initialWeight / static_cast<double>(m_likelihoodRatios.size()));
}

void OddsRatioTest::add(const WindowCounts &window)
{
    const double weight = std::min(m_onsetWeight, m_pendingWeight);
    m_pendingWeight -= weight;
    for (double &ratio : m_likelihoodRatios)
        ratio += weight / static_cast<double>(m_likelihoodRatios.size());
    const double adverse = window.baselineAdverse + window.candidateAdverse;
    const double requests = window.baselineRequests + window.candidateRequests;
    if (adverse <= 0 || window.baselineRequests <= 0 || window.candidateRequests <= 0)
        return; // says nothing about a difference
    const double q = window.candidateRequests / requests;
    const double nullNorm = 1.0 - q + q * m_hypotheses.nullOddsRatio;
    for (std::size_t i = 0; i < m_likelihoodRatios.size(); ++i) {
        const double odds = m_hypotheses.alternatives[i];
        const double logRatio
            = window.candidateAdverse * std::log(odds / m_hypotheses.nullOddsRatio)
            - adverse * std::log((1.0 - q + q * odds) / nullNorm);
        m_likelihoodRatios[i]
            = std::min(m_likelihoodRatios[i] * std::exp(logRatio), maxLikelihoodRatio);
    }
}

double OddsRatioTest::logEvidence() const noexcept
{
    return logMixture(m_likelihoodRatios, m_pendingWeight);
}

ReferenceTest::ReferenceTest(double horizonWindows)
    : m_onsetWeight((1.0 - initialWeight) / std::max(1.0, horizonWindows)),
      m_pendingWeight(1.0 - initialWeight)
{
    m_likelihoodRatios.fill(initialWeight / static_cast<double>(m_likelihoodRatios.size()));
}

void ReferenceTest::addWithReference(const WindowCounts &window, double referenceRate)
{
    const double weight = std::min(m_onsetWeight, m_pendingWeight);
    m_pendingWeight -= weight;
    for (double &ratio : m_likelihoodRatios)
        ratio += weight / static_cast<double>(m_likelihoodRatios.size());
    const double nullRate = std::min(referenceRate * 1.5 + referenceDrift, maxRate);
    const double good = window.candidateRequests - window.candidateAdverse;
    for (std::size_t i = 0; i < m_likelihoodRatios.size(); ++i) {
        const double rate = std::min(nullRate + excessRates[i], maxRate);
        const double logRatio = window.candidateAdverse * std::log(rate / nullRate)
            + good * std::log((1.0 - rate) / (1.0 - nullRate));
        const double boundedLogRatio = std::min(logRatio, maxReferenceStep);
        m_likelihoodRatios[i]
            = std::min(m_likelihoodRatios[i] * std::exp(boundedLogRatio), maxLikelihoodRatio);
    }
}

double ReferenceTest::logEvidence() const noexcept
{
    return logMixture(m_likelihoodRatios, m_pendingWeight);
}

void NonInferiorityTest::add(double requests, double adverse, double referenceRate)
{
    const double low = std::clamp(referenceRate, minRate, 0.98);
    const double high = std::min(low + m_margin, maxRate);
    m_logLikelihoodRatio += adverse * std::log(low / high)
        + (requests - adverse) * std::log((1.0 - low) / (1.0 - high));
    m_logLikelihoodRatio = std::min(m_logLikelihoodRatio, maxNonInferiorityEvidence);
}

} // namespace camphorreach
