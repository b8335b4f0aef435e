// Look-ups in a snapshot.
#include <camphorreach/snapshot.h>

#include <algorithm>

namespace camphorreach {

namespace {

// "/stock" matches "/stock", "/stock/ice" and "/stock?item=ice", but not "/stockpile".
bool isPrefix(std::string_view prefix, std::string_view path) noexcept
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/'
        || path[prefix.size()] == '?';
}

} // namespace

const RoutePolicy *ServicePolicy::findRoute(std::string_view path) const noexcept
{
    const auto found = std::ranges::find_if(
        routes, [path](const RoutePolicy &route) { return isPrefix(route.prefix, path); });
    return found == routes.end() ? nullptr : &*found;
}

const ServicePolicy *Snapshot::findService(const ServiceName &name) const noexcept
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

} // namespace camphorreach
