// Router: the filter that takes guests' requests to gates and outcomes back to guests.
#pragma once

#include <camphorreach/balancing.h>
#include <camphorreach/decision.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/moveshares.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/pendingrequest.h>
#include <camphorreach/placement.h>
#include <camphorreach/random.h>
#include <camphorreach/request.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/retrybudget.h>
#include <camphorreach/routebytes.h>
#include <camphorreach/routelatency.h>
#include <camphorreach/snapshot.h>
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

/// Sends each request to a target, lets it wait while there is none, matches answers to requests,
/// and retries what may be retried. A request keeps the snapshot that it started with.
template <BalancingPolicy Policy>
class BasicRouter
{
public:
    using Input = std::variant<GuestRequest, GuestGone, PeerReceived<ForwardAnswer>, LinkDown,
                               SnapshotChanged, EndpointsChanged, MoveSharesChanged, DrainSchedule>;
    using Output = std::variant<GuestAnswer, PeerSend, RequestSample, RouterDecision>;

    struct Counts
    {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t cancelled = 0; ///< The guest went away before the outcome.
        std::uint64_t attempts = 0;
        std::uint64_t retries = 0; ///< Attempts after the first of a request.
        std::uint64_t shed = 0; ///< Refused because the queue was full; part of notRun.
        std::uint64_t unmatchedAnswers = 0; ///< Late, crossed or duplicate, and dropped.
    };

    struct Options
    {
        /// Requests wait here for a target with room, and go back to refusing ones after a pause.
        /// Otherwise they wait at gates only, and what no gate takes is refused at once.
        bool waitsForRoom = true;
        std::uint32_t maxRefusals = 3; ///< Gates that are asked when requests do not wait here.
        /// A request whose route usually moves more bytes than this for each unit of its weight
        /// stays in its failure domain while that has a server; zero lets all leave.
        ByteCount spillBytesPerWeight {};
        RetryBudget::Limits retries {};
    };

    /// \a maxInFlight bounds the requests that wait for an outcome. At most half of them wait for
    /// a target.
    BasicRouter(FailureDomain domain, std::size_t maxInFlight, RandomSource &random)
        : BasicRouter(std::move(domain), maxInFlight, Options {}, random)
    { }
    BasicRouter(FailureDomain domain, std::size_t maxInFlight, Options options,
                RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    /// Requests without an outcome, those that wait for a target included.
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_requests.size(); }
    /// Requests that wait for a target.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_queue.size(); }
    [[nodiscard]] ConfigVersion configVersion() const noexcept;
    [[nodiscard]] const Placement<Policy> &placement() const noexcept { return m_placement; }

private:
    void onRequest(GuestRequest &&request, TimePoint now, Outbox<Output> &outbox);
    void onGone(const GuestGone &gone, TimePoint now, Outbox<Output> &outbox);
    void onAnswer(PeerReceived<ForwardAnswer> &&received, TimePoint now, Outbox<Output> &outbox);
    void onLinkDown(const LinkDown &down, TimePoint now, Outbox<Output> &outbox);
    void onSnapshot(SnapshotChanged &&changed, TimePoint now, Outbox<Output> &outbox);
    void onDrain(const DrainSchedule &schedule);
    [[nodiscard]] bool resolve(PendingRequest &pending);

    void place(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool tryPlace(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox);
    void wait(PendingRequest &pending, TimePoint notBefore, TimePoint now, Outbox<Output> &outbox);
    void dispatch(const ServiceName &service, TimePoint now, Outbox<Output> &outbox);
    void dispatchAll(TimePoint now, Outbox<Output> &outbox);
    void send(PendingRequest &pending, const Endpoint &endpoint, TimePoint now,
              Outbox<Output> &outbox);

    void settle(RequestId guestId, Outcome outcome, TimePoint now, Outbox<Output> &outbox);
    void endAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now);
    void cancelAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now,
                       Outbox<Output> &outbox);
    void onNotRun(PendingRequest &pending, NotRun notRun, const Attempted &where, TimePoint now,
                  Outbox<Output> &outbox);
    void placeElsewhere(PendingRequest &pending, NotRun notRun, const Attempted &where,
                        TimePoint now, Outbox<Output> &outbox);
    void emitSample(const PendingRequest &pending, const Attempted &where, SampleResult result,
                    bool isAnswered, TimePoint now, Outbox<Output> &outbox) const;
    void finish(RequestId guestId, Outcome outcome, TimePoint now, Outbox<Output> &outbox);
    void report(const PendingRequest &pending, const Outcome &outcome, TimePoint now,
                Outbox<Output> &outbox) const;
    void expire(RequestId guestId, TimePoint now, Outbox<Output> &outbox);

    [[nodiscard]] bool maySpill(const PendingRequest &pending) const;
    [[nodiscard]] bool isTooLate(const PendingRequest &pending, TimePoint now) const;
    [[nodiscard]] Duration pauseAfter(std::uint32_t refusals);
    [[nodiscard]] Duration returnAfter(const PendingRequest &pending, const NotRun &notRun,
                                       TimePoint now);

    const Options m_options;
    const std::size_t m_maxInFlight;
    RandomSource &m_random; // seeded and owned by whoever builds the filter
    std::shared_ptr<const Snapshot> m_snapshot;
    Placement<Policy> m_placement;
    RetryBudget m_retries;
    RouteLatency m_latencies;
    RouteBytes m_bytes;
    WaitQueue m_queue; // requests without a current attempt
    std::unordered_map<RequestId, PendingRequest> m_requests; // by guest id; at most m_maxInFlight
    std::unordered_map<RequestId, RequestId> m_forwards; // current forward id to guest id
    std::set<std::pair<TimePoint, RequestId>> m_deadlines; // one for each pending request
    std::optional<DrainSchedule> m_drain; // set once the node stops; no deadline is later
    std::uint64_t m_nextForward = 1;
    Counts m_counts;
};

/// The router of a node; docs/notes/balancing.md has the measurement behind the choice of policy.
using Router = BasicRouter<LeastCost>;

/// The router of a node whose requests wait at gates only, with the room that gates report.
using MeshRouter = BasicRouter<LeastOccupied>;

static_assert(Filter<Router> && Filter<MeshRouter>);

} // namespace camphorreach
