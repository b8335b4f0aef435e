// Moves: the filter that controls moves of traffic between versions and stops bad versions.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/filter.h>
#include <camphorreach/movecontrol.h>
#include <camphorreach/moveshares.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/requestsample.h>
#include <camphorreach/samplecollector.h>
#include <camphorreach/snapshot.h>

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// Spreads move records and verdicts by gossip, collects and aggregates evidence, and controls the
/// moves of its own service while it holds their lease.
class Moves
{
public:
    using Input = std::variant<PlatformReply, PeerReceived<MoveMessage>, EndpointsChanged,
                               SnapshotChanged, RequestSample>;
    using Output = std::variant<PlatformCall, PeerSend, MoveSharesChanged>;

    /// \a wallAtZero: wall-clock time at the origin of the monotonic clock.
    Moves(Endpoint self, WallTime wallAtZero, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const { return m_nextUpdate; }

    /// State of one move at this node, for operators.
    struct Status
    {
        MoveNotice notice;
        bool isController = false; ///< This node is the controller.
        std::vector<BadVersionVerdict> verdicts;
        std::optional<EvidenceSummary> evidence; ///< Of all domains; only at the controller.
    };
    [[nodiscard]] std::vector<Status> statuses(TimePoint now) const;

private:
    using Evidence = MoveEvidence<OddsRatioTest>;

    // Evidence of a move that is under way.
    struct ActiveMove
    {
        explicit ActiveMove(const MoveRecord &record);

        OperationId operation;
        SampleCollector collector;
        Evidence localEvidence;
        Evidence domainEvidence; // of the failure domain, at its aggregator
        Evidence globalEvidence; // of all domains, at the controller
        std::vector<EvidenceEntry> toAggregator; // not sent yet
        std::vector<EvidenceEntry> toController; // not sent yet
        std::map<FailureDomain, TimePoint> reportedAt; // time of the last report, at the controller
    };
    struct ServiceState
    {
        std::optional<MoveNotice> notice; // its version never decreases
        std::map<BackendVersion, BadVersionVerdict> verdicts;
        std::unique_ptr<ActiveMove> active; // while the move is under way
    };

    void onMessage(const PeerReceived<MoveMessage> &received, TimePoint now,
                   Outbox<Output> &outbox);
    void onNotice(const MoveNotice &notice, Outbox<Output> &outbox);
    void onVerdict(const BadVersionVerdict &verdict, Outbox<Output> &outbox);
    void onDigest(const MoveDigest &digest, const NetAddress &from, Outbox<Output> &outbox);
    void onReport(const EvidenceReport &report, TimePoint now);
    void onSample(const RequestSample &sample);

    void updateService(const ServiceName &service, ServiceState &state, TimePoint now,
                       Outbox<Output> &outbox);
    void checkForRegression(const ServiceName &service, ServiceState &state,
                            const Evidence &evidence, double extraThreshold,
                            Outbox<Output> &outbox);
    void sendReports(const ServiceName &service, ServiceState &state, TimePoint now,
                     Outbox<Output> &outbox);
    void advanceController(TimePoint now, Outbox<Output> &outbox);
    void sendDigest(Outbox<Output> &outbox);
    void publishShares(Outbox<Output> &outbox);
    void gossip(const MoveMessage &message, Outbox<Output> &outbox);
    void refreshPeers();
    [[nodiscard]] MoveDigest digest(bool isAnswer);
    [[nodiscard]] const Endpoint *findAggregator(const ServiceName &service) const;
    [[nodiscard]] bool hasOtherReadyVersion(const ServiceName &service,
                                            const BackendVersion &version) const;
    [[nodiscard]] MovePolicy policyOf(const ServiceName &service) const;
    [[nodiscard]] MoveView viewOf(const ServiceState &state, const ServiceName &service,
                                  TimePoint now) const;
    [[nodiscard]] std::array<std::uint32_t, instanceGroups>
    instancesByGroup(const ServiceName &service, const BackendVersion &version) const;

    const Endpoint m_self;
    const WallTime m_wallAtZero;
    RandomSource &m_random;
    PlatformCallIds m_callIds;
    MoveController m_controller;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::shared_ptr<const EndpointTable> m_endpoints;
    std::vector<NetAddress> m_peers; // all other nodes
    std::size_t m_domainNodeCount = 1; // nodes of this failure domain
    std::map<ServiceName, ServiceState> m_services;
    std::optional<TimePoint> m_nextUpdate = TimePoint {};
    TimePoint m_updatedAt {};
    bool m_hasChanged = false; // since the last publishShares()
};

static_assert(Filter<Moves>);

} // namespace camphorreach
