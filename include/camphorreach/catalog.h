// Catalog: the filter that watches the platform's store and exchanges its contents with other
// nodes.
#pragma once

#include <camphorreach/catalogspread.h>
#include <camphorreach/configproof.h>
#include <camphorreach/departedrun.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/evacuationtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/finding.h>
#include <camphorreach/joincandidates.h>
#include <camphorreach/membership.h>
#include <camphorreach/ordertable.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/store.h>
#include <camphorreach/versionedconfig.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// A configuration was received, whether or not it is newer than the active one. For the log.
struct ConfigurationReceived
{
    ConfigVersion version;
    ConfigVersion activeVersion; ///< When it was received.
    std::optional<NetAddress> from; ///< The node that sent it; empty for the store.
    std::size_t routes = 0; ///< Number of routes in it; a delta's removals are counted as well.
    bool isRejected = false; ///< Not applied: base not held, or digest mismatch.
    /// Staleness of this node's copy when it was received; empty while unknown.
    std::optional<Duration> staleness {};
};

/// A version in the store is invalid, so the previous one stays in force. Until a valid one
/// follows, the store gives no proof that this node's configuration is the newest one.
struct ConfigurationRefused
{
    ConfigVersion version;
    Findings findings;
};

/// Keeps a local copy of the configuration and the rollout orders in the platform's store,
/// registers this node there with the departures that it has acknowledged, restores those of its
/// earlier processes from there, and discovers other nodes. While the store cannot be reached,
/// updates come from other nodes. The active version never decreases.
///
/// A few nodes of every failure domain watch the store, and the rest get changes from their peers.
/// The staleness of a copy is the time since the store was last known, directly or through other
/// nodes, to hold nothing newer. A message from a peer whose copy is as stale does not reduce it.
/// A node whose staleness exceeds a bound watches the store itself.
///
/// Evacuation orders are read and spread like the rollout orders. A node that starts publishes its
/// first configuration only once it knows the evacuation orders, or has tried for long enough, so
/// that it sends nothing to a failure domain that is evacuated. A node whose copy is so stale that
/// an order could come too late lists the orders itself, and only these.
class Catalog
{
public:
    using Input = std::variant<StoreReply, PeerReceived<CatalogMessage>, EndpointsChanged,
                               DeparturesChanged>;
    using Output = std::variant<StoreCall, PeerSend, SnapshotChanged, OrdersChanged, JoinPeers,
                                ConfigurationReceived, DeparturesRestored, DeparturesStored,
                                EvacuationsChanged, ConfigurationRefused, ConfigurationProven,
                                NewerConfigurationKnown>;

    struct Options
    {
        /// Maximum ratio of retries to requests of a service.
        Share retryBudget = Share::fromFraction(0.1);
        /// Reads evacuation orders from the store too. Without it they come from other nodes only.
        bool readsEvacuations = false;
        /// With a value, proofs that the configuration is the newest one are kept young enough for
        /// keys to be withdrawn within this time.
        std::optional<Duration> revocation {};
        /// Time within which an evacuation must be in force everywhere; used with
        /// readsEvacuations.
        Duration evacuationTime = std::chrono::seconds(5);
    };

    Catalog(Endpoint self, Options options, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The active version; zero while there is none.
    [[nodiscard]] ConfigVersion version() const noexcept { return m_config.version(); }
    /// The active configuration; without routes and with version zero while there is none.
    [[nodiscard]] MeshConfig configuration() const { return m_config.config(); }
    /// Number of store calls that were refused or got no reply. Refusals because of lost history or
    /// an existing node record are not counted.
    [[nodiscard]] std::uint64_t failedCalls() const noexcept { return m_failedCalls; }
    /// Time since the store was last known to hold nothing newer; empty while unknown.
    [[nodiscard]] std::optional<Duration> staleness(TimePoint now) const;

private:
    // What a call reads: the beginning of a list, the continuation of one, or changes.
    enum class Read : std::uint8_t { List, NextPage, Watch };

    struct PendingCall
    {
        StoreCallId id;
        Read read = Read::List;
        TimePoint sentAt {};
        TimePoint overdueAt {}; // if no reply has begun until then, the store is not responding
        TimePoint provesFrom {}; // sending time of the call for the first page
        ConfigVersion heldAtStart {}; // when it was sent
        std::optional<ObjectVersion> since {}; // of a watch
    };

    // Lists and watches one kind of object; lists again when the store has dropped the history.
    struct Informer
    {
        StoreKind kind = StoreKind::Configuration;
        std::optional<ObjectVersion> resourceVersion {}; // to watch from; empty: list first
        std::string cursor {}; // name after which the next page of the list begins
        std::optional<PendingCall> pendingCall {};
        std::deque<PendingCall> overdueCalls {}; // may still get a reply; at most maxOverdueCalls
        std::optional<TimePoint> nextCall = TimePoint {}; // empty while other nodes watch
        std::uint32_t failures = 0; // consecutive
        bool isSuperseded = false; // peers have sent changes newer than `resourceVersion`
        bool isCatchingUp = false; // a reply held several versions, so it lists only the newest
        std::optional<TimePoint> freshAsOf {}; // when the store held nothing newer
        TimePoint listStartedAt {}; // sending time of the call for the first page of a list
    };

    void onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox);
    void onInformerReply(Informer &informer, StoreReply &reply, TimePoint now,
                         Outbox<Output> &outbox);
    void onLateReply(Informer &informer, StoreReply &reply, TimePoint now, Outbox<Output> &outbox);
    void onRegistrationReply(const StoreResult &result, TimePoint now, Outbox<Output> &outbox);
    void onRecordConflict(const StoreRefusal &refusal, TimePoint now, Outbox<Output> &outbox);
    void onDepartures(const DeparturesChanged &changed, TimePoint now);
    void publishRestored(Outbox<Output> &outbox);
    void writeRecord(Outbox<Output> &outbox);
    void onEntries(Informer &informer, const PendingCall &call, StoreEntries &entries,
                   TimePoint now, Outbox<Output> &outbox);
    template <typename Order>
    [[nodiscard]] static bool applyEntries(OrderTable<Order> &orders,
                                           std::optional<StoreEntries> &listed, Read read,
                                           const StoreEntries &entries, bool hasMore);
    void publishEvacuations(bool haveChanged, Outbox<Output> &outbox);
    void recordProof(const PendingCall &call, ObjectVersion resourceVersion, ConfigVersion newest,
                     TimePoint now);
    [[nodiscard]] bool isUnreadableConfiguration(const StoreEntry &entry) const;
    [[nodiscard]] bool isAccepted(const MeshConfig &config, Outbox<Output> &outbox);
    void onOverdue(Informer &informer, TimePoint now);
    void restartList(Informer &informer);
    void onLastPage(Informer &informer, ObjectVersion resourceVersion, std::size_t changes,
                    bool isNewer, TimePoint now);
    void onNodesListed(Informer &informer, TimePoint now);
    void joinListedNodes(TimePoint now, Outbox<Output> &outbox);
    void onFailure(Informer &informer, const StoreResult &result, TimePoint now);
    void onMessage(PeerReceived<CatalogMessage> &received, TimePoint now, Outbox<Output> &outbox);
    void onDigest(const NetAddress &from, const CatalogDigest &theirs, TimePoint now,
                  Outbox<Output> &outbox);
    void onPull(const NetAddress &from, const CatalogPull &pull, TimePoint now,
                Outbox<Output> &outbox);
    void onUpdate(const NetAddress &from, const CatalogUpdate &update, TimePoint now,
                  Outbox<Output> &outbox);
    // Each overload returns whether it changed the local copy.
    bool apply(const MeshConfig &config, TimePoint now, Outbox<Output> &outbox);
    bool apply(const NetAddress &from, const ConfigDelta &delta, TimePoint now,
               Outbox<Output> &outbox);
    void emitSnapshot(Outbox<Output> &outbox);
    void releaseSnapshot(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] TimePoint snapshotReleaseTime() const;
    // The informers that this node uses, and those that decide how stale its copy is.
    [[nodiscard]] std::vector<Informer *> informers();
    [[nodiscard]] std::vector<Informer *> watchingInformers();
    // Called once everything in a reply or message has been applied. Emits changed orders, notifies
    // peers of changes and pulls what is still missing.
    void publishChanges(bool haveOrdersChanged, bool hasOtherChanged, TimePoint now,
                        Outbox<Output> &outbox);
    void advanceSpread(TimePoint now, Outbox<Output> &outbox);
    void updateFreshness(const CatalogVersions &theirs, TimePoint asOf);
    void onProofRequest(const NetAddress &from, const CatalogProofRequest &request, TimePoint now,
                        Outbox<Output> &outbox);
    void onProofReply(const NetAddress &from, const CatalogProofReply &reply, TimePoint now,
                      Outbox<Output> &outbox);
    void advanceProof(TimePoint now, Outbox<Output> &outbox);
    void noteVersion(ConfigVersion named, Outbox<Output> &outbox);
    void pull(TimePoint now, CatalogSpread::Sends &sends);
    [[nodiscard]] bool waitsForStore(TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> freshAsOf() const;
    [[nodiscard]] TimePoint takeoverTime() const;
    [[nodiscard]] bool isWatcher(TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> evacuationCheckTime() const;
    void checkEvacuations(TimePoint now);
    void updateWatch(TimePoint now);
    void emitCall(StoreCallId id, StoreOperation operation, Outbox<Output> &outbox);
    void listOrWatch(Informer &informer, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] CatalogVersions heldVersions() const;
    [[nodiscard]] CatalogDigest ownDigest(TimePoint now) const;
    void scheduleRetry(Informer &informer, TimePoint now);
    [[nodiscard]] bool isDue(const Informer &informer, TimePoint now) const;
    [[nodiscard]] Duration watchWait(StoreKind kind);
    [[nodiscard]] Duration retryDelay(std::uint32_t failures);

    const Endpoint m_self;
    const Options m_options;
    RandomSource &m_random;
    VersionedConfig m_config;
    OrderTable<RolloutOrder> m_orders;
    CatalogSpread m_spread;
    Informer m_configInformer { StoreKind::Configuration };
    Informer m_rolloutInformer { StoreKind::Rollouts };
    Informer m_nodeInformer { StoreKind::Nodes };
    Informer m_evacuationInformer { StoreKind::Evacuations }; // unused without readsEvacuations
    EvacuationTable m_evacuations;
    // Of the lists being read; empty when none was begun.
    std::optional<StoreEntries> m_listedOrders;
    std::optional<StoreEntries> m_listedEvacuations;
    TimePoint m_nextEvacuationCheck {}; // not sooner, however stale the copy is
    bool m_areEvacuationsKnown = false; // from the store or from a peer; never reset
    bool m_isSnapshotHeld = false; // until they are known, or snapshotReleaseTime()
    JoinCandidates m_joinCandidates;
    unsigned m_earlyNodeLists = 4; // lists left to read at the early interval
    std::optional<StoreCallId> m_registrationCall; // pending
    // Empty while the call is pending and once the record is stored.
    std::optional<TimePoint> m_nextRegistration = TimePoint {};
    bool m_hasRecord = false; // the record should exist, so it is replaced rather than created
    std::optional<ObjectVersion> m_recordVersion; // of the existing record, if it is known
    DepartedRuns m_departures; // of this process, and of earlier ones once they are restored
    DepartedRuns m_writtenDepartures; // by the last call that wrote the record
    bool m_areDeparturesRestored = false; // never reset
    std::optional<TimePoint> m_startedAt; // time of the first advance()
    std::optional<TimePoint> m_peerFreshAsOf; // like freshAsOf of an informer, through peers
    TimePoint m_lastPeerMessage {};
    bool m_isWatching = true; // isWatcher() at the last update
    ConfigProof m_proof;
    std::string m_configName; // of the entry with the configuration; empty until one was read
    ConfigVersion m_refusedVersion; // latest version with findings
    ConfigVersion m_namedVersion; // newest that another node has named
    const std::uint64_t m_keySeed;
    std::uint64_t m_nextCallId = 1;
    std::uint64_t m_failedCalls = 0;
};

static_assert(Filter<Catalog>);

} // namespace camphorreach
