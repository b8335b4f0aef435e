// Routing decisions of the baseline router.
#include "baselinerouter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorreach::bench {

BaselineRouter::BaselineRouter(FailureDomain domain, std::size_t maxInFlight, RandomSource &random)
    : m_domain(std::move(domain)), m_maxInFlight(maxInFlight), m_random(random)
{ }

ConfigVersion BaselineRouter::configVersion() const noexcept
{
    return m_snapshot ? m_snapshot->version : ConfigVersion();
}

void BaselineRouter::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(
        Overloaded {
            [&](ClientRequest &request) { onRequest(std::move(request), now, outbox); },
            [&](ClientDisconnected &disconnected) { onClientDisconnected(disconnected, outbox); },
            [&](PeerReceived<ForwardResponse> &received) {
                onResponse(std::move(received.message), now, outbox);
            },
            [&](LinkDown &down) { onLinkDown(down, now, outbox); },
            [&](SnapshotChanged &changed) { m_snapshot = std::move(changed.snapshot); },
            [&](EndpointsChanged &changed) { m_endpoints = std::move(changed.table); },
            [&](DrainStarted &) { m_isDraining = true; },
        },
        input);
}

void BaselineRouter::onRequest(ClientRequest &&request, TimePoint now, Outbox<Output> &outbox)
{
    ++m_counts.requests;
    const auto refuse = [&](NotRunReason reason) {
        ++m_counts.notRun;
        outbox.emit(ClientResponse { request.id, NotRun { reason } });
    };
    if (!m_snapshot)
        return refuse(NotRunReason::NoConfiguration);
    if (request.depth.value() >= maxCallDepth)
        return refuse(NotRunReason::Malformed);
    const ServicePolicy *service = m_snapshot->findService(request.service);
    const RoutePolicy *route
        = service != nullptr ? service->findRoute(request.content.target) : nullptr;
    if (route == nullptr)
        return refuse(NotRunReason::NoRoute);
    if (m_requests.size() >= m_maxInFlight)
        return refuse(NotRunReason::Overloaded);

    const Duration budget = request.budget > Duration::zero()
        ? std::min(request.budget, route->deadline)
        : route->deadline;
    const RequestId id = request.id;
    Pending pending;
    pending.request = std::move(request);
    pending.snapshot = m_snapshot;
    pending.route = route;
    pending.deadline = now + budget;
    m_deadlines.emplace(pending.deadline, id);
    Pending &stored = m_requests.insert_or_assign(id, std::move(pending)).first->second;
    forward(stored, now, outbox);
}

void BaselineRouter::onClientDisconnected(const ClientDisconnected &disconnected,
                                          Outbox<Output> &outbox)
{
    const auto found = m_requests.find(disconnected.id);
    if (found == m_requests.end())
        return;
    const Pending &pending = found->second;
    outbox.emit(PeerSend { pending.target, Transport::Stream,
                           RequestMessage(ForwardCancel { pending.forwardId }) });
    ++m_counts.unknown;
    completeRequest(disconnected.id, OutcomeUnknown { UnknownReason::ConnectionLost }, outbox);
}

void BaselineRouter::onResponse(ForwardResponse &&response, TimePoint now, Outbox<Output> &outbox)
{
    const auto found = m_forwards.find(response.id);
    if (found == m_forwards.end()) {
        ++m_counts.unmatchedAnswers;
        return;
    }
    completeAttempt(found->second, std::move(response.outcome), now, outbox);
}

void BaselineRouter::onLinkDown(const LinkDown &down, TimePoint now, Outbox<Output> &outbox)
{
    const auto completeAll = [&](const std::vector<RequestId> &ids, const Outcome &outcome) {
        for (const RequestId id : ids) {
            const auto found = m_forwards.find(id);
            if (found != m_forwards.end())
                completeAttempt(found->second, outcome, now, outbox);
        }
    };
    completeAll(down.unsent, NotRun { NotRunReason::Unreachable });
    completeAll(down.unanswered, OutcomeUnknown { UnknownReason::ConnectionLost });
}

void BaselineRouter::forward(Pending &pending, TimePoint now, Outbox<Output> &outbox)
{
    const Endpoint *endpoint = chooseEndpoint(pending);
    if (endpoint == nullptr) {
        ++m_counts.notRun;
        completeRequest(pending.request.id, NotRun { NotRunReason::NoEndpoint }, outbox);
        return;
    }
    ++pending.attempts;
    pending.forwardId = RequestId(m_nextForward++);
    pending.target = endpoint->peer;
    m_forwards.emplace(pending.forwardId, pending.request.id);
    ++m_inFlight[pending.target];

    ForwardRequest request;
    request.id = pending.forwardId;
    request.service = pending.request.service;
    request.route = pending.route->name;
    request.kind = pending.route->kind;
    request.kindWeight = pending.route->kindWeight;
    request.isIdempotent = pending.route->isIdempotent;
    request.version = endpoint->version;
    request.budget = pending.deadline - now;
    request.key = pending.request.key;
    request.depth = pending.request.depth;
    request.attempt = Attempt(pending.attempts);
    request.configVersion = pending.snapshot->version;
    request.content = pending.request.content;
    outbox.emit(PeerSend { pending.target, Transport::Stream, RequestMessage(std::move(request)) });
}

// Ends the current attempt: retries the request where that is safe, otherwise responds to the
// client.
void BaselineRouter::completeAttempt(RequestId requestId, Outcome outcome, TimePoint now,
                                     Outbox<Output> &outbox)
{
    Pending &pending = m_requests.at(requestId);
    if (isRetryable(pending, outcome, now)) {
        ++m_counts.retries;
        m_forwards.erase(pending.forwardId);
        const auto load = m_inFlight.find(pending.target);
        if (load != m_inFlight.end() && --load->second == 0)
            m_inFlight.erase(load);
        pending.triedTargets.insert(pending.target);
        forward(pending, now, outbox);
        return;
    }
    if (std::holds_alternative<Answered>(outcome))
        ++m_counts.answered;
    else if (std::holds_alternative<NotRun>(outcome))
        ++m_counts.notRun;
    else
        ++m_counts.unknown;
    completeRequest(requestId, std::move(outcome), outbox);
}

void BaselineRouter::completeRequest(RequestId requestId, Outcome outcome, Outbox<Output> &outbox)
{
    const auto found = m_requests.find(requestId);
    const Pending &pending = found->second;
    if (m_forwards.erase(pending.forwardId) > 0) {
        const auto load = m_inFlight.find(pending.target);
        if (load != m_inFlight.end() && --load->second == 0)
            m_inFlight.erase(load);
    }
    const auto [first, last] = m_deadlines.equal_range(pending.deadline);
    const auto entry
        = std::find_if(first, last, [&](const auto &item) { return item.second == requestId; });
    if (entry != last)
        m_deadlines.erase(entry);
    m_requests.erase(found);
    outbox.emit(ClientResponse { requestId, std::move(outcome) });
}

bool BaselineRouter::isRetryable(const Pending &pending, const Outcome &outcome,
                                 TimePoint now) const
{
    if (std::holds_alternative<Answered>(outcome) || now >= pending.deadline)
        return false;
    if (pending.attempts >= pending.route->maxAttempts)
        return false;
    return std::holds_alternative<NotRun>(outcome) || pending.route->isIdempotent;
}

// Selects a version by weight, then the less loaded of two of its endpoints chosen at random.
// Prefers endpoints of the router's own failure domain.
const Endpoint *BaselineRouter::chooseEndpoint(const Pending &pending)
{
    if (!m_endpoints)
        return nullptr;
    const auto found = m_endpoints->services.find(pending.request.service);
    if (found == m_endpoints->services.end())
        return nullptr;
    const ServicePolicy *service = pending.snapshot->findService(pending.request.service);
    std::map<BackendVersion, std::vector<const Endpoint *>> local;
    std::map<BackendVersion, std::vector<const Endpoint *>> remote;
    for (const Endpoint &endpoint : found->second) {
        if (endpoint.state == EndpointState::Draining
            || pending.triedTargets.contains(endpoint.peer))
            continue;
        const auto weight = service->weights.find(endpoint.version);
        if (weight == service->weights.end() || weight->second == Share::none())
            continue;
        auto &group = endpoint.domain == m_domain ? local : remote;
        group[endpoint.version].push_back(&endpoint);
    }
    for (auto *groups : { &local, &remote }) {
        std::uint64_t total = 0;
        for (const auto &[version, endpoints] : *groups)
            total += service->weights.at(version).millionths();
        if (total == 0)
            continue;
        std::uint64_t point = uniformBelow(m_random, total);
        for (const auto &[version, endpoints] : *groups) {
            const std::uint64_t weight = service->weights.at(version).millionths();
            if (point >= weight) {
                point -= weight;
                continue;
            }
            const Endpoint *first = endpoints[uniformBelow(m_random, endpoints.size())];
            const Endpoint *second = endpoints[uniformBelow(m_random, endpoints.size())];
            return inFlightTo(second->peer) < inFlightTo(first->peer) ? second : first;
        }
    }
    return nullptr;
}

std::uint32_t BaselineRouter::inFlightTo(const NetAddress &peer) const
{
    const auto found = m_inFlight.find(peer);
    return found == m_inFlight.end() ? 0 : found->second;
}

void BaselineRouter::advance(TimePoint now, Outbox<Output> &outbox)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId id = m_deadlines.begin()->second;
        const Pending &pending = m_requests.at(id);
        outbox.emit(PeerSend { pending.target, Transport::Stream,
                               RequestMessage(ForwardCancel { pending.forwardId }) });
        ++m_counts.unknown;
        completeRequest(id, OutcomeUnknown { UnknownReason::DeadlinePassed }, outbox);
    }
}

std::optional<TimePoint> BaselineRouter::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace camphorreach::bench
