// Catalog: the filter that follows the platform's store and shares what it holds with other nodes.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/membership.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/store.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// A configuration has come, whether or not it is news. For the log.
struct ConfigurationHeard
{
    ConfigVersion version;
    ConfigVersion held; ///< In force when it came.
    std::optional<NetAddress> from; ///< The node that sent it; empty for the store.
    std::size_t routes = 0; ///< That it carries.
};

/// Follows configuration and orders, registers this node and finds others. While the store cannot
/// be reached, other nodes stand in for it. The version in force never decreases.
class Catalog
{
public:
    using Input = std::variant<StoreReply, PeerReceived<CatalogMessage>, EndpointsChanged>;
    using Output = std::variant<StoreCall, PeerSend, SnapshotChanged, OrdersChanged, JoinPeers,
                                ConfigurationHeard>;

    struct Options
    {
        /// Retries as a part of the requests for a service.
        Share retryBudget = Share::fromFraction(0.1);
    };

    Catalog(Endpoint self, Options options, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The version in force; zero while none is known.
    [[nodiscard]] ConfigVersion version() const noexcept;
    /// Calls to the store that were refused or got no answer.
    [[nodiscard]] std::uint64_t failedCalls() const noexcept { return m_failedCalls; }

private:
    // Follows one kind: lists it, then asks for changes, and starts again when history is lost.
    struct Follower
    {
        StoreKind kind = StoreKind::Configuration;
        std::optional<ObjectVersion> at {}; // empty until the list is complete
        std::string after {}; // the next page
        std::optional<StoreCallId> call {}; // under way
        TimePoint nextCall {};
        std::uint32_t failures = 0; // consecutive
    };

    void onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox);
    void onFollowed(Follower &follower, StoreResult &result, TimePoint now, Outbox<Output> &outbox);
    void onRegistered(const StoreResult &result, TimePoint now);
    void onEntries(Follower &follower, StoreEntries &entries, TimePoint now,
                   Outbox<Output> &outbox);
    void onFailure(Follower &follower, const StoreResult &result, TimePoint now);
    void onMessage(PeerReceived<CatalogMessage> &received, TimePoint now, Outbox<Output> &outbox);
    void onAdvert(const NetAddress &from, const CatalogAdvert &advert, TimePoint now,
                  Outbox<Output> &outbox);
    // Each returns whether it was news.
    bool apply(std::shared_ptr<const MeshConfig> config, std::optional<NetAddress> from,
               Outbox<Output> &outbox);
    [[nodiscard]] bool apply(const RolloutOrder &order);
    void advertise(TimePoint now, Outbox<Output> &outbox);
    void spread(Outbox<Output> &outbox);
    void onEndpoints(const EndpointTable &table);
    [[nodiscard]] bool isWatcher(TimePoint now) const;
    void updateWatch(TimePoint now);
    void call(StoreCallId id, StoreOperation operation, Outbox<Output> &outbox);
    void follow(Follower &follower, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] CatalogAdvert advert(bool isAnswer) const;
    [[nodiscard]] std::vector<RolloutOrder> orders() const;
    [[nodiscard]] ObjectVersion newestOrder() const;
    [[nodiscard]] Duration pauseAfter(std::uint32_t failures);

    const Endpoint m_self;
    const Options m_options;
    RandomSource &m_random;
    std::shared_ptr<const MeshConfig> m_config; // its version never decreases
    std::map<ServiceName, RolloutOrder> m_orders; // object versions never decrease
    Follower m_configuration { StoreKind::Configuration };
    Follower m_rollouts { StoreKind::Rollouts };
    Follower m_nodes { StoreKind::Nodes };
    std::vector<NetAddress> m_known; // of the current list of nodes; bounded
    unsigned m_earlyLists = 4; // lists of nodes that still follow each other quickly
    std::optional<StoreCallId> m_registration; // under way
    std::optional<TimePoint> m_nextRegistration = TimePoint {}; // empty once registered
    bool m_isRegistered = false; // the record may exist, so it is replaced rather than created
    std::vector<NetAddress> m_near; // nodes of this failure domain, without this one
    std::vector<NetAddress> m_far; // all other nodes
    std::map<NetAddress, TimePoint> m_updated; // when a peer was last sent an update; bounded
    std::optional<TimePoint> m_nextAdvert;
    bool m_isSelected = true; // watches the store for its failure domain
    bool m_isWatching = true; // as last acted on
    TimePoint m_heardPeer {}; // last message of another node
    std::optional<TimePoint> m_asked; // when another node was last asked for what it has more
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_failedCalls = 0;
};

static_assert(Filter<Catalog>);

} // namespace camphorreach
