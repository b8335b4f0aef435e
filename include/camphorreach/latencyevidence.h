// Latency of the versions of a rollout, counted without a delay between fast and slow responses.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/rolloutmessage.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>
#include <optional>

namespace camphorreach {

/// Every attempt is settled at the age at which it counts as slow, whether or not it has ended. If
/// responses were counted on arrival, the slow ones would be missing from the counts for as long as
/// they take, and their rate would sink with every increase of the share.
class LatencyEvidence
{
public:
    /// An attempt is slow after \a slowFactor times the baseline's usual latency of its route.
    explicit LatencyEvidence(double slowFactor) : m_slowFactor(slowFactor) { }

    void onStarted(const AttemptStarted &started, bool isCandidate);
    /// The attempt ended with a response or a timeout. Responses of the baseline also set the usual
    /// latency.
    void onEnded(const RequestSample &sample, bool isCandidate);
    void onAbandoned(RequestId attempt);
    /// Forgets the attempts under way, because some of their ends may never be known.
    void onLost() { m_attempts.clear(); }
    /// Settles the attempts of sufficient age, and adds them to the counts.
    void settle(RolloutCounts &baseline, RolloutCounts &candidate);

private:
    struct Attempt
    {
        RouteName route;
        TimePoint sentAt {};
        bool isCandidate = false;
        std::optional<Duration> latency {}; // once a response has arrived
    };

    struct Usual
    {
        double latencyUs = 0.0; // smoothed
        std::uint64_t count = 0;
    };

    [[nodiscard]] std::optional<Duration> slowLimit(const RouteName &route) const;

    double m_slowFactor;
    std::map<RequestId, Attempt> m_attempts; // not settled; at most maxAttempts
    std::map<RouteName, Usual> m_usual; // of the baseline; at most maxRoutes
    // Latest time of an event. The age of attempts counts up to it instead of up to the present, as
    // the end of an attempt may wait in the ring behind it.
    TimePoint m_latestEvent {};
};

} // namespace camphorreach
