// Choice of targets.
#include <camphorreach/placement.h>

#include <camphorreach/versionshares.h>

#include <algorithm>
#include <set>
#include <utility>

namespace camphorreach {
namespace {

// A request without an answer for this many times the usual latency counts as a failure.
constexpr int hangFactor = 4;

} // namespace

template <BalancingPolicy Policy>
Placement<Policy>::Placement(FailureDomain domain, RandomSource &random, Policy policy,
                             bool hasLimits)
    : m_domain(std::move(domain)), m_random(random), m_policy(std::move(policy)),
      m_hasLimits(hasLimits), m_subsetSeed(random())
{ }

template <BalancingPolicy Policy>
void Placement<Policy>::update(std::shared_ptr<const EndpointTable> table, TimePoint now)
{
    const std::shared_ptr<const EndpointTable> previous = std::exchange(m_table, std::move(table));
    updateTargets(now);
    (void)takeDueReturns(now); // the caller places waiting requests after an update anyway
    m_homes.update(m_table, now);
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
            if (endpoint.state == EndpointState::Draining)
                continue;
            const Place place { &endpoint, &m_targets.at(endpoint.peer) };
            index.versions[endpoint.version][tierOf(endpoint, region)].push_back(place);
            index.domains[endpoint.domain].push_back(place);
        }
        for (auto &[version, tiers] : index.versions) {
            for (std::vector<Place> &places : tiers)
                limitToSubset(places);
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
void Placement<Policy>::limitToSubset(std::vector<Place> &places) const
{
    if (places.size() <= subsetSize)
        return;
    std::ranges::sort(places, std::greater {}, [this](const Place &place) {
        return rendezvousRank(place.endpoint->instance.value(), m_subsetSeed);
    });
    places.resize(subsetSize);
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
        const auto open = openVersion(index->second, move);
        if (!open)
            return PlacementFailure::NoEndpoint;
        state.version = open;
        return pick(versions.at(*open), state, now);
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
    return pick(version->second, state, now);
}

// The established version is the one of most endpoints. It stands in for a candidate without any,
// and a candidate that is not banned stands in for it.
template <BalancingPolicy Policy>
std::optional<BackendVersion> Placement<Policy>::openVersion(const ServiceIndex &index,
                                                             const ServiceShares *move)
{
    std::optional<BackendVersion> established;
    std::optional<BackendVersion> candidate;
    std::size_t most = 0;
    for (const auto &[version, tiers] : index.versions) {
        std::size_t count = 0;
        for (const std::vector<Place> &places : tiers)
            count += places.size();
        if (count == 0 || (move != nullptr && move->banned.contains(version)))
            continue;
        if (move != nullptr && move->candidate == version) {
            candidate = version;
        } else if (count > most) {
            most = count;
            established = version;
        }
    }
    if (!candidate || !established)
        return candidate ? candidate : established;
    return uniformBelow(m_random, Share::whole) < move->candidateShare.millionths() ? candidate
                                                                                    : established;
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
    const KeyHomes::Home home
        = m_homes.find(service.name, key, shares, state.drainingHomes, state.isFreshKey, now);
    switch (home.kind) {
    case KeyHomes::Home::Kind::None:
        return PlacementFailure::NoEndpoint;
    case KeyHomes::Home::Kind::Lost:
        return PlacementFailure::KeyHolderLost;
    case KeyHomes::Home::Kind::Present:
        break;
    }
    // An ejected home is used as well: the key has no other place.
    const auto target = m_targets.find(home.endpoint->peer);
    if (target == m_targets.end())
        return PlacementFailure::NoEndpoint;
    if (!target->second.hasRoom(now, 1.0))
        return PlacementFailure::AtLimit;
    return home.endpoint;
}

template <BalancingPolicy Policy>
bool Placement<Policy>::isEligible(const Place &place, Choice choice, TimePoint now)
{
    const Target &target = *place.target;
    if (target.ejection().state(now) == Ejection::State::Ejected)
        return choice == Choice::Ejected;
    const bool isDoubtful
        = target.ejection().isFailing() || place.endpoint->state == EndpointState::Suspect;
    return isDoubtful == (choice == Choice::Failing);
}

// The nearest tier with room. Targets that fail or are suspect are only used when no others have
// room, and ejected ones only when there are no others at all.
template <BalancingPolicy Policy>
auto Placement<Policy>::pick(const Tiers &tiers, const PlacementState &state, TimePoint now)
    -> Result
{
    bool isAnyActive = false; // avoided ones included
    bool isAnyUsable = false;
    for (const Choice choice : { Choice::Healthy, Choice::Failing, Choice::Ejected }) {
        if (choice == Choice::Ejected && isAnyActive)
            break;
        for (std::size_t tier = 0; tier < tierCount; ++tier) {
            if (tier > 0 && isAnyActive && !state.maySpill)
                break;
            const double fraction = tier == 0 ? 1.0 : spillFraction;
            m_candidates.clear();
            for (const Place &place : tiers[tier]) {
                if (!isEligible(place, choice, now))
                    continue;
                isAnyActive = true;
                if (std::ranges::find(state.avoided, place.endpoint->peer) != state.avoided.end())
                    continue;
                isAnyUsable = true;
                if (place.target->hasRoom(now, m_hasLimits ? fraction : Target::unlimited))
                    m_candidates.push_back(place.target->candidate(*place.endpoint, now));
            }
            if (!m_candidates.empty())
                return m_candidates[m_policy.pick(m_candidates, m_random)].endpoint;
        }
    }
    return isAnyUsable ? PlacementFailure::AtLimit : PlacementFailure::NoEndpoint;
}

template <BalancingPolicy Policy>
void Placement<Policy>::onSent(const NetAddress &peer)
{
    m_targets.at(peer).onSent();
}

template <BalancingPolicy Policy>
void Placement<Policy>::onEnded(const ServiceName &service, const Attempted &attempt,
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
            target.restartSlowly(now);
        break;
    case AttemptEnd::Failure:
        // A failure may be quick, so its latency is not evidence of free capacity.
        ejectIfAllowed(target, service, attempt, now);
        break;
    case AttemptEnd::Refused:
        target.limit().onRefused(attempt.sentAt, now);
        break;
    case AttemptEnd::TimedOut:
        // A guest with a very short deadline proves nothing about the server.
        if (taken >= hangFactor * target.limit().baseline())
            ejectIfAllowed(target, service, attempt, now);
        target.limit().onTimeout(taken, attempt.sentAt, now);
        break;
    case AttemptEnd::Withdrawn:
        break;
    }
}

template <BalancingPolicy Policy>
void Placement<Policy>::ejectIfAllowed(Target &target, const ServiceName &service,
                                       const Attempted &attempt, TimePoint now)
{
    // A target on probation is not among the active ones, so its ejection costs none of them.
    const bool isProbing = target.ejection().state(now) == Ejection::State::Probing;
    if (!target.ejection().onFailure(now))
        return;
    if (!isProbing && !mayEject(service, attempt.domain, now))
        return;
    target.ejection().eject(now, m_random);
    std::erase_if(m_returns, [&](const auto &entry) { return entry.second == attempt.peer; });
    m_returns.emplace(*target.ejection().ejectedUntil(now), attempt.peer);
}

// At least half of a failure domain's endpoints of a service stay active, since a fault that all of
// them show is more likely to lie elsewhere.
template <BalancingPolicy Policy>
bool Placement<Policy>::mayEject(const ServiceName &service, const FailureDomain &domain,
                                 TimePoint now) const
{
    const auto index = m_index.find(service);
    if (index == m_index.end())
        return false;
    const auto places = index->second.domains.find(domain);
    if (places == index->second.domains.end())
        return false;
    std::size_t active = 0;
    for (const Place &place : places->second)
        active += place.target->ejection().state(now) == Ejection::State::Active ? 1 : 0;
    return active > 1 && (active - 1) * 2 >= places->second.size();
}

template <BalancingPolicy Policy>
void Placement<Policy>::onLoad(const NetAddress &peer, const GateLoad &load, TimePoint now)
{
    const auto found = m_targets.find(peer);
    if (found != m_targets.end())
        found->second.onLoad(load, now);
}

template <BalancingPolicy Policy>
std::optional<TimePoint> Placement<Policy>::nextReturn() const
{
    return m_returns.empty() ? std::nullopt : std::optional(m_returns.begin()->first);
}

template <BalancingPolicy Policy>
bool Placement<Policy>::takeDueReturns(TimePoint now)
{
    bool isAnyDue = false;
    while (!m_returns.empty() && m_returns.begin()->first <= now) {
        m_returns.erase(m_returns.begin());
        isAnyDue = true;
    }
    return isAnyDue;
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

} // namespace camphorreach
