// Parts of a mesh node that do not depend on the platform's dialect.
#include <camphorreach/impl/meshnode.h>

#include <boost/json.hpp>
#include <random>

namespace camphorreach::impl {

namespace json = boost::json;

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

Endpoint endpointOf(const SidecarSettings &settings)
{
    Endpoint self;
    self.instance = settings.instance;
    self.peer = settings.peerAddress;
    self.domain = settings.domain;
    self.region = settings.region;
    self.service = settings.backendServer.service;
    self.incarnation = Incarnation(static_cast<std::uint64_t>(wallTimeNow().value()));
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

RandomSource seeded(const SidecarSettings &settings, std::uint64_t part)
{
    const std::uint64_t seed
        = settings.randomSeed != 0 ? settings.randomSeed : std::random_device {}();
    return RandomSource(seed * 31 + part);
}

std::string dumpOf(const Membership &membership)
{
    json::array members;
    for (const Endpoint &endpoint : membership.members()) {
        members.push_back({ { "instance", endpoint.instance.value() },
                            { "peer", toText(endpoint.peer) },
                            { "failure_domain", endpoint.domain.value() },
                            { "service", endpoint.service.value() },
                            { "version", endpoint.version.value() },
                            { "is_ready", endpoint.state == EndpointState::Ready } });
    }
    return json::serialize(members);
}

std::string dumpOf(const MeshRouter &router)
{
    const MeshRouter::Counts &counts = router.counts();
    return json::serialize(json::object { { "config_version", router.configVersion().value() },
                                          { "in_flight", router.inFlight() },
                                          { "waiting", router.waiting() },
                                          { "requests", counts.requests },
                                          { "answered", counts.answered },
                                          { "not_run", counts.notRun },
                                          { "unknown", counts.unknown },
                                          { "cancelled", counts.cancelled },
                                          { "retries", counts.retries } });
}

std::string dumpOf(const Gate &gate)
{
    const GateLoad load = gate.load();
    return json::serialize(json::object { { "running", load.running },
                                          { "queued", load.queued },
                                          { "slots", load.slots },
                                          { "received", gate.counts().received },
                                          { "handed_over", gate.counts().handedOver },
                                          { "refused", gate.counts().refused },
                                          { "crashes", gate.counts().crashes },
                                          { "is_backend_reachable", gate.isReachable() } });
}

} // namespace camphorreach::impl
