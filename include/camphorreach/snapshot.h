// The immutable configuration that a node has in force.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/keyindex.h>
#include <camphorreach/organisation.h>
#include <camphorreach/request.h>
#include <camphorreach/routetable.h>
#include <camphorreach/units.h>
#include <camphorreach/warmup.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach {

/// Soak time, error rates and weights for the decisions on a move of traffic between versions.
struct MovePolicy
{
    Duration soak = std::chrono::seconds(60);
    double falseAlarmRate = 0.001; ///< Probability of rolling back a good version.
    double missRate = 0.01; ///< Probability of promoting a bad version.
    double onTimeWeight = 1.0; ///< Weight of promoting good versions in time.
    double rollbackWeight = 1.0; ///< Weight of rolling back bad versions.
};

struct VersionPolicy
{
    BackendVersion fallback; ///< Used when this version has no endpoint; empty for none.
    std::uint32_t queueLimit = 256; ///< Maximum number of requests queued at one gate.
};

struct ServicePolicy
{
    ServiceName name;
    /// Add up to Share::whole. If empty, the version with the most endpoints is used until an order
    /// moves the traffic.
    std::map<BackendVersion, Share> weights;
    std::map<BackendVersion, VersionPolicy> versions; // the same keys as `weights`
    std::vector<RoutePolicy> routes; // longest prefix first
    Share retryBudget = Share::fromFraction(0.1); ///< Ratio of retries to first attempts.
    std::uint32_t queueLimit = 256; ///< Default for its versions.
    MovePolicy move;
    /// Limits the requests to cold backend servers; without it they are not limited.
    std::optional<WarmUpPolicy> warmUp {};

    /// The route with the longest prefix that matches whole path segments, or nullptr.
    [[nodiscard]] const RoutePolicy *findRoute(std::string_view path) const noexcept;
};

struct Snapshot
{
    ConfigVersion version;
    Digest digest;
    std::map<ServiceName, ServicePolicy> services;
    /// Routes selected by host and path; empty if clients name the service.
    RouteTable hostRoutes {};
    HttpLimits limits {};
    std::vector<Organisation> organisations {}; ///< Empty: requests need no key.
    KeyIndex keys {}; ///< Of `organisations`.

    [[nodiscard]] const ServicePolicy *findService(const ServiceName &name) const noexcept;
};

/// A new snapshot is in force. Its version is higher than that of the previous one.
struct SnapshotChanged
{
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace camphorreach
