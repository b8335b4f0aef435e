// Admission decisions in front of a backend server.
#include <camphorreach/gate.h>

#include <camphorreach/fingerprint.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

// Two hops between failure domains at 0.5 ms each: the request on its way here, and the answer.
constexpr Duration hopAllowance = std::chrono::milliseconds(1);
constexpr std::size_t maxIsolated = 64;
// Half of all requests take less than about this part of the usual time.
constexpr int latestStartPercent = 70;
// A long call must not keep all others waiting for the turn of a suspect.
constexpr Duration maxHold = std::chrono::milliseconds(500);
// After a suspect's turn, other requests have the slots for this many times its length, so that
// suspects take at most a fifth of the backend server's time.
constexpr int isolationPause = 4;
// Calls are lost at once when a process ends; the monitor sees a refused connection within its
// longest pause of 0.5 s, and a busy machine takes as long again.
constexpr Duration crashEvidence = std::chrono::seconds(1);
constexpr std::size_t maxLosses = 256;

Outcome outcomeOf(BackendFailure failure)
{
    switch (failure) {
    case BackendFailure::NotSent:
        return NotRun { NotRunReason::Unreachable };
    case BackendFailure::Refused:
        return NotRun { NotRunReason::BackendRefused };
    case BackendFailure::Lost:
        return OutcomeUnknown { UnknownReason::BackendServerLost };
    case BackendFailure::PartialAnswer:
        return OutcomeUnknown { UnknownReason::PartialAnswer };
    case BackendFailure::BadAnswer:
        return OutcomeUnknown { UnknownReason::BadAnswer };
    case BackendFailure::TimedOut:
        return OutcomeUnknown { UnknownReason::DeadlinePassed };
    }
    return OutcomeUnknown { UnknownReason::BackendServerLost };
}

bool isKeyed(const ForwardRequest &request)
{
    return !request.isIdempotent && !request.key.value().empty();
}

GateQueue::Limits isolatedLimits(const GateQueue::Limits &limits)
{
    return { std::min(maxIsolated, limits.count), limits.bytes };
}

} // namespace

Gate::Gate(Limits limits, ServiceName service, NetAddress self, RandomSource &random)
    : m_limits(limits), m_slots(limits.slots), m_service(service),
      m_isAccepting(!limits.needsAnnouncement),
      m_spread(std::move(service), std::move(self), random), m_queue(limits.queue),
      m_late(limits.queue), m_isolated(isolatedLimits(limits.queue)), m_results(limits.results),
      m_containment(limits.crashes)
{ }

void Gate::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    m_results.start(now);
    std::visit(
        Overloaded {
            [&](ForwardReceived &received) { onReceived(std::move(received), now, outbox); },
            [&](CancelReceived &cancel) { onCancel(cancel.link, cancel.id, now, outbox); },
            [&](LinkClosed &closed) { onCancel(closed.link, std::nullopt, now, outbox); },
            [&](BackendResult &result) { onResult(std::move(result), now, outbox); },
            [&](BackendReachable &reachable) { onReachable(reachable.isReachable, now, outbox); },
            [&](PeerReceived<QuarantineMessage> &received) {
                onNotice(received.message, now, outbox);
            },
            [&](EndpointsChanged &changed) { m_spread.setPeers(changed); },
            [&](BackendAnnounced &announced) { onAnnounced(std::move(announced), now, outbox); },
            [&](BackendLeaving &leaving) { m_isBackendLeaving = leaving.isLeaving; },
            [&](DrainStarted &) { m_isDraining = true; },
        },
        input);
    fillSlots(now, outbox);
    reportIfDrained(outbox);
}

void Gate::onReceived(ForwardReceived &&received, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.received;
    const TimePoint end = now + received.request.budget - hopAllowance;
    const bool hasTarget
        = m_limits.rejectsEarly && received.request.targetBudget > Duration::zero();
    const TimePoint target = hasTarget ? now + received.request.targetBudget : end;
    // A request that leaves the queue must still have time to run elsewhere, or to be refused.
    const Duration needed
        = m_limits.rejectsEarly ? leastTime(received.request.route) : Duration::zero();
    const Digest fingerprint = fingerprintOf(received.request.content);
    admit(
        { received.link, std::move(received.request), end - needed, fingerprint, end, target, {} },
        now, outbox);
}

void Gate::admit(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    // Keys come before any refusal: "not run" must not be said of a resend whose first run counts.
    if (isKeyed(work.request)) {
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
    enqueue(std::move(work), now, outbox);
}

// Why the request cannot be served here, or nothing.
std::optional<NotRun> Gate::refusal(const GateWork &work, TimePoint now)
{
    const ForwardRequest &request = work.request;
    const bool isOther = !m_server.value().empty()
        && (request.service != m_service || request.version != m_version);
    if (m_isDraining || m_isBackendLeaving || !m_isAccepting || isOther)
        return NotRun { NotRunReason::Draining };
    if (!m_isReachable)
        return NotRun { NotRunReason::Unreachable };
    if (!canFinish(work, now))
        return NotRun { NotRunReason::DeadlinePassed };
    const Duration wait = expectedWait(work);
    if (work.end - now < wait + m_serviceTimes.usual(request.route))
        return NotRun { NotRunReason::Overloaded, wait };
    // Slow is better than refused, as long as it does not make the others slow as well.
    if (missesTarget(work, now) && m_late.size() >= m_slots)
        return NotRun { NotRunReason::Overloaded, wait };
    return std::nullopt;
}

// Time that a request must have left to be worth a start.
Duration Gate::leastTime(const RouteName &route) const
{
    const Duration usual = m_serviceTimes.usual(route);
    return m_limits.rejectsEarly ? usual * latestStartPercent / 100 : usual;
}

// Whether the request would be answered after its target if it took its turn.
bool Gate::missesTarget(const GateWork &work, TimePoint now) const
{
    return m_limits.rejectsEarly
        && work.target - now < expectedWait(work) + m_serviceTimes.usual(work.request.route);
}

// Whether an answer within the target can no longer be expected.
bool Gate::isLate(const GateWork &work, TimePoint now) const
{
    return m_limits.rejectsEarly && work.target - now < leastTime(work.request.route);
}

// The next request to start: one that can meet its target, else one that is late anyway.
std::optional<GateWork> Gate::nextWork(TimePoint now)
{
    while (!m_queue.isEmpty()) {
        GateWork work = m_queue.pop();
        if (!isLate(work, now))
            return work;
        for (GateWork &shed : m_late.push(std::move(work)))
            m_shed.push_back(std::move(shed));
    }
    if (m_late.isEmpty())
        return std::nullopt;
    return m_late.pop();
}

// How long the request would wait for a slot behind what runs before it.
Duration Gate::expectedWait(const GateWork &work) const
{
    if (m_running.size() < m_slots)
        return Duration::zero();
    GateWork placed;
    placed.request.kindWeight = work.request.kindWeight;
    placed.target = work.target;
    placed.deadline = work.deadline;
    placed.tag = m_shares.nextTag(work.request.route);
    const auto ahead = static_cast<Duration::rep>(m_queue.countBefore(placed)) + 1;
    return m_serviceTimes.overall() * ahead / static_cast<Duration::rep>(m_slots);
}

template <typename Take>
std::vector<GateWork> Gate::takeFromAll(Take take)
{
    std::vector<GateWork> works;
    for (GateQueue *queue : { &m_queue, &m_late, &m_isolated })
        std::ranges::move(std::invoke(take, *queue), std::back_inserter(works));
    return works;
}

// Queued work that the backend server no longer takes may still run at another gate.
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
        m_processEnded = now;
        judgeCrash(now, outbox);
        m_processEnded.reset(); // calls that are lost from now on ran in the new process
    }
    m_spread.setService(m_service);
    for (GateWork &work : takeFromAll(&GateQueue::takeAll)) {
        if (const auto notRun = refusal(work, now))
            refuse(work, *notRun, now, outbox);
        else
            enqueue(std::move(work), now, outbox);
    }
}

void Gate::enqueue(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    const auto standing = m_containment.standingOf(work.fingerprint, now);
    if (standing == CrashContainment::Standing::Quarantined)
        return refuse(work, NotRunReason::Quarantined, now, outbox);
    work.tag = m_shares.tagFor(work.request.route, work.request.kindWeight,
                               m_serviceTimes.usual(work.request.route));
    GateQueue &queue = standing == CrashContainment::Standing::Suspect ? m_isolated
        : missesTarget(work, now)                                      ? m_late
                                                                       : m_queue;
    const auto shed = queue.push(std::move(work));
    m_counts.shed += shed.size();
    refuseAll(shed, NotRunReason::Overloaded, now, outbox);
}

// Whether the time left covers the usual service time.
bool Gate::canFinish(const GateWork &work, TimePoint now)
{
    const Duration left = work.end - now;
    if (left <= Duration::zero())
        return false;
    if (left >= leastTime(work.request.route))
        return true;
    m_serviceTimes.noteRefusal(work.request.route);
    return false;
}

// Drops queued work and cancels running calls of a link, or of one request on it.
void Gate::onCancel(LinkId link, std::optional<RequestId> id, TimePoint now, Outbox<Output> &outbox)
{
    m_results.dropWaiters(link, id);
    const std::vector<GateWork> dropped
        = takeFromAll([&](GateQueue &queue) { return queue.takeOf(link, id); });
    cancelCalls(link, id, outbox);
    for (const GateWork &work : dropped) {
        if (!isKeyed(work.request))
            continue;
        // A resend that waited for the dropped request takes its place.
        const NotRun notRun { NotRunReason::DeadlinePassed };
        for (GateWork &waiter : m_results.settle(work.request.key, notRun, now))
            admit(std::move(waiter), now, outbox);
    }
}

// Calls keep their slots until their results arrive: until then the backend server may work on
// them. A keyed run-once call runs on, because a resend will ask for its result.
void Gate::cancelCalls(LinkId link, std::optional<RequestId> id, Outbox<Output> &outbox)
{
    for (auto &[callId, call] : m_running) {
        if (call.work.link != link || (id && call.work.request.id != *id))
            continue;
        call.hasListener = false;
        if (isKeyed(call.work.request) || std::exchange(call.isCancelled, true))
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
        && (*failure == BackendFailure::Lost || *failure == BackendFailure::PartialAnswer);
    const Call call = std::move(found->second);
    m_running.erase(found);
    const bool wasInCrash = m_lastCrashCalls.erase(result.id) > 0;
    const bool wasAlone = m_alone == result.id;
    if (wasAlone)
        m_alone.reset();
    const bool isSuspect = m_containment.standingOf(call.work.fingerprint, now)
        != CrashContainment::Standing::Normal;
    if (isLost && !wasInCrash)
        onLost(call, wasAlone, now, outbox);
    if (failure == nullptr)
        m_containment.onSurvived(call.work.fingerprint);
    if (failure == nullptr && std::get<Answered>(result.result).status < 500)
        m_serviceTimes.record(call.work.request.route, now - call.started);

    Outcome outcome = failure != nullptr ? outcomeOf(*failure)
                                         : Outcome(std::get<Answered>(std::move(result.result)));
    const bool isExplained = isSuspect || (wasInCrash && m_isLastCrashExplained);
    settle(call.work, call.hasListener, outcome, isLost && isExplained, now, outbox);
    if (wasAlone)
        endIsolation(call, failure == nullptr, now, outbox);
}

void Gate::onReachable(bool isReachable, TimePoint now, Outbox<Output> &outbox)
{
    // A backend server that can be reached after an absence is a new process.
    if (isReachable && !m_isReachable)
        m_isBackendLeaving = false;
    m_isReachable = isReachable;
    if (isReachable) {
        m_processEnded.reset();
        return;
    }
    m_processEnded = now;
    judgeCrash(now, outbox);
    // Refused now rather than at their deadlines, so that they can run at another gate.
    refuseAll(takeFromAll(&GateQueue::takeAll), NotRunReason::Unreachable, now, outbox);
}

// A lost connection alone is no crash: backend servers also reset connections for other reasons.
void Gate::onLost(const Call &call, bool wasAlone, TimePoint now, Outbox<Output> &outbox)
{
    if (m_losses.size() == maxLosses)
        m_losses.pop_front();
    m_losses.push_back({ call.work.fingerprint, call.started, now, wasAlone });
    judgeCrash(now, outbox);
}

// Declares a crash when calls were lost and the process has ended at about the same time. A server
// that stops in a planned way closes its listener, but loses no calls.
void Gate::judgeCrash(TimePoint now, Outbox<Output> &outbox)
{
    std::erase_if(m_losses, [now](const Loss &loss) { return now - loss.time > crashEvidence; });
    if (m_losses.empty() || !m_processEnded || now - *m_processEnded > crashEvidence)
        return;
    m_processEnded.reset();
    ++m_counts.crashes;
    std::set<Digest> inFlight;
    std::optional<Digest> alone;
    for (const Loss &loss : m_losses) {
        inFlight.insert(loss.fingerprint);
        if (loss.wasAlone)
            alone = loss.fingerprint;
    }
    // Calls that met a backend server that was already down had no part in its crash.
    m_lastCrashCalls.clear();
    for (const auto &[id, call] : m_running) {
        if (call.started > m_losses.front().time)
            continue;
        m_lastCrashCalls.insert(id);
        inFlight.insert(call.work.fingerprint);
    }
    m_losses.clear();
    const CrashContainment::Verdict verdict = m_containment.onCrash(inFlight, alone, now);
    m_isLastCrashExplained = verdict.isExplained;
    for (const Digest fingerprint : verdict.proved)
        refuseQuarantined(fingerprint, now, outbox);
    emitAll(m_spread.announce(verdict.entries, now), outbox);
}

void Gate::endIsolation(const Call &call, bool hasAnswered, TimePoint now, Outbox<Output> &outbox)
{
    const TimePoint began = m_holdSince.value_or(call.started);
    m_holdSince.reset();
    m_nextIsolation = now + isolationPause * (now - began);
    if (!hasAnswered)
        return;
    m_containment.onSurvived(call.work.fingerprint);
    for (GateWork &work : m_isolated.takeWith(call.work.fingerprint))
        enqueue(std::move(work), now, outbox);
}

void Gate::refuseQuarantined(Digest fingerprint, TimePoint now, Outbox<Output> &outbox)
{
    refuseAll(takeFromAll([&](GateQueue &queue) { return queue.takeWith(fingerprint); }),
              NotRunReason::Quarantined, now, outbox);
}

void Gate::onNotice(const QuarantineMessage &message, TimePoint now, Outbox<Output> &outbox)
{
    const auto &notice = std::get<QuarantineNotice>(message);
    if (notice.service != m_service)
        return;
    const std::vector<QuarantineEntry> news = m_containment.learn(notice, now);
    for (const QuarantineEntry &entry : news) {
        if (entry.isProved)
            refuseQuarantined(entry.fingerprint, now, outbox);
    }
    emitAll(m_spread.relay(news, now), outbox);
}

void Gate::emitAll(std::vector<PeerSend> &&notices, Outbox<Output> &outbox)
{
    for (PeerSend &notice : notices)
        outbox.emit(std::move(notice));
}

void Gate::fillSlots(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_isReachable || !m_isAccepting || m_alone || holdsForIsolation(now, outbox))
        return;
    while (m_running.size() < m_slots) {
        std::optional<GateWork> work = nextWork(now);
        if (!work)
            break;
        // Its content may have become suspect while it waited.
        if (m_containment.standingOf(work->fingerprint, now) != CrashContainment::Standing::Normal)
            enqueue(*std::move(work), now, outbox);
        else
            (void)start(*std::move(work), now, outbox);
    }
    m_counts.shed += m_shed.size();
    refuseAll(std::exchange(m_shed, {}), NotRunReason::Overloaded, now, outbox);
    if (!m_isolated.isEmpty() && m_running.empty())
        (void)holdsForIsolation(now, outbox);
}

// Keeps the slots free until a suspect can run alone, or starts it. Returns whether no other
// request may start now.
bool Gate::holdsForIsolation(TimePoint now, Outbox<Output> &outbox)
{
    while (!m_isolated.isEmpty() && now >= m_nextIsolation) {
        if (!m_holdSince)
            m_holdSince = now;
        if (!m_running.empty()) {
            if (now - *m_holdSince < maxHold)
                return true;
            m_nextIsolation = now + isolationPause * maxHold;
            break;
        }
        GateWork work = m_isolated.pop();
        if (m_containment.standingOf(work.fingerprint, now)
            != CrashContainment::Standing::Suspect) {
            enqueue(std::move(work), now, outbox);
            continue;
        }
        if (!start(std::move(work), now, outbox))
            continue;
        m_alone = m_running.begin()->first;
        ++m_counts.isolatedRuns;
        return true;
    }
    m_holdSince.reset();
    return false;
}

// Hands \a work over, or refuses it when its time has run out. Returns whether it was handed over.
bool Gate::start(GateWork &&work, TimePoint now, Outbox<Output> &outbox)
{
    if (!canFinish(work, now)) {
        refuse(work, NotRunReason::DeadlinePassed, now, outbox);
        return false;
    }
    m_shares.onStarted(work.tag);
    const CallId id(m_nextCall++);
    work.request.budget = work.end - now;
    ++m_counts.handedOver;
    outbox.emit(BackendCall { id, work.request, m_server });
    work.request.content = {};
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
    outbox.emit(GateDecision { work.request.attemptId, work.request.service, work.request.route,
                               notRun.reason, load(), notRun.retryAfter,
                               m_serviceTimes.usual(work.request.route), work.end - now });
    settle(work, true, notRun, notRun.reason == NotRunReason::Quarantined, now, outbox);
}

void Gate::refuseAll(const std::vector<GateWork> &works, NotRunReason reason, TimePoint now,
                     Outbox<Output> &outbox)
{
    for (const GateWork &work : works)
        refuse(work, reason, now, outbox);
}

// Answers a request, and the resends that wait for it.
void Gate::settle(const GateWork &work, bool hasListener, const Outcome &outcome,
                  bool isCrashSuspect, TimePoint now, Outbox<Output> &outbox)
{
    if (isKeyed(work.request)) {
        for (const GateWork &waiter : m_results.settle(work.request.key, outcome, now))
            reply(waiter, outcome, isCrashSuspect, outbox);
    }
    if (hasListener)
        reply(work, outcome, isCrashSuspect, outbox);
    else
        ++m_counts.lateResults;
}

void Gate::reply(const GateWork &work, Outcome outcome, bool isCrashSuspect, Outbox<Output> &outbox)
{
    outbox.emit(ForwardReply { work.link,
                               { work.request.id, std::move(outcome), load(), isCrashSuspect } });
}

void Gate::advance(TimePoint now, Outbox<Output> &outbox)
{
    m_results.start(now);
    m_results.expire(now);
    refuseAll(takeFromAll([&](GateQueue &queue) { return queue.takeExpired(now); }),
              NotRunReason::DeadlinePassed, now, outbox);
    if (const auto repair = m_spread.nextRepair(); repair && *repair <= now)
        emitAll(m_spread.repair(m_containment.entries(now), now), outbox);
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
    consider(m_late.earliestDeadline());
    consider(m_isolated.earliestDeadline());
    consider(m_results.nextExpiry());
    consider(m_spread.nextRepair());
    if (!m_isolated.isEmpty() && !m_alone)
        consider(m_holdSince ? *m_holdSince + maxHold : m_nextIsolation);
    return earliest;
}

GateLoad Gate::load() const noexcept
{
    return { static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(queued()),
             m_slots };
}

std::size_t Gate::queued() const noexcept
{
    return m_queue.size() + m_late.size() + m_isolated.size();
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
