// Catalog: the filter that watches the platform's store and exchanges its contents with other
// nodes.
#pragma once

#include <camphorreach/catalogfindings.h>
#include <camphorreach/catalogspread.h>
#include <camphorreach/configintake.h>
#include <camphorreach/configproof.h>
#include <camphorreach/departedrun.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/evacuationcheck.h>
#include <camphorreach/evacuationtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/joincandidates.h>
#include <camphorreach/membership.h>
#include <camphorreach/noderegistration.h>
#include <camphorreach/ordertable.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/store.h>
#include <camphorreach/storeinformer.h>
#include <camphorreach/versionedconfig.h>
#include <camphorreach/watchelection.h>

#include <cstdint>
#include <optional>
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
                                NewerConfigurationKnown, NodesListed, FindingsChanged>;

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
    /// Findings about the active configuration and the evacuation orders.
    [[nodiscard]] Findings findings(TimePoint now) const
    {
        return m_findings.current(version(), now);
    }
    /// Time since the store was last known to hold nothing newer; empty while unknown.
    [[nodiscard]] std::optional<Duration> staleness(TimePoint now) const;

private:
    void onReply(StoreReply &reply, TimePoint now, Outbox<Output> &outbox);
    void onInformerReply(StoreInformer &informer, StoreReply &reply, TimePoint now,
                         Outbox<Output> &outbox);
    void onLateReply(StoreInformer &informer, StoreReply &reply, TimePoint now,
                     Outbox<Output> &outbox);
    void onRegistrationReply(const StoreResult &result, TimePoint now, Outbox<Output> &outbox);
    void onEntries(StoreInformer &informer, const StoreInformer::Call &call, StoreEntries &entries,
                   TimePoint now, Outbox<Output> &outbox);
    template <typename Order>
    [[nodiscard]] static bool applyEntries(OrderTable<Order> &orders, StoreInformer &informer,
                                           StoreInformer::Read read, const StoreEntries &entries,
                                           bool hasMore);
    void publishEvacuations(bool haveChanged, Outbox<Output> &outbox);
    void recordProof(const StoreInformer::Call &call, ObjectVersion resourceVersion,
                     ConfigVersion newest, TimePoint now);
    void onOverdue(StoreInformer &informer, TimePoint now);
    void restartList(StoreInformer &informer);
    void onLastPage(StoreInformer &informer, ObjectVersion resourceVersion, std::size_t versions,
                    bool isNewer, TimePoint now);
    void onNodesListed(StoreInformer &informer, TimePoint now, Outbox<Output> &outbox);
    void joinListedNodes(TimePoint now, Outbox<Output> &outbox);
    void onFailure(StoreInformer &informer, const StoreResult &result, TimePoint now);
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
    [[nodiscard]] std::vector<StoreInformer *> informers();
    [[nodiscard]] std::vector<StoreInformer *> watchingInformers();
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
    [[nodiscard]] WatchElection::Copy ownCopy() const;
    [[nodiscard]] bool isWatcher(TimePoint now) const;
    [[nodiscard]] std::optional<TimePoint> evacuationCheckTime() const;
    void checkEvacuations(TimePoint now);
    void updateWatch(TimePoint now);
    void listOrWatch(StoreInformer &informer, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] CatalogVersions heldVersions() const;
    [[nodiscard]] CatalogDigest ownDigest(TimePoint now) const;
    void scheduleRetry(StoreInformer &informer, TimePoint now);
    [[nodiscard]] bool isDue(const StoreInformer &informer, TimePoint now) const;
    [[nodiscard]] Duration watchWait(StoreKind kind);

    const Endpoint m_self;
    const Options m_options;
    RandomSource &m_random;
    VersionedConfig m_config;
    OrderTable<RolloutOrder> m_orders;
    CatalogSpread m_spread;
    StoreInformer m_configInformer { StoreKind::Configuration };
    StoreInformer m_rolloutInformer { StoreKind::Rollouts };
    StoreInformer m_nodeInformer { StoreKind::Nodes };
    // Unused without readsEvacuations.
    StoreInformer m_evacuationInformer { StoreKind::Evacuations };
    EvacuationTable m_evacuations;
    EvacuationCheck m_evacuationCheck;
    CatalogFindings m_findings;
    bool m_areEvacuationsKnown = false; // from the store or from a peer; never reset
    bool m_isSnapshotHeld = false; // until they are known, or snapshotReleaseTime()
    JoinCandidates m_joinCandidates;
    unsigned m_earlyNodeLists = 4; // lists left to read at the early interval
    NodeRegistration m_registration;
    WatchElection m_election;
    std::optional<TimePoint> m_peerFreshAsOf; // like freshAsOf of an informer, through peers
    ConfigProof m_proof;
    ConfigIntake m_configIntake;
    ConfigVersion m_namedVersion; // newest that another node has named
    const std::uint64_t m_keySeed;
    std::uint64_t m_nextCallId = 1;
    std::uint64_t m_failedCalls = 0;
};

static_assert(Filter<Catalog>);

} // namespace camphorreach
