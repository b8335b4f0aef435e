// Gate: admission control in front of the node's own backend server.
#pragma once

#include <camphorreach/coldstart.h>
#include <camphorreach/crashcontainment.h>
#include <camphorreach/decision.h>
#include <camphorreach/egressbudget.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/evacuation.h>
#include <camphorreach/filter.h>
#include <camphorreach/gatequeue.h>
#include <camphorreach/healthmonitor.h>
#include <camphorreach/organisationshares.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/quarantinespread.h>
#include <camphorreach/random.h>
#include <camphorreach/remainingwork.h>
#include <camphorreach/request.h>
#include <camphorreach/resultstore.h>
#include <camphorreach/servicetimes.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace camphorreach {

/// Dispatches requests to the slots of the backend server, queues the rest until their deadlines
/// and refuses what it cannot serve. Reports "not run" only for a request that was never
/// dispatched, or that the backend server states it did not start.
class Gate
{
public:
    using Input
        = std::variant<ForwardReceived, CancelReceived, LinkClosed, BackendResult, BackendReachable,
                       BackendLeaving, PeerReceived<QuarantineMessage>, EndpointsChanged,
                       DrainStarted, BackendAnnounced, EgressBacklogChanged, SnapshotChanged,
                       BackendEvacuated, HealthResult>;
    using Output = std::variant<ForwardReply, BackendCall, BackendCancel, PeerSend, GateDrained,
                                GateDecision, HealthCall, BackendHealth>;

    struct Counts
    {
        std::uint64_t received = 0;
        std::uint64_t dispatched = 0;
        std::uint64_t refused = 0;
        std::uint64_t shed = 0; ///< Refused because the queue was full.
        std::uint64_t egressRefused
            = 0; ///< Refused because the bandwidth of the machine was taken.
        std::uint64_t coldRefused = 0; ///< Refused because the backend server is cold.
        std::uint64_t healthCalls = 0;
        std::uint64_t lateResults = 0; ///< Results of calls that no caller waits for; dropped.
        std::uint64_t keyHits = 0; ///< Retries that were answered without a second run.
        std::uint64_t crashes = 0;
        std::uint64_t isolatedRuns = 0; ///< Suspects that ran with no other call in flight.
    };

    struct Limits
    {
        std::uint32_t slots = 1;
        /// Requests are refused until the backend server has announced itself. From then on its
        /// slots, service and version are as announced.
        bool needsAnnouncement = false;
        /// Refuses a request at once when it is not expected to be answered within its target,
        /// except for up to `slots` of them, which wait for idle slots. A queued request leaves the
        /// queue while there is still time to run it elsewhere.
        bool rejectsEarly = false;
        /// Learns the costs of requests, and reports with its load when a request would start and
        /// how long it would run.
        bool estimatesCost = false;
        /// Asks other gates for their quarantines when it starts, and dispatches nothing until one
        /// has answered, for up to half a second.
        bool asksForQuarantines = false;
        /// Interval at which a warm backend server that may turn cold is asked for its state; empty
        /// when it is not asked.
        std::optional<Duration> healthInterval {};
        GateQueue::Limits queue {};
        ResultStore::Limits results {};
        CrashContainment::Limits crashes {};
        EgressBudget::Limits egress {};
    };

    /// \a service and \a self are the service and the address of this node. \a random must outlive
    /// the gate.
    Gate(Limits limits, ServiceName service, NetAddress self, RandomSource &random);

    // The queues refer to the shares.
    Gate(const Gate &) = delete;
    Gate &operator=(const Gate &) = delete;

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    [[nodiscard]] GateLoad load() const noexcept;
    [[nodiscard]] bool isEvacuated() const noexcept { return m_isEvacuated; }
    /// Whether the backend server is cold and its requests are limited for that.
    [[nodiscard]] bool isLimitedByColdStart() const noexcept { return m_coldStart.isLimiting(); }
    [[nodiscard]] const RemainingWork &remainingWork() const noexcept { return m_remainingWork; }
    [[nodiscard]] bool isReachable() const noexcept { return m_isReachable; }
    [[nodiscard]] const CrashContainment &containment() const noexcept { return m_containment; }
    [[nodiscard]] const ResultStore &results() const noexcept { return m_results; }
    /// True when nothing is queued or running.
    [[nodiscard]] bool isIdle() const noexcept;
    [[nodiscard]] bool isBackendLeaving() const noexcept { return m_isBackendLeaving; }
    /// True once a drain was requested and all requests have been answered.
    [[nodiscard]] bool isDrained() const noexcept;

private:
    struct Call
    {
        GateWork work; // without the request's content
        TimePoint started {};
        bool isCancelled = false; // a BackendCancel was emitted
        bool isAwaited = true; // false once the caller cancelled or its link closed
    };
    using Calls = std::map<CallId, Call>;

    // A call whose connection ended before the complete response arrived.
    struct LostCall
    {
        Digest fingerprint;
        TimePoint started {};
        TimePoint time {};
        bool wasIsolated = false; // no other call was in flight
    };

    void onReceived(ForwardReceived &&received, TimePoint now, Outbox<Output> &outbox);
    void admit(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    void enqueue(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    void onCancel(LinkId link, std::optional<RequestId> id, TimePoint now, Outbox<Output> &outbox);
    void cancelCalls(LinkId link, std::optional<RequestId> id, Outbox<Output> &outbox);
    void onResult(BackendResult &&result, TimePoint now, Outbox<Output> &outbox);
    void onHealth(HealthResult &&result, TimePoint now, Outbox<Output> &outbox);
    void onAnnounced(BackendAnnounced &&announced, TimePoint now, Outbox<Output> &outbox);
    void updateWarmUpPolicy(TimePoint now);
    void reviewQueues(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<NotRun> refusal(const GateWork &work, TimePoint now);
    [[nodiscard]] Duration egressWait(const GateWork &work, Duration wait, TimePoint now) const;
    [[nodiscard]] Duration minTimeLeft(const RouteName &route, Duration assumedRun) const;
    // Expected service time.
    [[nodiscard]] Duration runOf(const GateWork &work) const;
    [[nodiscard]] bool missesTarget(const GateWork &work, Duration wait, TimePoint now) const;
    [[nodiscard]] bool isLate(const GateWork &work, TimePoint now) const;
    [[nodiscard]] std::optional<GateWork> nextWork(TimePoint now);
    [[nodiscard]] NotRun overloaded(Duration wait);
    [[nodiscard]] Duration expectedWait(const GateWork &work, TimePoint now) const;
    [[nodiscard]] Duration waitBehind(std::size_t before, Duration assumedRun, TimePoint now) const;
    void reviewDisplaced(TimePoint now, Outbox<Output> &outbox);
    void onReachable(bool isReachable, TimePoint now, Outbox<Output> &outbox);
    void onNotice(const QuarantineNotice &notice, TimePoint now, Outbox<Output> &outbox);

    void onCallLost(const Call &call, bool wasIsolated, TimePoint now, Outbox<Output> &outbox);
    void detectCrash(TimePoint now, Outbox<Output> &outbox);
    void endIsolation(const Call &call, bool hasAnswered, TimePoint now, Outbox<Output> &outbox);
    void refuseQuarantined(Digest fingerprint, TimePoint now, Outbox<Output> &outbox);
    static void emitAll(std::vector<PeerSend> &&notices, Outbox<Output> &outbox);

    void fillSlots(TimePoint now, Outbox<Output> &outbox);
    void askForHealth(TimePoint now, Outbox<Output> &outbox);
    // Slots that calls and the health request occupy.
    [[nodiscard]] std::size_t busySlots() const noexcept;
    // Calls \a take on each queue, in the order in which the queues are served, and joins the
    // results.
    template <typename Take>
    [[nodiscard]] std::vector<GateWork> takeFromQueues(Take take);
    [[nodiscard]] std::size_t queued() const noexcept;
    [[nodiscard]] bool scheduleIsolated(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool start(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool canFinish(const GateWork &work, TimePoint now);

    void reportIfDrained(Outbox<Output> &outbox);
    void refuse(const GateWork &work, NotRunReason reason, TimePoint now, Outbox<Output> &outbox);
    void refuse(const GateWork &work, NotRun notRun, TimePoint now, Outbox<Output> &outbox);
    void refuseAll(const std::vector<GateWork> &requests, NotRunReason reason, TimePoint now,
                   Outbox<Output> &outbox);
    void complete(const GateWork &work, bool isAwaited, const Outcome &outcome, bool isCrashSuspect,
                  TimePoint now, Outbox<Output> &outbox);
    void reply(const GateWork &work, Outcome outcome, bool isCrashSuspect, Outbox<Output> &outbox);

    const Limits m_limits;
    std::uint32_t m_slots; // as announced; until then from the limits
    ServiceName m_service;
    BackendVersion m_version; // empty until announced
    InstanceId m_server; // empty until announced
    bool m_isAccepting; // as announced
    QuarantineSpread m_spread;
    OrganisationShares m_shares;
    GateQueue m_queue;
    GateQueue m_lateQueue; // requests that will miss their target; run when m_queue is empty
    GateQueue m_suspectQueue; // suspects, which run one at a time with no other call in flight
    ResultStore m_results;
    CrashContainment m_containment;
    ServiceTimes m_serviceTimes;
    RemainingWork m_remainingWork;
    EgressBudget m_egress;
    std::shared_ptr<const Snapshot> m_snapshot; // null before the first configuration
    ColdStartLimiter m_coldStart;
    HealthMonitor m_health;
    std::vector<GateWork> m_shed; // shed by nextWork(), to be refused; empty between inputs
    Calls m_running; // at most m_slots when a call starts; only one while m_isolatedCall is set
    std::optional<CallId> m_isolatedCall; // call of the suspect that runs in isolation
    std::optional<TimePoint> m_holdSince; // since when slots are held free for a suspect
    TimePoint m_nextIsolation {}; // earliest start of the next suspect
    std::deque<LostCall> m_lostCalls; // not yet part of a declared crash; at most maxLostCalls
    // When the process was last found to have ended; reset once it is back or a crash is declared.
    std::optional<TimePoint> m_processEndedAt;
    std::set<CallId> m_lastCrashCalls; // in flight at the last crash and not ended yet
    bool m_isLastCrashAttributed = false;
    std::uint64_t m_nextCall = 1;
    bool m_isReachable = true;
    bool m_isBackendLeaving = false;
    bool m_isDraining = false;
    bool m_isEvacuated = false; // nothing starts at the backend server; what runs is finished
    bool m_hasReportedDrained = false;
    Counts m_counts;
};

static_assert(Filter<Gate>);

} // namespace camphorreach
