// Status of the configuration, which readers aggregate by failure domain for all nodes.
#pragma once

#include <camphorreach/configmessage.h>
#include <camphorreach/configpeers.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/random.h>
#include <camphorreach/units.h>
#include <camphorreach/versionstore.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorreach {

/// On which nodes the newest accepted version is in force.
struct ConfigStatus
{
    struct Domain
    {
        FailureDomain name;
        std::uint32_t nodes = 0;
        std::uint32_t atVersion = 0;
    };

    ConfigVersion version; ///< Newest accepted version that is known.
    bool isInForceEverywhere = false;
    std::uint32_t nodesAtVersion = 0;
    std::uint32_t nodesBehind = 0; ///< Excludes nodes that refuse the version.
    std::uint32_t nodesRefusing = 0;
    std::vector<RefusalReport> refusals;
    std::vector<FailureDomain> unknownDomains; ///< No recent summary; never counted as done.
    std::vector<Domain> domains;
};

/// Part of the filter `Configuration`.
class DomainStatus
{
public:
    DomainStatus(const VersionStore &store, const ConfigPeers &peers, RandomSource &random);

    void onPeersChanged(TimePoint now);
    void onVersionChanged(TimePoint now);
    void onReport(const NodeReport &report, TimePoint now);
    void onSummaries(const std::vector<DomainSummary> &summaries, TimePoint now);

    /// \a slot is empty unless this node is a reader. \a inForce is this node's version.
    void advance(std::optional<std::uint8_t> slot, ConfigVersion inForce, TimePoint now,
                 std::vector<PeerSend> &sends);
    [[nodiscard]] TimePoint nextDeadline() const;

    /// The next few summaries for a digest, in rotation.
    [[nodiscard]] std::vector<DomainSummary> nextSummaries(TimePoint now);
    [[nodiscard]] ConfigStatus status(TimePoint now) const;

private:
    struct ReceivedSummary
    {
        DomainSummary summary;
        TimePoint createdAt {}; // by this node's clock
    };
    struct Report
    {
        NodeReport report;
        TimePoint receivedAt {};
    };

    [[nodiscard]] Duration reportInterval() const;
    [[nodiscard]] NodeReport ownReport(ConfigVersion inForce) const;
    [[nodiscard]] DomainSummary summarize(std::uint8_t slot, ConfigVersion inForce, TimePoint now);

    const VersionStore &m_store;
    const ConfigPeers &m_peers;
    RandomSource &m_random;
    std::unordered_map<InstanceId, Report> m_reports; // of members of this node's failure domain
    std::map<std::pair<FailureDomain, std::uint8_t>, ReceivedSummary> m_summaries; // bounded
    std::map<FailureDomain, TimePoint> m_domains; // last time a member was seen; bounded, a day
    std::size_t m_nextSummaryIndex = 0;
    TimePoint m_nextReport {};
    TimePoint m_nextSummary {};
};

} // namespace camphorreach
