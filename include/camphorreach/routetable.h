// Routes: request policies, selected by the host and the path of a request.
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

/// Effective policy of a route, with inheritance resolved.
struct RoutePolicy
{
    RouteName name;
    std::string prefix = "/"; ///< Path prefix below the service, or below the host.
    KindName kind;
    std::uint32_t kindWeight = 1;
    bool isIdempotent = false;
    Duration deadline = std::chrono::seconds(1);
    std::uint32_t maxAttempts = 3;
    Duration targetLatency {}; ///< A later response is worth less; zero when not set.
    /// Whether a request may go to another failure domain when this one has no capacity left.
    bool maySpill = true;
    /// Requests need no key, also when the configuration has organisations.
    bool isKeyExempt = false;

    friend bool operator==(const RoutePolicy &, const RoutePolicy &) = default;
};

/// A service that receives a share of a route's traffic in proportion to its weight.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// A route of one host. Its prefix begins and ends with a slash.
struct HostRoute
{
    std::string host;
    RoutePolicy policy;
    /// At least one; the sum of the weights is positive.
    std::vector<WeightedService> weightedServices;

    friend bool operator==(const HostRoute &, const HostRoute &) = default;
};

/// Size and time limits for the HTTP requests of clients.
struct HttpLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = maxBodyBytes;
    Duration headerTimeout = std::chrono::seconds(75);
    Duration idleTimeout = std::chrono::seconds(75);

    friend bool operator==(const HttpLimits &, const HttpLimits &) = default;
};

/// The form in which hosts are compared: in lower case and without a port.
[[nodiscard]] std::string canonicalHost(std::string_view host);

/// Routes by host. Of the routes of a host, the one with the longest matching prefix is selected.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(std::vector<HostRoute> routes);

    /// \a path may include a query. Returns null when no route matches.
    [[nodiscard]] const HostRoute *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] bool isEmpty() const noexcept { return m_hosts.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    using ByPrefix = std::map<std::string, HostRoute, std::less<>>;

    std::map<std::string, ByPrefix, std::less<>> m_hosts; // no empty values
    std::size_t m_size = 0; // routes over all hosts
};

/// Chooses a service at random by weight. \a point is a uniform random number in [0, 1).
[[nodiscard]] const WeightedService &chooseService(const HostRoute &route, double point) noexcept;

} // namespace camphorreach
