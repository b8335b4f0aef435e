// Selects routes by host and path.
#include <camphorreach/routetable.h>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace camphorreach {

std::string canonicalHost(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string result(host);
    std::ranges::transform(result, result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

RouteTable::RouteTable(std::vector<HostRoute> routes)
{
    for (HostRoute &route : routes) {
        ByPrefix &prefixes = m_hosts[canonicalHost(route.host)];
        m_size += prefixes.insert_or_assign(route.policy.prefix, std::move(route)).second ? 1 : 0;
    }
}

// Prefixes end with a slash, so only the prefixes of the path that end at a slash can match.
const HostRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_hosts.find(canonicalHost(host));
    if (prefixes == m_hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const WeightedService &chooseService(const HostRoute &route, double point) noexcept
{
    const auto total = std::accumulate(
        route.weightedServices.begin(), route.weightedServices.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const WeightedService &entry) { return sum + entry.weight; });
    double remaining = point * static_cast<double>(total);
    for (const WeightedService &entry : route.weightedServices) {
        if (remaining < entry.weight)
            return entry;
        remaining -= entry.weight;
    }
    return route.weightedServices.back();
}

} // namespace camphorreach
