// Route, deadline, retry rules and outcome of one pending request.
#include <camphorreach/pendingrequest.h>

#include <algorithm>

namespace camphorreach {
namespace {

// Subtracted from the budget of a forwarded request, so that a gate which gives up at its deadline
// can still answer before the entry node's deadline. Covers the network latency of the answer
// within and between failure domains.
constexpr Duration hopAllowance = std::chrono::milliseconds(2);
// Zero would say that the route has no target, and the request would go before those with one.
constexpr Duration passedTarget { 1 };

} // namespace

bool PendingRequest::resolve(const std::shared_ptr<const Snapshot> &latestSnapshot,
                             RandomSource &random)
{
    serviceName = request.service;
    const auto deadlineWithin = [this](Duration limit) {
        const bool hasBudget = request.budget > Duration::zero();
        return arrivedAt + (hasBudget ? std::min(request.budget, limit) : limit);
    };
    if (!latestSnapshot) {
        deadline = deadlineWithin(maxConfigurationWait);
        return true;
    }
    const RoutePolicy *foundRoute = nullptr;
    if (isRoutedByHost()) {
        const HostRoute *hostRoute
            = latestSnapshot->hostRoutes.find(request.content.host, request.content.target);
        if (hostRoute == nullptr)
            return false;
        serviceName = chooseService(*hostRoute, uniformFraction(random)).service;
        foundRoute = &hostRoute->policy;
    }
    const ServicePolicy *foundService = latestSnapshot->findService(serviceName);
    if (foundService == nullptr)
        return false;
    if (!isRoutedByHost())
        foundRoute = foundService->findRoute(request.content.target);
    if (foundRoute == nullptr)
        return false;
    snapshot = latestSnapshot;
    service = foundService;
    route = foundRoute;
    deadline = deadlineWithin(route->deadline);
    return true;
}

std::uint32_t PendingRequest::weight() const noexcept
{
    if (organisation != nullptr && organisation->weight)
        return *organisation->weight;
    return route != nullptr ? route->kindWeight : 1;
}

bool PendingRequest::requiresOwner() const noexcept
{
    return route != nullptr && !route->isIdempotent && !request.key.value().empty();
}

bool PendingRequest::isFirstOfChain() const noexcept
{
    return request.callerAttempt.value() <= 1;
}

bool PendingRequest::mayRunAgain() const noexcept
{
    return route->isIdempotent && isFirstOfChain() && attempts - refusals < route->maxAttempts;
}

ForwardRequest PendingRequest::toForward(TimePoint now) const
{
    const Duration left = deadline - now;
    ForwardRequest forward;
    forward.id = current->forwardId;
    forward.service = serviceName;
    forward.route = route->name;
    forward.kind = route->kind;
    forward.kindWeight = weight();
    forward.routeWeight = route->kindWeight;
    forward.isIdempotent = route->isIdempotent;
    forward.version = current->sentAttempt.version;
    forward.budget = left - std::min(hopAllowance, left / 10);
    if (route->targetLatency > Duration::zero())
        forward.targetBudget
            = std::max(passedTarget, arrivedAt + route->targetLatency - now - hopAllowance);
    forward.key = request.key;
    forward.isFreshKey = request.isFreshKey;
    forward.depth = request.depth;
    // A retry by any upstream caller marks all calls below it as retries.
    const auto attempt = std::max<std::uint32_t>(attempts, request.callerAttempt.value());
    forward.attempt = Attempt(static_cast<std::uint8_t>(std::min(attempt, 255U)));
    forward.configVersion = snapshot->version;
    forward.content = request.content;
    forward.attemptId = request.attemptId;
    forward.caller = request.caller;
    if (organisation != nullptr)
        forward.organisation = organisation->name;
    return forward;
}

Outcome PendingRequest::overallOutcome(Outcome last) const
{
    if (std::holds_alternative<Answered>(last))
        return last;
    if (lastAnswer)
        return *lastAnswer;
    if (std::holds_alternative<NotRun>(last) && unknownReason)
        return OutcomeUnknown { *unknownReason };
    if (std::holds_alternative<NotRun>(last) && isOwnerUnreachable)
        return OutcomeUnknown { UnknownReason::KeyHolderLost };
    return last;
}

} // namespace camphorreach
