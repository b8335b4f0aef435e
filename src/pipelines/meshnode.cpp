// Parts of a mesh node that do not depend on the platform's dialect.
#include <camphorreach/impl/meshnode.h>

namespace camphorreach::impl {

namespace {

// A node takes a few retries at a time, as far as the fleet's limit allows, and lets the ratio
// refill them.
constexpr double retryBurst = 4.0;
constexpr double firstRetries = 2.0;
// Many backend servers may end at once, with hundreds of requests in flight; one crash must not
// make them all run alone. The next crash, at any gate, leaves those that were in flight twice.
constexpr std::uint32_t crashesToSuspect = 2;
// The gate's three queues may hold this part of the memory each; the rest is for the process itself
// and for what its endpoints read and write.
constexpr std::size_t queueParts = 16;
constexpr std::size_t bytesPerMb = std::size_t(1) << 20U;
// Bytes between failure domains are the dearest thing that a request uses; a larger request only
// leaves its own for lack of servers.
constexpr ByteCount spillBytesPerWeight { 2000 };

} // namespace

Endpoint selfOf(const SidecarSettings &settings)
{
    Endpoint self = endpointOf(settings, settings.backendServer.service);
    self.state = EndpointState::Draining; // until the backend server announces itself
    return self;
}

Gate::Limits gateLimits(const SidecarSettings &settings)
{
    Gate::Limits limits;
    limits.needsAnnouncement = true;
    limits.rejectsEarly = true;
    limits.queue.isFair = true;
    limits.queue.bytes = settings.memoryMb * bytesPerMb / queueParts;
    limits.crashes.crashesToSuspect = crashesToSuspect;
    return limits;
}

MeshRouter::Options routerOptions(const SidecarSettings &settings)
{
    MeshRouter::Options options;
    options.waitsForRoom = false;
    options.spillBytesPerWeight = spillBytesPerWeight;
    options.retries = { firstRetries, retryBurst,
                        RetryBudget::FleetLimit { settings.retries.limit, settings.retries.extra,
                                                  settings.retries.window } };
    return options;
}

std::string toText(const ConfigurationHeard &heard)
{
    return "event=configuration-heard version=" + std::to_string(heard.version.value())
        + " held=" + std::to_string(heard.held.value()) + " from="
        + (heard.from ? toText(*heard.from) : "store") + " routes=" + std::to_string(heard.routes);
}

} // namespace camphorreach::impl
