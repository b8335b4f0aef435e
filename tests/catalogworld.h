// Catalogs of one failure domain and their store in virtual time, over links of limited rate.
#pragma once

#include "scenario/eventqueue.h"

#include <camphorreach/catalog.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace camphorreach {

class CatalogWorld
{
public:
    struct Options
    {
        std::size_t nodes = 26;
        std::size_t routes = 2'500;
        std::uint64_t linkBytesPerSecond = 1'250'000; ///< Of each node, in each direction.
    };

    explicit CatalogWorld(Options options);

    void run(Duration span);
    /// Accepts a version that differs in two routes from the one before.
    void publish();
    /// Accepts `count` versions, one in each `gap`.
    void publishSeries(int count, Duration gap);
    /// No call of these nodes, by index, gets an answer any more, also one that waits.
    void silenceStoreFor(std::set<std::size_t> nodes);
    /// These nodes, by index, end without notice.
    void kill(const std::set<std::size_t> &nodes);

    /// The longest time from the acceptance of a version to its being in force, or a later one,
    /// over the nodes that run; a version that is not in force yet counts as until now.
    [[nodiscard]] Duration longestDelay() const;
    /// Bytes that came from other nodes since the start, over all nodes.
    [[nodiscard]] std::uint64_t peerBytes() const noexcept { return m_peerBytes; }
    /// Lists and watches of the configuration and of orders since the start, over all nodes.
    [[nodiscard]] std::uint64_t followCalls() const noexcept { return m_followCalls; }
    /// Whether all nodes that run have exactly the routes of the newest version.
    [[nodiscard]] bool isSettled() const;

private:
    struct Link
    {
        TimePoint freeAt {};
    };

    struct Node
    {
        Node(const Endpoint &self, std::uint64_t seed) : random(seed), catalog(self, {}, random) { }

        RandomSource random;
        Catalog catalog;
        Link up;
        Link down;
        std::shared_ptr<const Snapshot> inForce;
        bool isRunning = true;
        std::uint64_t wakeUp = 0; // of the timer that counts; earlier ones do nothing
    };

    struct Accepted
    {
        ObjectVersion object;
        std::shared_ptr<const MeshConfig> config;
        TimePoint at {};
    };

    struct Waiting
    {
        std::size_t node = 0;
        StoreCallId call;
        StoreFollow follow;
        std::uint64_t number = 0;
    };

    [[nodiscard]] static Endpoint endpointOf(std::size_t index);
    void give(std::size_t index, Catalog::Input input);
    void collect(std::size_t index, Outbox<Catalog::Output> &outbox);
    void schedule(std::size_t index);
    void onSend(std::size_t from, PeerSend &&send);
    void onCall(std::size_t index, const StoreCall &call);
    void reply(std::size_t index, StoreCallId call, StoreResult result, std::size_t configs);
    [[nodiscard]] StoreEntries entriesSince(ObjectVersion since, std::size_t &configs) const;
    void answerWaiting();
    void onInForce(std::size_t index, std::shared_ptr<const Snapshot> snapshot);
    [[nodiscard]] TimePoint transfer(Link *from, Link &to, std::size_t bytes) const;

    const Options m_options;
    scenario::EventQueue m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::set<std::size_t> m_silenced;
    std::vector<Accepted> m_history; // object versions increase
    std::deque<Waiting> m_waiting; // watches
    std::uint64_t m_nextWatch = 0;
    std::uint64_t m_peerBytes = 0;
    std::uint64_t m_followCalls = 0;
    Duration m_longestDelay {};
};

} // namespace camphorreach
