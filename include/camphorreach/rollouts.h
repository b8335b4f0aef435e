// Rollouts: the filter that moves a service's traffic to a new version within seconds, or takes it
// back.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/moveshares.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/rollout.h>
#include <camphorreach/store.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// When a new version is taken for bad, and how fast traffic moves.
struct RolloutPolicy
{
    /// Share of an unproved version. Lies under the exposure that operators allow for a bad one.
    Share trial = Share::fromFraction(0.06);
    /// Parts of the ramp at which the shares below begin; the traffic has moved with the last.
    std::array<double, 3> stepsAt { 0.40, 0.52, 0.64 };
    std::array<double, 3> stepShares { 0.25, 0.6, 1.0 };
    double completedAt = 0.82; ///< Part of the ramp at which a version without faults is in.
    std::uint64_t leastAnswers = 20; ///< Of the new version, before its share grows.
    std::uint64_t leastFailures = 6; ///< Before a verdict.
    /// A failure rate above this, and above twice that of the other versions, is bad.
    double toleratedFailures = 0.06;
    double toleratedSlow = 0.35; ///< The same for slow answers.
    double slowFactor = 3.5; ///< An answer that takes this many times the usual is slow.
};

/// Each node counts what it sees, brakes on its own evidence and follows the directives of the
/// leading nodes: the two of highest rank among the members, those that are stopping last. Several
/// may lead at a time, since verdicts only accumulate and every write of a status is conditional.
class Rollouts
{
public:
    using Input = std::variant<OrdersChanged, RequestSample, PeerReceived<RolloutMessage>,
                               EndpointsChanged, StoreReply>;
    using Output = std::variant<MoveSharesChanged, StoreCall, PeerSend>;

    Rollouts(Endpoint self, RolloutPolicy policy);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The share of the target while an order is under way.
    [[nodiscard]] std::optional<Share> shareOf(const ServiceName &service) const;
    [[nodiscard]] bool isBanned(const ServiceName &service) const;

private:
    struct Running
    {
        RolloutOrder order;
        TimePoint startedAt {}; // as far as this node knows; moves back when others know better
        Share share; // of the target; zero once it is bad
        bool isBad = false; // never becomes false again
        TimePoint heardAt {}; // of the last directive
        std::optional<TimePoint> wholeSince {}; // since when the target has all traffic
        RolloutCounts established; // own
        RolloutCounts candidate; // own
        std::map<InstanceId, RolloutReport> reports; // of other nodes, at a leading one
        std::map<RouteName, double> usualUs; // latency of the other versions; bounded
        std::optional<StoreCallId> write {}; // under way
        TimePoint nextWrite {};
    };

    void onOrder(const RolloutOrder &order, TimePoint now);
    void onSample(const RequestSample &sample, TimePoint now);
    void onMessage(const RolloutMessage &message, TimePoint now);
    void onReply(const StoreReply &reply, TimePoint now);
    void onEndpoints(const EndpointsChanged &changed);
    void tick(Running &running, TimePoint now, Outbox<Output> &outbox);
    void lead(Running &running, TimePoint now, Outbox<Output> &outbox);
    void report(const Running &running, TimePoint now, Outbox<Output> &outbox) const;
    void direct(const Running &running, TimePoint now, Outbox<Output> &outbox) const;
    void writeState(Running &running, RolloutState state, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool looksBad(const RolloutCounts &established,
                                const RolloutCounts &candidate) const;
    [[nodiscard]] Share plannedShare(const Running &running, const RolloutCounts &candidate,
                                     TimePoint now) const;
    [[nodiscard]] bool isLeading() const;
    void publish(Outbox<Output> &outbox);

    const Endpoint m_self;
    const RolloutPolicy m_policy;
    std::map<ServiceName, Running> m_running; // orders without an end
    std::map<ServiceName, ServiceShares> m_ended; // what completed and rolled-back orders imply
    std::vector<Endpoint> m_members; // by rank, this node included
    std::optional<TimePoint> m_nextTick; // while an order is under way
    std::uint64_t m_nextCall = 1;
    bool m_hasChanged = false; // since the last publish()
};

static_assert(Filter<Rollouts>);

} // namespace camphorreach
