// Organisations: the parties that share the services, with the keys that identify their requests
// and their quotas.
#pragma once

#include <camphorreach/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace camphorreach {

/// Requests per second.
using RequestRate = Strong<struct RequestRateTag, double>;
/// A number of requests, which may be fractional while it is a share of a quota.
using RequestCount = Strong<struct RequestCountTag, double>;

/// Limit for the requests of one organisation over all nodes: in any time t, at most
/// rate * t + burst.
struct RequestQuota
{
    RequestRate rate; ///< Positive.
    RequestCount burst;

    friend bool operator==(const RequestQuota &, const RequestQuota &) = default;
};

struct Organisation
{
    OrganisationName name;
    std::vector<ApiKey> keys; ///< Each belongs to one organisation only.
    /// Takes precedence over the kind weight of the route.
    std::optional<std::uint32_t> weight {};
    std::optional<RequestQuota> quota {}; ///< Empty for no limit.

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

} // namespace camphorreach
