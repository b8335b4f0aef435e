// Dispatch of requests to a backend server, their results, and what its state changes.
#include <camphorreach/gate.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

Outcome outcomeOf(BackendFailure failure)
{
    switch (failure) {
    case BackendFailure::NotSent:
        return NotRun { NotRunReason::Unreachable };
    case BackendFailure::InvalidRequest:
        return NotRun { NotRunReason::Malformed };
    case BackendFailure::Refused:
        return NotRun { NotRunReason::BackendRefused };
    case BackendFailure::ConnectionLost:
        return OutcomeUnknown { UnknownReason::BackendServerLost };
    case BackendFailure::PartialResponse:
        return OutcomeUnknown { UnknownReason::PartialAnswer };
    case BackendFailure::InvalidResponse:
        return OutcomeUnknown { UnknownReason::BadAnswer };
    case BackendFailure::ResponseTooLarge:
        return OutcomeUnknown { UnknownReason::AnswerTooLarge };
    case BackendFailure::TimedOut:
        return OutcomeUnknown { UnknownReason::DeadlinePassed };
    case BackendFailure::BodyLost:
        return OutcomeUnknown { UnknownReason::ConnectionLost };
    }
    return OutcomeUnknown { UnknownReason::BackendServerLost };
}

// What retries of a deduplicated request get. The bytes of a large response have gone to the entry
// node of the first one, and are not kept.
Outcome repeatable(const Outcome &outcome)
{
    const auto *answered = std::get_if<Answered>(&outcome);
    const bool isLarge = answered != nullptr && answered->large.size > ByteCount();
    return isLarge ? Outcome(OutcomeUnknown { UnknownReason::AnswerTooLarge }) : outcome;
}

} // namespace

Gate::Gate(Limits limits, ServiceName service, NetAddress self, RandomSource &random)
    : m_limits(limits), m_backend(limits.slots, service, limits.needsAnnouncement),
      m_spread(std::move(service), std::move(self), limits.asksForQuarantines, random),
      m_queues(limits.queue, m_shares), m_results(limits.results), m_containment(limits.crashes),
      m_completion(limits.rejectsEarly, limits.egress), m_remainingWork(limits.estimatesCost),
      m_health(limits.healthInterval)
{ }

void Gate::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    m_results.start(now);
    m_spread.setTime(now);
    m_coldStart.update(now);
    m_remainingWork.setTime(now);
    std::visit(
        Overloaded {
            [&](ForwardReceived &received) { onReceived(std::move(received), now, outbox); },
            [&](CancelReceived &cancel) { onCancel(cancel.link, cancel.id, now, outbox); },
            [&](LinkClosed &closed) { onCancel(closed.link, std::nullopt, now, outbox); },
            [&](BackendResult &result) { onResult(std::move(result), now, outbox); },
            [&](BackendReachable &reachable) { onReachable(reachable.isReachable, now, outbox); },
            [&](PeerReceived<QuarantineMessage> &received) {
                if (const auto *notice = std::get_if<QuarantineNotice>(&received.message))
                    return onNotice(*notice, now, outbox);
                emitAll(m_spread.answer(received.from,
                                        std::get<QuarantineRequest>(received.message),
                                        m_containment.allEntries(now)),
                        outbox);
            },
            [&](EndpointsChanged &changed) {
                m_spread.setPeers(changed);
                emitAll(m_spread.ask(now), outbox);
            },
            [&](BackendAnnounced &announced) { onAnnounced(announced, now, outbox); },
            [&](BackendLeaving &leaving) { m_backend.setLeaving(leaving.isLeaving); },
            [&](EgressBacklogChanged &changed) { m_completion.onBacklog(changed, now); },
            [&](DrainStarted &) { m_isDraining = true; },
            [&](HealthResult &result) { onHealth(std::move(result), now, outbox); },
            [&](BackendEvacuated &evacuated) {
                m_backend.setEvacuated(evacuated.isEvacuated);
                reviewQueues(now, outbox);
            },
            [&](SnapshotChanged &changed) {
                m_snapshot = std::move(changed.snapshot);
                m_shares.setActive(m_limits.queue.isFair && m_snapshot
                                   && !m_snapshot->organisations.empty());
                updateWarmUpPolicy(now);
                if (m_coldStart.isLimiting())
                    reviewQueues(now, outbox);
            },
        },
        input);
    fillSlots(now, outbox);
    reportIfDrained(outbox);
}

// The local server hears of it too: an announcement that was sent before may still arrive.
void Gate::onHealth(HealthResult &&result, TimePoint now, Outbox<Output> &outbox)
{
    if (!m_health.onEnded(result.id, result.health.has_value())) {
        ++m_counts.lateResults;
        return;
    }
    // A response without the id of the server may come from another process at its address.
    if (!result.health || m_backend.server().value().empty()
        || result.health->server != m_backend.server()
        || result.health->warmUpLeft.value_or(Duration::zero()) <= Duration::zero())
        return;
    const bool wasLimiting = m_coldStart.isLimiting();
    m_coldStart.onHealth(*result.health->warmUpLeft, now);
    if (!wasLimiting && m_coldStart.isLimiting())
        reviewQueues(now, outbox);
    outbox.emit(*std::move(result.health));
}

void Gate::onAnnounced(const BackendAnnounced &announced, TimePoint now, Outbox<Output> &outbox)
{
    if (m_backend.onAnnounced(announced)) {
        m_completion.resetServiceTimes();
        m_remainingWork.reset();
        m_health.reset();
        m_crashDetector.onProcessEnded(now);
        detectCrash(now, outbox);
        m_crashDetector.onProcessStarted();
    }
    m_spread.setService(m_backend.service(), now);
    updateWarmUpPolicy(now);
    m_coldStart.onAnnounced(announced.warmUpLeft, now);
    reviewQueues(now, outbox);
}

// Before the first configuration, a cold server gets the rate that suits any service.
void Gate::updateWarmUpPolicy(TimePoint now)
{
    std::optional<WarmUpPolicy> policy;
    if (m_snapshot) {
        if (const ServicePolicy *service = m_snapshot->findService(m_backend.service()))
            policy = service->warmUp;
    } else if (m_limits.needsAnnouncement) {
        policy = WarmUpPolicy {};
    }
    m_coldStart.setPolicy(policy, now);
}

// Drops the queued requests and cancels the running calls of a link, or of one request on it.
void Gate::onCancel(LinkId link, std::optional<RequestId> id, TimePoint now, Outbox<Output> &outbox)
{
    m_results.dropWaiters(link, id);
    const std::vector<GateWork> dropped = m_queues.takeByLink(link, id);
    cancelCalls(link, id, outbox);
    for (const GateWork &work : dropped) {
        m_completion.release(work);
        if (!ResultStore::appliesTo(work.request))
            continue;
        // A retry that waited for the dropped request runs instead of it.
        const NotRun notRun { NotRunReason::DeadlinePassed };
        for (GateWork &waiter : m_results.complete(work.request.key, notRun, now))
            admit(std::move(waiter), now, outbox);
    }
}

// Cancelled calls keep their slots until their results arrive, because the backend server may still
// work on them. A deduplicated call is not cancelled, because a retry will ask for its result.
void Gate::cancelCalls(LinkId link, std::optional<RequestId> id, Outbox<Output> &outbox)
{
    for (auto &[callId, call] : m_running) {
        if (call.work.link != link || (id && call.work.request.id != *id))
            continue;
        call.isAwaited = false;
        if (ResultStore::appliesTo(call.work.request) || std::exchange(call.isCancelled, true))
            continue;
        outbox.emit(BackendCancel { callId });
    }
}

void Gate::onResult(BackendResult &&result, TimePoint now, Outbox<Output> &outbox)
{
    const auto found = m_running.find(result.id);
    if (found == m_running.end()) {
        ++m_counts.lateResults;
        return;
    }
    const auto *failure = std::get_if<BackendFailure>(&result.result);
    const bool isLost = failure != nullptr && !found->second.isCancelled
        && (*failure == BackendFailure::ConnectionLost
            || *failure == BackendFailure::PartialResponse);
    const Call call = std::move(found->second);
    m_running.erase(found);
    m_completion.release(call.work);
    m_remainingWork.onEnded(result.id,
                            failure == nullptr && !call.isCancelled
                                && std::get<Answered>(result.result).status < 500);
    const bool wasInCrash = m_crashDetector.onCallEnded(result.id);
    const bool wasIsolated = m_isolation.onEnded(result.id, call.started, now);
    const bool isSuspect
        = m_containment.statusOf(call.work.fingerprint, now) != CrashContainment::Status::Normal;
    if (isLost && !wasInCrash) {
        m_crashDetector.onCallLost(call.work.fingerprint, wasIsolated, now);
        detectCrash(now, outbox);
    }
    if (failure == nullptr)
        m_containment.onAnswered(call.work.fingerprint);
    if (failure == nullptr && std::get<Answered>(result.result).status < 500) {
        m_completion.onAnswered(call.work.request, now - call.started,
                                std::get<Answered>(result.result).bodySize(), now);
    }

    Outcome outcome = failure != nullptr ? outcomeOf(*failure)
                                         : Outcome(std::get<Answered>(std::move(result.result)));
    const bool isAttributed = isSuspect || (wasInCrash && m_crashDetector.isAttributed());
    complete(call.work, call.isAwaited, outcome, isLost && isAttributed, now, outbox);
    if (!wasIsolated || failure != nullptr)
        return;
    for (GateWork &work : m_queues.takeSuspects(call.work.fingerprint))
        enqueue(std::move(work), now, outbox);
}

void Gate::detectCrash(TimePoint now, Outbox<Output> &outbox)
{
    std::vector<CrashDetector::RunningCall> running;
    running.reserve(m_running.size());
    for (const auto &[id, call] : m_running)
        running.push_back({ id, call.work.fingerprint, call.started });
    const auto crash = m_crashDetector.detect(running, now);
    if (!crash)
        return;
    ++m_counts.crashes;
    const CrashContainment::Analysis analysis
        = m_containment.onCrash(crash->inFlight, crash->isolated, now);
    m_crashDetector.setAttributed(analysis.isAttributed);
    for (const Digest fingerprint : analysis.confirmed)
        refuseQuarantined(fingerprint, now, outbox);
    emitAll(m_spread.announce(analysis.entries, now), outbox);
}

void Gate::onReachable(bool isReachable, TimePoint now, Outbox<Output> &outbox)
{
    if (m_backend.setReachable(isReachable))
        m_coldStart.onProcessStarted(now);
    if (isReachable)
        return m_crashDetector.onProcessStarted();
    m_crashDetector.onProcessEnded(now);
    detectCrash(now, outbox);
    // Refused now rather than at their deadlines, so that they can still run at another gate.
    refuseAll(m_queues.takeAll(), NotRunReason::Unreachable, now, outbox);
}

void Gate::refuseQuarantined(Digest fingerprint, TimePoint now, Outbox<Output> &outbox)
{
    refuseAll(m_queues.takeByFingerprint(fingerprint), NotRunReason::Quarantined, now, outbox);
}

void Gate::onNotice(const QuarantineNotice &notice, TimePoint now, Outbox<Output> &outbox)
{
    if (notice.service != m_backend.service())
        return;
    const std::vector<QuarantineEntry> newEntries = m_containment.merge(notice, now);
    for (const QuarantineEntry &entry : newEntries) {
        if (entry.isConfirmed)
            refuseQuarantined(entry.fingerprint, now, outbox);
    }
    // The gate that answers has spread its entries already.
    if (notice.isAnswer)
        m_spread.onAnswer(newEntries, now);
    else
        emitAll(m_spread.relay(newEntries, now), outbox);
}

void Gate::emitAll(std::vector<PeerSend> &&notices, Outbox<Output> &outbox)
{
    for (PeerSend &notice : notices)
        outbox.emit(std::move(notice));
}

void Gate::fillSlots(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_backend.mayStart() || m_isolation.isRunning() || m_spread.awaitEnd()
        || !m_coldStart.mayStart(now) || scheduleIsolated(now, outbox))
        return;
    askForHealth(now, outbox);
    while (busySlots() < m_backend.slots() && m_coldStart.mayStart(now)) {
        std::optional<GateWork> work
            = m_queues.pop([&](const GateWork &next) { return m_completion.isLate(next, now); });
        if (!work)
            break;
        // Its content may have become a suspect while it was queued.
        if (m_containment.statusOf(work->fingerprint, now) != CrashContainment::Status::Normal)
            enqueue(*std::move(work), now, outbox);
        else
            (void)start(*std::move(work), now, outbox);
    }
    const std::vector<GateWork> shed = m_queues.takeShed();
    m_counts.shed += shed.size();
    refuseAll(shed, NotRunReason::Overloaded, now, outbox);
    if (m_queues.hasSuspects() && m_running.empty() && m_coldStart.mayStart(now))
        (void)scheduleIsolated(now, outbox);
}

// A server that gets no more than it tolerates while it is cold need not be asked. Its requests
// are also what makes this run, so it needs no timer.
void Gate::askForHealth(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_health.isDue(now) || busySlots() >= m_backend.slots() || !m_coldStart.exceedsColdRate()
        || m_coldStart.policy()->healthPath.empty())
        return;
    const CallId id(m_nextCall++);
    ++m_counts.healthCalls;
    m_coldStart.onStarted(now);
    m_health.onSent(id, now);
    outbox.emit(HealthCall { id, m_coldStart.policy()->healthPath, m_health.timeout() });
}

// Starts the next suspect when it may run. Returns whether no other request may start now.
bool Gate::scheduleIsolated(TimePoint now, Outbox<Output> &outbox)
{
    while (m_queues.hasSuspects()) {
        const IsolationSchedule::Step step = m_isolation.next(m_running.empty(), now);
        if (step != IsolationSchedule::Step::Start)
            return step == IsolationSchedule::Step::Hold;
        GateWork work = m_queues.popSuspect();
        if (m_containment.statusOf(work.fingerprint, now) != CrashContainment::Status::Suspect) {
            enqueue(std::move(work), now, outbox);
            continue;
        }
        if (!start(std::move(work), now, outbox))
            continue;
        m_isolation.onStarted(m_running.begin()->first);
        ++m_counts.isolatedRuns;
        return true;
    }
    m_isolation.endHold();
    return false;
}

// Dispatches \a work to the backend server, or refuses it when too little time is left. Returns
// whether it was dispatched.
bool Gate::start(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    if (!m_completion.canFinish(work, now)) {
        refuse(work, NotRunReason::DeadlinePassed, now, outbox);
        return false;
    }
    m_shares.onStarted(work.group, work.request, work.tag, work.cost);
    m_coldStart.onStarted(now);
    const CallId id(m_nextCall++);
    work.request.budget = work.answerDeadline - now;
    ++m_counts.dispatched;
    outbox.emit(BackendCall { id, work.request, m_backend.server(), work.link });
    const ByteCount largeSize = work.request.content.large.size;
    work.request.content = {};
    work.request.content.large.size = largeSize;
    m_remainingWork.onStarted(id, work.costClass);
    m_running.emplace(id, Call { std::move(work), now });
    return true;
}

void Gate::refuse(const GateWork &work, NotRunReason reason, TimePoint now, Outbox<Output> &outbox)
{
    refuse(work, NotRun { reason }, now, outbox);
}

void Gate::refuse(const GateWork &work, NotRun notRun, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.refused;
    m_completion.release(work);
    outbox.emit(GateDecision { work.request.attemptId, work.request.service, work.request.route,
                               notRun.reason, load(), notRun.retryAfter,
                               m_completion.serviceTime(work.request.route),
                               work.answerDeadline - now });
    complete(work, true, notRun, notRun.reason == NotRunReason::Quarantined, now, outbox);
}

void Gate::refuseAll(const std::vector<GateWork> &requests, NotRunReason reason, TimePoint now,
                     Outbox<Output> &outbox)
{
    for (const GateWork &work : requests)
        refuse(work, reason, now, outbox);
}

// Stores the outcome of a deduplicated request, and answers the request and the waiting retries.
void Gate::complete(const GateWork &work, bool isAwaited, const Outcome &outcome,
                    bool isCrashSuspect, TimePoint now, Outbox<Output> &outbox)
{
    if (ResultStore::appliesTo(work.request)) {
        const Outcome kept = repeatable(outcome);
        for (const GateWork &waiter : m_results.complete(work.request.key, kept, now))
            reply(waiter, kept, isCrashSuspect, outbox);
    }
    if (isAwaited)
        reply(work, outcome, isCrashSuspect, outbox);
    else
        ++m_counts.lateResults;
}

void Gate::reply(const GateWork &work, Outcome outcome, bool isCrashSuspect, Outbox<Output> &outbox)
{
    GateLoad reported = load();
    reported.expectedRun = m_remainingWork.expectedRun(work.costClass);
    outbox.emit(ForwardReply { work.link,
                               { work.request.id, std::move(outcome), reported, isCrashSuspect } });
}

void Gate::advance(TimePoint now, Outbox<Output> &outbox)
{
    m_results.start(now);
    m_spread.setTime(now);
    m_coldStart.update(now);
    m_results.expire(now);
    m_remainingWork.setTime(now);
    refuseAll(m_queues.takeExpired(now), NotRunReason::DeadlinePassed, now, outbox);
    if (const auto repair = m_spread.nextRepair(); repair && *repair <= now)
        emitAll(m_spread.repair(m_containment.entries(now), now), outbox);
    emitAll(m_spread.ask(now), outbox);
    fillSlots(now, outbox);
    reportIfDrained(outbox);
}

std::optional<TimePoint> Gate::nextDeadline() const
{
    std::optional<TimePoint> earliest;
    const auto consider = [&earliest](std::optional<TimePoint> time) {
        if (time && (!earliest || *time < *earliest))
            earliest = time;
    };
    consider(m_queues.earliestDeadline());
    consider(m_results.nextExpiry());
    consider(m_spread.nextRepair());
    consider(m_spread.nextAsk());
    consider(m_spread.awaitEnd());
    const TimePoint coldStart = m_coldStart.isLimiting() ? m_coldStart.nextStart() : TimePoint {};
    if (m_queues.hasSuspects() && !m_isolation.isRunning())
        consider(std::max(m_isolation.nextChange(), coldStart));
    if (m_coldStart.isLimiting() && m_backend.mayStart() && !m_isolation.isRunning()
        && (!m_isolation.isHolding() || !m_queues.hasSuspects()) && busySlots() < m_backend.slots()
        && m_queues.timelyCount() + m_queues.lateCount() > 0)
        consider(coldStart);
    return earliest;
}

GateLoad Gate::load() const noexcept
{
    // Slots that the rate of a cold server leaves idle count as taken, so that routers send it
    // fewer requests.
    const std::uint32_t slots = m_backend.slots();
    const std::uint32_t usable = m_coldStart.usableSlots(slots, m_completion.overallServiceTime());
    const auto running = static_cast<std::uint32_t>(busySlots());
    return { std::max(running, std::min(slots, running + slots - usable)),
             static_cast<std::uint32_t>(m_queues.size()), slots,
             m_remainingWork.expectedStart(slots, m_queues.size(), m_queues.expectedWork()) };
}

std::size_t Gate::busySlots() const noexcept
{
    return m_running.size() + (m_health.isWaiting() ? 1 : 0);
}

void Gate::reportIfDrained(Outbox<Output> &outbox)
{
    if (isDrained() && !std::exchange(m_hasReportedDrained, true))
        outbox.emit(GateDrained {});
}

bool Gate::isIdle() const noexcept
{
    return m_running.empty() && m_queues.size() == 0;
}

bool Gate::isDrained() const noexcept
{
    return m_isDraining && isIdle();
}

} // namespace camphorreach
