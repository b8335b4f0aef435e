// Windows of counts, baseline rates and test results of one move.
#include <camphorreach/moveevidence.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t noGroup = instanceGroups; // index for leaving out no group
constexpr std::size_t maxStrata = 48; // bounds memory and CPU time for services with many routes
// Requests after which an instance has warm caches and connections, with a margin for uneven load.
constexpr std::uint32_t coldStartRequests = 30;
// Time constant of the baseline's recent rate, which shows an overload or a slow dependency.
constexpr double recentSeconds = 10;
constexpr double recentPrior = 2; // requests
constexpr double minExcessEvents = 0.9; // one recent event after some decay
constexpr double minBaselineRequests = 20;
constexpr double maxWindowSeconds = 5;
// Windows in which the candidate received a larger fraction of the requests are also compared with
// the baseline's reference rate.
constexpr double minReferenceFraction = 0.8;
constexpr double historyDecay = 0.97; // of the baseline's counts, per window
constexpr double slowMargin = 0.1; // doubled latency makes far more than 10 % more requests slow
// Added to past rates as requests at priorRate, which keeps rates from few requests above zero.
constexpr double priorRequests = 10;
constexpr double priorRate = 0.002;

struct RoleTotals
{
    double requests = 0;
    std::array<double, adverseKinds> adverse {};
};

template <typename Groups>
RoleTotals totalsWithout(const Groups &groups, std::size_t leftOut)
{
    RoleTotals totals;
    for (std::size_t i = 0; i < instanceGroups; ++i) {
        if (i == leftOut)
            continue;
        totals.requests += groups[i].requests;
        for (std::size_t kind = 0; kind < adverseKinds; ++kind)
            totals.adverse[kind] += groups[i].adverse[kind];
    }
    return totals;
}

double logMean(const std::vector<double> &logs)
{
    const double maxLog = *std::ranges::max_element(logs);
    double sum = 0;
    for (const double value : logs)
        sum += std::exp(value - maxLog);
    return maxLog + std::log(sum / static_cast<double>(logs.size()));
}

} // namespace

std::uint8_t groupOf(const InstanceId &instance) noexcept
{
    std::uint32_t hash = 2166136261U; // FNV-1a
    for (const char byte : instance.value())
        hash = (hash ^ static_cast<std::uint8_t>(byte)) * 16777619U;
    return static_cast<std::uint8_t>((hash ^ (hash >> 15U)) % instanceGroups);
}

const char *toText(AdverseKind kind) noexcept
{
    switch (kind) {
    case AdverseKind::Failure:
        return "failures";
    case AdverseKind::Shed:
        return "shed requests";
    case AdverseKind::Timeout:
        return "timeouts";
    case AdverseKind::Slow:
        return "slow answers";
    }
    return "";
}

GroupCounts &GroupCounts::operator+=(const GroupCounts &other) noexcept
{
    requests += other.requests;
    for (std::size_t i = 0; i < adverseKinds; ++i)
        adverse[i] += other.adverse[i];
    return *this;
}

template <SequentialTest Test>
MoveEvidence<Test>::MoveEvidence(Duration horizon)
    : m_horizonWindows(static_cast<double>(horizon.count()) / 1e6), m_all(makeComparisons())
{
    for (const double margin : nonInferiorityMargins)
        m_failureTests.emplace_back(instanceGroups + 1, NonInferiorityTest(margin));
    m_latencyTests.assign(instanceGroups + 1, NonInferiorityTest(slowMargin));
}

template <SequentialTest Test>
typename MoveEvidence<Test>::Comparisons MoveEvidence<Test>::makeComparisons() const
{
    constexpr std::size_t width = instanceGroups + 1;
    Comparisons comparisons;
    for (Comparison &comparison : comparisons) {
        comparison.tests.assign(width * width, Test(m_horizonWindows));
        comparison.references.assign(width, ReferenceTest(m_horizonWindows));
    }
    return comparisons;
}

template <SequentialTest Test>
template <typename Key>
typename MoveEvidence<Test>::Comparisons &
MoveEvidence<Test>::comparisonsOf(std::map<Key, Comparisons> &map, const Key &key) const
{
    const auto found = map.find(key);
    return found != map.end() ? found->second : map.emplace(key, makeComparisons()).first->second;
}

template <SequentialTest Test>
void MoveEvidence<Test>::add(const EvidenceEntry &entry)
{
    if (entry.group >= instanceGroups || entry.counts.requests == 0)
        return;
    GroupCounts counts = entry.counts;
    const bool isCandidate = entry.role == VersionRole::Candidate;
    if (isCandidate) {
        std::uint32_t &requests = m_groupRequests[entry.group];
        if (requests < m_instances[entry.group] * coldStartRequests)
            counts.adverse = { counts.adverse[0], 0, 0, 0 };
        requests += counts.requests;
        m_candidateGroups.insert(entry.group);
    }
    const bool isKnown = m_strata.contains(entry.stratum) || m_strata.size() < maxStrata;
    // Strata beyond the limit share one state.
    StratumState &state = m_strata[isKnown ? entry.stratum : Stratum()];
    state.window[static_cast<std::size_t>(entry.role)][entry.group] += counts;
    DomainCounts &domain = m_counts[isKnown ? entry.stratum.domain : FailureDomain()];
    std::uint64_t adverse = 0;
    for (const std::uint32_t count : counts.adverse)
        adverse += count;
    m_pendingRequests += counts.requests;
    if (!isCandidate) {
        m_pendingBaseline[adverseKinds] += counts.requests;
        for (std::size_t kind = 0; kind < adverseKinds; ++kind)
            m_pendingBaseline[kind] += counts.adverse[kind];
    }
    (isCandidate ? domain.candidateRequests : domain.baselineRequests) += counts.requests;
    (isCandidate ? domain.candidateAdverse : domain.baselineAdverse) += adverse;
}

template <SequentialTest Test>
void MoveEvidence<Test>::advance(Duration elapsed)
{
    const double seconds = std::max(1e-3, static_cast<double>(elapsed.count()) / 1e6);
    const double recentDecay = std::exp(-seconds / recentSeconds);
    for (double &count : m_recentBaseline)
        count *= recentDecay;
    for (std::size_t i = 0; i <= adverseKinds; ++i)
        m_recentBaseline[i] += std::exchange(m_pendingBaseline[i], 0.0);
    const double rate = std::exchange(m_pendingRequests, 0.0) / seconds;
    m_rate = m_rate == 0 ? rate : m_rate + std::min(1.0, seconds / recentSeconds) * (rate - m_rate);
    for (auto &[stratum, state] : m_strata) {
        const double baseline = totalsWithout(state.window[0], noGroup).requests;
        const double candidate = totalsWithout(state.window[1], noGroup).requests;
        state.windowSeconds += seconds;
        if (baseline + candidate == 0)
            state.windowSeconds = 0;
        else if (baseline >= minBaselineRequests || state.windowSeconds >= maxWindowSeconds)
            closeWindow(stratum, state);
    }
}

template <SequentialTest Test>
void MoveEvidence<Test>::closeWindow(const Stratum &stratum, StratumState &state)
{
    const Rates rates = baselineRates(state);
    Comparisons &route = comparisonsOf(m_routes, stratum.route);
    Comparisons &domain = comparisonsOf(m_domains, stratum.domain);
    for (std::size_t kind = 0; kind < adverseKinds; ++kind) {
        for (Comparisons *comparisons : { &m_all, &route, &domain })
            compare((*comparisons)[kind], state.window, kind, rates[kind]);
    }
    testNonInferiority(state.window, rates);
    updateHistory(state);
    state.window = {};
    state.windowSeconds = 0;
}

template <SequentialTest Test>
void MoveEvidence<Test>::compare(Comparison &comparison, const CountTable &window, std::size_t kind,
                                 double referenceRate)
{
    constexpr std::size_t width = instanceGroups + 1;
    const auto &[baselineGroups, candidateGroups] = window;
    const RoleTotals allBaseline = totalsWithout(baselineGroups, noGroup);
    const RoleTotals allCandidate = totalsWithout(candidateGroups, noGroup);
    // Load shedding depends on the current load, which past rates do not show.
    const bool usesReference = kind != static_cast<std::size_t>(AdverseKind::Shed)
        && allCandidate.requests
            > minReferenceFraction * (allCandidate.requests + allBaseline.requests);
    if (allBaseline.adverse[kind] + allCandidate.adverse[kind] == 0 && !usesReference)
        return; // no test would change
    for (std::size_t leftOut = 0; leftOut < width; ++leftOut) {
        if (leftOut != noGroup && !m_candidateGroups.contains(static_cast<std::uint8_t>(leftOut)))
            continue;
        const RoleTotals candidate = totalsWithout(candidateGroups, leftOut);
        if (usesReference) {
            comparison.references[leftOut].addWithReference(
                { 0, candidate.requests, 0, candidate.adverse[kind] }, referenceRate);
        }
        for (std::size_t baselineLeftOut = 0; baselineLeftOut < width; ++baselineLeftOut) {
            const RoleTotals baseline = totalsWithout(baselineGroups, baselineLeftOut);
            comparison.tests[leftOut * width + baselineLeftOut].add(
                { baseline.requests, candidate.requests, baseline.adverse[kind],
                  candidate.adverse[kind] });
        }
    }
}

template <SequentialTest Test>
void MoveEvidence<Test>::testNonInferiority(const CountTable &window, const Rates &rates)
{
    constexpr auto slow = static_cast<std::size_t>(AdverseKind::Slow);
    // Failures and timeouts only: load shedding depends on the current load, so it is compared
    // within the same window instead.
    const double failureRate = rates[0] + rates[2];
    for (std::size_t leftOut = 0; leftOut <= noGroup; ++leftOut) {
        const RoleTotals candidate = totalsWithout(window[1], leftOut);
        const double failures = candidate.adverse[0] + candidate.adverse[2];
        for (auto &tests : m_failureTests)
            tests[leftOut].add(candidate.requests, std::min(failures, candidate.requests),
                               failureRate);
        m_latencyTests[leftOut].add(candidate.requests, candidate.adverse[slow], rates[slow]);
    }
}

template <SequentialTest Test>
void MoveEvidence<Test>::updateHistory(StratumState &state)
{
    for (std::size_t i = 0; i < instanceGroups; ++i) {
        const GroupCounts &counts = state.window[0][i];
        auto &history = state.baselineHistory[i];
        // Counts decay only when requests replace them, so that a reference rate remains when all
        // traffic goes to the candidate.
        const double decay = counts.requests > 0 ? historyDecay : 1.0;
        history[adverseKinds] = history[adverseKinds] * decay + counts.requests;
        for (std::size_t kind = 0; kind < adverseKinds; ++kind)
            history[kind] = history[kind] * decay + counts.adverse[kind];
    }
}

// Returns the higher of the past and the recent rate of the baseline for every kind of adverse
// event. Of three or more groups, the past rate leaves out the one with the most adverse events, so
// that a bad baseline instance does not hide a bad candidate.
template <SequentialTest Test>
typename MoveEvidence<Test>::Rates
MoveEvidence<Test>::baselineRates(const StratumState &state) const
{
    Rates rates {};
    for (std::size_t kind = 0; kind < adverseKinds; ++kind) {
        double requests = priorRequests;
        double adverse = priorRequests * priorRate;
        std::size_t groups = 0;
        std::size_t worst = noGroup;
        for (std::size_t i = 0; i < instanceGroups; ++i) {
            if (state.baselineHistory[i][adverseKinds] <= 0)
                continue;
            ++groups;
            if (worst == noGroup
                || state.baselineHistory[i][kind] > state.baselineHistory[worst][kind])
                worst = i;
        }
        for (std::size_t i = 0; i < instanceGroups; ++i) {
            if (groups >= 3 && i == worst)
                continue;
            requests += state.baselineHistory[i][adverseKinds];
            adverse += state.baselineHistory[i][kind];
        }
        const double past = adverse / requests;
        const double recentRequests = m_recentBaseline[adverseKinds];
        // An increase that has just started shows in a few events only, so an upper confidence
        // bound of the recent rate is used.
        const double excess = m_recentBaseline[kind] - recentRequests * past;
        const double recent = excess < minExcessEvents
            ? past
            : (m_recentBaseline[kind] + 2.0 * std::sqrt(m_recentBaseline[kind]))
                / (recentRequests + recentPrior);
        rates[kind] = std::max(past, recent);
    }
    return rates;
}

template <SequentialTest Test>
double MoveEvidence<Test>::logEvidence(const Comparison &comparison) const
{
    constexpr std::size_t width = instanceGroups + 1;
    const auto evidenceWithout = [&](std::size_t leftOut) {
        const double reference = comparison.references[leftOut].logEvidence();
        std::vector<double> logs;
        logs.reserve(2 * width);
        // Leaving out no baseline group has half of the weight.
        const double allGroups = comparison.tests[leftOut * width + noGroup].logEvidence();
        for (std::size_t baselineLeftOut = 0; baselineLeftOut < instanceGroups; ++baselineLeftOut) {
            logs.push_back(comparison.tests[leftOut * width + baselineLeftOut].logEvidence());
            logs.push_back(allGroups);
        }
        return logMean({ logMean(logs), reference });
    };
    double minEvidence = evidenceWithout(noGroup);
    if (m_candidateGroups.size() < 2)
        return minEvidence; // with one group, a bad instance looks like a bad version
    for (const std::uint8_t group : m_candidateGroups)
        minEvidence = std::min(minEvidence, evidenceWithout(group));
    return minEvidence;
}

template <SequentialTest Test>
EvidenceSummary MoveEvidence<Test>::summary() const
{
    EvidenceSummary summary;
    std::vector<double> logs;
    double strongest = 0;
    const auto updateStrongest
        = [&](double log, std::size_t kind, const std::string &where, const FailureDomain &domain) {
              if (log > strongest) {
                  strongest = log;
                  summary.worstDomain = domain;
                  summary.reason = std::string("more ") + toText(static_cast<AdverseKind>(kind))
                      + where + " than the old version";
              }
          };
    const auto mean = [&](const auto &map, std::size_t kind, const auto &visit) {
        std::vector<double> values;
        for (const auto &[key, comparisons] : map) {
            values.push_back(logEvidence(comparisons[kind]));
            visit(key, values.back());
        }
        return values.empty() ? 0.0 : logMean(values);
    };
    for (std::size_t kind = 0; kind < adverseKinds; ++kind) {
        // Half of the weight is on all strata together, the rest on single routes and domains.
        const double all = logEvidence(m_all[kind]);
        updateStrongest(all, kind, "", {});
        logs.insert(logs.end(), 2, all);
        logs.push_back(mean(m_routes, kind, [&](const RouteName &route, double log) {
            updateStrongest(log, kind, " on route \"" + route.value() + "\"", {});
        }));
        logs.push_back(mean(m_domains, kind, [&](const FailureDomain &domain, double log) {
            updateStrongest(log, kind, "", domain);
        }));
    }
    summary.logBad = logMean(logs);
    const auto meanEvidence = [](const std::vector<NonInferiorityTest> &tests) {
        std::vector<double> values;
        values.reserve(tests.size());
        for (const NonInferiorityTest &test : tests)
            values.push_back(test.logEvidence());
        return logMean(values);
    };
    for (std::size_t i = 0; i < nonInferiorityMargins.size(); ++i)
        summary.logNoExcess[i] = meanEvidence(m_failureTests[i]);
    summary.logNotSlow = meanEvidence(m_latencyTests);
    summary.requestsPerSecond = m_rate;
    summary.domains = m_counts;
    return summary;
}

template class MoveEvidence<OddsRatioTest>;

} // namespace camphorreach
