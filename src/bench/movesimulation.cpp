// Simulation of one move.
#include "movesimulation.h"

#include <camphorreach/samplecollector.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>

namespace camphorreach::bench {
namespace {

constexpr double baseFailureRate = 0.002;
constexpr double medianMilliseconds = 20.0;
constexpr double latencySigma = 0.5; // of the log-normal distribution
constexpr double smallRouteFraction = 0.3;
constexpr double underLoadShare = 0.4; // from which FailsUnderLoad fails
constexpr int faultSeconds = 60; // duration of an overload or a slow dependency
constexpr std::uint64_t coldStartRequests = 20;
// Time from the controller's write of a share until it is in force at the nodes.
constexpr std::size_t propagationSeconds = 2;
constexpr std::int64_t startMs = 1'000'000;

struct SimulatedInstance
{
    InstanceId id;
    std::uint64_t requests = 0;
    bool isFlaky = false;
};

struct SimulatedDomain
{
    FailureDomain name;
    std::array<std::vector<SimulatedInstance>, 2> instances; // old version, new version
    std::vector<SampleCollector> nodes;
};

class Simulation
{
public:
    Simulation(const MoveCase &moveCase, std::uint64_t seed);
    MoveTrialResult run();

private:
    void sendRequests(int second);
    RequestSample request(SimulatedDomain &domain, bool isNew, int second);
    [[nodiscard]] double failureRate(bool isNew, const SimulatedInstance &instance,
                                     bool isSmallRoute, int second) const;
    [[nodiscard]] bool isFaulty(int second) const;
    void decide(int second);
    void decideByEvidence(WallTime now);
    void decideBySchedule(int second);

    const MoveCase &m_case;
    RandomSource m_random;
    std::vector<SimulatedDomain> m_domains;
    MoveEvidence<OddsRatioTest> m_evidence; // at the controller
    MoveRecord m_record;
    std::deque<double> m_sharesInTransit; // written by the controller, not in force yet
    double m_share = 0; // in force at the nodes
    int m_faultStart = 0;
    std::optional<int> m_firstBadRequestAt; // first second with a bad request
    std::uint64_t m_windowRequests = 0; // for the error threshold
    std::uint64_t m_windowFailures = 0;
    MoveTrialResult m_result;
};

Simulation::Simulation(const MoveCase &moveCase, std::uint64_t seed)
    : m_case(moveCase), m_random(seed), m_evidence(moveCase.duration)
{
    const BackendVersion from("v1");
    const BackendVersion to("v2");
    std::array<std::uint32_t, instanceGroups> groups {};
    for (std::size_t d = 0; d < m_case.site.domains; ++d) {
        SimulatedDomain domain;
        domain.name = FailureDomain("domain-" + std::to_string(d));
        for (std::size_t side = 0; side < 2; ++side) {
            for (std::size_t i = 0; i < m_case.site.instances; ++i) {
                const std::string id = std::to_string(d) + (side == 0 ? "-old-" : "-new-");
                domain.instances[side].push_back({ InstanceId(id + std::to_string(i)), 0, false });
            }
        }
        for (std::size_t i = 0; i < m_case.site.nodes; ++i)
            domain.nodes.emplace_back(from, to);
        for (const SimulatedInstance &instance : domain.instances[1])
            ++groups[groupOf(instance.id)];
        m_domains.push_back(std::move(domain));
    }
    m_evidence.setInstances(groups);
    if (m_case.fault == MoveFault::FlakyNewInstance)
        m_domains[0].instances[1][0].isFlaky = true;
    if (m_case.fault == MoveFault::FlakyOldInstance)
        m_domains[0].instances[0][0].isFlaky = true;
    const auto seconds = static_cast<int>(
        std::chrono::duration_cast<std::chrono::seconds>(m_case.duration).count());
    const bool startsLater = m_case.fault == MoveFault::FailsLater
        || m_case.fault == MoveFault::DoublesLatencyLater || m_case.fault == MoveFault::Overload
        || m_case.fault == MoveFault::SlowDependency;
    // A version that becomes bad only after the soak is outside the scope of the move, whereas an
    // overload or a slow dependency may start at almost any time.
    const int latestPercent = isBadVersion(m_case.fault) ? 75 : 95; // percent of the duration
    const auto range = static_cast<std::uint64_t>(seconds * (latestPercent - 10) / 100);
    if (startsLater)
        m_faultStart = seconds / 10 + static_cast<int>(uniformBelow(m_random, range));
    m_record.service = ServiceName("orders");
    m_record.from = from;
    m_record.to = to;
    m_record.requestedAt = WallTime(startMs);
    m_record.deadline = WallTime(startMs + std::int64_t { 1000 } * seconds);
    m_record.operation = OperationId("operation");
}

bool Simulation::isFaulty(int second) const
{
    switch (m_case.fault) {
    case MoveFault::FailsLater:
    case MoveFault::DoublesLatencyLater:
        return second >= m_faultStart;
    case MoveFault::Overload:
    case MoveFault::SlowDependency:
        return second >= m_faultStart && second < m_faultStart + faultSeconds;
    case MoveFault::FailsUnderLoad:
        return m_share >= underLoadShare;
    default:
        return true;
    }
}

double Simulation::failureRate(bool isNew, const SimulatedInstance &instance, bool isSmallRoute,
                               int second) const
{
    double extra = instance.isFlaky ? 0.3 : 0.0;
    if (isNew && isFaulty(second)) {
        switch (m_case.fault) {
        case MoveFault::FailsSome:
        case MoveFault::FailsLater:
        case MoveFault::FailsUnderLoad:
        case MoveFault::FailsDespiteHealthChecks:
            extra += 0.05;
            break;
        case MoveFault::FailsAll:
            extra = 1.0;
            break;
        case MoveFault::FailsOnOneRoute:
            extra += isSmallRoute ? 0.05 / smallRouteFraction : 0.0;
            break;
        default:
            break;
        }
    }
    return std::min(1.0, baseFailureRate + extra);
}

RequestSample Simulation::request(SimulatedDomain &domain, bool isNew, int second)
{
    auto &instances = domain.instances[isNew ? 1 : 0];
    SimulatedInstance &instance = instances[uniformBelow(m_random, instances.size())];
    ++instance.requests;
    const bool isSmallRoute = uniformFraction(m_random) < smallRouteFraction;
    RequestSample sample;
    sample.service = m_record.service;
    sample.route = RouteName(isSmallRoute ? "stock" : "bags");
    sample.kind = KindName(isSmallRoute ? "lookup" : "order");
    sample.version = isNew ? m_record.to : m_record.from;
    sample.domain = domain.name;
    sample.instance = instance.id;
    double milliseconds
        = std::lognormal_distribution<double>(std::log(medianMilliseconds), latencySigma)(m_random);
    const bool isFaultyNow = isFaulty(second);
    const bool isDoubled = isNew && isFaultyNow
        && (m_case.fault == MoveFault::DoublesLatency
            || m_case.fault == MoveFault::DoublesLatencyLater);
    if (isDoubled)
        milliseconds *= 2;
    if (m_case.fault == MoveFault::SlowDependency && isFaultyNow)
        milliseconds *= 3;
    if (m_case.fault == MoveFault::ColdStart && isNew && instance.requests <= coldStartRequests)
        milliseconds *= 5;
    sample.latency = Duration(static_cast<Duration::rep>(milliseconds * 1000));
    if (uniformFraction(m_random) < failureRate(isNew, instance, isSmallRoute, second))
        sample.result = SampleResult::Failure;
    else if (m_case.fault == MoveFault::Overload && isFaultyNow && uniformFraction(m_random) < 0.2)
        sample.result = SampleResult::Shed;
    return sample;
}

void Simulation::sendRequests(int second)
{
    const double rate = m_case.site.requestsPerSecond / static_cast<double>(m_domains.size());
    for (SimulatedDomain &domain : m_domains) {
        const int count = std::poisson_distribution<int>(rate)(m_random);
        for (int i = 0; i < count; ++i) {
            const bool isNew = uniformFraction(m_random) < m_share;
            const RequestSample sample = request(domain, isNew, second);
            if (isNew && isBadVersion(m_case.fault) && isFaulty(second)) {
                m_firstBadRequestAt = m_firstBadRequestAt.value_or(second);
                ++m_result.badRequests;
            }
            if (isNew) {
                ++m_windowRequests;
                m_windowFailures += sample.result == SampleResult::Success ? 0 : 1;
            }
            domain.nodes[uniformBelow(m_random, domain.nodes.size())].add(sample);
        }
    }
}

void Simulation::decideByEvidence(WallTime now)
{
    MoveView view;
    const TimePoint time = TimePoint(std::chrono::milliseconds(now.value() - startMs));
    for (SimulatedDomain &domain : m_domains) {
        for (SampleCollector &node : domain.nodes) {
            for (const EvidenceEntry &entry : node.take(time))
                m_evidence.add(entry);
        }
        view.reportingDomains.insert(domain.name);
        view.serviceDomains.insert(domain.name);
    }
    m_evidence.advance(std::chrono::seconds(1));
    view.evidence = m_evidence.summary();
    if (auto step = planStep(m_record, m_case.policy, view, now))
        m_record = std::move(*step);
}

// Increases the share linearly to the full share at the start of the soak. With an error threshold,
// rolls back when the failure rate of the new version in a window of 10 s exceeds it.
void Simulation::decideBySchedule(int second)
{
    if (m_record.state == MoveState::RolledBack)
        return;
    const double ramp = static_cast<double>((m_case.duration - m_case.policy.soak).count()) / 1e6;
    m_record.state = MoveState::Ramping;
    m_record.share = Share::fromFraction((second + 1) / ramp);
    if (second + 1 >= ramp + static_cast<double>(m_case.policy.soak.count()) / 1e6 - 1)
        m_record.state = MoveState::Done;
    if (m_case.method != MoveMethod::ErrorThreshold || second % 10 != 9)
        return;
    constexpr double threshold = 0.04;
    constexpr std::uint64_t minRequests = 10;
    if (m_windowRequests >= minRequests
        && static_cast<double>(m_windowFailures)
            > threshold * static_cast<double>(m_windowRequests)) {
        m_record.state = MoveState::RolledBack;
        m_record.share = Share::none();
    }
    m_windowRequests = 0;
    m_windowFailures = 0;
}

void Simulation::decide(int second)
{
    if (m_case.method == MoveMethod::Evidence)
        decideByEvidence(WallTime(startMs + std::int64_t { 1000 } * (second + 1)));
    else
        decideBySchedule(second);
}

MoveTrialResult Simulation::run()
{
    const auto seconds = static_cast<int>(
        std::chrono::duration_cast<std::chrono::seconds>(m_case.duration).count());
    m_sharesInTransit.assign(propagationSeconds, 0.0);
    // Simulates past the deadline, since a late move may still complete or be rolled back.
    for (int second = 0; second < seconds * 3 / 2; ++second) {
        sendRequests(second);
        m_result.shares.push_back(m_share);
        decide(second);
        m_sharesInTransit.push_back(m_record.share.fraction());
        m_share = m_sharesInTransit.front();
        m_sharesInTransit.pop_front();
        if (m_record.state == MoveState::RolledBack && m_share == 0) {
            m_result.isRolledBack = true;
            m_result.secondsToStop = second + 1 - m_firstBadRequestAt.value_or(second);
            break;
        }
        if (m_record.state == MoveState::Done)
            break;
    }
    m_result.isDoneInTime
        = m_record.state == MoveState::Done && std::ssize(m_result.shares) <= seconds;
    m_result.badFraction
        = static_cast<double>(m_result.badRequests) / (m_case.site.requestsPerSecond * seconds);
    m_result.reason = m_record.explanation;
    return std::move(m_result);
}

} // namespace

const char *toText(MoveFault fault) noexcept
{
    constexpr std::array names { "good: noise only",
                                 "good: cold starts",
                                 "good: a new instance struggles",
                                 "good: an old instance struggles",
                                 "good: overload on both",
                                 "good: shared dependency slow",
                                 "bad: fails 5 %",
                                 "bad: fails all",
                                 "bad: doubles latency",
                                 "bad: fails 5 % later",
                                 "bad: doubles latency later",
                                 "bad: fails 5 % under load",
                                 "bad: fails on one route",
                                 "bad: fails 5 %, health lies" };
    return names[static_cast<std::size_t>(fault)];
}

bool isBadVersion(MoveFault fault) noexcept
{
    return fault >= MoveFault::FailsSome;
}

const char *toText(MoveMethod method) noexcept
{
    constexpr std::array names { "evidence", "schedule", "threshold" };
    return names[static_cast<std::size_t>(method)];
}

MoveTrialResult runMoveTrial(const MoveCase &moveCase, std::uint64_t seed)
{
    return Simulation(moveCase, seed).run();
}

} // namespace camphorreach::bench
