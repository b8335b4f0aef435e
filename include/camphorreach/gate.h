// Gate: the filter in front of a node's own backend server.
#pragma once

#include <camphorreach/crashcontainment.h>
#include <camphorreach/decision.h>
#include <camphorreach/endpointtable.h>
#include <camphorreach/fairshare.h>
#include <camphorreach/filter.h>
#include <camphorreach/gatequeue.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/quarantinespread.h>
#include <camphorreach/random.h>
#include <camphorreach/request.h>
#include <camphorreach/resultstore.h>
#include <camphorreach/servicetimes.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace camphorreach {

/// Admits requests to the slots of the backend server, and queues the rest within their deadlines.
/// Refuses truthfully: "not run" is only said of a request that was never handed over, or that the
/// backend server states not to have started.
class Gate
{
public:
    using Input = std::variant<ForwardReceived, CancelReceived, LinkClosed, BackendResult,
                               BackendReachable, BackendLeaving, PeerReceived<QuarantineMessage>,
                               EndpointsChanged, DrainStarted, BackendAnnounced>;
    using Output = std::variant<ForwardReply, BackendCall, BackendCancel, PeerSend, GateDrained,
                                GateDecision>;

    struct Counts
    {
        std::uint64_t received = 0;
        std::uint64_t handedOver = 0;
        std::uint64_t refused = 0;
        std::uint64_t shed = 0; ///< Refused because the queue was full.
        std::uint64_t lateResults = 0; ///< Of calls that nobody waits for any more; dropped.
        std::uint64_t keyHits = 0; ///< Resends that were answered without a second run.
        std::uint64_t crashes = 0;
        std::uint64_t isolatedRuns = 0; ///< Suspects that had the backend server for themselves.
    };

    struct Limits
    {
        std::uint32_t slots = 1;
        /// Nothing is handed over before the backend server has announced itself. Its slots,
        /// service and version are then as announced.
        bool needsAnnouncement = false;
        /// A request that could not be answered within its target is refused at once, but for a few
        /// that wait for idle slots; one that waits leaves while it can still be answered
        /// elsewhere.
        bool rejectsEarly = false;
        GateQueue::Limits queue {};
        ResultStore::Limits results {};
        CrashContainment::Limits crashes {};
    };

    /// \a service and \a self are those of this node; \a random is owned by the caller.
    Gate(Limits limits, ServiceName service, NetAddress self, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    [[nodiscard]] GateLoad load() const noexcept;
    [[nodiscard]] bool isReachable() const noexcept { return m_isReachable; }
    [[nodiscard]] const CrashContainment &containment() const noexcept { return m_containment; }
    [[nodiscard]] const ResultStore &results() const noexcept { return m_results; }
    /// True when nothing is queued or running.
    [[nodiscard]] bool isIdle() const noexcept;
    [[nodiscard]] bool isBackendLeaving() const noexcept { return m_isBackendLeaving; }
    /// True once a drain has been asked for and nothing is left to do.
    [[nodiscard]] bool isDrained() const noexcept;

private:
    struct Call
    {
        GateWork work; // without its body
        TimePoint started {};
        bool isCancelled = false; // the backend endpoint was asked to end it
        bool hasListener = true; // whether the link still waits for the answer
    };
    using Calls = std::map<CallId, Call>;

    // A call whose connection ended without an answer.
    struct Loss
    {
        Digest fingerprint;
        TimePoint started {};
        TimePoint time {};
        bool wasAlone = false; // it had the backend server for itself
    };

    void onReceived(ForwardReceived &&received, TimePoint now, Outbox<Output> &outbox);
    void admit(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    void enqueue(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    void onCancel(LinkId link, std::optional<RequestId> id, TimePoint now, Outbox<Output> &outbox);
    void cancelCalls(LinkId link, std::optional<RequestId> id, Outbox<Output> &outbox);
    void onResult(BackendResult &&result, TimePoint now, Outbox<Output> &outbox);
    void onAnnounced(BackendAnnounced &&announced, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<NotRun> refusal(const GateWork &work, TimePoint now);
    [[nodiscard]] Duration leastTime(const RouteName &route) const;
    [[nodiscard]] bool missesTarget(const GateWork &work, TimePoint now) const;
    [[nodiscard]] bool isLate(const GateWork &work, TimePoint now) const;
    [[nodiscard]] std::optional<GateWork> nextWork(TimePoint now);
    [[nodiscard]] Duration expectedWait(const GateWork &work) const;
    void onReachable(bool isReachable, TimePoint now, Outbox<Output> &outbox);
    void onNotice(const QuarantineMessage &message, TimePoint now, Outbox<Output> &outbox);

    void onLost(const Call &call, bool wasAlone, TimePoint now, Outbox<Output> &outbox);
    void judgeCrash(TimePoint now, Outbox<Output> &outbox);
    void endIsolation(const Call &call, bool hasAnswered, TimePoint now, Outbox<Output> &outbox);
    void refuseQuarantined(Digest fingerprint, TimePoint now, Outbox<Output> &outbox);
    static void emitAll(std::vector<PeerSend> &&notices, Outbox<Output> &outbox);

    void fillSlots(TimePoint now, Outbox<Output> &outbox);
    // What \a take takes from each queue, in the order in which the queues are served.
    template <typename Take>
    [[nodiscard]] std::vector<GateWork> takeFromAll(Take take);
    [[nodiscard]] std::size_t queued() const noexcept;
    [[nodiscard]] bool holdsForIsolation(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool start(GateWork &&work, TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] bool canFinish(const GateWork &work, TimePoint now);

    void reportIfDrained(Outbox<Output> &outbox);
    void refuse(const GateWork &work, NotRunReason reason, TimePoint now, Outbox<Output> &outbox);
    void refuse(const GateWork &work, NotRun notRun, TimePoint now, Outbox<Output> &outbox);
    void refuseAll(const std::vector<GateWork> &works, NotRunReason reason, TimePoint now,
                   Outbox<Output> &outbox);
    void settle(const GateWork &work, bool hasListener, const Outcome &outcome, bool isCrashSuspect,
                TimePoint now, Outbox<Output> &outbox);
    void reply(const GateWork &work, Outcome outcome, bool isCrashSuspect, Outbox<Output> &outbox);

    const Limits m_limits;
    std::uint32_t m_slots; // as announced, or of the limits
    ServiceName m_service;
    BackendVersion m_version; // empty until it is announced
    InstanceId m_server; // empty until it is announced
    bool m_isAccepting; // as announced
    QuarantineSpread m_spread;
    GateQueue m_queue;
    GateQueue m_late; // past their target; run when nothing else waits
    GateQueue m_isolated; // suspects, each of which will run alone
    ResultStore m_results;
    CrashContainment m_containment;
    ServiceTimes m_serviceTimes;
    FairShare m_shares;
    std::vector<GateWork> m_shed; // by nextWork(), to be refused; empty between inputs
    Calls m_running; // at most m_slots, and only one while m_alone is set
    std::optional<CallId> m_alone; // the suspect that runs alone
    std::optional<TimePoint> m_holdSince; // since when slots are kept free for a suspect
    TimePoint m_nextIsolation {}; // no suspect runs before
    std::deque<Loss> m_losses; // not part of a judged crash; at most maxLosses
    std::optional<TimePoint> m_processEnded; // last evidence of it; empty once judged
    std::set<CallId> m_lastCrashCalls; // in flight at the last crash, and not ended yet
    bool m_isLastCrashExplained = false;
    std::uint64_t m_nextCall = 1;
    bool m_isReachable = true;
    bool m_isBackendLeaving = false;
    bool m_isDraining = false;
    bool m_hasReportedDrained = false;
    Counts m_counts;
};

static_assert(Filter<Gate>);

} // namespace camphorreach
