// Routing decisions of an entry node.
#include <camphorreach/router.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// Waiting requests that may fail to be placed before a dispatch gives up. More than one, because a
// request for another version or home may still have room.
constexpr std::size_t maxMisses = 4;
constexpr std::size_t maxDispatched = 64;

constexpr Duration firstBackoff = std::chrono::milliseconds(5);
constexpr Duration longestBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t maxBackoffDoublings = 7;
// About the time in which a gate frees a slot.
constexpr Duration leastReturn = std::chrono::milliseconds(60);

// Each node stands in front of one backend server.
std::size_t nodesIn(const EndpointTable &table)
{
    std::size_t count = 0;
    for (const auto &[service, endpoints] : table.services)
        count += endpoints.size();
    return count;
}

} // namespace

template <BalancingPolicy Policy>
BasicRouter<Policy>::BasicRouter(FailureDomain domain, std::size_t maxInFlight, Options options,
                                 RandomSource &random)
    : m_options(options), m_maxInFlight(maxInFlight), m_random(random),
      m_placement(std::move(domain), random, Policy {}, options.waitsForRoom),
      m_retries(options.retries), m_queue(std::max<std::size_t>(1, maxInFlight / 2))
{ }

template <BalancingPolicy Policy>
ConfigVersion BasicRouter<Policy>::configVersion() const noexcept
{
    return m_snapshot ? m_snapshot->version : ConfigVersion();
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(Overloaded {
                   [&](GuestRequest &request) { onRequest(std::move(request), now, outbox); },
                   [&](GuestGone &gone) { onGone(gone, now, outbox); },
                   [&](PeerReceived<ForwardAnswer> &received) {
                       onAnswer(std::move(received), now, outbox);
                   },
                   [&](LinkDown &down) { onLinkDown(down, now, outbox); },
                   [&](SnapshotChanged &changed) { onSnapshot(std::move(changed), now, outbox); },
                   [&](DrainSchedule &schedule) { onDrain(schedule); },
                   [&](EndpointsChanged &changed) {
                       m_retries.setNodes(nodesIn(*changed.table));
                       m_placement.update(std::move(changed.table), now);
                       dispatchAll(now, outbox);
                   },
                   [&](MoveSharesChanged &changed) {
                       m_placement.update(std::move(changed.shares));
                       dispatchAll(now, outbox);
                   },
               },
               input);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onRequest(GuestRequest &&request, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.requests;
    const RequestId id = request.id;
    const auto refuse = [&](NotRunReason reason) {
        ++m_counts.notRun;
        outbox.emit(GuestAnswer { id, NotRun { reason } });
    };
    if (m_drain && now >= m_drain->lastRequest)
        return refuse(NotRunReason::Draining);
    if (request.depth.value() >= maxCallDepth)
        return refuse(NotRunReason::Malformed);
    PendingRequest pending { std::move(request), now };
    pending.placement.isFreshKey = pending.request.isFreshKey;
    if (!m_snapshot && !m_options.waitsForRoom)
        return refuse(NotRunReason::NoConfiguration);
    if (!resolve(pending))
        return refuse(NotRunReason::NoRoute);
    if (m_requests.size() >= m_maxInFlight) {
        const auto worst = m_queue.worst();
        if (!worst
            || WaitQueue::isWorse({ id, {}, pending.weight(), pending.deadline, {} }, *worst)) {
            ++m_counts.shed;
            return refuse(NotRunReason::Overloaded);
        }
        ++m_counts.shed;
        finish(worst->id, NotRun { NotRunReason::Overloaded }, now, outbox);
    }
    m_deadlines.emplace(pending.deadline, id);
    place(m_requests.insert_or_assign(id, std::move(pending)).first->second, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onSnapshot(SnapshotChanged &&changed, TimePoint now,
                                     Outbox<Output> &outbox)
{
    m_snapshot = std::move(changed.snapshot);
    m_retries.retain(*m_snapshot);
    m_latencies.retain(*m_snapshot);
    std::vector<RequestId> unresolved;
    for (const auto &[id, pending] : m_requests) {
        if (!pending.snapshot)
            unresolved.push_back(id);
    }
    std::ranges::sort(unresolved); // hash order differs between builds; decisions must not
    for (const RequestId id : unresolved) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue; // shed by an earlier one
        PendingRequest &pending = found->second;
        m_queue.erase(id);
        m_deadlines.erase({ pending.deadline, id });
        const bool hasRoute = resolve(pending);
        m_deadlines.emplace(pending.deadline, id);
        if (!hasRoute)
            finish(id, NotRun { NotRunReason::NoRoute }, now, outbox);
        else if (pending.deadline <= now)
            finish(id, NotRun { NotRunReason::DeadlinePassed }, now, outbox);
        else
            wait(pending, {}, now, outbox);
    }
    dispatchAll(now, outbox);
}

// As PendingRequest::resolve, with the deadline that a stop leaves.
template <BalancingPolicy Policy>
bool BasicRouter<Policy>::resolve(PendingRequest &pending)
{
    const bool hasRoute = pending.resolve(m_snapshot, m_random);
    if (m_drain)
        pending.deadline = std::min(pending.deadline, m_drain->lastOutcome);
    return hasRoute;
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onDrain(const DrainSchedule &schedule)
{
    m_drain = schedule;
    m_deadlines.clear();
    for (auto &[id, pending] : m_requests) {
        pending.deadline = std::min(pending.deadline, schedule.lastOutcome);
        m_deadlines.emplace(pending.deadline, id);
    }
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onGone(const GuestGone &gone, TimePoint now, Outbox<Output> &outbox)
{
    const auto found = m_requests.find(gone.id);
    if (found == m_requests.end())
        return;
    ++m_counts.cancelled;
    PendingRequest &pending = found->second;
    const ServiceName service = pending.serviceName;
    if (pending.current)
        cancelAttempt(pending, AttemptEnd::Withdrawn, now, outbox);
    m_queue.erase(gone.id);
    m_deadlines.erase({ pending.deadline, gone.id });
    m_requests.erase(found);
    dispatch(service, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onAnswer(PeerReceived<ForwardAnswer> &&received, TimePoint now,
                                   Outbox<Output> &outbox)
{
    ForwardAnswer &answer = received.message;
    m_placement.onLoad(received.from, answer.load, now);
    const auto found = m_forwards.find(answer.id);
    if (found == m_forwards.end()
        || m_requests.at(found->second).current->where.peer != received.from) {
        ++m_counts.unmatchedAnswers;
        return;
    }
    PendingRequest &pending = m_requests.at(found->second);
    pending.isHomeUnreachable = false;
    pending.isCrashSuspect = answer.isCrashSuspect;
    settle(found->second, std::move(answer.outcome), now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onLinkDown(const LinkDown &down, TimePoint now, Outbox<Output> &outbox)
{
    const auto settleAll = [&](const std::vector<RequestId> &ids, const Outcome &outcome) {
        for (const RequestId id : ids) {
            const auto found = m_forwards.find(id);
            if (found == m_forwards.end()
                || m_requests.at(found->second).current->where.peer != down.peer)
                continue;
            PendingRequest &pending = m_requests.at(found->second);
            pending.isHomeUnreachable = pending.hasHome();
            settle(found->second, outcome, now, outbox);
        }
    };
    settleAll(down.unsent, NotRun { NotRunReason::Unreachable });
    settleAll(down.unanswered, OutcomeUnknown { UnknownReason::ConnectionLost });
}

// Sends a request at once when none of its service waits, else lets it take its turn.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::place(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox)
{
    const ServiceName service = pending.serviceName;
    if (m_queue.ready(service, now, 1).empty() && tryPlace(pending, now, outbox))
        return;
    wait(pending, {}, now, outbox);
    dispatch(service, now, outbox);
}

// True when the request has been sent or has ended.
template <BalancingPolicy Policy>
bool BasicRouter<Policy>::tryPlace(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox)
{
    if (!pending.snapshot)
        return false;
    pending.placement.maySpill = maySpill(pending);
    const IdempotencyKey key = pending.hasHome() ? pending.request.key : IdempotencyKey();
    const auto result = m_placement.place(*pending.service, key, pending.placement, now);
    if (const auto *endpoint = std::get_if<const Endpoint *>(&result)) {
        m_queue.erase(pending.request.id);
        send(pending, **endpoint, now, outbox);
        return true;
    }
    switch (std::get<PlacementFailure>(result)) {
    case PlacementFailure::KeyHolderLost:
        finish(pending.request.id, OutcomeUnknown { UnknownReason::KeyHolderLost }, now, outbox);
        return true;
    case PlacementFailure::NoEndpoint:
        if (!m_options.waitsForRoom) {
            const bool wasRefused = !pending.placement.avoided.empty();
            finish(pending.request.id,
                   NotRun { wasRefused ? pending.waitReason : NotRunReason::NoEndpoint,
                            pending.longestWait },
                   now, outbox);
            return true;
        }
        if (pending.placement.avoided.empty()) {
            pending.waitReason = NotRunReason::NoEndpoint;
            return false;
        }
        // Every endpoint has failed this request once. After a pause, any may be tried again.
        pending.placement.avoided.clear();
        m_queue.erase(pending.request.id);
        wait(pending, now + pauseAfter(std::max(pending.attempts, 1U)), now, outbox);
        return true;
    case PlacementFailure::AtLimit:
        pending.waitReason = NotRunReason::Overloaded;
        return false;
    }
    return false;
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::wait(PendingRequest &pending, TimePoint notBefore, TimePoint now,
                               Outbox<Output> &outbox)
{
    const auto shed = m_queue.push(
        { pending.request.id, pending.serviceName, pending.weight(), pending.deadline, notBefore });
    if (!shed)
        return;
    ++m_counts.shed;
    finish(*shed, NotRun { NotRunReason::Overloaded }, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::dispatch(const ServiceName &service, TimePoint now,
                                   Outbox<Output> &outbox)
{
    std::size_t misses = 0;
    for (const RequestId id : m_queue.ready(service, now, maxDispatched)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end() || !m_queue.contains(id))
            continue;
        PendingRequest &pending = found->second;
        if (isTooLate(pending, now)) {
            finish(id, NotRun { NotRunReason::DeadlinePassed }, now, outbox);
            continue;
        }
        if (!tryPlace(pending, now, outbox) && ++misses >= maxMisses)
            return;
    }
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::dispatchAll(TimePoint now, Outbox<Output> &outbox)
{
    for (const ServiceName &service : m_queue.services())
        dispatch(service, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::send(PendingRequest &pending, const Endpoint &endpoint, TimePoint now,
                               Outbox<Output> &outbox)
{
    const bool isOwnRetry = pending.attempts > 0;
    if (!isOwnRetry && pending.isFirstOfChain())
        m_retries.deposit(pending.serviceName, pending.request.depth, pending.service->retryBudget,
                          now);
    ++pending.attempts;
    ++m_counts.attempts;
    m_counts.retries += isOwnRetry ? 1 : 0;
    const RequestId forwardId(m_nextForward++);
    pending.current = PendingRequest::Current {
        forwardId, { endpoint.peer, endpoint.instance, endpoint.version, endpoint.domain, now }
    };
    pending.lastTarget = endpoint.instance;
    pending.wasSpilled = m_placement.isElsewhere(endpoint);
    pending.placement.version.reset(); // each attempt draws anew
    m_forwards.emplace(forwardId, pending.request.id);
    m_placement.onSent(endpoint.peer);

    outbox.emit(
        PeerSend { endpoint.peer, Transport::Stream, RequestMessage(pending.toForward(now)) });
}

// Ends the current attempt: sends the request again where that is safe, else answers the guest.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::settle(RequestId guestId, Outcome outcome, TimePoint now,
                                 Outbox<Output> &outbox)
{
    PendingRequest &pending = m_requests.at(guestId);
    const ServiceName service = pending.serviceName;
    const Attempted where = pending.current->where;
    const auto sample = sampleOf(outcome);
    if (sample)
        emitSample(pending, where, *sample, std::holds_alternative<Answered>(outcome), now, outbox);
    if (sample == SampleResult::Success)
        m_latencies.record(service, pending.route->name, now - where.sentAt);
    if (const auto *answer = std::get_if<Answered>(&outcome))
        m_bytes.record(pending.route->name,
                       ByteCount(pending.request.content.body.size() + answer->body.size()));
    endAttempt(pending, endOf(outcome), now);

    if (const auto *notRun = std::get_if<NotRun>(&outcome)) {
        onNotRun(pending, *notRun, where, now, outbox);
    } else {
        const auto *answered = std::get_if<Answered>(&outcome);
        const bool hasFailed = answered == nullptr || isFailure(*answered);
        if (const auto *unknown = std::get_if<OutcomeUnknown>(&outcome))
            pending.unknown = unknown->reason;
        if (hasFailed && now < pending.deadline && pending.mayRunAgain()
            && m_retries.tryTake(service, pending.request.depth, now)) {
            if (answered != nullptr)
                pending.lastAnswer = *answered;
            pending.placement.avoided.push_back(where.peer);
            place(pending, now, outbox);
        } else {
            finish(guestId, std::move(outcome), now, outbox);
        }
    }
    dispatch(service, now, outbox);
}

// A proved "not run" may be sent again whatever the kind. The first time another target is tried
// at once, if the budget allows; after that the pauses grow.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::onNotRun(PendingRequest &pending, NotRun notRun, const Attempted &where,
                                   TimePoint now, Outbox<Output> &outbox)
{
    const RequestId id = pending.request.id;
    if (!m_options.waitsForRoom)
        return placeElsewhere(pending, notRun, where, now, outbox);
    if (isFinal(notRun.reason) || now >= pending.deadline)
        return finish(id, notRun, now, outbox);
    ++pending.refusals;
    pending.waitReason = notRun.reason;
    // A draining home that cannot be reached has stopped; only a fresh key may go on without it.
    const bool hasHomeStopped = notRun.reason == NotRunReason::Unreachable
        && pending.placement.isFreshKey
        && m_placement.isDraining(pending.serviceName, where.instance);
    if (pending.hasHome() && (notRun.reason == NotRunReason::Draining || hasHomeStopped)) {
        pending.placement.drainingHomes.push_back(where.instance);
        return place(pending, now, outbox);
    }
    pending.placement.avoided.push_back(where.peer);
    const bool isFirst = pending.refusals == 1 && !pending.hasHome();
    if (isFirst
        && (notRun.reason == NotRunReason::Draining
            || m_retries.tryTake(pending.serviceName, pending.request.depth, now)))
        return place(pending, now, outbox);
    wait(pending, now + pauseAfter(pending.refusals), now, outbox);
}

// Asks another gate at once, or tells the guest that nobody can take the request now.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::placeElsewhere(PendingRequest &pending, NotRun notRun,
                                         const Attempted &where, TimePoint now,
                                         Outbox<Output> &outbox)
{
    ++pending.refusals;
    pending.waitReason = notRun.reason;
    pending.longestWait = std::max(pending.longestWait, notRun.retryAfter);
    pending.placement.avoided.push_back(where.peer);
    const bool isFinalHere
        = isFinal(notRun.reason) && notRun.reason != NotRunReason::DeadlinePassed;
    // Only what the backend server itself refused has cost it work.
    const bool hasCost = notRun.reason == NotRunReason::BackendRefused;
    if (isFinalHere || now >= pending.deadline || pending.refusals >= m_options.maxRefusals
        || (hasCost && !m_retries.tryTake(pending.serviceName, pending.request.depth, now)))
        return finish(pending.request.id, notRun, now, outbox);
    place(pending, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::endAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now)
{
    m_forwards.erase(pending.current->forwardId);
    m_placement.onEnded(pending.serviceName, pending.current->where, end, now);
    pending.current.reset();
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::cancelAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now,
                                        Outbox<Output> &outbox)
{
    outbox.emit(PeerSend { pending.current->where.peer, Transport::Stream,
                           RequestMessage(ForwardCancel { pending.current->forwardId }) });
    endAttempt(pending, end, now);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::emitSample(const PendingRequest &pending, const Attempted &where,
                                     SampleResult result, bool isAnswered, TimePoint now,
                                     Outbox<Output> &outbox) const
{
    outbox.emit(RequestSample { pending.serviceName, pending.route->name, pending.route->kind,
                                where.version, where.domain, where.instance, result,
                                now - where.sentAt, isAnswered, pending.isCrashSuspect });
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::finish(RequestId guestId, Outcome outcome, TimePoint now,
                                 Outbox<Output> &outbox)
{
    const auto found = m_requests.find(guestId);
    outcome = found->second.overallOutcome(std::move(outcome));
    auto *notRun = std::get_if<NotRun>(&outcome);
    if (notRun != nullptr && !m_options.waitsForRoom && !isFinal(notRun->reason))
        notRun->retryAfter = returnAfter(found->second, *notRun, now);
    if (std::holds_alternative<Answered>(outcome))
        ++m_counts.answered;
    else if (std::holds_alternative<NotRun>(outcome))
        ++m_counts.notRun;
    else
        ++m_counts.unknown;
    report(found->second, outcome, now, outbox);
    m_queue.erase(guestId);
    m_deadlines.erase({ found->second.deadline, guestId });
    m_requests.erase(found);
    outbox.emit(GuestAnswer { guestId, std::move(outcome) });
}

// Those who are turned away together come back spread over time, not before there may be room, and
// while their deadline still leaves time for an answer.
template <BalancingPolicy Policy>
Duration BasicRouter<Policy>::returnAfter(const PendingRequest &pending, const NotRun &notRun,
                                          TimePoint now)
{
    const Duration wait = std::max({ notRun.retryAfter, pending.longestWait, leastReturn });
    const Duration longest = std::max(leastReturn, (pending.deadline - now) / 4);
    const Duration jittered = scaled(wait, 0.7 + 0.6 * uniformFraction(m_random));
    return std::min(jittered, longest);
}

// A success at the first attempt is only counted.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::report(const PendingRequest &pending, const Outcome &outcome,
                                 TimePoint now, Outbox<Output> &outbox) const
{
    const auto *answered = std::get_if<Answered>(&outcome);
    if (answered != nullptr && !isFailure(*answered) && pending.attempts <= 1)
        return;
    RouterDecision decision;
    decision.attempt = pending.request.attemptId;
    decision.service = pending.serviceName;
    decision.outcome = nameOf(outcome);
    if (pending.route != nullptr)
        decision.route = pending.route->name;
    if (answered != nullptr)
        decision.status = answered->status;
    else if (const auto *notRun = std::get_if<NotRun>(&outcome))
        decision.reason = toText(notRun->reason);
    else
        decision.reason = toText(std::get<OutcomeUnknown>(outcome).reason);
    decision.attempts = pending.attempts;
    decision.refusals = pending.refusals;
    decision.lastTarget = pending.lastTarget;
    decision.wasSpilled = pending.wasSpilled;
    decision.configVersion = configVersion();
    decision.taken = now - pending.arrivedAt;
    decision.left = pending.deadline - now;
    outbox.emit(std::move(decision));
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::expire(RequestId guestId, TimePoint now, Outbox<Output> &outbox)
{
    PendingRequest &pending = m_requests.at(guestId);
    const ServiceName service = pending.serviceName;
    if (pending.current) {
        emitSample(pending, pending.current->where, SampleResult::Timeout, false, now, outbox);
        cancelAttempt(pending, AttemptEnd::TimedOut, now, outbox);
        finish(guestId, OutcomeUnknown { UnknownReason::DeadlinePassed }, now, outbox);
    } else {
        finish(guestId, NotRun { pending.waitReason }, now, outbox);
    }
    dispatch(service, now, outbox);
}

template <BalancingPolicy Policy>
bool BasicRouter<Policy>::maySpill(const PendingRequest &pending) const
{
    const std::uint64_t limit
        = m_options.spillBytesPerWeight.value() * std::uint64_t { pending.weight() };
    return pending.route->maySpill
        && (limit == 0 || m_bytes.usual(pending.route->name).value() <= limit);
}

// True when a waiting request could only be answered after its deadline.
template <BalancingPolicy Policy>
bool BasicRouter<Policy>::isTooLate(const PendingRequest &pending, TimePoint now) const
{
    if (!pending.snapshot)
        return false;
    const Duration expected = m_latencies.expected(pending.serviceName, pending.route->name);
    return pending.deadline - now < std::min(expected, pending.route->deadline / 2);
}

template <BalancingPolicy Policy>
Duration BasicRouter<Policy>::pauseAfter(std::uint32_t refusals)
{
    return backoff(firstBackoff, longestBackoff, std::min(refusals - 1, maxBackoffDoublings),
                   m_random);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::advance(TimePoint now, Outbox<Output> &outbox)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expire(m_deadlines.begin()->second, now, outbox);
    for (const ServiceName &service : m_queue.takeDueServices(now))
        dispatch(service, now, outbox);
    if (m_placement.takeDueReturns(now))
        dispatchAll(now, outbox);
}

template <BalancingPolicy Policy>
std::optional<TimePoint> BasicRouter<Policy>::nextDeadline() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> time) {
        if (time && (!next || *time < *next))
            next = time;
    };
    if (!m_deadlines.empty())
        consider(m_deadlines.begin()->first);
    consider(m_queue.nextBackoffEnd());
    if (m_queue.size() > 0)
        consider(m_placement.nextReturn());
    return next;
}

template class BasicRouter<PowerOfTwoChoices>;
template class BasicRouter<LeastCost>;
template class BasicRouter<LeastOccupied>;
template class BasicRouter<RandomChoice>;

} // namespace camphorreach
