// Placement: where the next attempt of a request goes, and what its end says about the target.
#pragma once

#include <camphorreach/attemptend.h>
#include <camphorreach/balancing.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/keyhomes.h>
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

/// What placement keeps of a request between its attempts.
struct PlacementState
{
    std::optional<BackendVersion> version; ///< Drawn for the next attempt; kept while it waits.
    std::vector<NetAddress> avoided; ///< Targets of failed attempts; at most one for each attempt.
    bool maySpill
        = true; ///< Whether full gates of the own failure domain are a reason to leave it.
    bool isFreshKey = false; ///< The key has not run anywhere.
    std::vector<InstanceId> drainingHomes; ///< Homes of the key that refused because they drain.
};

enum class PlacementFailure : std::uint8_t {
    NoEndpoint, ///< None is present and active.
    AtLimit, ///< All are at their limits.
    KeyHolderLost, ///< The result of the key may be lost with its holder.
};

/// Where an attempt went.
struct Attempted
{
    NetAddress peer;
    InstanceId instance;
    BackendVersion version;
    FailureDomain domain;
    TimePoint sentAt {};
};

/// Chooses a version by share, a failure domain by distance, and an endpoint by \a Policy.
template <BalancingPolicy Policy>
class Placement
{
public:
    /// Endpoints of one version in one tier that a node uses; more would only add connections.
    static constexpr std::size_t subsetSize = 16;
    /// A node that has just started learns of running endpoints one by one over this time, and must
    /// not take them for cold ones.
    static constexpr Duration discoveryTime = std::chrono::seconds(10);
    /// The part of a limit that is open to requests from other failure domains, so that the loss of
    /// one domain leaves room for the own requests of the next.
    static constexpr double spillFraction = 0.5;

    using Result = std::variant<const Endpoint *, PlacementFailure>;

    /// \a hasLimits: a target has room up to the limit that this node has learned. Otherwise the
    /// gates alone decide what they take.
    Placement(FailureDomain domain, RandomSource &random, Policy policy = {},
              bool hasLimits = true);

    void update(std::shared_ptr<const EndpointTable> table, TimePoint now);
    void update(std::shared_ptr<const MoveShares> shares) { m_shares = std::move(shares); }

    /// Whether the instance announces that it takes no new work.
    [[nodiscard]] bool isDraining(const ServiceName &service, const InstanceId &instance) const;
    [[nodiscard]] bool isElsewhere(const Endpoint &endpoint) const
    {
        return endpoint.domain != m_domain;
    }
    /// Picks a target. An endpoint is valid until the next update. \a key is empty for requests
    /// without a home.
    [[nodiscard]] Result place(const ServicePolicy &service, const IdempotencyKey &key,
                               PlacementState &state, TimePoint now);

    void onSent(const NetAddress &peer);
    void onEnded(const ServiceName &service, const Attempted &attempt, AttemptEnd end,
                 TimePoint now);
    void onLoad(const NetAddress &peer, const GateLoad &load, TimePoint now);

    /// The next end of an ejection.
    [[nodiscard]] std::optional<TimePoint> nextReturn() const;
    /// True when an ejection has ended since the last call.
    [[nodiscard]] bool takeDueReturns(TimePoint now);
    [[nodiscard]] const Target *findTarget(const NetAddress &peer) const;
    [[nodiscard]] std::size_t targetCount() const noexcept { return m_targets.size(); }

private:
    struct Place
    {
        const Endpoint *endpoint = nullptr;
        Target *target = nullptr;
    };
    // Own failure domain, own region, the rest.
    static constexpr std::size_t tierCount = 3;
    using Tiers = std::array<std::vector<Place>, tierCount>;
    struct ServiceIndex
    {
        std::map<BackendVersion, Tiers> versions; // endpoints that are not draining
        std::map<FailureDomain, std::vector<Place>> domains; // the same, without subsets
    };

    [[nodiscard]] Result placeKeyed(const ServicePolicy &service, const IdempotencyKey &key,
                                    const VersionShares &shares, const PlacementState &state,
                                    TimePoint now);
    // Which endpoints may be used: the first group that is not empty.
    enum class Choice : std::uint8_t { Healthy, Failing, Ejected };
    [[nodiscard]] static bool isEligible(const Place &place, Choice choice, TimePoint now);
    [[nodiscard]] Result pick(const Tiers &tiers, const PlacementState &state, TimePoint now);
    void ejectIfAllowed(Target &target, const ServiceName &service, const Attempted &attempt,
                        TimePoint now);
    [[nodiscard]] bool mayEject(const ServiceName &service, const FailureDomain &domain,
                                TimePoint now) const;
    [[nodiscard]] std::size_t tierOf(const Endpoint &endpoint, const std::string &region) const;
    void updateTargets(TimePoint now);
    void limitToSubset(std::vector<Place> &places) const;
    // The version for a service whose weights the tree does not give.
    [[nodiscard]] std::optional<BackendVersion> openVersion(const ServiceIndex &index,
                                                            const ServiceShares *move);

    const FailureDomain m_domain;
    RandomSource &m_random;
    Policy m_policy;
    const bool m_hasLimits;
    const std::uint64_t m_subsetSeed; // differs between nodes, so that their subsets differ
    std::shared_ptr<const EndpointTable> m_table; // keeps the endpoints of the index alive
    std::shared_ptr<const MoveShares> m_shares;
    std::unordered_map<NetAddress, Target> m_targets; // those of the table, or with requests
    std::map<ServiceName, ServiceIndex> m_index; // of m_table
    std::set<std::pair<TimePoint, NetAddress>> m_returns; // ends of ejections; one for each target
    std::optional<TimePoint> m_discoveryEnd; // targets that are found before it count as warm
    KeyHomes m_homes;
    std::vector<Candidate> m_candidates; // scratch space of pick()
};

} // namespace camphorreach
