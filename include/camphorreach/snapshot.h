// The immutable configuration that a node has in force.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/routetable.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach {

/// Weights of the two kinds of wrong decision on a move.
struct MovePolicy
{
    Duration soak = std::chrono::seconds(60);
    double falseAlarmRate = 0.001; ///< Chance that a good version is rolled back.
    double missRate = 0.01; ///< Chance that a bad version passes.
    double onTimeWeight = 1.0; ///< Weight of good versions done in time.
    double rollbackWeight = 1.0; ///< Weight of bad versions rolled back.
};

struct VersionPolicy
{
    BackendVersion fallback; ///< Stands in when this version has no endpoint; empty for none.
    std::uint32_t queueLimit = 256; ///< Requests that wait at one gate.
};

struct ServicePolicy
{
    ServiceName name;
    /// Add up to the whole. When there are none, the version of most endpoints is used, until an
    /// order moves the traffic.
    std::map<BackendVersion, Share> weights;
    std::map<BackendVersion, VersionPolicy> versions; // the same keys as `weights`
    std::vector<RoutePolicy> routes; // longest prefix first
    Share retryBudget = Share::fromFraction(0.1); ///< Retries as a part of first attempts.
    std::uint32_t queueLimit = 256; ///< Default of its versions.
    MovePolicy move;

    /// The route with the longest prefix that matches whole path segments, or nullptr.
    [[nodiscard]] const RoutePolicy *findRoute(std::string_view path) const noexcept;
};

struct Snapshot
{
    ConfigVersion version;
    Digest digest;
    std::map<ServiceName, ServicePolicy> services;
    /// Routes that are selected by the host and the path; empty where the guest names the service.
    RouteTable hostRoutes {};
    HttpLimits limits {};

    [[nodiscard]] const ServicePolicy *findService(const ServiceName &name) const noexcept;
};

/// A new snapshot is in force. Its version is higher than that of the one before.
struct SnapshotChanged
{
    std::shared_ptr<const Snapshot> snapshot;
};

} // namespace camphorreach
