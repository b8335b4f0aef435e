// Sequential tests that compare the adverse events of a baseline and a candidate version.
#pragma once

#include <array>
#include <concepts>
#include <cstdint>

namespace camphorreach {

/// Requests and adverse events of the baseline (old version) and the candidate (new version) in one
/// stratum and one time window.
struct WindowCounts
{
    double baselineRequests = 0;
    double candidateRequests = 0;
    double baselineAdverse = 0;
    double candidateAdverse = 0;
};

/// A sequential test that is updated after every window. logEvidence() is the natural logarithm of
/// an e-value: under the null hypothesis, the probability that exp(logEvidence()) reaches 1/a at
/// any time is at most a, however often it is checked.
template <typename T>
concept SequentialTest
    = requires(T test, const T &constTest, const WindowCounts &window, double horizonWindows)
{
    T(horizonWindows);
    test.add(window);
    {
        constTest.logEvidence()
        } -> std::same_as<double>;
};

/// Null and alternative hypotheses on the odds ratio of adverse events, candidate to baseline.
struct OddsHypotheses
{
    double nullOddsRatio = 1.25; ///< Up to this odds ratio, the versions count as equal.
    std::array<double, 4> alternatives { 2.0, 5.0, 20.0, 100.0 };
};

/// The e-process of section 10. Under the null hypothesis, an adverse event comes from the
/// candidate with probability q r / (1 - q + q r), where q is the fraction of the requests in the
/// same stratum and window that the candidate received, and r is the odds ratio of the null
/// hypothesis.
///
/// The evidence is a mixture of likelihood ratios over alternative odds ratios and onset times, so
/// that a long period without a regression does not hide one that starts later. Onsets that are
/// still to come contribute their prior weight with a likelihood ratio of 1.
class OddsRatioTest
{
public:
    /// \a horizonWindows: number of windows over which the prior weight of onset times is spread.
    explicit OddsRatioTest(double horizonWindows, const OddsHypotheses &hypotheses = {});

    void add(const WindowCounts &window);
    [[nodiscard]] double logEvidence() const noexcept;

private:
    OddsHypotheses m_hypotheses;
    double m_onsetWeight; // prior weight of an onset in any one window
    double m_pendingWeight; // prior weight of later onsets
    std::array<double, 4> m_likelihoodRatios {}; // weighted, by alternative
};

static_assert(SequentialTest<OddsRatioTest>);

/// Compares the candidate with a reference rate, which is an earlier rate of the baseline. Used
/// while the baseline receives too few requests for a comparison within the same window.
class ReferenceTest
{
public:
    explicit ReferenceTest(double horizonWindows);

    void add(const WindowCounts &window) { addWithReference(window, 0.0); }
    /// \a referenceRate: rate of adverse events of the baseline.
    void addWithReference(const WindowCounts &window, double referenceRate);
    [[nodiscard]] double logEvidence() const noexcept;

private:
    double m_onsetWeight;
    double m_pendingWeight;
    std::array<double, 3> m_likelihoodRatios {}; // weighted, by excess rate
};

static_assert(SequentialTest<ReferenceTest>);

/// Tests that a candidate is not worse than its baseline by a margin. The null hypothesis is that
/// the candidate has at least \a margin more adverse events per request than the baseline.
class NonInferiorityTest
{
public:
    explicit NonInferiorityTest(double margin) : m_margin(margin) { }

    /// \a referenceRate: rate of adverse events of the baseline.
    void add(double requests, double adverse, double referenceRate);
    [[nodiscard]] double logEvidence() const noexcept { return m_logLikelihoodRatio; }

private:
    double m_margin;
    // Capped, so that earlier evidence for the candidate does not outweigh a later fault.
    double m_logLikelihoodRatio = 0;
};

} // namespace camphorreach
