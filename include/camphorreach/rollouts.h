// Rollouts: the filter that moves a service's traffic to a new version within seconds, or rolls it
// back.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/latencyevidence.h>
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

/// Criteria for a bad candidate, and schedule of the shares.
struct RolloutPolicy
{
    /// Share at the start, while there is little evidence. Lower than the exposure that operators
    /// allow for a bad version.
    Share trialShare = Share::fromFraction(0.06);
    /// Fractions of the ramp after which the shares in `stepShares` apply. The last step moves all
    /// traffic.
    std::array<double, 3> stepFractions { 0.40, 0.52, 0.64 };
    std::array<double, 3> stepShares { 0.25, 0.6, 1.0 };
    /// Fraction of the ramp after which the rollout of a version without faults is completed.
    double completionFraction = 0.82;
    std::uint64_t minSettled = 20; ///< Attempts of the candidate, before its share increases.
    std::uint64_t minAdverse = 6; ///< Failures, or slow attempts, before a verdict.
    /// The candidate is bad if its failure rate is above both this limit and the sum of half of
    /// this limit and twice the rate of the baseline.
    double maxFailureRate = 0.06;
    double maxSlowRate = 0.35; ///< The same for the rate of slow attempts.
    double slowFactor = 3.5; ///< An attempt is slow above this multiple of the usual latency.
};

/// Every node counts the responses that it receives, stops its own requests to a bad candidate, and
/// follows the directives of the leaders. The leaders are the first two members by instance id,
/// where members that are stopping come after all others. Several nodes may lead at the same time,
/// because verdicts only accumulate and every write of a state is conditional. A leader directs the
/// share only while more than half of the other members report to it: a node that has just started
/// knows few members, and considers itself a leader although others lead the fleet.
class Rollouts
{
public:
    using Input
        = std::variant<OrdersChanged, AttemptStarted, RequestSample, AttemptAbandoned, AttemptsLost,
                       PeerReceived<RolloutMessage>, EndpointsChanged, StoreReply>;
    using Output = std::variant<MoveSharesChanged, StoreCall, PeerSend>;

    Rollouts(Endpoint self, RolloutPolicy policy);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The share of the target while a rollout is under way.
    [[nodiscard]] std::optional<Share> shareOf(const ServiceName &service) const;
    [[nodiscard]] bool isBanned(const ServiceName &service) const;

private:
    struct ReceivedReport
    {
        RolloutReport report;
        TimePoint receivedAt {};
    };

    struct ActiveRollout
    {
        explicit ActiveRollout(double slowFactor) : latency(slowFactor) { }

        RolloutOrder order;
        TimePoint startedAt {}; // earliest start that this node or another has seen
        Share share; // of the target; zero once it is bad
        bool isBad = false; // never becomes false again
        TimePoint directiveAt {}; // of the last directive
        std::optional<TimePoint> fullShareSince {}; // while the target receives all traffic
        RolloutCounts baseline; // of this node
        RolloutCounts candidate; // of this node
        std::map<InstanceId, ReceivedReport> reports; // of other nodes, at a leader
        LatencyEvidence latency; // of this node
        std::optional<StoreCallId> write {}; // in flight
        TimePoint nextWrite {};
    };

    void onOrder(const RolloutOrder &order, TimePoint now);
    void onStarted(const AttemptStarted &started);
    void onSample(const RequestSample &sample, TimePoint now);
    void onAbandoned(const AttemptAbandoned &abandoned);
    void onAttemptsLost();
    void onMessage(const RolloutMessage &message, TimePoint now);
    void onReply(const StoreReply &reply, TimePoint now);
    void onEndpoints(const EndpointsChanged &changed);
    void update(ActiveRollout &rollout, TimePoint now, Outbox<Output> &outbox);
    void updateAsLeader(ActiveRollout &rollout, TimePoint now, Outbox<Output> &outbox);
    void sendReports(const ActiveRollout &rollout, TimePoint now, Outbox<Output> &outbox) const;
    void sendDirectives(const ActiveRollout &rollout, TimePoint now, Outbox<Output> &outbox) const;
    void writeState(ActiveRollout &rollout, RolloutState state, TimePoint now,
                    Outbox<Output> &outbox);
    [[nodiscard]] bool isRegression(const RolloutCounts &baseline,
                                    const RolloutCounts &candidate) const;
    [[nodiscard]] Share plannedShare(const ActiveRollout &rollout, const RolloutCounts &candidate,
                                     TimePoint now) const;
    [[nodiscard]] bool isLeading() const;
    [[nodiscard]] bool hasReportsOfMost(const ActiveRollout &rollout, TimePoint now) const;
    void expireDirective(ActiveRollout &rollout, TimePoint now);
    void stopIfRegression(ActiveRollout &rollout, TimePoint now);
    void publish(Outbox<Output> &outbox);

    const Endpoint m_self;
    const RolloutPolicy m_policy;
    std::map<ServiceName, ActiveRollout> m_rollouts; // under way
    std::map<ServiceName, ServiceShares> m_ended; // shares after completed and rolled-back orders
    std::vector<Endpoint> m_members; // in the order of leadership, including this node
    std::optional<TimePoint> m_nextUpdate; // while a rollout is under way
    std::uint64_t m_nextCall = 1;
    bool m_hasChanged = false; // since the last publish()
};

static_assert(Filter<Rollouts>);

} // namespace camphorreach
