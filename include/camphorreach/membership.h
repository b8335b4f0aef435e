// Membership: the filter that tracks live endpoints by gossip and failure detection.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/memberlist.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/tokenbucket.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// The process is about to exit; its requests are finished.
struct NodeLeaving
{ };

/// The current properties of the local backend server, and whether it accepts requests.
struct SelfChanged
{
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1;
    bool isAccepting = false;
};

/// Addresses of nodes from the platform, through which a node without members can join.
struct JoinPeers
{
    std::vector<NetAddress> peers;
};

/// SWIM: random probes, indirect probes, suspicion, and refutation by incarnation. Updates are
/// piggybacked on probes and gossiped; periodic anti-entropy by digests repairs lost updates and
/// heals network partitions.
class Membership
{
public:
    using Input = std::variant<PeerReceived<MembershipMessage>, BackendReachable, BackendLeaving,
                               DrainStarted, NodeLeaving, JoinPeers, SelfChanged>;
    using Output = std::variant<PeerSend, EndpointsChanged>;

    Membership(Endpoint self, std::vector<NetAddress> seeds, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    [[nodiscard]] std::size_t memberCount() const noexcept { return m_list.live().size() + 1; }
    [[nodiscard]] std::vector<Endpoint> members() const;
    [[nodiscard]] const Endpoint &self() const noexcept { return m_self; }

private:
    // The probe of the current protocol period.
    struct Probe
    {
        InstanceId target;
        NetAddress address;
        std::uint32_t sequence = 0;
        TimePoint indirectAt {};
        bool isIndirect = false;
    };

    // An indirect probe at the request of another node.
    struct Relay
    {
        NetAddress requester;
        std::uint32_t sequence = 0; // of the requester
        TimePoint expiry {};
    };

    void onMessage(PeerReceived<MembershipMessage> &received, TimePoint now,
                   Outbox<Output> &outbox);
    void onAck(const Ack &ack, TimePoint now, Outbox<Output> &outbox);
    void onProbeRequest(const NetAddress &from, const ProbeRequest &request, TimePoint now,
                        Outbox<Output> &outbox);
    void onSyncRequest(const NetAddress &from, const SyncRequest &request, TimePoint now,
                       Outbox<Output> &outbox);
    void onSyncMembers(const NetAddress &from, const SyncMembers &members, TimePoint now,
                       Outbox<Output> &outbox);
    // Returns the local records that are newer, for the sender, as many as fit into a datagram.
    std::vector<MemberUpdate> applyUpdates(const std::vector<MemberUpdate> &updates, TimePoint now,
                                           bool shouldGossip = true);
    void refute(const MemberUpdate &update);
    void onJoinPeers(JoinPeers &&join, Outbox<Output> &outbox);
    void onSelfChanged(SelfChanged &&changed, TimePoint now, Outbox<Output> &outbox);
    void announceSelf(TimePoint now, Outbox<Output> &outbox);
    void updateState(TimePoint now, Outbox<Output> &outbox);
    void leave(TimePoint now, Outbox<Output> &outbox);

    void runProbe(TimePoint now, Outbox<Output> &outbox);
    void sendIndirectProbes(Outbox<Output> &outbox);
    void sendGossip(TimePoint now, Outbox<Output> &outbox);
    void sync(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<NetAddress> unjoinedSeed();
    [[nodiscard]] std::optional<NetAddress> syncTarget();
    [[nodiscard]] std::optional<NetAddress> joinTarget();
    // Reduces `buckets` to those whose members fit into the sync budget, chosen in random order,
    // and returns their members.
    std::vector<MemberUpdate> selectWithinBudget(std::set<std::uint8_t> &buckets, TimePoint now);
    void sendMembers(const NetAddress &to, const std::set<std::uint8_t> &buckets,
                     std::vector<MemberUpdate> updates, bool wantsReply, Outbox<Output> &outbox);
    void publish(TimePoint now, Outbox<Output> &outbox);
    void schedulePublication(TimePoint now);

    [[nodiscard]] MemberUpdate selfUpdate() const;
    [[nodiscard]] Gossip makeGossip(std::vector<MemberUpdate> priorityUpdates = {});
    void send(const NetAddress &to, MembershipMessage message, Outbox<Output> &outbox) const;
    void compensateForPause(TimePoint now);

    Endpoint m_self;
    const std::vector<NetAddress> m_seeds;
    std::vector<NetAddress> m_joinPeers; // at most maxJoinPeers, newest first
    RandomSource &m_random;
    MemberList m_list;
    unsigned m_selfTransmissions = 0; // that are left for the latest update about this node
    std::vector<InstanceId> m_probeOrder; // rest of this round, taken from the back
    std::optional<Probe> m_probe;
    std::uint32_t m_sequence = 0;
    std::map<std::uint32_t, Relay>
        m_relays; // by the sequence number of this node's ping; at most maxRelays
    TokenBucket m_syncBudget; // in members
    TokenBucket m_gossipBudget; // in bytes, without gossip on probes
    std::optional<TimePoint> m_nextProbe; // empty before the first advance()
    TimePoint m_nextGossip {};
    TimePoint m_nextSync {};
    std::optional<TimePoint> m_publishAt;
    unsigned m_seedAttempts = 0; // at most maxSeedAttempts
    bool m_isLeaving = false;
    bool m_isBackendReachable = true;
    bool m_isBackendLeaving = false;
    bool m_isAccepting = true; // as last announced by the backend server
    bool m_isDraining = false; // never reset
};

static_assert(Filter<Membership>);

} // namespace camphorreach
