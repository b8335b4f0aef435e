// Forwarding, queueing and retries of client requests at an entry node.
#include <camphorreach/router.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace camphorreach {
namespace {

// Queued requests that may find no target before a dispatch stops. More than one, because the
// target of a request for another version or key may still have capacity.
constexpr std::size_t maxPlacementFailures = 4;
constexpr std::size_t maxDispatchBatch = 64; // queued requests that one dispatch examines

constexpr Duration initialBackoff = std::chrono::milliseconds(5);
constexpr Duration maxBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t maxBackoffDoublings = 7;
// Lower bound of `retryAfter` before jitter: about the time until a gate frees a slot.
constexpr Duration minRetryAfter = std::chrono::milliseconds(60);
// A node that has started reads the configuration within a few hundred milliseconds.
constexpr Duration configurationRetryAfter = std::chrono::milliseconds(300);
// A node without a proof asks for one about twice a second.
constexpr Duration proofRetryAfter = std::chrono::milliseconds(400);

// Every node serves exactly one backend server, so endpoints are counted as nodes.
std::size_t nodeCount(const EndpointTable &table)
{
    std::size_t count = 0;
    for (const auto &[service, endpoints] : table.services)
        count += endpoints.size();
    return count;
}

template <BalancingPolicy Policy>
Policy makePolicy(PlacementKind kind)
{
    if constexpr (std::is_constructible_v<Policy, PlacementKind>)
        return Policy(kind);
    else
        return Policy {};
}

} // namespace

template <BalancingPolicy Policy>
BasicRouter<Policy>::BasicRouter(FailureDomain domain, std::size_t maxInFlight, Options options,
                                 RandomSource &random)
    : m_options(options), m_maxInFlight(maxInFlight), m_random(random),
      m_placement(std::move(domain), random, makePolicy<Policy>(options.placement),
                  options.queuesForCapacity),
      m_identification(options.revocation), m_retryBudget(options.retries),
      m_queue(std::max<std::size_t>(1, maxInFlight / 2)), m_startWait(options.heartbeat)
{
    if (options.quotas)
        m_quotas.emplace(*options.quotas, random);
}

template <BalancingPolicy Policy>
ConfigVersion BasicRouter<Policy>::configVersion() const noexcept
{
    return m_snapshot ? m_snapshot->version : ConfigVersion();
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(Overloaded {
                   [&](ClientRequest &request) { onRequest(std::move(request), now, outbox); },
                   [&](ClientDisconnected &disconnected) {
                       onClientDisconnected(disconnected, now, outbox);
                   },
                   [&](PeerReceived<ForwardResponse> &received) {
                       onAnswer(std::move(received), now, outbox);
                   },
                   [&](LinkDown &down) { onLinkDown(down, now, outbox); },
                   [&](SnapshotChanged &changed) { onSnapshot(std::move(changed), now, outbox); },
                   [&](DrainSchedule &schedule) { onDrain(schedule); },
                   [&](EndpointsChanged &changed) {
                       m_retryBudget.setNodeCount(nodeCount(*changed.table));
                       if (m_quotas)
                           m_quotas->onEndpoints(*changed.table, now);
                       m_placement.update(std::move(changed.table), now);
                       dispatchAll(now, outbox);
                   },
                   [&](MoveSharesChanged &changed) {
                       m_placement.update(std::move(changed.shares));
                       dispatchAll(now, outbox);
                   },
                   [&](EvacuationsChanged &changed) {
                       m_placement.update(std::move(changed.domains));
                       dispatchAll(now, outbox);
                   },
                   [&](ConfigurationProven &proof) { m_identification.update(proof); },
                   [&](NewerConfigurationKnown &known) { m_identification.update(known, now); },
                   [&](const NodesListed &listed) {
                       if (m_quotas)
                           m_quotas->onNodesListed(listed.count, now);
                   },
                   [&](PeerReceived<QuotaMessage> &received) {
                       if (!m_quotas)
                           return;
                       Outbox<Quotas::Output> outputs;
                       m_quotas->onMessage(received.from, received.message, now, outputs);
                       handleQuotaOutputs(std::move(outputs), now, outbox);
                   },
               },
               input);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onRequest(ClientRequest &&request, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.requests;
    const RequestId id = request.id;
    const auto refuse = [&](NotRunReason reason) {
        ++m_counts.notRun;
        NotRun notRun { reason };
        if (reason == NotRunReason::NoConfiguration)
            notRun.retryAfter
                = scaled(configurationRetryAfter, 0.7 + 0.6 * uniformFraction(m_random));
        outbox.emit(ClientResponse { id, notRun });
    };
    if (m_drain && now >= m_drain->admissionEnd)
        return refuse(NotRunReason::Draining);
    if (request.depth.value() >= maxCallDepth)
        return refuse(NotRunReason::Malformed);
    PendingRequest pending { std::move(request), now };
    pending.placement.isFreshKey = pending.request.isFreshKey;
    if (!m_snapshot && !m_options.queuesForCapacity)
        return refuse(NotRunReason::NoConfiguration);
    if (!resolve(pending))
        return refuse(NotRunReason::NoRoute);
    if (const auto refusal = identify(pending, now)) {
        ++m_counts.notRun;
        emitDecision(pending, *refusal, now, outbox);
        outbox.emit(ClientResponse { id, *refusal });
        return;
    }
    const QuotaDecision quota = admitByQuota(pending, now, outbox);
    if (const auto *overQuota = std::get_if<NotRun>(&quota)) {
        ++m_counts.notRun;
        emitDecision(pending, *overQuota, now, outbox);
        outbox.emit(ClientResponse { id, *overQuota });
        return;
    }
    if (const auto *permit = std::get_if<QuotaPermit>(&quota))
        pending.permit = *permit;
    if (m_requests.size() >= m_maxInFlight) {
        const auto nextToShed = m_queue.nextToShed();
        if (!nextToShed
            || WaitQueue::isShedBefore({ id, {}, pending.weight(), pending.deadline, {} },
                                       *nextToShed)) {
            ++m_counts.shed;
            if (m_quotas)
                m_quotas->refund(pending.permit, now);
            return refuse(NotRunReason::Overloaded);
        }
        ++m_counts.shed;
        finish(nextToShed->id, NotRun { NotRunReason::Overloaded }, now, outbox);
    }
    m_deadlines.emplace(pending.deadline, id);
    PendingRequest &stored = m_requests.insert_or_assign(id, std::move(pending)).first->second;
    if (std::holds_alternative<QuotaPending>(quota))
        stored.notRunReason = NotRunReason::DeadlinePassed; // until the verdict
    else
        sendOrQueue(stored, now, outbox);
}

// Calls without an organisation do not count.
template <BalancingPolicy Policy>
QuotaDecision BasicRouter<Policy>::admitByQuota(const PendingRequest &pending, TimePoint now,
                                                Outbox<Output> &outbox)
{
    if (!m_quotas || pending.organisation == nullptr)
        return QuotaPermit {};
    Outbox<Quotas::Output> outputs;
    const QuotaDecision decision
        = m_quotas->admit(pending.organisation->name, pending.request.id, now, outputs);
    handleQuotaOutputs(std::move(outputs), now, outbox);
    return decision;
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::handleQuotaOutputs(Outbox<Quotas::Output> outputs, TimePoint now,
                                             Outbox<Output> &outbox)
{
    for (Quotas::Output &output : outputs.take())
        std::visit(Overloaded {
                       [&](PeerSend &send) { outbox.emit(std::move(send)); },
                       [&](const QuotaVerdict &verdict) { onQuotaVerdict(verdict, now, outbox); },
                   },
                   output);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onQuotaVerdict(const QuotaVerdict &verdict, TimePoint now,
                                         Outbox<Output> &outbox)
{
    const auto found = m_requests.find(verdict.id);
    const auto *permit = std::get_if<QuotaPermit>(&verdict.decision);
    if (found == m_requests.end()) { // the client left, or the deadline has passed
        if (permit != nullptr)
            m_quotas->refund(*permit, now);
        return;
    }
    if (permit == nullptr)
        return finish(verdict.id, std::get<NotRun>(verdict.decision), now, outbox);
    found->second.permit = *permit;
    sendOrQueue(found->second, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onSnapshot(SnapshotChanged &&changed, TimePoint now,
                                     Outbox<Output> &outbox)
{
    m_snapshot = std::move(changed.snapshot);
    m_startWait.start(now);
    if (m_quotas)
        m_quotas->onSnapshot(*m_snapshot, now);
    m_retryBudget.retain(*m_snapshot);
    m_routeLatencies.retain(*m_snapshot);
    std::vector<RequestId> unresolved;
    for (const auto &[id, pending] : m_requests) {
        if (!pending.snapshot)
            unresolved.push_back(id);
    }
    std::ranges::sort(unresolved); // hash order differs between builds; decisions must not
    for (const RequestId id : unresolved) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue; // shed by an earlier iteration
        PendingRequest &pending = found->second;
        m_queue.erase(id);
        m_deadlines.erase({ pending.deadline, id });
        const bool hasRoute = resolve(pending);
        m_deadlines.emplace(pending.deadline, id);
        if (!hasRoute)
            finish(id, NotRun { NotRunReason::NoRoute }, now, outbox);
        else if (const auto refusal = identify(pending, now))
            finish(id, *refusal, now, outbox);
        else if (pending.deadline <= now)
            finish(id, NotRun { NotRunReason::DeadlinePassed }, now, outbox);
        else
            enqueue(pending, {}, now, outbox);
    }
    dispatchAll(now, outbox);
}

// Like PendingRequest::resolve, but caps the deadline while the node drains.
template <BalancingPolicy Policy>
bool BasicRouter<Policy>::resolve(PendingRequest &pending)
{
    const bool hasRoute = pending.resolve(m_snapshot, m_random);
    if (m_drain)
        pending.deadline = std::min(pending.deadline, m_drain->outcomeDeadline);
    return hasRoute;
}

// Empty if the request may go on, without its key.
template <BalancingPolicy Policy>
std::optional<NotRun> BasicRouter<Policy>::identify(PendingRequest &pending, TimePoint now)
{
    if (!pending.snapshot)
        return std::nullopt;
    const auto result
        = m_identification.identify(*pending.snapshot, *pending.route, pending.request.apiKey, now);
    if (const auto *organisation = std::get_if<const Organisation *>(&result)) {
        pending.organisation = *organisation;
        return std::nullopt;
    }
    NotRun refusal { std::get<NotRunReason>(result) };
    if (refusal.reason == NotRunReason::KeyUnproven)
        refusal.retryAfter = scaled(proofRetryAfter, 0.7 + 0.6 * uniformFraction(m_random));
    return refusal;
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onDrain(const DrainSchedule &schedule)
{
    m_drain = schedule;
    m_deadlines.clear();
    for (auto &[id, pending] : m_requests) {
        pending.deadline = std::min(pending.deadline, schedule.outcomeDeadline);
        m_deadlines.emplace(pending.deadline, id);
    }
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onClientDisconnected(const ClientDisconnected &disconnected,
                                               TimePoint now, Outbox<Output> &outbox)
{
    const auto found = m_requests.find(disconnected.id);
    if (found == m_requests.end())
        return;
    ++m_counts.cancelled;
    PendingRequest &pending = found->second;
    const ServiceName service = pending.serviceName;
    if (pending.current) {
        emitAbandoned(pending, outbox);
        cancelAttempt(pending, AttemptEnd::Inconclusive, now, outbox);
    }
    m_queue.erase(disconnected.id);
    m_deadlines.erase({ pending.deadline, disconnected.id });
    m_requests.erase(found);
    dispatch(service, now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onAnswer(PeerReceived<ForwardResponse> &&received, TimePoint now,
                                   Outbox<Output> &outbox)
{
    ForwardResponse &answer = received.message;
    m_placement.onLoad(received.from, answer.load, now);
    const auto found = m_forwards.find(answer.id);
    if (found == m_forwards.end()
        || m_requests.at(found->second).current->sentAttempt.peer != received.from) {
        ++m_counts.unmatchedAnswers;
        return;
    }
    PendingRequest &pending = m_requests.at(found->second);
    m_placement.onExpectedRun(received.from, pending.placement.costClass, answer.load.expectedRun);
    pending.isOwnerUnreachable = false;
    pending.isCrashSuspect = answer.isCrashSuspect;
    onAttemptOutcome(found->second, std::move(answer.outcome), now, outbox);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::onLinkDown(const LinkDown &down, TimePoint now, Outbox<Output> &outbox)
{
    const auto completeAll = [&](const std::vector<RequestId> &ids, const Outcome &outcome) {
        for (const RequestId id : ids) {
            const auto found = m_forwards.find(id);
            if (found == m_forwards.end()
                || m_requests.at(found->second).current->sentAttempt.peer != down.peer)
                continue;
            PendingRequest &pending = m_requests.at(found->second);
            pending.isOwnerUnreachable = pending.requiresOwner();
            onAttemptOutcome(found->second, outcome, now, outbox);
        }
    };
    completeAll(down.unsent, NotRun { NotRunReason::Unreachable });
    completeAll(down.unanswered, OutcomeUnknown { UnknownReason::ConnectionLost });
}

// Sends a request at once when no request of its service is ready in the queue, else queues it.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::sendOrQueue(PendingRequest &pending, TimePoint now,
                                      Outbox<Output> &outbox)
{
    const ServiceName service = pending.serviceName;
    if (m_queue.ready(service, now, 1).empty() && trySend(pending, now, outbox))
        return;
    enqueue(pending, {}, now, outbox);
    dispatch(service, now, outbox);
}

// Sends the request if a target has capacity. Returns true when it was sent, has ended, or was
// queued again with a backoff.
template <BalancingPolicy Policy>
bool BasicRouter<Policy>::trySend(PendingRequest &pending, TimePoint now, Outbox<Output> &outbox)
{
    if (!pending.snapshot)
        return false;
    pending.placement.maySpill = maySpill(pending);
    pending.placement.costClass = m_placement.classOf(pending.route->name, pending.request.content);
    const IdempotencyKey key = pending.requiresOwner() ? pending.request.key : IdempotencyKey();
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
        if (!m_options.queuesForCapacity) {
            const bool wasRefused = !pending.placement.failedTargets.empty();
            if (!wasRefused && mayWaitForServer(pending, now)) {
                pending.notRunReason = NotRunReason::NoEndpoint;
                return false;
            }
            finish(pending.request.id,
                   NotRun { wasRefused ? pending.notRunReason : NotRunReason::NoEndpoint,
                            pending.maxRetryAfter },
                   now, outbox);
            return true;
        }
        if (pending.placement.failedTargets.empty()) {
            pending.notRunReason = NotRunReason::NoEndpoint;
            return false;
        }
        // Every endpoint has failed this request once. After a backoff, all may be tried again.
        pending.placement.failedTargets.clear();
        m_queue.erase(pending.request.id);
        enqueue(pending, now + retryBackoff(std::max(pending.attempts, 1U)), now, outbox);
        return true;
    case PlacementFailure::AtLimit:
        pending.notRunReason = NotRunReason::Overloaded;
        return false;
    }
    return false;
}

template <BalancingPolicy Policy>
bool BasicRouter<Policy>::mayWaitForServer(const PendingRequest &pending, TimePoint now)
{
    StartWait::Terms terms { pending.arrivedAt, pending.deadline, pending.route->targetLatency };
    if (pending.permit.validUntil > TimePoint {})
        terms.permitEnd = pending.permit.validUntil;
    return m_startWait.tryAdd(pending.request.id, terms, now);
}

// Refuses the requests that have waited for a server and still have none.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::endStartWaits(TimePoint now, Outbox<Output> &outbox)
{
    for (const RequestId id : m_startWait.takeEnded(now)) {
        const auto found = m_requests.find(id);
        if (found != m_requests.end() && m_queue.contains(id))
            finish(id, NotRun { found->second.notRunReason }, now, outbox);
    }
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::enqueue(PendingRequest &pending, TimePoint notBefore, TimePoint now,
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
    std::size_t placementFailures = 0;
    for (const RequestId id : m_queue.ready(service, now, maxDispatchBatch)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end() || !m_queue.contains(id))
            continue;
        PendingRequest &pending = found->second;
        if (isTooLate(pending, now)) {
            finish(id, NotRun { NotRunReason::DeadlinePassed }, now, outbox);
            continue;
        }
        if (!trySend(pending, now, outbox) && ++placementFailures >= maxPlacementFailures)
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
        m_retryBudget.deposit(pending.serviceName, pending.request.depth,
                              pending.organisationName(), pending.service->retryBudget, now);
    ++pending.attempts;
    ++m_counts.attempts;
    m_counts.retries += isOwnRetry ? 1 : 0;
    const RequestId forwardId(m_nextForwardId++);
    pending.current = PendingRequest::Current { forwardId,
                                                { endpoint.peer, endpoint.instance,
                                                  endpoint.version, endpoint.domain, now },
                                                m_placement.isObserved(pending.serviceName) };
    pending.lastTarget = endpoint.instance;
    pending.wasSpilled = m_placement.isInOtherDomain(endpoint);
    pending.placement.version.reset(); // every attempt draws a version again
    m_forwards.emplace(forwardId, pending.request.id);
    m_placement.onSent(endpoint.peer, pending.placement.costClass);

    outbox.emit(
        PeerSend { endpoint.peer, Transport::Stream, RequestMessage(pending.toForward(now)) });
    if (pending.current->isObserved)
        outbox.emit(AttemptStarted { pending.serviceName, pending.route->name, endpoint.version,
                                     forwardId, now });
}

// Ends the current attempt: retries the request where that is safe, else answers the client.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::onAttemptOutcome(RequestId requestId, Outcome outcome, TimePoint now,
                                           Outbox<Output> &outbox)
{
    PendingRequest &pending = m_requests.at(requestId);
    const ServiceName service = pending.serviceName;
    const SentAttempt sentAttempt = pending.current->sentAttempt;
    const auto sample = sampleResultOf(outcome);
    if (sample)
        emitSample(pending, *sample, std::holds_alternative<Answered>(outcome), now, outbox);
    else
        emitAbandoned(pending, outbox);
    if (sample == SampleResult::Success)
        m_routeLatencies.record(service, pending.route->name, now - sentAttempt.sentAt);
    if (const auto *answer = std::get_if<Answered>(&outcome))
        m_routeBytes.record(
            pending.route->name,
            ByteCount(pending.request.content.bodySize().value() + answer->bodySize().value()));
    endAttempt(pending, attemptEndOf(outcome), now);

    if (const auto *notRun = std::get_if<NotRun>(&outcome)) {
        onNotRun(pending, *notRun, sentAttempt, now, outbox);
    } else {
        const auto *answered = std::get_if<Answered>(&outcome);
        const bool hasFailed = answered == nullptr || isFailure(*answered);
        if (const auto *unknown = std::get_if<OutcomeUnknown>(&outcome))
            pending.unknownReason = unknown->reason;
        if (hasFailed && isRetriable(outcome) && now < pending.deadline && pending.mayRunAgain()
            && mayRetry(pending, now)) {
            if (answered != nullptr)
                pending.lastAnswer = *answered;
            pending.placement.failedTargets.push_back(sentAttempt.peer);
            sendOrQueue(pending, now, outbox);
        } else {
            finish(requestId, std::move(outcome), now, outbox);
        }
    }
    dispatch(service, now, outbox);
}

// A request that is proved "not run" may be retried even if it is not idempotent. After the first
// refusal another target is tried at once, if the gate was draining or the retry budget allows;
// further retries wait for a growing backoff.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::onNotRun(PendingRequest &pending, NotRun notRun,
                                   const SentAttempt &sentAttempt, TimePoint now,
                                   Outbox<Output> &outbox)
{
    const RequestId id = pending.request.id;
    if (!m_options.queuesForCapacity)
        return retryOrReject(pending, notRun, sentAttempt, now, outbox);
    if (isNonRetriable(notRun.reason) || now >= pending.deadline)
        return finish(id, notRun, now, outbox);
    ++pending.refusals;
    pending.notRunReason = notRun.reason;
    // A draining owner that is unreachable has stopped. Only a fresh key may then use
    // another instance, because the stopped one cannot have run it.
    const bool hasOwnerStopped = notRun.reason == NotRunReason::Unreachable
        && pending.placement.isFreshKey
        && m_placement.isDraining(pending.serviceName, sentAttempt.instance);
    if (pending.requiresOwner() && (notRun.reason == NotRunReason::Draining || hasOwnerStopped)) {
        pending.placement.drainingOwners.push_back(sentAttempt.instance);
        return sendOrQueue(pending, now, outbox);
    }
    pending.placement.failedTargets.push_back(sentAttempt.peer);
    const bool isFirst = pending.refusals == 1 && !pending.requiresOwner();
    if (isFirst && (notRun.reason == NotRunReason::Draining || mayRetry(pending, now)))
        return sendOrQueue(pending, now, outbox);
    enqueue(pending, now + retryBackoff(pending.refusals), now, outbox);
}

// Tries another gate at once, or ends the request when no other gate may be tried.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::retryOrReject(PendingRequest &pending, NotRun notRun,
                                        const SentAttempt &sentAttempt, TimePoint now,
                                        Outbox<Output> &outbox)
{
    ++pending.refusals;
    pending.notRunReason = notRun.reason;
    pending.maxRetryAfter = std::max(pending.maxRetryAfter, notRun.retryAfter);
    pending.placement.failedTargets.push_back(sentAttempt.peer);
    const bool isTerminal
        = isNonRetriable(notRun.reason) && notRun.reason != NotRunReason::DeadlinePassed;
    // A refusal by the backend server itself has cost it work; one by a gate has not.
    const bool needsRetryToken = notRun.reason == NotRunReason::BackendRefused;
    if (isTerminal || now >= pending.deadline || pending.refusals >= m_options.maxRefusals
        || (needsRetryToken && !mayRetry(pending, now)))
        return finish(pending.request.id, notRun, now, outbox);
    sendOrQueue(pending, now, outbox);
}

template <BalancingPolicy Policy>
bool BasicRouter<Policy>::mayRetry(const PendingRequest &pending, TimePoint now)
{
    return m_retryBudget.tryTake(pending.serviceName, pending.request.depth,
                                 pending.organisationName(), now);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::endAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now)
{
    m_forwards.erase(pending.current->forwardId);
    m_placement.onEnded(pending.serviceName, pending.current->sentAttempt, end, now);
    pending.current.reset();
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::cancelAttempt(PendingRequest &pending, AttemptEnd end, TimePoint now,
                                        Outbox<Output> &outbox)
{
    outbox.emit(PeerSend { pending.current->sentAttempt.peer, Transport::Stream,
                           RequestMessage(ForwardCancel { pending.current->forwardId }) });
    endAttempt(pending, end, now);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::emitSample(const PendingRequest &pending, SampleResult result,
                                     bool isAnswered, TimePoint now, Outbox<Output> &outbox) const
{
    const PendingRequest::Current &current = *pending.current;
    const SentAttempt &sent = current.sentAttempt;
    outbox.emit(RequestSample { pending.serviceName, pending.route->name, pending.route->kind,
                                sent.version, sent.domain, sent.instance, result, now - sent.sentAt,
                                isAnswered, pending.isCrashSuspect,
                                current.isObserved ? current.forwardId : RequestId() });
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::emitAbandoned(const PendingRequest &pending, Outbox<Output> &outbox) const
{
    if (pending.current->isObserved)
        outbox.emit(AttemptAbandoned { pending.serviceName, pending.current->forwardId });
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::finish(RequestId requestId, Outcome outcome, TimePoint now,
                                 Outbox<Output> &outbox)
{
    const auto found = m_requests.find(requestId);
    outcome = found->second.overallOutcome(std::move(outcome));
    auto *notRun = std::get_if<NotRun>(&outcome);
    if (notRun != nullptr && !m_options.queuesForCapacity && !isNonRetriable(notRun->reason))
        notRun->retryAfter = retryAfterHint(found->second, *notRun, now);
    if (std::holds_alternative<Answered>(outcome))
        ++m_counts.answered;
    else if (std::holds_alternative<NotRun>(outcome))
        ++m_counts.notRun;
    else
        ++m_counts.unknown;
    if (m_quotas && std::holds_alternative<NotRun>(outcome))
        m_quotas->refund(found->second.permit, now);
    emitDecision(found->second, outcome, now, outbox);
    m_queue.erase(requestId);
    m_deadlines.erase({ found->second.deadline, requestId });
    m_requests.erase(found);
    outbox.emit(ClientResponse { requestId, std::move(outcome) });
}

// The jitter spreads the retries of clients that were refused together. The delay should last until
// a slot may be free, and leave time for an answer before the deadline.
template <BalancingPolicy Policy>
Duration BasicRouter<Policy>::retryAfterHint(const PendingRequest &pending, const NotRun &notRun,
                                             TimePoint now)
{
    const Duration untilServers = notRun.reason == NotRunReason::NoEndpoint
        ? m_startWait.retryAfter(now)
        : Duration::zero();
    const Duration delay
        = std::max({ notRun.retryAfter, pending.maxRetryAfter, minRetryAfter, untilServers });
    const Duration maxDelay = std::max(minRetryAfter, (pending.deadline - now) / 4);
    const Duration jittered = scaled(delay, 0.7 + 0.6 * uniformFraction(m_random));
    return std::min(jittered, maxDelay);
}

// Emits no decision for a success at the first attempt, which is only counted.
template <BalancingPolicy Policy>
void BasicRouter<Policy>::emitDecision(const PendingRequest &pending, const Outcome &outcome,
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
    decision.elapsed = now - pending.arrivedAt;
    decision.timeLeft = pending.deadline - now;
    if (const auto *notRun = std::get_if<NotRun>(&outcome))
        decision.retryAfter = notRun->retryAfter;
    outbox.emit(std::move(decision));
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::expire(RequestId requestId, TimePoint now, Outbox<Output> &outbox)
{
    PendingRequest &pending = m_requests.at(requestId);
    const ServiceName service = pending.serviceName;
    if (pending.current) {
        emitSample(pending, SampleResult::Timeout, false, now, outbox);
        cancelAttempt(pending, AttemptEnd::TimedOut, now, outbox);
        finish(requestId, OutcomeUnknown { UnknownReason::DeadlinePassed }, now, outbox);
    } else {
        finish(requestId, NotRun { pending.notRunReason }, now, outbox);
    }
    dispatch(service, now, outbox);
}

template <BalancingPolicy Policy>
bool BasicRouter<Policy>::maySpill(const PendingRequest &pending) const
{
    const std::uint64_t limit
        = m_options.spillBytesPerWeight.value() * std::uint64_t { pending.weight() };
    return pending.route->maySpill
        && (limit == 0 || m_routeBytes.average(pending.route->name).value() <= limit);
}

// True when a queued request is unlikely to be answered before its deadline.
template <BalancingPolicy Policy>
bool BasicRouter<Policy>::isTooLate(const PendingRequest &pending, TimePoint now) const
{
    if (!pending.snapshot)
        return false;
    const Duration expected = m_routeLatencies.expected(pending.serviceName, pending.route->name);
    return pending.deadline - now < std::min(expected, pending.route->deadline / 2);
}

template <BalancingPolicy Policy>
Duration BasicRouter<Policy>::retryBackoff(std::uint32_t refusals)
{
    return backoff(initialBackoff, maxBackoff, std::min(refusals - 1, maxBackoffDoublings),
                   m_random);
}

template <BalancingPolicy Policy>
void BasicRouter<Policy>::advance(TimePoint now, Outbox<Output> &outbox)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expire(m_deadlines.begin()->second, now, outbox);
    endStartWaits(now, outbox);
    if (m_quotas) {
        Outbox<Quotas::Output> outputs;
        m_quotas->advance(now, outputs);
        handleQuotaOutputs(std::move(outputs), now, outbox);
    }
    for (const ServiceName &service : m_queue.takeDueServices(now))
        dispatch(service, now, outbox);
    if (m_placement.takeEndedEjections(now))
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
    if (m_quotas)
        consider(m_quotas->nextDeadline());
    consider(m_startWait.nextEnd());
    consider(m_queue.nextBackoffEnd());
    if (m_queue.size() > 0)
        consider(m_placement.nextEjectionEnd());
    return next;
}

template class BasicRouter<PowerOfTwoChoices>;
template class BasicRouter<LeastCost>;
template class BasicRouter<LeastOccupied>;
template class BasicRouter<RandomChoice>;
template class BasicRouter<LeastCompletion>;
template class BasicRouter<SelectedPolicy>;

} // namespace camphorreach
