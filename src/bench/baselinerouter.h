// The first version of the router, kept as a baseline: it has no per-target limits, no request
// queue and no retry budget.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/request.h>
#include <camphorreach/snapshot.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace camphorreach::bench {

/// Baseline with which benchmarks compare the router.
class BaselineRouter
{
public:
    using Input = std::variant<ClientRequest, ClientDisconnected, PeerReceived<ForwardResponse>,
                               LinkDown, SnapshotChanged, EndpointsChanged, DrainStarted>;
    using Output = std::variant<ClientResponse, PeerSend>;

    struct Counts
    {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t retries = 0;
        std::uint64_t unmatchedAnswers = 0; ///< Late, duplicate or already cancelled; dropped.
    };

    /// \a maxInFlight is the maximum number of requests without an outcome.
    BaselineRouter(FailureDomain domain, std::size_t maxInFlight, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_requests.size(); }
    [[nodiscard]] ConfigVersion configVersion() const noexcept;

private:
    // A request between its arrival and its outcome.
    struct Pending
    {
        ClientRequest request;
        std::shared_ptr<const Snapshot> snapshot;
        const RoutePolicy *route = nullptr; // inside `snapshot`
        TimePoint deadline {};
        std::uint8_t attempts = 0;
        RequestId forwardId; // of the current attempt
        NetAddress target; // of the current attempt
        std::set<NetAddress> triedTargets; // of earlier attempts; not tried again
    };

    void onRequest(ClientRequest &&request, TimePoint now, Outbox<Output> &outbox);
    void onClientDisconnected(const ClientDisconnected &disconnected, Outbox<Output> &outbox);
    void onResponse(ForwardResponse &&response, TimePoint now, Outbox<Output> &outbox);
    void onLinkDown(const LinkDown &down, TimePoint now, Outbox<Output> &outbox);

    void forward(Pending &pending, TimePoint now, Outbox<Output> &outbox);
    void completeAttempt(RequestId requestId, Outcome outcome, TimePoint now,
                         Outbox<Output> &outbox);
    void completeRequest(RequestId requestId, Outcome outcome, Outbox<Output> &outbox);
    [[nodiscard]] bool isRetryable(const Pending &pending, const Outcome &outcome,
                                   TimePoint now) const;
    [[nodiscard]] const Endpoint *chooseEndpoint(const Pending &pending);
    [[nodiscard]] std::uint32_t inFlightTo(const NetAddress &peer) const;

    const FailureDomain m_domain;
    const std::size_t m_maxInFlight;
    RandomSource &m_random; // seeded and owned by the creator of the filter
    std::shared_ptr<const Snapshot> m_snapshot;
    std::shared_ptr<const EndpointTable> m_endpoints;
    std::unordered_map<RequestId, Pending> m_requests; // by request id; at most m_maxInFlight
    std::unordered_map<RequestId, RequestId> m_forwards; // current forward id to request id
    std::multimap<TimePoint, RequestId> m_deadlines; // one per pending request
    std::unordered_map<NetAddress, std::uint32_t> m_inFlight; // attempts by target, never zero
    std::uint64_t m_nextForward = 1;
    bool m_isDraining = false;
    Counts m_counts;
};

static_assert(Filter<BaselineRouter>);

} // namespace camphorreach::bench
