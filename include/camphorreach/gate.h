// Gate: admission control in front of the node's own backend server.
#pragma once

#include <camphorreach/backendstate.h>
#include <camphorreach/coldstart.h>
#include <camphorreach/completionestimate.h>
#include <camphorreach/crashcontainment.h>
#include <camphorreach/crashdetector.h>
#include <camphorreach/decision.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/evacuation.h>
#include <camphorreach/filter.h>
#include <camphorreach/gatequeues.h>
#include <camphorreach/healthmonitor.h>
#include <camphorreach/isolationschedule.h>
#include <camphorreach/organisationshares.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/quarantinespread.h>
#include <camphorreach/random.h>
#include <camphorreach/remainingwork.h>
#include <camphorreach/request.h>
#include <camphorreach/resultstore.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
    [[nodiscard]] bool isEvacuated() const noexcept { return m_backend.isEvacuated(); }
    /// Whether the backend server is cold and its requests are limited for that.
    [[nodiscard]] bool isLimitedByColdStart() const noexcept { return m_coldStart.isLimiting(); }
    [[nodiscard]] const RemainingWork &remainingWork() const noexcept { return m_remainingWork; }
    [[nodiscard]] bool isReachable() const noexcept { return m_backend.isReachable(); }
    [[nodiscard]] const CrashContainment &containment() const noexcept { return m_containment; }
    [[nodiscard]] const ResultStore &results() const noexcept { return m_results; }
    /// True when nothing is queued or running.
    [[nodiscard]] bool isIdle() const noexcept;
    [[nodiscard]] bool isBackendLeaving() const noexcept { return m_backend.isLeaving(); }
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

    void onReceived(ForwardReceived &&received, TimePoint now, Outbox<Output> &outbox);
    void admit(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    void enqueue(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    void onCancel(LinkId link, std::optional<RequestId> id, TimePoint now, Outbox<Output> &outbox);
    void cancelCalls(LinkId link, std::optional<RequestId> id, Outbox<Output> &outbox);
    void onResult(BackendResult &&result, TimePoint now, Outbox<Output> &outbox);
    void onHealth(HealthResult &&result, TimePoint now, Outbox<Output> &outbox);
    void onAnnounced(const BackendAnnounced &announced, TimePoint now, Outbox<Output> &outbox);
    void updateWarmUpPolicy(TimePoint now);
    void reviewQueues(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<NotRun> refusal(const GateWork &work, TimePoint now);
    [[nodiscard]] NotRun overloaded(Duration wait);
    [[nodiscard]] Duration expectedWait(const GateWork &work, TimePoint now) const;
    [[nodiscard]] Duration waitBehind(std::size_t before, Duration assumedRun, TimePoint now) const;
    void reviewDisplaced(TimePoint now, Outbox<Output> &outbox);
    void onReachable(bool isReachable, TimePoint now, Outbox<Output> &outbox);
    void onNotice(const QuarantineNotice &notice, TimePoint now, Outbox<Output> &outbox);

    void detectCrash(TimePoint now, Outbox<Output> &outbox);
    void refuseQuarantined(Digest fingerprint, TimePoint now, Outbox<Output> &outbox);
    static void emitAll(std::vector<PeerSend> &&notices, Outbox<Output> &outbox);

    void fillSlots(TimePoint now, Outbox<Output> &outbox);
    void askForHealth(TimePoint now, Outbox<Output> &outbox);
    // Slots that calls and the health request occupy.
    [[nodiscard]] std::size_t busySlots() const noexcept;
    [[nodiscard]] bool scheduleIsolated(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool start(GateWork &&work, TimePoint now, Outbox<Output> &outbox);

    void reportIfDrained(Outbox<Output> &outbox);
    void refuse(const GateWork &work, NotRunReason reason, TimePoint now, Outbox<Output> &outbox);
    void refuse(const GateWork &work, NotRun notRun, TimePoint now, Outbox<Output> &outbox);
    void refuseAll(const std::vector<GateWork> &requests, NotRunReason reason, TimePoint now,
                   Outbox<Output> &outbox);
    void complete(const GateWork &work, bool isAwaited, const Outcome &outcome, bool isCrashSuspect,
                  TimePoint now, Outbox<Output> &outbox);
    void reply(const GateWork &work, Outcome outcome, bool isCrashSuspect, Outbox<Output> &outbox);

    const Limits m_limits;
    BackendState m_backend;
    QuarantineSpread m_spread;
    OrganisationShares m_shares;
    GateQueues m_queues;
    ResultStore m_results;
    CrashContainment m_containment;
    CrashDetector m_crashDetector;
    IsolationSchedule m_isolation;
    CompletionEstimate m_completion;
    RemainingWork m_remainingWork;
    std::shared_ptr<const Snapshot> m_snapshot; // null before the first configuration
    ColdStartLimiter m_coldStart;
    HealthMonitor m_health;
    // At most one for each slot when a call starts; only one while m_isolation has a running call.
    Calls m_running;
    std::uint64_t m_nextCall = 1;
    bool m_isDraining = false;
    bool m_hasReportedDrained = false;
    Counts m_counts;
};

static_assert(Filter<Gate>);

} // namespace camphorreach
