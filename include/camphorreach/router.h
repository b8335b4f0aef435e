// Router: the filter that forwards client requests to gates and returns their outcomes.
#pragma once

#include <camphorreach/balancing.h>
#include <camphorreach/decision.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/evacuation.h>
#include <camphorreach/filter.h>
#include <camphorreach/identification.h>
#include <camphorreach/joincandidates.h>
#include <camphorreach/moveshares.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/pendingrequest.h>
#include <camphorreach/placement.h>
#include <camphorreach/quotas.h>
#include <camphorreach/random.h>
#include <camphorreach/request.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/retrybudget.h>
#include <camphorreach/routebytes.h>
#include <camphorreach/routelatency.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/startwait.h>
#include <camphorreach/waitqueue.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace camphorreach {

/// Forwards every request to a target, queues it while no target is available, matches answers to
/// requests, and retries where that is safe. A request keeps the configuration snapshot with which
/// it was resolved, also after a newer one arrives.
template <BalancingPolicy Policy>
class BasicRouter
{
public:
    using Input = std::variant<ClientRequest, ClientDisconnected, PeerReceived<ForwardResponse>,
                               LinkDown, SnapshotChanged, EndpointsChanged, MoveSharesChanged,
                               DrainSchedule, EvacuationsChanged, ConfigurationProven,
                               NewerConfigurationKnown, NodesListed, PeerReceived<QuotaMessage>>;
    using Output = std::variant<ClientResponse, PeerSend, AttemptStarted, RequestSample,
                                AttemptAbandoned, RouterDecision>;

    struct Counts
    {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t cancelled = 0; ///< The client disconnected before the outcome.
        std::uint64_t attempts = 0;
        std::uint64_t retries = 0; ///< Attempts after the first of a request.
        /// Dropped because the queue or the request table was full. Also counted by the outcome:
        /// notRun, unless an earlier attempt failed or may have run.
        std::uint64_t shed = 0;
        std::uint64_t unmatchedAnswers = 0; ///< Dropped: late, duplicate or from another peer.
    };

    struct Options
    {
        /// Requests are queued in the router until a target has capacity, and targets that refused
        /// are retried after a backoff. Otherwise requests are queued at gates only, and a request
        /// that no gate accepts is refused at once.
        bool queuesForCapacity = true;
        /// Gates that may refuse a request before it ends. Unused with `queuesForCapacity`.
        std::uint32_t maxRefusals = 3;
        /// A request whose route transfers more bytes on average than this, per unit of weight,
        /// stays in its failure domain while a healthy endpoint is present there. Zero disables the
        /// limit.
        ByteCount spillBytesPerWeight {};
        RetryBudget::Limits retries {};
        /// Time within which a withdrawn key must stop working; empty if it is not strict.
        std::optional<Duration> revocation {};
        /// Enforces the quotas of the configuration.
        std::optional<QuotaOptions> quotas {};
        /// Interval at which backend servers announce themselves. With it, requests that find no
        /// server wait for a short time after the start. Unused with `queuesForCapacity`.
        std::optional<Duration> heartbeat {};
        /// For a \a Policy that leaves the choice to the settings.
        PlacementKind placement = PlacementKind::LeastOccupied;
    };

    /// \a maxInFlight bounds the requests without an outcome. At most half of them may be queued
    /// for a target.
    BasicRouter(FailureDomain domain, std::size_t maxInFlight, RandomSource &random)
        : BasicRouter(std::move(domain), maxInFlight, Options {}, random)
    { }
    BasicRouter(FailureDomain domain, std::size_t maxInFlight, Options options,
                RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    /// Requests without an outcome, including those queued for a target.
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_requests.size(); }
    /// Requests queued for a target.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_queue.size(); }
    [[nodiscard]] ConfigVersion configVersion() const noexcept;
    [[nodiscard]] const Identification &identification() const noexcept { return m_identification; }
    /// Null when this router enforces no quotas.
    [[nodiscard]] const Quotas *quotas() const noexcept { return m_quotas ? &*m_quotas : nullptr; }
    /// Requests that have waited for a server since the start.
    [[nodiscard]] std::size_t startWaits() const noexcept { return m_startWait.count(); }
    [[nodiscard]] const Placement<Policy> &placement() const noexcept { return m_placement; }

private:
    void onRequest(ClientRequest &&request, TimePoint now, Outbox<Output> &outbox);
    void onClientDisconnected(const ClientDisconnected &disconnected, TimePoint now,
                              Outbox<Output> &outbox);
    void onAnswer(PeerReceived<ForwardResponse> &&received, TimePoint now, Outbox<Output> &outbox);
    void onLinkDown(const LinkDown &down, TimePoint now, Outbox<Output> &outbox);
    void onSnapshot(SnapshotChanged &&changed, TimePoint now, Outbox<Output> &outbox);
    void onDrain(const DrainSchedule &schedule);
    [[nodiscard]] bool resolve(PendingRequest &pending);
    [[nodiscard]] std::optional<NotRun> identify(PendingRequest &pending, TimePoint now);
    [[nodiscard]] QuotaDecision admitByQuota(const PendingRequest &pending, TimePoint now,
                                             Outbox<Output> &outbox);
    void onQuotaVerdict(const QuotaVerdict &verdict, TimePoint now, Outbox<Output> &outbox);
    void handleQuotaOutputs(Outbox<Quotas::Output> outputs, TimePoint now, Outbox<Output> &outbox);

    void sendOrQueue(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool mayWaitForServer(const PendingRequest &pending, TimePoint now);
    void endStartWaits(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool trySend(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox);
    void enqueue(PendingRequest &pending, TimePoint notBefore, TimePoint now,
                 Outbox<Output> &outbox);
    void dispatch(const ServiceName &service, TimePoint now, Outbox<Output> &outbox);
    void dispatchAll(TimePoint now, Outbox<Output> &outbox);
    void send(PendingRequest &pending, const Endpoint &endpoint, TimePoint now,
              Outbox<Output> &outbox);

    void onAttemptOutcome(RequestId requestId, Outcome outcome, TimePoint now,
                          Outbox<Output> &outbox);
    [[nodiscard]] bool mayRetry(const PendingRequest &pending, TimePoint now);
    void endAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now);
    void cancelAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now,
                       Outbox<Output> &outbox);
    void onNotRun(PendingRequest &pending, NotRun notRun, const SentAttempt &sentAttempt,
                  TimePoint now, Outbox<Output> &outbox);
    void retryOrReject(PendingRequest &pending, NotRun notRun, const SentAttempt &sentAttempt,
                       TimePoint now, Outbox<Output> &outbox);
    void emitSample(const PendingRequest &pending, SampleResult result, bool isAnswered,
                    TimePoint now, Outbox<Output> &outbox) const;
    void emitAbandoned(const PendingRequest &pending, Outbox<Output> &outbox) const;
    void finish(RequestId requestId, Outcome outcome, TimePoint now, Outbox<Output> &outbox);
    void emitDecision(const PendingRequest &pending, const Outcome &outcome, TimePoint now,
                      Outbox<Output> &outbox) const;
    void expire(RequestId requestId, TimePoint now, Outbox<Output> &outbox);

    [[nodiscard]] bool maySpill(const PendingRequest &pending) const;
    [[nodiscard]] bool isTooLate(const PendingRequest &pending, TimePoint now) const;
    [[nodiscard]] Duration retryBackoff(std::uint32_t refusals);
    [[nodiscard]] Duration retryAfterHint(const PendingRequest &pending, const NotRun &notRun,
                                          TimePoint now);

    const Options m_options;
    const std::size_t m_maxInFlight;
    RandomSource &m_random; // seeded and owned by the code that builds the filter
    std::shared_ptr<const Snapshot> m_snapshot;
    Placement<Policy> m_placement;
    Identification m_identification;
    std::optional<Quotas> m_quotas;
    RetryBudget m_retryBudget;
    RouteLatency m_routeLatencies;
    RouteBytes m_routeBytes;
    WaitQueue m_queue; // requests without a current attempt
    StartWait m_startWait; // of those among them that wait for a first server
    std::unordered_map<RequestId, PendingRequest> m_requests; // at most m_maxInFlight
    std::unordered_map<RequestId, RequestId> m_forwards; // forward id of the attempt to request id
    std::set<std::pair<TimePoint, RequestId>> m_deadlines; // one per pending request
    std::optional<DrainSchedule> m_drain; // set once the node drains; caps every deadline
    std::uint64_t m_nextForwardId = 1;
    Counts m_counts;
};

/// The router of a node. docs/notes/balancing.md has the measurement behind the balancing policy.
using Router = BasicRouter<LeastCost>;

/// The router of a node whose requests are queued at gates only. It balances by the load that the
/// gates report, in the way that the settings select.
using MeshRouter = BasicRouter<SelectedPolicy>;

static_assert(Filter<Router> && Filter<MeshRouter>);

} // namespace camphorreach
