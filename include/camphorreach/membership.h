// Membership: the filter that learns which endpoints exist and which have gone.
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

/// The process is about to end: its requests are finished.
struct NodeLeaving
{ };

/// What the node's own backend server is now, and whether it takes work.
struct SelfChanged
{
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1;
    bool isAccepting = false;
};

/// Nodes named in the platform, through which a node without members can join.
struct JoinPeers
{
    std::vector<NetAddress> peers;
};

/// SWIM: random probes, indirect probes, suspicion and refutation by incarnation. Claims are
/// piggybacked; a periodic exchange of digests repairs what was lost and heals after a cut.
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
    // The probe of this period.
    struct Probe
    {
        InstanceId target;
        NetAddress address;
        std::uint32_t sequence = 0;
        TimePoint indirectAt {};
        bool isIndirect = false;
    };

    // A probe made on behalf of another node.
    struct Relay
    {
        NetAddress asker;
        std::uint32_t sequence = 0; // the asker's
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
    // Returns what is newer here, within a datagram, for the sender.
    std::vector<MemberUpdate> learn(const std::vector<MemberUpdate> &updates, TimePoint now,
                                    bool isToSpread = true);
    void refute(const MemberUpdate &claim);
    void onJoinPeers(JoinPeers &&join, Outbox<Output> &outbox);
    void onSelf(SelfChanged &&changed, TimePoint now, Outbox<Output> &outbox);
    void announceSelf(TimePoint now, Outbox<Output> &outbox);
    void updateState(TimePoint now, Outbox<Output> &outbox);
    void leave(TimePoint now, Outbox<Output> &outbox);

    void runProbe(TimePoint now, Outbox<Output> &outbox);
    void sendIndirectProbes(Outbox<Output> &outbox);
    void spread(TimePoint now, Outbox<Output> &outbox);
    void sync(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<NetAddress> unmetSeed();
    [[nodiscard]] std::optional<NetAddress> syncTarget();
    [[nodiscard]] std::optional<NetAddress> joinTarget();
    // Takes whole buckets out of `buckets`, in random order, until the budget is used up.
    std::vector<MemberUpdate> affordable(std::set<std::uint8_t> &buckets, TimePoint now);
    void sendMembers(const NetAddress &to, const std::set<std::uint8_t> &buckets,
                     std::vector<MemberUpdate> updates, bool wantsReturn, Outbox<Output> &outbox);
    void publish(TimePoint now, Outbox<Output> &outbox);
    void schedulePublication(TimePoint now);

    [[nodiscard]] MemberUpdate selfUpdate() const;
    [[nodiscard]] Gossip gossip(std::vector<MemberUpdate> first = {});
    void send(const NetAddress &to, MembershipMessage message, Outbox<Output> &outbox) const;
    void tolerateOwnPause(TimePoint now);

    Endpoint m_self;
    const std::vector<NetAddress> m_seeds;
    std::vector<NetAddress> m_joinPeers; // bounded, newest first
    RandomSource &m_random;
    MemberList m_list;
    unsigned m_selfSends = 0; // how often the newest claim about this node is still to be sent
    std::vector<InstanceId> m_probeOrder; // of this round, from the back
    std::optional<Probe> m_probe;
    std::uint32_t m_sequence = 0;
    std::map<std::uint32_t, Relay> m_relays; // by this node's sequence; bounded
    TokenBucket m_syncBudget; // in members sent
    TokenBucket m_spreadBudget; // in bytes of gossip beyond probes
    std::optional<TimePoint> m_nextProbe; // empty before the first advance()
    TimePoint m_nextSpread {};
    TimePoint m_nextSync {};
    std::optional<TimePoint> m_publishAt;
    unsigned m_seedAttempts = 0; // at most maxSeedAttempts
    bool m_isLeaving = false;
    bool m_isBackendReachable = true;
    bool m_isBackendLeaving = false;
    bool m_isAccepting = true; // as the backend server last announced
    bool m_isDraining = false; // never becomes false again
};

static_assert(Filter<Membership>);

} // namespace camphorreach
