// A guest's request between its arrival and its outcome.
#pragma once

#include <camphorreach/placement.h>
#include <camphorreach/request.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace camphorreach {

/// Either waits for a target or has a current attempt.
struct PendingRequest
{
    /// How long a request without a deadline of its own waits for the first configuration.
    static constexpr Duration waitForConfiguration = std::chrono::seconds(5);

    struct Current
    {
        RequestId forwardId;
        Attempted where;
    };

    GuestRequest request;
    TimePoint arrivedAt {};
    TimePoint deadline {};
    std::shared_ptr<const Snapshot> snapshot {}; ///< Null until a configuration is held.
    ServiceName serviceName {}; ///< As the guest named it, or as the route says.
    const ServicePolicy *service = nullptr; ///< Inside `snapshot`.
    const RoutePolicy *route = nullptr; ///< Inside `snapshot`.
    PlacementState placement {};
    std::optional<Current> current {};
    InstanceId lastTarget {}; ///< Of the latest attempt.
    bool wasSpilled = false; ///< The latest attempt left the failure domain.
    Duration longestWait {}; ///< At the gates that refused it, as they said.
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0; ///< Attempts that proved "not run".
    NotRunReason waitReason = NotRunReason::NoConfiguration;
    std::optional<UnknownReason> unknown {}; ///< Set once an attempt may have run.
    std::optional<Answered> lastAnswer {}; ///< A failure that is being retried.
    bool isHomeUnreachable = false; ///< The key may have run at a home that cannot be asked.
    bool isCrashSuspect = false; // as the gate said with its latest answer

    /// Fixes snapshot, service, route and deadline. \a random chooses among the parts of a route
    /// whose traffic is split. \a held may be null, which leaves the request without a
    /// route until the first configuration. False when the snapshot has no route.
    [[nodiscard]] bool resolve(const std::shared_ptr<const Snapshot> &held, RandomSource &random);

    [[nodiscard]] std::uint32_t weight() const noexcept;
    /// True for run-once requests with a key.
    [[nodiscard]] bool hasHome() const noexcept;
    /// True when a caller above has not already retried; only then does the request earn and take
    /// retries, since a retry below a retry would multiply with it.
    [[nodiscard]] bool isFirstOfChain() const noexcept;
    /// True when a further attempt is safe and within the attempts of the route, after one that may
    /// have run.
    [[nodiscard]] bool mayRunAgain() const noexcept;

    /// The host and the path select the route, rather than the service that the guest names.
    [[nodiscard]] bool isRoutedByHost() const noexcept { return request.service == ServiceName(); }

    /// The message for the current attempt.
    [[nodiscard]] ForwardRequest toForward(TimePoint now) const;
    /// What the guest is told when the last attempt or the wait ends with \a last: an earlier
    /// attempt may have run, so that "not run" would not be true.
    [[nodiscard]] Outcome overallOutcome(Outcome last) const;
};

} // namespace camphorreach
