// Admission, isolation and crash detection in front of a backend server.
#include <camphorreach/gate.h>

#include <camphorreach/fingerprint.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

// Network time of a request and its response: two hops between failure domains at 0.5 ms each.
constexpr Duration hopAllowance = std::chrono::milliseconds(1);
constexpr std::size_t maxQueuedSuspects = 64;
// A request may start with this percentage of the mean service time left: about half of all
// requests take less.
constexpr int minStartPercent = 70;
// Maximum time for which slots are held free for a suspect, so that one long call does not keep all
// other requests waiting.
constexpr Duration maxHold = std::chrono::milliseconds(500);
// After an isolated run, the pause before the next one lasts this many times as long as the run and
// the hold before it, so that other requests have the slots and suspects take at most a fifth of
// the backend server's time.
constexpr int isolationPauseFactor = 4;
// Maximum time between a lost call and the end of the process that make up a crash. Calls are lost
// as soon as the process ends. The reachability monitor sees a refused connection within its
// maximum interval of 0.5 s, and a busy machine may take as long again.
constexpr Duration crashEvidenceWindow = std::chrono::seconds(1);
constexpr std::size_t maxLostCalls = 256;

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
    case BackendFailure::TimedOut:
        return OutcomeUnknown { UnknownReason::DeadlinePassed };
    }
    return OutcomeUnknown { UnknownReason::BackendServerLost };
}

// Whether the request is run-once and has an idempotency key.
bool isDeduplicated(const ForwardRequest &request)
{
    return !request.isIdempotent && !request.key.value().empty();
}

GateQueue::Limits suspectQueueLimits(const GateQueue::Limits &limits)
{
    return { std::min(maxQueuedSuspects, limits.count), limits.bytes };
}

} // namespace

Gate::Gate(Limits limits, ServiceName service, NetAddress self, RandomSource &random)
    : m_limits(limits), m_slots(limits.slots), m_service(service),
      m_isAccepting(!limits.needsAnnouncement),
      m_spread(std::move(service), std::move(self), limits.asksForQuarantines, random),
      m_queue(limits.queue, m_shares), m_lateQueue(limits.queue, m_shares),
      m_suspectQueue(suspectQueueLimits(limits.queue), m_shares), m_results(limits.results),
      m_containment(limits.crashes), m_remainingWork(limits.estimatesCost), m_egress(limits.egress),
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
            [&](BackendAnnounced &announced) { onAnnounced(std::move(announced), now, outbox); },
            [&](BackendLeaving &leaving) { m_isBackendLeaving = leaving.isLeaving; },
            [&](EgressBacklogChanged &changed) { m_egress.onBacklog(changed, now); },
            [&](DrainStarted &) { m_isDraining = true; },
            [&](HealthResult &result) { onHealth(std::move(result), now, outbox); },
            [&](BackendEvacuated &evacuated) {
                m_isEvacuated = evacuated.isEvacuated;
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

void Gate::onReceived(ForwardReceived &&received, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.received;
    const TimePoint answerDeadline = now + received.request.budget - hopAllowance;
    const bool hasTarget
        = m_limits.rejectsEarly && received.request.targetBudget > Duration::zero();
    const TimePoint target = hasTarget ? now + received.request.targetBudget : answerDeadline;
    // A request that leaves the queue must have enough time left to run elsewhere or to be refused.
    const Duration assumedRun = m_limits.rejectsEarly
        ? assumedServiceTime(received.request.targetBudget, received.request.budget)
        : Duration::zero();
    const Duration minTime = m_limits.rejectsEarly ? minTimeLeft(received.request.route, assumedRun)
                                                   : Duration::zero();
    const Digest fingerprint = fingerprintOf(received.request.content);
    const CostClass costClass = m_remainingWork.classOf(received.request);
    admit({ received.link,
            std::move(received.request),
            answerDeadline - minTime,
            fingerprint,
            answerDeadline,
            target,
            {},
            {},
            {},
            assumedRun,
            {},
            costClass },
          now, outbox);
}

void Gate::admit(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    // Checked before any refusal: a retry of a request that ran must not be reported as not run.
    if (isDeduplicated(work.request)) {
        auto decision = m_results.admit(work, now);
        if (std::holds_alternative<ResultStore::Joined>(decision)) {
            ++m_counts.keyHits;
            return;
        }
        if (auto *outcome = std::get_if<Outcome>(&decision)) {
            if (std::holds_alternative<NotRun>(*outcome))
                ++m_counts.refused;
            else
                ++m_counts.keyHits;
            return reply(work, std::move(*outcome), false, outbox);
        }
    }
    if (const auto notRun = refusal(work, now))
        return refuse(work, *notRun, now, outbox);
    work.egress = m_egress.reserve(work.request.route);
    enqueue(std::move(work), now, outbox);
}

// The reason to refuse the request, or nullopt when it may be queued.
std::optional<NotRun> Gate::refusal(const GateWork &work, TimePoint now)
{
    const ForwardRequest &request = work.request;
    const bool isMisrouted = !m_server.value().empty()
        && (request.service != m_service || request.version != m_version);
    if (m_isDraining || m_isBackendLeaving || !m_isAccepting || m_isEvacuated || isMisrouted)
        return NotRun { NotRunReason::Draining };
    if (!m_isReachable)
        return NotRun { NotRunReason::Unreachable };
    if (!canFinish(work, now))
        return NotRun { NotRunReason::DeadlinePassed };
    const Duration wait = expectedWait(work, now);
    const Duration sendWait = egressWait(work, wait, now);
    if (m_egress.isTooLong(sendWait)) {
        ++m_counts.egressRefused;
        return NotRun { NotRunReason::EgressFull, sendWait };
    }
    const Duration transfer = m_egress.transferTimeOf(request.route);
    if (work.answerDeadline - now < wait + runOf(work) + sendWait + transfer)
        return overloaded(wait + sendWait);
    // A late response is better than a refusal, as long as late requests do not delay the others.
    if (!missesTarget(work, wait, now))
        return std::nullopt;
    // At the rate of a cold server, late requests would wait behind the others until they expire.
    const bool waitsForRate = m_coldStart.isLimiting() && wait > Duration::zero();
    // Between organisations, reviewDisplaced() chooses the one that is turned away.
    if (waitsForRate || (m_lateQueue.size() >= m_slots && !m_shares.isActive()))
        return overloaded(wait);
    return std::nullopt;
}

NotRun Gate::overloaded(Duration wait)
{
    m_counts.coldRefused += m_coldStart.isLimiting() ? 1 : 0;
    return { NotRunReason::Overloaded, wait };
}

// Expected wait of the response for bandwidth, when the request waits that long for a slot. Zero
// for short responses, which are sent before long ones.
Duration Gate::egressWait(const GateWork &work, Duration wait, TimePoint now) const
{
    if (m_egress.transferTimeOf(work.request.route) == Duration::zero())
        return Duration::zero();
    return m_egress.expectedWait(wait + runOf(work), work.egress, now);
}

Duration Gate::runOf(const GateWork &work) const
{
    return m_serviceTimes.mean(work.request.route, work.assumedRun);
}

// Minimum time that a request must have left to be started.
Duration Gate::minTimeLeft(const RouteName &route, Duration assumedRun) const
{
    const Duration mean = m_serviceTimes.mean(route, assumedRun);
    return m_limits.rejectsEarly ? mean * minStartPercent / 100 : mean;
}

// Whether the request is expected to be answered after its target if it waits this long.
bool Gate::missesTarget(const GateWork &work, Duration wait, TimePoint now) const
{
    if (!m_limits.rejectsEarly)
        return false;
    return work.target - now < wait + m_serviceTimes.mean(work.request.route)
        + egressWait(work, wait, now) + m_egress.transferTimeOf(work.request.route);
}

// Whether the request is expected to miss its target even if it starts now.
bool Gate::isLate(const GateWork &work, TimePoint now) const
{
    return m_limits.rejectsEarly && work.target - now < minTimeLeft(work.request.route, {});
}

// Returns the next request to start: the first that can meet its target, otherwise a late one.
std::optional<GateWork> Gate::nextWork(TimePoint now)
{
    while (!m_queue.isEmpty()) {
        GateWork work = m_queue.pop();
        if (!isLate(work, now))
            return work;
        for (GateWork &shed : m_lateQueue.push(std::move(work)))
            m_shed.push_back(std::move(shed));
    }
    if (m_lateQueue.isEmpty())
        return std::nullopt;
    return m_lateQueue.pop();
}

// Expected time until the request gets a slot and may start, given the requests that would run
// before it.
Duration Gate::expectedWait(const GateWork &work, TimePoint now) const
{
    const bool isSlotFree = busySlots() < m_slots;
    if (isSlotFree && !m_coldStart.isLimiting())
        return Duration::zero();
    GateWork probe;
    probe.request.kindWeight = work.request.kindWeight;
    probe.target = work.target;
    probe.deadline = work.deadline;
    probe.group = m_shares.groupOf(work.request);
    probe.tag = m_shares.nextTag(probe.group, work.request.route);
    return waitBehind(m_queue.countBefore(probe), work.assumedRun, now);
}

// Expected time until the request after \a before others gets a slot and may start.
Duration Gate::waitBehind(std::size_t before, Duration assumedRun, TimePoint now) const
{
    const Duration coldWait = m_coldStart.waitFor(before, now);
    if (busySlots() < m_slots)
        return coldWait;
    const auto ahead = static_cast<Duration::rep>(before) + 1;
    return std::max(coldWait,
                    m_serviceTimes.overallMean(assumedRun) * ahead
                        / static_cast<Duration::rep>(m_slots));
}

template <typename Take>
std::vector<GateWork> Gate::takeFromQueues(Take take)
{
    std::vector<GateWork> requests;
    for (GateQueue *queue : { &m_queue, &m_lateQueue, &m_suspectQueue })
        std::ranges::move(std::invoke(take, *queue), std::back_inserter(requests));
    return requests;
}

// The local server hears of it too: an announcement that was sent before may still arrive.
void Gate::onHealth(HealthResult &&result, TimePoint now, Outbox<Output> &outbox)
{
    if (!m_health.onEnded(result.id, result.health.has_value())) {
        ++m_counts.lateResults;
        return;
    }
    // A response without the id of the server may come from another process at its address.
    if (!result.health || m_server.value().empty() || result.health->server != m_server
        || result.health->warmUpLeft.value_or(Duration::zero()) <= Duration::zero())
        return;
    const bool wasLimiting = m_coldStart.isLimiting();
    m_coldStart.onHealth(*result.health->warmUpLeft, now);
    if (!wasLimiting && m_coldStart.isLimiting())
        reviewQueues(now, outbox);
    outbox.emit(*std::move(result.health));
}

void Gate::onAnnounced(BackendAnnounced &&announced, TimePoint now, Outbox<Output> &outbox)
{
    m_slots = std::max(1U, announced.slots);
    m_service = std::move(announced.service);
    m_version = std::move(announced.version);
    m_isAccepting = announced.isAccepting;
    if (m_server != announced.server) {
        m_server = std::move(announced.server);
        m_isBackendLeaving = false;
        m_serviceTimes = {};
        m_remainingWork.reset();
        m_health.reset();
        m_processEndedAt = now;
        detectCrash(now, outbox);
        m_processEndedAt.reset(); // calls lost from now on ran in the new process
    }
    m_spread.setService(m_service, now);
    updateWarmUpPolicy(now);
    m_coldStart.onAnnounced(announced.warmUpLeft, now);
    reviewQueues(now, outbox);
}

// Before the first configuration, a cold server gets the rate that suits any service.
void Gate::updateWarmUpPolicy(TimePoint now)
{
    std::optional<WarmUpPolicy> policy;
    if (m_snapshot) {
        if (const ServicePolicy *service = m_snapshot->findService(m_service))
            policy = service->warmUp;
    } else if (m_limits.needsAnnouncement) {
        policy = WarmUpPolicy {};
    }
    m_coldStart.setPolicy(policy, now);
}

// Refuses queued requests that the backend server no longer accepts, or that it would start too
// late, so that they can run at another gate.
void Gate::reviewQueues(TimePoint now, Outbox<Output> &outbox)
{
    for (GateWork &work : takeFromQueues(&GateQueue::takeAll)) {
        if (const auto notRun = refusal(work, now))
            refuse(work, *notRun, now, outbox);
        else
            enqueue(std::move(work), now, outbox);
    }
}

void Gate::enqueue(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    const auto status = m_containment.statusOf(work.fingerprint, now);
    if (status == CrashContainment::Status::Quarantined)
        return refuse(work, NotRunReason::Quarantined, now, outbox);
    work.expectedWork = m_remainingWork.work(work.costClass);
    work.group = m_shares.groupOf(work.request);
    work.cost = m_serviceTimes.mean(work.request.route);
    work.tag = m_shares.assignTag(work.group, work.request, work.cost);
    GateQueue &queue = status == CrashContainment::Status::Suspect ? m_suspectQueue
        : missesTarget(work, expectedWait(work, now), now)         ? m_lateQueue
                                                                   : m_queue;
    const auto shed = queue.push(std::move(work));
    m_counts.shed += shed.size();
    refuseAll(shed, NotRunReason::Overloaded, now, outbox);
    reviewDisplaced(now, outbox);
}

// A request that goes before others takes time from the last one, which belongs to the organisation
// that is the furthest above its share. If that one can no longer meet its target, it waits with
// the late ones, or is refused while there is still time to run elsewhere.
void Gate::reviewDisplaced(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_shares.isActive())
        return;
    std::vector<GateWork> refused;
    while (m_queue.size() > 1
           && missesTarget(*m_queue.last(),
                           waitBehind(m_queue.size() - 1, m_queue.last()->assumedRun, now), now)) {
        if (m_coldStart.isLimiting())
            refused.push_back(m_queue.popLast());
        else
            std::ranges::move(m_lateQueue.push(m_queue.popLast()), std::back_inserter(refused));
    }
    while (m_lateQueue.size() > m_slots)
        refused.push_back(m_lateQueue.popLast());
    m_counts.shed += refused.size();
    for (const GateWork &work : refused)
        refuse(work, overloaded(waitBehind(m_queue.size(), work.assumedRun, now)), now, outbox);
}

// Whether enough time is left to start the request. A refusal lowers the mean service time.
bool Gate::canFinish(const GateWork &work, TimePoint now)
{
    const Duration timeLeft = work.answerDeadline - now;
    if (timeLeft <= Duration::zero())
        return false;
    if (timeLeft >= minTimeLeft(work.request.route, work.assumedRun))
        return true;
    m_serviceTimes.onRefused(work.request.route);
    return false;
}

// Drops the queued requests and cancels the running calls of a link, or of one request on it.
void Gate::onCancel(LinkId link, std::optional<RequestId> id, TimePoint now, Outbox<Output> &outbox)
{
    m_results.dropWaiters(link, id);
    const std::vector<GateWork> dropped
        = takeFromQueues([&](GateQueue &queue) { return queue.takeByLink(link, id); });
    cancelCalls(link, id, outbox);
    for (const GateWork &work : dropped) {
        m_egress.release(work.egress);
        if (!isDeduplicated(work.request))
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
        if (isDeduplicated(call.work.request) || std::exchange(call.isCancelled, true))
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
    m_egress.release(call.work.egress);
    m_remainingWork.onEnded(result.id,
                            failure == nullptr && !call.isCancelled
                                && std::get<Answered>(result.result).status < 500);
    const bool wasInCrash = m_lastCrashCalls.erase(result.id) > 0;
    const bool wasIsolated = m_isolatedCall == result.id;
    if (wasIsolated)
        m_isolatedCall.reset();
    const bool isSuspect
        = m_containment.statusOf(call.work.fingerprint, now) != CrashContainment::Status::Normal;
    if (isLost && !wasInCrash)
        onCallLost(call, wasIsolated, now, outbox);
    if (failure == nullptr)
        m_containment.onAnswered(call.work.fingerprint);
    if (failure == nullptr && std::get<Answered>(result.result).status < 500) {
        m_serviceTimes.record(call.work.request.route, now - call.started);
        m_egress.onResponse(call.work.request.route,
                            ByteCount(std::get<Answered>(result.result).body.size()), now);
    }

    Outcome outcome = failure != nullptr ? outcomeOf(*failure)
                                         : Outcome(std::get<Answered>(std::move(result.result)));
    const bool isAttributed = isSuspect || (wasInCrash && m_isLastCrashAttributed);
    complete(call.work, call.isAwaited, outcome, isLost && isAttributed, now, outbox);
    if (wasIsolated)
        endIsolation(call, failure == nullptr, now, outbox);
}

void Gate::onReachable(bool isReachable, TimePoint now, Outbox<Output> &outbox)
{
    // A backend server that becomes reachable again is a new process.
    if (isReachable && !m_isReachable) {
        m_isBackendLeaving = false;
        m_coldStart.onProcessStarted(now);
    }
    m_isReachable = isReachable;
    if (isReachable) {
        m_processEndedAt.reset();
        return;
    }
    m_processEndedAt = now;
    detectCrash(now, outbox);
    // Refused now rather than at their deadlines, so that they can still run at another gate.
    refuseAll(takeFromQueues(&GateQueue::takeAll), NotRunReason::Unreachable, now, outbox);
}

// A lost connection alone is not a crash: backend servers also reset connections for other reasons.
void Gate::onCallLost(const Call &call, bool wasIsolated, TimePoint now, Outbox<Output> &outbox)
{
    if (m_lostCalls.size() == maxLostCalls)
        m_lostCalls.pop_front();
    m_lostCalls.push_back({ call.work.fingerprint, call.started, now, wasIsolated });
    detectCrash(now, outbox);
}

// Declares a crash when calls were lost and the process ended within crashEvidenceWindow. A backend
// server that stops as planned closes its listening socket, but loses no calls.
void Gate::detectCrash(TimePoint now, Outbox<Output> &outbox)
{
    std::erase_if(m_lostCalls,
                  [now](const LostCall &lost) { return now - lost.time > crashEvidenceWindow; });
    if (m_lostCalls.empty() || !m_processEndedAt || now - *m_processEndedAt > crashEvidenceWindow)
        return;
    m_processEndedAt.reset();
    ++m_counts.crashes;
    std::set<Digest> inFlight;
    std::optional<Digest> isolated;
    for (const LostCall &lost : m_lostCalls) {
        inFlight.insert(lost.fingerprint);
        if (lost.wasIsolated)
            isolated = lost.fingerprint;
    }
    // Calls that started after the first loss met a process that had already ended; they are not
    // among the causes.
    m_lastCrashCalls.clear();
    for (const auto &[id, call] : m_running) {
        if (call.started > m_lostCalls.front().time)
            continue;
        m_lastCrashCalls.insert(id);
        inFlight.insert(call.work.fingerprint);
    }
    m_lostCalls.clear();
    const CrashContainment::Analysis analysis = m_containment.onCrash(inFlight, isolated, now);
    m_isLastCrashAttributed = analysis.isAttributed;
    for (const Digest fingerprint : analysis.confirmed)
        refuseQuarantined(fingerprint, now, outbox);
    emitAll(m_spread.announce(analysis.entries, now), outbox);
}

void Gate::endIsolation(const Call &call, bool hasAnswered, TimePoint now, Outbox<Output> &outbox)
{
    const TimePoint holdStart = m_holdSince.value_or(call.started);
    m_holdSince.reset();
    m_nextIsolation = now + isolationPauseFactor * (now - holdStart);
    if (!hasAnswered)
        return;
    m_containment.onAnswered(call.work.fingerprint);
    for (GateWork &work : m_suspectQueue.takeByFingerprint(call.work.fingerprint))
        enqueue(std::move(work), now, outbox);
}

void Gate::refuseQuarantined(Digest fingerprint, TimePoint now, Outbox<Output> &outbox)
{
    refuseAll(
        takeFromQueues([&](GateQueue &queue) { return queue.takeByFingerprint(fingerprint); }),
        NotRunReason::Quarantined, now, outbox);
}

void Gate::onNotice(const QuarantineNotice &notice, TimePoint now, Outbox<Output> &outbox)
{
    if (notice.service != m_service)
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
    if (!m_isReachable || !m_isAccepting || m_isEvacuated || m_isolatedCall || m_spread.awaitEnd()
        || !m_coldStart.mayStart(now) || scheduleIsolated(now, outbox))
        return;
    askForHealth(now, outbox);
    while (busySlots() < m_slots && m_coldStart.mayStart(now)) {
        std::optional<GateWork> work = nextWork(now);
        if (!work)
            break;
        // Its content may have become a suspect while it was queued.
        if (m_containment.statusOf(work->fingerprint, now) != CrashContainment::Status::Normal)
            enqueue(*std::move(work), now, outbox);
        else
            (void)start(*std::move(work), now, outbox);
    }
    m_counts.shed += m_shed.size();
    refuseAll(std::exchange(m_shed, {}), NotRunReason::Overloaded, now, outbox);
    if (!m_suspectQueue.isEmpty() && m_running.empty() && m_coldStart.mayStart(now))
        (void)scheduleIsolated(now, outbox);
}

// A server that gets no more than it tolerates while it is cold need not be asked. Its requests
// are also what makes this run, so it needs no timer.
void Gate::askForHealth(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_health.isDue(now) || busySlots() >= m_slots || !m_coldStart.exceedsColdRate()
        || m_coldStart.policy()->healthPath.empty())
        return;
    const CallId id(m_nextCall++);
    ++m_counts.healthCalls;
    m_coldStart.onStarted(now);
    m_health.onSent(id, now);
    outbox.emit(HealthCall { id, m_coldStart.policy()->healthPath, m_health.timeout() });
}

// Starts the next suspect if no other call is running; otherwise holds the free slots until it can
// start, for up to maxHold. Returns whether no other request may start now.
bool Gate::scheduleIsolated(TimePoint now, Outbox<Output> &outbox)
{
    while (!m_suspectQueue.isEmpty() && now >= m_nextIsolation) {
        if (!m_holdSince)
            m_holdSince = now;
        if (!m_running.empty()) {
            if (now - *m_holdSince < maxHold)
                return true;
            m_nextIsolation = now + isolationPauseFactor * maxHold;
            break;
        }
        GateWork work = m_suspectQueue.pop();
        if (m_containment.statusOf(work.fingerprint, now) != CrashContainment::Status::Suspect) {
            enqueue(std::move(work), now, outbox);
            continue;
        }
        if (!start(std::move(work), now, outbox))
            continue;
        m_isolatedCall = m_running.begin()->first;
        ++m_counts.isolatedRuns;
        return true;
    }
    m_holdSince.reset();
    return false;
}

// Dispatches \a work to the backend server, or refuses it when too little time is left. Returns
// whether it was dispatched.
bool Gate::start(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    if (!canFinish(work, now)) {
        refuse(work, NotRunReason::DeadlinePassed, now, outbox);
        return false;
    }
    m_shares.onStarted(work.group, work.request, work.tag, work.cost);
    m_coldStart.onStarted(now);
    const CallId id(m_nextCall++);
    work.request.budget = work.answerDeadline - now;
    ++m_counts.dispatched;
    outbox.emit(BackendCall { id, work.request, m_server });
    work.request.content = {};
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
    m_egress.release(work.egress);
    outbox.emit(GateDecision {
        work.request.attemptId, work.request.service, work.request.route, notRun.reason, load(),
        notRun.retryAfter, m_serviceTimes.mean(work.request.route), work.answerDeadline - now });
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
    if (isDeduplicated(work.request)) {
        for (const GateWork &waiter : m_results.complete(work.request.key, outcome, now))
            reply(waiter, outcome, isCrashSuspect, outbox);
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
    refuseAll(takeFromQueues([&](GateQueue &queue) { return queue.takeExpired(now); }),
              NotRunReason::DeadlinePassed, now, outbox);
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
    consider(m_queue.earliestDeadline());
    consider(m_lateQueue.earliestDeadline());
    consider(m_suspectQueue.earliestDeadline());
    consider(m_results.nextExpiry());
    consider(m_spread.nextRepair());
    consider(m_spread.nextAsk());
    consider(m_spread.awaitEnd());
    const TimePoint coldStart = m_coldStart.isLimiting() ? m_coldStart.nextStart() : TimePoint {};
    if (!m_suspectQueue.isEmpty() && !m_isolatedCall)
        consider(std::max(m_holdSince ? *m_holdSince + maxHold : m_nextIsolation, coldStart));
    if (m_coldStart.isLimiting() && m_isReachable && m_isAccepting && !m_isolatedCall
        && (!m_holdSince || m_suspectQueue.isEmpty()) && busySlots() < m_slots
        && !(m_queue.isEmpty() && m_lateQueue.isEmpty()))
        consider(coldStart);
    return earliest;
}

GateLoad Gate::load() const noexcept
{
    // Slots that the rate of a cold server leaves idle count as taken, so that routers send it
    // fewer requests.
    const std::uint32_t usable = m_coldStart.usableSlots(m_slots, m_serviceTimes.overallMean());
    const auto running = static_cast<std::uint32_t>(busySlots());
    const Duration queuedWork
        = m_queue.expectedWork() + m_lateQueue.expectedWork() + m_suspectQueue.expectedWork();
    return { std::max(running, std::min(m_slots, running + m_slots - usable)),
             static_cast<std::uint32_t>(queued()), m_slots,
             m_remainingWork.expectedStart(m_slots, queued(), queuedWork) };
}

std::size_t Gate::busySlots() const noexcept
{
    return m_running.size() + (m_health.isWaiting() ? 1 : 0);
}

std::size_t Gate::queued() const noexcept
{
    return m_queue.size() + m_lateQueue.size() + m_suspectQueue.size();
}

void Gate::reportIfDrained(Outbox<Output> &outbox)
{
    if (isDrained() && !std::exchange(m_hasReportedDrained, true))
        outbox.emit(GateDrained {});
}

bool Gate::isIdle() const noexcept
{
    return m_running.empty() && queued() == 0;
}

bool Gate::isDrained() const noexcept
{
    return m_isDraining && isIdle();
}

} // namespace camphorreach
