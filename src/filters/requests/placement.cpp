// Selection of targets by version, locality, health and capacity.
#include <camphorreach/placement.h>

#include <camphorreach/versionshares.h>

#include <algorithm>
#include <set>
#include <utility>

namespace camphorreach {
namespace {

// A timeout counts as a failure of the target once this multiple of its baseline latency has
// passed.
constexpr int hangFactor = 4;
// One less than the gates that may refuse a request, so that the last one is elsewhere.
constexpr std::ptrdiff_t maxRefusalsInDomain = 2;

} // namespace

template <BalancingPolicy Policy>
Placement<Policy>::Placement(FailureDomain domain, RandomSource &random, Policy policy,
                             bool hasLimits)
    : m_domain(std::move(domain)), m_random(random), m_policy(std::move(policy)),
      m_hasLimits(hasLimits), m_subsetSeed(random()), m_usesExpectedCost(usesExpectedCost(m_policy))
{ }

template <BalancingPolicy Policy>
void Placement<Policy>::update(std::shared_ptr<const EndpointTable> table, TimePoint now)
{
    const std::shared_ptr<const EndpointTable> previous = std::exchange(m_table, std::move(table));
    updateTargets(now);
    (void)takeEndedEjections(now); // the caller dispatches queued requests after an update anyway
    m_owners.update(m_table, now);
    updateIndex();
}

template <BalancingPolicy Policy>
void Placement<Policy>::update(std::shared_ptr<const std::set<FailureDomain>> evacuated)
{
    m_evacuated = std::move(evacuated);
    if (m_table)
        updateIndex();
}

template <BalancingPolicy Policy>
void Placement<Policy>::updateIndex()
{
    std::string region;
    for (const auto &[name, endpoints] : m_table->services) {
        const auto own = std::ranges::find(endpoints, m_domain, &Endpoint::domain);
        if (own != endpoints.end())
            region = own->region;
    }
    m_index.clear();
    for (const auto &[name, endpoints] : m_table->services) {
        ServiceIndex &index = m_index[name];
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.state == EndpointState::Draining || isEvacuated(endpoint))
                continue;
            const Backend backend { &endpoint, &m_targets.at(endpoint.peer) };
            index.versions[endpoint.version][tierOf(endpoint, region)].push_back(backend);
            index.domains[endpoint.domain].push_back(backend);
        }
        for (auto &[version, tiers] : index.versions) {
            for (std::vector<Backend> &backends : tiers)
                limitToSubset(backends);
        }
    }
}

template <BalancingPolicy Policy>
std::size_t Placement<Policy>::tierOf(const Endpoint &endpoint, const std::string &region) const
{
    if (endpoint.domain == m_domain)
        return 0;
    return endpoint.region == region ? 1 : 2;
}

template <BalancingPolicy Policy>
void Placement<Policy>::updateTargets(TimePoint now)
{
    if (!m_discoveryEnd)
        m_discoveryEnd = now + discoveryTime;
    const std::optional<TimePoint> coldSince
        = now < *m_discoveryEnd ? std::nullopt : std::optional(now);
    std::set<NetAddress> present;
    for (const auto &[name, endpoints] : m_table->services) {
        for (const Endpoint &endpoint : endpoints) {
            present.insert(endpoint.peer);
            const auto found = m_targets.find(endpoint.peer);
            if (found == m_targets.end())
                m_targets.emplace(endpoint.peer, Target(endpoint, coldSince));
            else if (found->second.incarnation() != endpoint.incarnation)
                found->second.restart(endpoint, now);
        }
    }
    std::erase_if(m_targets, [&](const auto &entry) {
        return entry.second.inFlight() == 0 && !present.contains(entry.first);
    });
}

template <BalancingPolicy Policy>
void Placement<Policy>::limitToSubset(std::vector<Backend> &backends) const
{
    if (backends.size() <= subsetSize)
        return;
    std::ranges::sort(backends, std::greater {}, [this](const Backend &backend) {
        return rendezvousRank(backend.endpoint->instance.value(), m_subsetSeed);
    });
    backends.resize(subsetSize);
}

template <BalancingPolicy Policy>
auto Placement<Policy>::place(const ServicePolicy &service, const IdempotencyKey &key,
                              PlacementState &state, TimePoint now) -> Result
{
    const ServiceShares *move = nullptr;
    if (m_shares) {
        const auto found = m_shares->services.find(service.name);
        if (found != m_shares->services.end())
            move = &found->second;
    }
    const VersionShares shares(service, move);
    if (!key.value().empty())
        return placeKeyed(service, key, shares, state, now);
    const auto index = m_index.find(service.name);
    if (index == m_index.end())
        return PlacementFailure::NoEndpoint;
    const auto &versions = index->second.versions;
    if (service.weights.empty()) {
        const auto drawn = drawUnweighted(index->second, move);
        if (!drawn)
            return PlacementFailure::NoEndpoint;
        state.version = drawn;
        return pick(versions.at(*drawn), service.warmUp.has_value(), state, now);
    }
    if (!state.version || !shares.isAllowed(*state.version))
        state.version = shares.draw(m_random);
    if (!state.version)
        return PlacementFailure::NoEndpoint;
    auto version = versions.find(*state.version);
    if (version == versions.end()) {
        const auto other = shares.fallback(*state.version, [&](const BackendVersion &candidate) {
            return versions.contains(candidate);
        });
        if (!other)
            return PlacementFailure::NoEndpoint;
        version = versions.find(*other);
    }
    return pick(version->second, service.warmUp.has_value(), state, now);
}

// The stable version is the one with the most endpoints, apart from the candidate. When only one of
// the two has endpoints and is not banned, it receives all requests.
template <BalancingPolicy Policy>
std::optional<BackendVersion> Placement<Policy>::drawUnweighted(const ServiceIndex &index,
                                                                const ServiceShares *move)
{
    std::optional<BackendVersion> stable;
    std::optional<BackendVersion> candidate;
    std::size_t maxCount = 0;
    for (const auto &[version, tiers] : index.versions) {
        std::size_t count = 0;
        for (const std::vector<Backend> &backends : tiers)
            count += backends.size();
        if (count == 0 || (move != nullptr && move->banned.contains(version)))
            continue;
        if (move != nullptr && move->candidate == version) {
            candidate = version;
        } else if (count > maxCount) {
            maxCount = count;
            stable = version;
        }
    }
    if (!candidate || !stable)
        return candidate ? candidate : stable;
    return uniformBelow(m_random, Share::whole) < move->candidateShare.millionths() ? candidate
                                                                                    : stable;
}

template <BalancingPolicy Policy>
bool Placement<Policy>::isObserved(const ServiceName &service) const
{
    if (!m_shares)
        return false;
    const auto found = m_shares->services.find(service);
    return found != m_shares->services.end() && found->second.isObserved;
}

template <BalancingPolicy Policy>
bool Placement<Policy>::isDraining(const ServiceName &service, const InstanceId &instance) const
{
    if (!m_table)
        return false;
    const auto found = m_table->services.find(service);
    if (found == m_table->services.end())
        return false;
    return std::ranges::any_of(found->second, [&](const Endpoint &endpoint) {
        return endpoint.instance == instance && endpoint.state == EndpointState::Draining;
    });
}

template <BalancingPolicy Policy>
auto Placement<Policy>::placeKeyed(const ServicePolicy &service, const IdempotencyKey &key,
                                   const VersionShares &shares, const PlacementState &state,
                                   TimePoint now) -> Result
{
    const KeyOwners::Owner owner
        = m_owners.find(service.name, key, shares, state.drainingOwners, state.isFreshKey, now);
    switch (owner.kind) {
    case KeyOwners::Owner::Kind::None:
        return PlacementFailure::NoEndpoint;
    case KeyOwners::Owner::Kind::Lost:
        return PlacementFailure::KeyHolderLost;
    case KeyOwners::Owner::Kind::Present:
        break;
    }
    // No other instance may run the key, so it waits for the end of the evacuation.
    if (isEvacuated(*owner.endpoint))
        return PlacementFailure::NoEndpoint;
    // An ejected owner is used too: no other instance may run the key.
    const auto target = m_targets.find(owner.endpoint->peer);
    if (target == m_targets.end())
        return PlacementFailure::NoEndpoint;
    if (!target->second.hasCapacity(now, 1.0))
        return PlacementFailure::AtLimit;
    return owner.endpoint;
}

template <BalancingPolicy Policy>
bool Placement<Policy>::isEligible(const Backend &backend, Health health, TimePoint now)
{
    const Target &target = *backend.target;
    if (target.ejection().state(now) == Ejection::State::Ejected)
        return health == Health::Ejected;
    const bool isDegraded
        = target.ejection().isFailing() || backend.endpoint->state == EndpointState::Suspect;
    return isDegraded == (health == Health::Degraded);
}

// All servers of a failure domain may be cold together, after an evacuation or a loss of power.
// Without this, a request would be refused by as many of them as it may try at all.
template <BalancingPolicy Policy>
bool Placement<Policy>::isDomainCold(const std::vector<Backend> &backends,
                                     const PlacementState &state)
{
    const auto refusals = std::ranges::count_if(backends, [&](const Backend &backend) {
        return std::ranges::find(state.failedTargets, backend.endpoint->peer)
            != state.failedTargets.end();
    });
    return refusals >= maxRefusalsInDomain;
}

// Selects from the nearest tier with capacity. A service whose servers may be cold leaves the
// failure domain once some of it have refused the request. Degraded targets, which are failing or
// suspect, are used only when no healthy one has capacity, and ejected ones only when no others are
// present.
template <BalancingPolicy Policy>
auto Placement<Policy>::pick(const Tiers &tiers, bool canBeCold, const PlacementState &state,
                             TimePoint now) -> Result
{
    const bool leavesDomain = canBeCold && state.maySpill && isDomainCold(tiers.front(), state);
    bool isAnyActive = false; // including failed targets of this request
    bool isAnyUsable = false;
    for (const Health health : { Health::Healthy, Health::Degraded, Health::Ejected }) {
        if (health == Health::Ejected && isAnyActive)
            break;
        for (std::size_t step = 0; step < tierCount; ++step) {
            const std::size_t tier = step < 2 && leavesDomain ? 1 - step : step;
            if (tier > 0 && isAnyActive && !state.maySpill)
                break;
            const double fraction = tier == 0 ? 1.0 : spillFraction;
            m_candidates.clear();
            for (const Backend &backend : tiers[tier]) {
                if (!isEligible(backend, health, now))
                    continue;
                isAnyActive = true;
                if (std::ranges::find(state.failedTargets, backend.endpoint->peer)
                    != state.failedTargets.end())
                    continue;
                isAnyUsable = true;
                if (backend.target->hasCapacity(now, m_hasLimits ? fraction : Target::unlimited))
                    m_candidates.push_back(backend.target->candidate(*backend.endpoint, now));
            }
            if (m_usesExpectedCost) {
                const RequestCost cost = m_costs.cost(state.costClass);
                for (Candidate &candidate : m_candidates)
                    candidate.target->expect(candidate, cost, now);
            }
            if (!m_candidates.empty())
                return m_candidates[m_policy.pick(m_candidates, m_random)].endpoint;
        }
    }
    return isAnyUsable ? PlacementFailure::AtLimit : PlacementFailure::NoEndpoint;
}

template <BalancingPolicy Policy>
CostClass Placement<Policy>::classOf(const RouteName &route, const RequestContent &content)
{
    return m_usesExpectedCost ? m_costs.classOf(route, content) : CostClasses::all;
}

template <BalancingPolicy Policy>
void Placement<Policy>::onSent(const NetAddress &peer, CostClass costClass)
{
    m_targets.at(peer).onSent(m_usesExpectedCost ? m_costs.cost(costClass).work : Duration());
}

template <BalancingPolicy Policy>
void Placement<Policy>::onExpectedRun(const NetAddress &peer, CostClass costClass, Duration run)
{
    const auto found = m_targets.find(peer);
    if (m_usesExpectedCost && found != m_targets.end())
        found->second.setPace(m_costs.onReport(costClass, run, found->second.pace()));
}

template <BalancingPolicy Policy>
void Placement<Policy>::onEnded(const ServiceName &service, const SentAttempt &attempt,
                                AttemptEnd end, TimePoint now)
{
    const auto found = m_targets.find(attempt.peer);
    if (found == m_targets.end())
        return;
    Target &target = found->second;
    const std::uint32_t inFlight = target.inFlight();
    target.onEnded();
    const Duration taken = now - attempt.sentAt;
    switch (end) {
    case AttemptEnd::Success:
        target.limit().onAnswer(taken, inFlight, attempt.sentAt, now);
        if (target.ejection().onSuccess(now))
            target.restartSlowStart(now);
        break;
    case AttemptEnd::Failure:
        // A failure may be fast, so its latency does not indicate free capacity.
        ejectIfAllowed(target, service, attempt, now);
        break;
    case AttemptEnd::Refused:
        target.limit().onRefused(attempt.sentAt, now);
        break;
    case AttemptEnd::TimedOut:
        // A timeout after a very short client deadline is no evidence against the target.
        if (taken >= hangFactor * target.limit().baseline())
            ejectIfAllowed(target, service, attempt, now);
        target.limit().onTimeout(taken, attempt.sentAt, now);
        break;
    case AttemptEnd::Inconclusive:
        break;
    }
}

template <BalancingPolicy Policy>
void Placement<Policy>::ejectIfAllowed(Target &target, const ServiceName &service,
                                       const SentAttempt &attempt, TimePoint now)
{
    // A probing target is not counted as active, so ejecting it again needs no check of the others.
    const bool isProbing = target.ejection().state(now) == Ejection::State::Probing;
    if (!target.ejection().onFailure(now))
        return;
    if (!isProbing && !mayEject(service, attempt.domain, now))
        return;
    target.ejection().eject(now, m_random);
    std::erase_if(m_ejectionEnds, [&](const auto &entry) { return entry.second == attempt.peer; });
    m_ejectionEnds.emplace(*target.ejection().ejectedUntil(now), attempt.peer);
}

// Keeps at least half of a service's endpoints in a failure domain active, because a fault that all
// of them show probably has another cause.
template <BalancingPolicy Policy>
bool Placement<Policy>::mayEject(const ServiceName &service, const FailureDomain &domain,
                                 TimePoint now) const
{
    const auto index = m_index.find(service);
    if (index == m_index.end())
        return false;
    const auto backends = index->second.domains.find(domain);
    if (backends == index->second.domains.end())
        return false;
    std::size_t active = 0;
    for (const Backend &backend : backends->second)
        active += backend.target->ejection().state(now) == Ejection::State::Active ? 1 : 0;
    return active > 1 && (active - 1) * 2 >= backends->second.size();
}

template <BalancingPolicy Policy>
void Placement<Policy>::onLoad(const NetAddress &peer, const GateLoad &load, TimePoint now)
{
    const auto found = m_targets.find(peer);
    if (found != m_targets.end())
        found->second.onLoad(load, now);
}

template <BalancingPolicy Policy>
std::optional<TimePoint> Placement<Policy>::nextEjectionEnd() const
{
    return m_ejectionEnds.empty() ? std::nullopt : std::optional(m_ejectionEnds.begin()->first);
}

template <BalancingPolicy Policy>
bool Placement<Policy>::takeEndedEjections(TimePoint now)
{
    bool hasEnded = false;
    while (!m_ejectionEnds.empty() && m_ejectionEnds.begin()->first <= now) {
        m_ejectionEnds.erase(m_ejectionEnds.begin());
        hasEnded = true;
    }
    return hasEnded;
}

template <BalancingPolicy Policy>
const Target *Placement<Policy>::findTarget(const NetAddress &peer) const
{
    const auto found = m_targets.find(peer);
    return found == m_targets.end() ? nullptr : &found->second;
}

template class Placement<PowerOfTwoChoices>;
template class Placement<LeastCost>;
template class Placement<LeastOccupied>;
template class Placement<RandomChoice>;
template class Placement<LeastCompletion>;
template class Placement<SelectedPolicy>;

} // namespace camphorreach
