// A client request between its arrival and its outcome.
#pragma once

#include <camphorreach/placement.h>
#include <camphorreach/quotaledger.h>
#include <camphorreach/request.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace camphorreach {

/// A request that is either queued for a target or has a current attempt.
struct PendingRequest
{
    /// Max time that a request waits for the first configuration, or its own budget if shorter.
    static constexpr Duration maxConfigurationWait = std::chrono::seconds(5);

    struct Current
    {
        RequestId forwardId;
        SentAttempt sentAttempt;
        bool isObserved = false; ///< Its start was reported.
    };

    ClientRequest request;
    TimePoint arrivedAt {};
    TimePoint deadline {};
    std::shared_ptr<const Snapshot> snapshot {}; ///< Null until the first configuration.
    ServiceName serviceName {}; ///< From the request, or from the host route.
    const ServicePolicy *service = nullptr; ///< Inside `snapshot`.
    const RoutePolicy *route = nullptr; ///< Inside `snapshot`.
    const Organisation *organisation = nullptr; ///< Inside `snapshot`; null if no key is needed.
    QuotaPermit permit {};
    PlacementState placement {};
    std::optional<Current> current {};
    InstanceId lastTarget {}; ///< Of the latest attempt.
    bool wasSpilled = false; ///< The latest attempt left the failure domain.
    Duration maxRetryAfter {}; ///< Maximum `retryAfter` of the gates that refused it.
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0; ///< Attempts that proved "not run".
    /// Reported if the request ends without another attempt: why the last attempt was refused or
    /// why the request is queued.
    NotRunReason notRunReason = NotRunReason::NoConfiguration;
    std::optional<UnknownReason> unknownReason {}; ///< Set once an attempt may have run.
    std::optional<Answered> lastAnswer {}; ///< The failure that is being retried.
    bool isOwnerUnreachable = false; ///< The owner may have run the key, but is unreachable.
    bool isCrashSuspect = false; ///< From the latest answer of a gate.

    /// Sets snapshot, service, route and deadline. \a random selects the service of a route that
    /// splits its traffic. A null \a latestSnapshot leaves the request without a route until the
    /// first configuration. Returns false when the snapshot has no route for the request.
    [[nodiscard]] bool resolve(const std::shared_ptr<const Snapshot> &latestSnapshot,
                               RandomSource &random);

    [[nodiscard]] std::uint32_t weight() const noexcept;
    /// Empty for a request without an organisation.
    [[nodiscard]] OrganisationName organisationName() const
    {
        return organisation != nullptr ? organisation->name : OrganisationName();
    }
    /// True for non-idempotent requests with an idempotency key.
    [[nodiscard]] bool requiresOwner() const noexcept;
    /// True when no caller upstream is retrying. Only then does the request add to the retry
    /// budget, and only then is it retried after an attempt that may have run, because retries at
    /// several levels of a call chain multiply.
    [[nodiscard]] bool isFirstOfChain() const noexcept;
    /// True when another attempt is safe after one that may have run, and within the max attempts
    /// of the route. Refusals do not count as attempts here.
    [[nodiscard]] bool mayRunAgain() const noexcept;

    /// True when host and path select the route; otherwise the request names its service.
    [[nodiscard]] bool isRoutedByHost() const noexcept { return request.service == ServiceName(); }

    /// The message for the current attempt.
    [[nodiscard]] ForwardRequest toForward(TimePoint now) const;
    /// The outcome of the request when its last attempt or its time in the queue ends with \a last.
    /// Differs from \a last when an earlier attempt was answered or may have run: "not run" would
    /// then be wrong.
    [[nodiscard]] Outcome overallOutcome(Outcome last) const;
};

} // namespace camphorreach
