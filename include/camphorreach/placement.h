// Placement: selects the target of an attempt and updates the target's state from its result.
#pragma once

#include <camphorreach/attemptend.h>
#include <camphorreach/balancing.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/fleetcosts.h>
#include <camphorreach/keyowners.h>
#include <camphorreach/moveshares.h>
#include <camphorreach/random.h>
#include <camphorreach/request.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/target.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace camphorreach {

/// Placement state of one request, kept between its attempts.
struct PlacementState
{
    std::optional<BackendVersion> version; ///< Drawn for the next attempt; kept while queued.
    std::vector<NetAddress> failedTargets; ///< Excluded from the choice; at most one per attempt.
    /// Whether the request may leave the local failure domain when all healthy endpoints there are
    /// full.
    bool maySpill = true;
    bool isFreshKey = false; ///< No instance has run a request with this key.
    /// Draining owners of the key that proved "not run": they refused, or could not be
    /// reached with a fresh key.
    std::vector<InstanceId> drainingOwners;
    CostClass costClass {}; ///< As Placement::classOf() returned it.
};

enum class PlacementFailure : std::uint8_t {
    NoEndpoint, ///< No endpoint is present and usable.
    AtLimit, ///< All usable endpoints are at their concurrency limits.
    KeyHolderLost, ///< The owner of the key, and any result it stored, is lost.
};

/// An attempt that was sent to a target.
struct SentAttempt
{
    NetAddress peer;
    InstanceId instance;
    BackendVersion version;
    FailureDomain domain;
    TimePoint sentAt {};
};

/// Selects a version by share, a failure domain by distance, and an endpoint by \a Policy.
template <BalancingPolicy Policy>
class Placement
{
public:
    /// Max endpoints of one version in one tier that a node uses; more would only add connections.
    static constexpr std::size_t subsetSize = 16;
    /// After its start a node discovers running endpoints one by one. Endpoints discovered within
    /// this time are taken as warm, so that they skip the slow start.
    static constexpr Duration discoveryTime = std::chrono::seconds(10);
    /// Fraction of a target's limit that is open to requests from other failure domains. The rest
    /// keeps capacity for local requests when another domain fails over to this one.
    static constexpr double spillFraction = 0.5;

    using Result = std::variant<const Endpoint *, PlacementFailure>;

    /// With \a hasLimits, a target has capacity up to the concurrency limit that this node derives
    /// from its answers. Otherwise only the gates limit admission.
    Placement(FailureDomain domain, RandomSource &random, Policy policy = {},
              bool hasLimits = true);

    void update(std::shared_ptr<const EndpointTable> table, TimePoint now);
    void update(std::shared_ptr<const MoveShares> shares) { m_shares = std::move(shares); }
    /// Endpoints in these failure domains are not selected, not even as the last ones.
    void update(std::shared_ptr<const std::set<FailureDomain>> evacuated);
    [[nodiscard]] std::size_t evacuatedDomainCount() const noexcept
    {
        return m_evacuated ? m_evacuated->size() : 0;
    }

    /// Whether a rollout of the service is under way.
    [[nodiscard]] bool isObserved(const ServiceName &service) const;
    /// Whether the instance announces that it is draining, so that it accepts no new requests.
    [[nodiscard]] bool isDraining(const ServiceName &service, const InstanceId &instance) const;
    [[nodiscard]] bool isInOtherDomain(const Endpoint &endpoint) const
    {
        return endpoint.domain != m_domain;
    }
    /// Selects a target. The returned endpoint is valid until the next update. \a key is empty for
    /// requests that any endpoint may run, without an owner.
    [[nodiscard]] Result place(const ServicePolicy &service, const IdempotencyKey &key,
                               PlacementState &state, TimePoint now);

    /// The class of the request among those whose costs are learned.
    [[nodiscard]] CostClass classOf(const RouteName &route, const RequestContent &content);
    void onSent(const NetAddress &peer, CostClass costClass = {});
    void onEnded(const ServiceName &service, const SentAttempt &attempt, AttemptEnd end,
                 TimePoint now);
    void onLoad(const NetAddress &peer, const GateLoad &load, TimePoint now);
    /// Learns from the report that answers a request of \a costClass.
    void onExpectedRun(const NetAddress &peer, CostClass costClass, Duration run);

    /// When the next ejection ends.
    [[nodiscard]] std::optional<TimePoint> nextEjectionEnd() const;
    /// True when an ejection has ended since the last call.
    [[nodiscard]] bool takeEndedEjections(TimePoint now);
    [[nodiscard]] const Target *findTarget(const NetAddress &peer) const;
    [[nodiscard]] std::size_t targetCount() const noexcept { return m_targets.size(); }

private:
    struct Backend
    {
        const Endpoint *endpoint = nullptr;
        Target *target = nullptr;
    };
    // Local failure domain, local region, other regions.
    static constexpr std::size_t tierCount = 3;
    using Tiers = std::array<std::vector<Backend>, tierCount>;
    struct ServiceIndex
    {
        // Neither draining nor evacuated; at most subsetSize per tier.
        std::map<BackendVersion, Tiers> versions;
        // Neither draining nor evacuated; without subsets.
        std::map<FailureDomain, std::vector<Backend>> domains;
    };

    [[nodiscard]] Result placeKeyed(const ServicePolicy &service, const IdempotencyKey &key,
                                    const VersionShares &shares, const PlacementState &state,
                                    TimePoint now);
    // Health classes in the order in which pick() tries them.
    enum class Health : std::uint8_t { Healthy, Degraded, Ejected };
    [[nodiscard]] static bool isEligible(const Backend &backend, Health health, TimePoint now);
    [[nodiscard]] Result pick(const Tiers &tiers, bool canBeCold, const PlacementState &state,
                              TimePoint now);
    [[nodiscard]] static bool isDomainCold(const std::vector<Backend> &backends,
                                           const PlacementState &state);
    void ejectIfAllowed(Target &target, const ServiceName &service, const SentAttempt &attempt,
                        TimePoint now);
    [[nodiscard]] bool mayEject(const ServiceName &service, const FailureDomain &domain,
                                TimePoint now) const;
    [[nodiscard]] std::size_t tierOf(const Endpoint &endpoint, const std::string &region) const;
    void updateTargets(TimePoint now);
    void updateIndex();
    [[nodiscard]] bool isEvacuated(const Endpoint &endpoint) const
    {
        return m_evacuated && m_evacuated->contains(endpoint.domain);
    }
    void limitToSubset(std::vector<Backend> &backends) const;
    // Draws the version for a service without configured weights.
    [[nodiscard]] std::optional<BackendVersion> drawUnweighted(const ServiceIndex &index,
                                                               const ServiceShares *move);

    const FailureDomain m_domain;
    RandomSource &m_random;
    Policy m_policy;
    const bool m_hasLimits;
    const std::uint64_t m_subsetSeed; // differs between nodes, so that their subsets differ
    std::shared_ptr<const EndpointTable> m_table; // keeps the endpoints of the index alive
    std::shared_ptr<const MoveShares> m_shares;
    std::shared_ptr<const std::set<FailureDomain>> m_evacuated; // null while there was no order
    std::unordered_map<NetAddress, Target> m_targets; // in m_table, or with requests in flight
    std::map<ServiceName, ServiceIndex> m_index; // of m_table
    std::set<std::pair<TimePoint, NetAddress>> m_ejectionEnds; // one per ejected target
    std::optional<TimePoint> m_discoveryEnd; // targets discovered before it are warm
    KeyOwners m_owners;
    const bool m_usesExpectedCost;
    FleetCosts m_costs; // unused without m_usesExpectedCost
    std::vector<Candidate> m_candidates; // scratch space of pick()
};

} // namespace camphorreach
