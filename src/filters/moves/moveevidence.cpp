// Tests of the windows of one move.
#include <camphorreach/moveevidence.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t none = instanceGroups; // leaves out no group
constexpr std::size_t maxStrata = 48; // bounds memory and time for services with many routes
// Requests that an instance needs to fill its caches and connections, with room for uneven load.
constexpr std::uint32_t coldRequests = 30;
// Memory of the old version's recent rate. An overload or a slow dependency shows in it.
constexpr double recentSeconds = 10;
constexpr double recentPrior = 2; // requests
constexpr double smallestExcessEvents = 0.9; // one recent event, with its decay
constexpr double enoughOldRequests = 20;
constexpr double longestWindowSeconds = 5;
// Windows with a larger part on the new version are also compared with the old version's past rate.
constexpr double referencePart = 0.8;
constexpr double memoryDecay = 0.97; // of the old version's counts for each window
constexpr double slowExcess = 0.1; // doubled latency makes far more than 10 % more requests slow
// A rate from few requests is pulled up by this many requests with a small rate.
constexpr double priorRequests = 10;
constexpr double priorRate = 0.002;

struct SideTotals
{
    double requests = 0;
    std::array<double, adverseKinds> adverse {};
};

template <typename Groups>
SideTotals totalsWithout(const Groups &groups, std::size_t leftOut)
{
    SideTotals totals;
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
    const double largest = *std::ranges::max_element(logs);
    double sum = 0;
    for (const double value : logs)
        sum += std::exp(value - largest);
    return largest + std::log(sum / static_cast<double>(logs.size()));
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

template <EvidenceTest Test>
MoveEvidence<Test>::MoveEvidence(Duration horizon)
    : m_horizonWindows(static_cast<double>(horizon.count()) / 1e6), m_all(makeComparisons())
{
    for (const double excess : vouchedExcesses)
        m_noExcess.emplace_back(instanceGroups + 1, VouchTest(excess));
    m_notSlow.assign(instanceGroups + 1, VouchTest(slowExcess));
}

template <EvidenceTest Test>
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

template <EvidenceTest Test>
template <typename Key>
typename MoveEvidence<Test>::Comparisons &
MoveEvidence<Test>::comparisonsOf(std::map<Key, Comparisons> &map, const Key &key) const
{
    const auto found = map.find(key);
    return found != map.end() ? found->second : map.emplace(key, makeComparisons()).first->second;
}

template <EvidenceTest Test>
void MoveEvidence<Test>::add(const EvidenceEntry &entry)
{
    if (entry.group >= instanceGroups || entry.counts.requests == 0)
        return;
    GroupCounts counts = entry.counts;
    const bool isNew = entry.side == Side::New;
    if (isNew) {
        std::uint32_t &requests = m_groupRequests[entry.group];
        if (requests < m_instances[entry.group] * coldRequests)
            counts.adverse = { counts.adverse[0], 0, 0, 0 };
        requests += counts.requests;
        m_newGroups.insert(entry.group);
    }
    const bool isKnown = m_strata.contains(entry.stratum) || m_strata.size() < maxStrata;
    // The counts of further strata are kept together.
    StratumState &state = m_strata[isKnown ? entry.stratum : Stratum()];
    state.window[static_cast<std::size_t>(entry.side)][entry.group] += counts;
    DomainCounts &domain = m_counts[isKnown ? entry.stratum.domain : FailureDomain()];
    std::uint64_t adverse = 0;
    for (const std::uint32_t count : counts.adverse)
        adverse += count;
    m_arrived += counts.requests;
    if (!isNew) {
        m_arrivedOld[adverseKinds] += counts.requests;
        for (std::size_t kind = 0; kind < adverseKinds; ++kind)
            m_arrivedOld[kind] += counts.adverse[kind];
    }
    (isNew ? domain.newRequests : domain.oldRequests) += counts.requests;
    (isNew ? domain.newAdverse : domain.oldAdverse) += adverse;
}

template <EvidenceTest Test>
void MoveEvidence<Test>::advance(Duration passed)
{
    const double seconds = std::max(1e-3, static_cast<double>(passed.count()) / 1e6);
    const double recentDecay = std::exp(-seconds / recentSeconds);
    for (double &count : m_recentOld)
        count *= recentDecay;
    for (std::size_t i = 0; i <= adverseKinds; ++i)
        m_recentOld[i] += std::exchange(m_arrivedOld[i], 0.0);
    const double rate = std::exchange(m_arrived, 0.0) / seconds;
    m_rate = m_rate == 0 ? rate : m_rate + std::min(1.0, seconds / recentSeconds) * (rate - m_rate);
    for (auto &[stratum, state] : m_strata) {
        const double old = totalsWithout(state.window[0], none).requests;
        const double fresh = totalsWithout(state.window[1], none).requests;
        state.windowSeconds += seconds;
        if (old + fresh == 0)
            state.windowSeconds = 0;
        else if (old >= enoughOldRequests || state.windowSeconds >= longestWindowSeconds)
            closeWindow(stratum, state);
    }
}

template <EvidenceTest Test>
void MoveEvidence<Test>::closeWindow(const Stratum &stratum, StratumState &state)
{
    const Rates rates = oldRates(state);
    Comparisons &route = comparisonsOf(m_routes, stratum.route);
    Comparisons &domain = comparisonsOf(m_domains, stratum.domain);
    for (std::size_t kind = 0; kind < adverseKinds; ++kind) {
        for (Comparisons *comparisons : { &m_all, &route, &domain })
            compare((*comparisons)[kind], state.window, kind, rates[kind]);
    }
    vouch(state.window, rates);
    remember(state);
    state.window = {};
    state.windowSeconds = 0;
}

template <EvidenceTest Test>
void MoveEvidence<Test>::compare(Comparison &comparison, const Cells &cells, std::size_t kind,
                                 double reference)
{
    constexpr std::size_t width = instanceGroups + 1;
    const auto &[oldGroups, newGroups] = cells;
    const SideTotals oldAll = totalsWithout(oldGroups, none);
    const SideTotals newAll = totalsWithout(newGroups, none);
    // Sheds follow the load, which past rates do not show.
    const bool usesReference = kind != static_cast<std::size_t>(AdverseKind::Shed)
        && newAll.requests > referencePart * (newAll.requests + oldAll.requests);
    if (oldAll.adverse[kind] + newAll.adverse[kind] == 0 && !usesReference)
        return; // no test would change
    for (std::size_t left = 0; left < width; ++left) {
        if (left != none && !m_newGroups.contains(static_cast<std::uint8_t>(left)))
            continue;
        const SideTotals fresh = totalsWithout(newGroups, left);
        if (usesReference) {
            comparison.references[left].addAgainst({ 0, fresh.requests, 0, fresh.adverse[kind] },
                                                   reference);
        }
        for (std::size_t other = 0; other < width; ++other) {
            const SideTotals old = totalsWithout(oldGroups, other);
            comparison.tests[left * width + other].add(
                { old.requests, fresh.requests, old.adverse[kind], fresh.adverse[kind] });
        }
    }
}

template <EvidenceTest Test>
void MoveEvidence<Test>::vouch(const Cells &cells, const Rates &rates)
{
    constexpr auto slow = static_cast<std::size_t>(AdverseKind::Slow);
    // Sheds follow the load; the comparison within one window judges them.
    const double failureRate = rates[0] + rates[2];
    for (std::size_t left = 0; left <= none; ++left) {
        const SideTotals fresh = totalsWithout(cells[1], left);
        const double failures = fresh.adverse[0] + fresh.adverse[2];
        for (auto &tests : m_noExcess)
            tests[left].add(fresh.requests, std::min(failures, fresh.requests), failureRate);
        m_notSlow[left].add(fresh.requests, fresh.adverse[slow], rates[slow]);
    }
}

template <EvidenceTest Test>
void MoveEvidence<Test>::remember(StratumState &state)
{
    for (std::size_t i = 0; i < instanceGroups; ++i) {
        const GroupCounts &counts = state.window[0][i];
        auto &memory = state.old[i];
        // Without new requests the memory stays, so that a reference remains at full share.
        const double decay = counts.requests > 0 ? memoryDecay : 1.0;
        memory[adverseKinds] = memory[adverseKinds] * decay + counts.requests;
        for (std::size_t kind = 0; kind < adverseKinds; ++kind)
            memory[kind] = memory[kind] * decay + counts.adverse[kind];
    }
}

// Rates of the old version, in the past and in the last seconds. Of three groups or more, the one
// with the most adverse events is left out: a bad old instance must not excuse a bad version.
template <EvidenceTest Test>
typename MoveEvidence<Test>::Rates MoveEvidence<Test>::oldRates(const StratumState &state) const
{
    Rates rates {};
    for (std::size_t kind = 0; kind < adverseKinds; ++kind) {
        double requests = priorRequests;
        double adverse = priorRequests * priorRate;
        std::size_t groups = 0;
        std::size_t worst = none;
        for (std::size_t i = 0; i < instanceGroups; ++i) {
            if (state.old[i][adverseKinds] <= 0)
                continue;
            ++groups;
            if (worst == none || state.old[i][kind] > state.old[worst][kind])
                worst = i;
        }
        for (std::size_t i = 0; i < instanceGroups; ++i) {
            if (groups >= 3 && i == worst)
                continue;
            requests += state.old[i][adverseKinds];
            adverse += state.old[i][kind];
        }
        const double past = adverse / requests;
        const double seen = m_recentOld[adverseKinds];
        // A rise that has just begun shows in a few events only: take the upper end of what they
        // say.
        const double excess = m_recentOld[kind] - seen * past;
        const double recent = excess < smallestExcessEvents
            ? past
            : (m_recentOld[kind] + 2.0 * std::sqrt(m_recentOld[kind])) / (seen + recentPrior);
        rates[kind] = std::max(past, recent);
    }
    return rates;
}

template <EvidenceTest Test>
double MoveEvidence<Test>::logEvidence(const Comparison &comparison) const
{
    constexpr std::size_t width = instanceGroups + 1;
    const auto leftOut = [&](std::size_t left) {
        const double reference = comparison.references[left].logEvidence();
        std::vector<double> logs;
        logs.reserve(2 * width);
        // Leaving out no group has half of the weight.
        const double plain = comparison.tests[left * width + none].logEvidence();
        for (std::size_t other = 0; other < instanceGroups; ++other) {
            logs.push_back(comparison.tests[left * width + other].logEvidence());
            logs.push_back(plain);
        }
        return logMean({ logMean(logs), reference });
    };
    double smallest = leftOut(none);
    if (m_newGroups.size() < 2)
        return smallest; // there is no sibling to tell an instance from its version
    for (const std::uint8_t group : m_newGroups)
        smallest = std::min(smallest, leftOut(group));
    return smallest;
}

template <EvidenceTest Test>
EvidenceSummary MoveEvidence<Test>::summary() const
{
    EvidenceSummary summary;
    std::vector<double> logs;
    double strongest = 0;
    const auto weigh
        = [&](double log, std::size_t kind, const std::string &where, const FailureDomain &domain) {
              if (log > strongest) {
                  strongest = log;
                  summary.worstDomain = domain;
                  summary.reason = std::string("more ") + toText(static_cast<AdverseKind>(kind))
                      + where + " than the old version";
              }
          };
    const auto mean = [&](const auto &map, std::size_t kind, const auto &note) {
        std::vector<double> parts;
        for (const auto &[key, comparisons] : map) {
            parts.push_back(logEvidence(comparisons[kind]));
            note(key, parts.back());
        }
        return parts.empty() ? 0.0 : logMean(parts);
    };
    for (std::size_t kind = 0; kind < adverseKinds; ++kind) {
        // Half of the weight is on all strata, the rest on single routes and single domains.
        const double all = logEvidence(m_all[kind]);
        weigh(all, kind, "", {});
        logs.insert(logs.end(), 2, all);
        logs.push_back(mean(m_routes, kind, [&](const RouteName &route, double log) {
            weigh(log, kind, " on route \"" + route.value() + "\"", {});
        }));
        logs.push_back(mean(m_domains, kind, [&](const FailureDomain &domain, double log) {
            weigh(log, kind, "", domain);
        }));
    }
    summary.logBad = logMean(logs);
    const auto vouched = [](const std::vector<VouchTest> &tests) {
        std::vector<double> values;
        values.reserve(tests.size());
        for (const VouchTest &test : tests)
            values.push_back(test.logEvidence());
        return logMean(values);
    };
    for (std::size_t i = 0; i < vouchedExcesses.size(); ++i)
        summary.logNoExcess[i] = vouched(m_noExcess[i]);
    summary.logNotSlow = vouched(m_notSlow);
    summary.requestsPerSecond = m_rate;
    summary.domains = m_counts;
    return summary;
}

template class MoveEvidence<OddsTest>;

} // namespace camphorreach
