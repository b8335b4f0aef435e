// Catalog: the filter that follows the platform's store and shares what it holds with other nodes.
#pragma once

#include <camphorreach/catalogspread.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/membership.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/store.h>
#include <camphorreach/versionedconfig.h>

#include <cstdint>
#include <map>
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
    bool isUnusable = false; ///< It could not be applied to what was held.
    /// Since the store was last known to hold nothing newer; empty while that is not known.
    std::optional<Duration> age {};
};

/// Follows configuration and orders, registers this node and finds others. While the store cannot
/// be reached, other nodes stand in for it. The version in force never decreases.
///
/// A few nodes of each failure domain watch the store. What the others hold has an age: the time
/// since the store was last known, through whomever, to hold nothing newer. Hearing from a node
/// that is as stale doesn't lower it. A node whose copy gets too old watches the store itself.
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
    [[nodiscard]] ConfigVersion version() const noexcept { return m_config.version(); }
    /// Calls to the store that were refused or got no answer.
    [[nodiscard]] std::uint64_t failedCalls() const noexcept { return m_failedCalls; }
    /// Since the store was last known to hold nothing newer; empty while that is not known.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

private:
    // Follows one kind: lists it, then asks for changes, and starts again when history is lost.
    struct Follower
    {
        StoreKind kind = StoreKind::Configuration;
        std::optional<ObjectVersion> at {}; // empty until the list is complete
        std::string after {}; // the next page
        std::optional<StoreCallId> call {}; // under way
        std::optional<TimePoint> nextCall = TimePoint {}; // empty while others watch
        std::uint32_t failures = 0; // consecutive
        bool isOvertaken = false; // other nodes have brought changes since `at`
        bool isBehind = false; // several versions came at once, so only the newest is read
        std::optional<TimePoint> confirmedAt {}; // the store held nothing newer
    };

    void onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox);
    void onFollowed(Follower &follower, StoreResult &result, TimePoint now, Outbox<Output> &outbox);
    void onRegistered(const StoreResult &result, TimePoint now);
    void onEntries(Follower &follower, StoreEntries &entries, TimePoint now,
                   Outbox<Output> &outbox);
    void onListEnd(Follower &follower, ObjectVersion at, std::size_t changes, bool isNews,
                   TimePoint now);
    void onNodes(Follower &follower, TimePoint now, Outbox<Output> &outbox);
    void onFailure(Follower &follower, const StoreResult &result, TimePoint now);
    void onMessage(PeerReceived<CatalogMessage> &received, TimePoint now, Outbox<Output> &outbox);
    void onAdvert(const NetAddress &from, const CatalogAdvert &theirs, TimePoint now,
                  Outbox<Output> &outbox);
    void onPull(const NetAddress &from, const CatalogPull &pull, TimePoint now,
                Outbox<Output> &outbox);
    void onUpdate(const NetAddress &from, const CatalogUpdate &update, TimePoint now,
                  Outbox<Output> &outbox);
    // Each returns whether it was news.
    bool take(const MeshConfig &config, TimePoint now, Outbox<Output> &outbox);
    bool take(const NetAddress &from, const ConfigChanges &changes, TimePoint now,
              Outbox<Output> &outbox);
    [[nodiscard]] bool take(const RolloutOrder &order);
    void putInForce(Outbox<Output> &outbox);
    // Tells of news once all that came with it has been taken.
    void tell(bool haveOrdersChanged, bool isNews, TimePoint now, Outbox<Output> &outbox);
    void advertise(TimePoint now, Outbox<Output> &outbox);
    void confirm(const CatalogExtent &theirs, TimePoint at);
    void pull(TimePoint now, CatalogSpread::Sends &sends);
    [[nodiscard]] bool waitsForStore(TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const;
    [[nodiscard]] TimePoint watchesFrom() const;
    [[nodiscard]] bool isWatcher(TimePoint now) const;
    void updateWatch(TimePoint now);
    void call(StoreCallId id, StoreOperation operation, Outbox<Output> &outbox);
    void follow(Follower &follower, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] CatalogExtent extent() const;
    [[nodiscard]] CatalogAdvert advert(TimePoint now) const;
    [[nodiscard]] std::vector<RolloutOrder> ordersSince(ObjectVersion version) const;
    [[nodiscard]] Duration pauseAfter(std::uint32_t failures);

    const Endpoint m_self;
    const Options m_options;
    RandomSource &m_random;
    VersionedConfig m_config;
    std::map<ServiceName, RolloutOrder> m_orders; // object versions never decrease
    CatalogSpread m_spread;
    Follower m_configuration { StoreKind::Configuration };
    Follower m_rollouts { StoreKind::Rollouts };
    Follower m_nodes { StoreKind::Nodes };
    std::vector<NetAddress> m_known; // of the current list of nodes; bounded
    unsigned m_earlyLists = 4; // lists of nodes that still follow each other quickly
    std::optional<StoreCallId> m_registration; // under way
    std::optional<TimePoint> m_nextRegistration = TimePoint {}; // empty once registered
    bool m_isRegistered = false; // the record may exist, so it is replaced rather than created
    std::optional<TimePoint> m_startedAt; // of the first advance()
    std::optional<TimePoint> m_toldAt; // as confirmedAt of a follower, through other nodes
    TimePoint m_heardPeer {}; // last message of another node
    bool m_isWatching = true; // as last acted on
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_failedCalls = 0;
};

static_assert(Filter<Catalog>);

} // namespace camphorreach
