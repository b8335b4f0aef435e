// Simulates the catalogs of one failure domain and their store in virtual time, over links of
// limited bandwidth.
#pragma once

#include "scenario/eventqueue.h"

#include <camphorreach/catalog.h>
#include <camphorreach/identification.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorreach {

class CatalogWorld
{
public:
    struct Options
    {
        std::size_t nodes = 26;
        std::size_t routes = 2'500;
        std::uint64_t linkBytesPerSecond = 1'250'000; ///< Of every node, in each direction.
        std::size_t maxReplyBytes = 2 * 1024 * 1024; ///< Longer replies of the store are not read.
        std::size_t domains = 1; ///< Failure domains, to which the nodes belong in turn.
        /// With a value, the configuration has an organisation with the keys "old" and "kept", and
        /// withdrawn keys must stop working within this time.
        std::optional<Duration> revocation {};
        bool readsEvacuations = false;
        Duration evacuationTime = std::chrono::seconds(5);
    };

    explicit CatalogWorld(Options options);

    void run(Duration span);
    /// Stores a new version that differs from the previous one in two routes.
    void publish();
    /// Stores \a count new versions, one every \a gap.
    void publishSeries(int count, Duration gap);
    /// From now on no call of these nodes, by index, gets a reply, pending watches included, also
    /// after a later call of this function for other nodes.
    void silenceStoreFor(std::set<std::size_t> nodes);
    [[nodiscard]] std::set<std::size_t> allNodes() const;
    /// From now on the store needs \a responseTime for each reply.
    void slowStore(Duration responseTime) { m_storeResponseTime = responseTime; }
    /// Stops these nodes, by index, without notice to the others.
    void kill(const std::set<std::size_t> &nodes);
    /// Replaces the process of a node by a new one.
    void restart(std::size_t node);
    /// From now on messages between these nodes and the others are lost. Replaces an earlier cut.
    void cutOff(std::set<std::size_t> nodes) { m_cutOff = std::move(nodes); }
    /// The process of a node does nothing for a time; what arrives meanwhile is processed then.
    void pause(std::size_t node, Duration span);
    /// Stores a version without the key "old", respectively with the additional key "new".
    void withdrawKey();
    void addKey();

    /// Stores an order to evacuate a failure domain, respectively removes it.
    void evacuate(const FailureDomain &domain);
    void takeBack(const FailureDomain &domain);

    /// The running nodes that serve and hold the failure domain as evacuated.
    [[nodiscard]] std::set<std::size_t> nodesEvacuating(const FailureDomain &domain) const;
    [[nodiscard]] bool isServing(std::size_t node) const
    {
        return m_nodes[node]->isRunning && m_nodes[node]->active;
    }
    /// Moments at which a node that was in touch served and did not hold an order, more than
    /// evacuationBound after it was stored, respectively held one that long after its removal.
    /// Checked every 50 ms at every node. A node is in touch when for touchTime it has run without
    /// a pause and the store has replied to it.
    [[nodiscard]] std::size_t lateEvacuations() const noexcept { return m_lateEvacuations; }
    [[nodiscard]] std::size_t lateReturns() const noexcept { return m_lateReturns; }
    static constexpr Duration evacuationBound = std::chrono::seconds(5);
    static constexpr Duration touchTime = std::chrono::seconds(3);

    /// What a node decides now about a request with a key.
    [[nodiscard]] Identification::Result identify(std::size_t node, const std::string &key);
    /// The same for a node that must identify the key.
    [[nodiscard]] bool isIdentified(std::size_t node, const std::string &key);
    /// Nodes that have identified the key "old" later than allowed after its withdrawal. Checked
    /// every 50 ms at every running node.
    [[nodiscard]] std::size_t lateUses() const noexcept { return m_lateUses; }
    /// Proofs that did not hold: an older version than the proof names was in the store.
    [[nodiscard]] std::size_t wrongProofs() const noexcept { return m_wrongProofs; }
    /// Maximum staleness of a running node now; empty while one does not know it.
    [[nodiscard]] std::optional<Duration> maxStaleness() const;
    /// Maximum age of a proof of a running node since the last call of resetProofAge().
    [[nodiscard]] Duration maxProofAge() const noexcept { return m_maxProofAge; }
    void resetProofAge() noexcept { m_maxProofAge = {}; }

    /// Maximum time from the storing of a version until it or a later one is active, over the
    /// running nodes. For a version that is not active yet, the time until now counts.
    [[nodiscard]] Duration maxDelay() const;
    /// Bytes sent between nodes since the start.
    [[nodiscard]] std::uint64_t peerBytes() const noexcept { return m_peerBytes; }
    /// Lists and watches since the start, over all nodes; lists of nodes are not counted.
    [[nodiscard]] std::uint64_t listAndWatchCalls() const noexcept { return m_listAndWatchCalls; }
    /// Whether all running nodes have exactly the routes of the newest version.
    [[nodiscard]] bool hasConverged() const;

private:
    struct Link
    {
        TimePoint freeAt {};
    };

    struct Node
    {
        Node(const Endpoint &self, std::uint64_t seed, const Options &options)
            : random(seed), catalog(self,
                                    { Share::fromFraction(0.1), options.readsEvacuations,
                                      options.revocation, options.evacuationTime },
                                    random),
              identification(options.revocation)
        { }

        RandomSource random;
        Catalog catalog;
        Identification identification;
        Link up;
        Link down;
        std::shared_ptr<const Snapshot> active;
        std::set<FailureDomain> evacuated;
        TimePoint disturbedUntil {}; // not in touch until touchTime later
        bool isRunning = true;
        TimePoint pausedUntil {};
        TimePoint startedAt {};
        std::uint64_t timerId = 0; // of the current timer; earlier ones do nothing
    };

    struct StoredVersion
    {
        ObjectVersion object;
        std::shared_ptr<const MeshConfig> config;
        TimePoint storedAt {};
    };

    // The last change of an order.
    struct StoredOrder
    {
        ObjectVersion object;
        bool isRemoved = false;
        TimePoint storedAt {};
    };

    struct PendingWatch
    {
        std::size_t node = 0;
        StoreCallId call;
        StoreWatch watch;
        std::uint64_t id = 0;
        bool isLost = false; // taken by a store that does not respond
    };

    [[nodiscard]] Endpoint endpointOf(std::size_t index) const;
    [[nodiscard]] std::shared_ptr<const EndpointTable> table() const;
    void store(MeshConfig config);
    void storeOrder(const FailureDomain &domain, bool isRemoved);
    void checkKeys();
    void checkEvacuations();
    void deliver(std::size_t index, Catalog::Input input);
    void collect(std::size_t index, Outbox<Catalog::Output> &outbox);
    void scheduleTimer(std::size_t index);
    void onSend(std::size_t from, PeerSend &&send);
    void onCall(std::size_t index, const StoreCall &call);
    void reply(std::size_t index, StoreCallId call, StoreResult result, std::size_t configs);
    [[nodiscard]] StoreEntries entriesSince(const StoreWatch &watch, std::size_t &configs) const;
    [[nodiscard]] bool hasNewerThan(const StoreWatch &watch) const;
    void answerPendingWatches();
    void endWatch(std::uint64_t id);
    void loseReply(std::size_t index, StoreCallId call);
    void onProof(std::size_t index, const ConfigurationProven &proof);
    void onSnapshot(std::size_t index, std::shared_ptr<const Snapshot> snapshot);
    [[nodiscard]] TimePoint transfer(Link *from, Link &to, std::size_t bytes) const;

    const Options m_options;
    scenario::EventQueue m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_replaced; // processes that were replaced
    Duration m_storeResponseTime {};
    std::set<std::size_t> m_silenced; // nodes whose calls get no reply
    ObjectVersion m_revision { 10 }; // of the store
    std::vector<StoredVersion> m_history; // object versions increase
    std::vector<StoreEntry> m_orderEvents;
    std::vector<ObjectVersion> m_orderRevisions; // of the store, at each of m_orderEvents
    std::map<FailureDomain, StoredOrder> m_orders;
    std::deque<PendingWatch> m_pendingWatches;
    std::uint64_t m_nextWatchId = 0;
    std::uint64_t m_peerBytes = 0;
    std::uint64_t m_listAndWatchCalls = 0;
    std::set<std::size_t> m_cutOff;
    std::uint64_t m_lastSeed = 0;
    std::optional<TimePoint> m_withdrawnAt; // time at which the store acknowledged it
    std::size_t m_lateUses = 0;
    std::size_t m_wrongProofs = 0;
    std::size_t m_lateEvacuations = 0;
    std::size_t m_lateReturns = 0;
    Duration m_maxProofAge {};
    Duration m_maxDelay {}; // over the versions that have become active
};

} // namespace camphorreach
