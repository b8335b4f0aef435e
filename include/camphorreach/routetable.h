// Routes: what a request may do, and how the host and the path of a request select one.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach {

/// What a route inherits and overrides, resolved.
struct RoutePolicy
{
    RouteName name;
    std::string prefix = "/"; ///< Path prefix below the service, or below the host.
    KindName kind;
    std::uint32_t kindWeight = 1;
    bool isIdempotent = false;
    Duration deadline = std::chrono::seconds(1);
    std::uint32_t maxAttempts = 3;
    Duration targetLatency {}; ///< An answer within it is worth its full credit; zero when unknown.
    /// Whether a request may leave its failure domain when the own gates are full.
    bool maySpill = true;

    friend bool operator==(const RoutePolicy &, const RoutePolicy &) = default;
};

/// A service that takes a part of a route's traffic.
struct TrafficPart
{
    ServiceName service;
    std::uint32_t weight = 1;

    friend bool operator==(const TrafficPart &, const TrafficPart &) = default;
};

/// A route of one host. Its prefix begins and ends with a slash.
struct HostRoute
{
    std::string host;
    RoutePolicy policy;
    std::vector<TrafficPart> parts; ///< At least one, with a weight above zero in all.

    friend bool operator==(const HostRoute &, const HostRoute &) = default;
};

/// What a guest may send, and how long it may take.
struct HttpLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = maxBodyBytes;
    Duration headerTimeout = std::chrono::seconds(75);
    Duration idleTimeout = std::chrono::seconds(75);

    friend bool operator==(const HttpLimits &, const HttpLimits &) = default;
};

/// A host as routes compare it: in lower case and without a port.
[[nodiscard]] std::string canonicalHost(std::string_view host);

/// Routes by host. Among those of a host, the longest prefix that begins the path is selected.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<HostRoute> routes);

    /// \a path may carry a query. Null when no route matches.
    [[nodiscard]] const HostRoute *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool isEmpty() const noexcept { return m_hosts.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    using ByPrefix = std::map<std::string, HostRoute, std::less<>>;

    std::map<std::string, ByPrefix, std::less<>> m_hosts; // no empty entry
    std::size_t m_size = 0; // routes over all hosts
};

/// One of the parts, chosen by weight. \a point is uniform in [0, 1).
[[nodiscard]] const TrafficPart &choosePart(const HostRoute &route, double point) noexcept;

} // namespace camphorreach
