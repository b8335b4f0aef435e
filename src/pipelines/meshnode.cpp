// Functions of a mesh node that do not depend on the platform's dialect.
#include <camphorreach/impl/meshnode.h>

#include <algorithm>

namespace camphorreach::impl {

namespace {

// A node may send a few retries at a time, within the limit of the fleet, and the retry ratio
// refills the budget.
constexpr double maxRetryTokens = 4.0;
constexpr double initialRetryTokens = 2.0;
// Many backend servers may stop at once with hundreds of requests in flight, and a single crash
// must not make all of these run in isolation. After a second crash, at any gate, only the requests
// that were in flight both times are suspects.
constexpr std::uint32_t crashesToSuspect = 2;
// Each of the gate's three queues may hold the memory divided by this; the rest is for the process
// itself and for the buffers of its endpoints.
constexpr std::size_t queueMemoryDivisor = 16;
// Large bodies from other nodes on their way to the backend server.
constexpr std::size_t bodyMemoryDivisor = 32;
constexpr std::size_t maxClientConnections = 2048;
constexpr std::size_t bytesPerMb = std::size_t(1) << 20U;
// Traffic between failure domains is the most expensive resource that a request uses. A larger
// request only leaves its own failure domain when that has no servers.
constexpr ByteCount spillBytesPerWeight { 2000 };
// The rest of the outgoing bandwidth is for the headers of lower layers, for datagrams and for
// short messages that are not delayed.
constexpr double usableEgressShare = 0.85;
constexpr double bytesPerMegabit = 125'000;
constexpr std::size_t maxNamedDomains = 8; // in a log line
constexpr std::size_t maxLoggedFindings = 20; // one invalid version may have thousands

} // namespace

Endpoint selfEndpoint(const SidecarSettings &settings)
{
    Endpoint self = endpointOf(settings, settings.backendServer.service);
    self.state = EndpointState::Draining; // until the first announcement of the backend server
    return self;
}

LocalServerSettings readNow(LocalServerSettings settings)
{
    settings.readAt = BackendStartTime(wallTimeNow().value());
    return settings;
}

ByteRate usableEgress(const SidecarSettings &settings)
{
    return ByteRate(
        static_cast<std::uint64_t>(settings.linkMbps * bytesPerMegabit * usableEgressShare));
}

BodyWindows::Limits bodyLimits(const SidecarSettings &settings)
{
    BodyWindows::Limits limits;
    limits.total = ByteCount(settings.memoryMb * bytesPerMb / bodyMemoryDivisor);
    return limits;
}

ClientMemory::Limits clientLimits(const SidecarSettings &settings)
{
    return ClientMemory::limitsFor(ByteCount(settings.memoryMb * bytesPerMb), maxClientConnections);
}

Gate::Limits gateLimits(const SidecarSettings &settings)
{
    Gate::Limits limits;
    limits.needsAnnouncement = true;
    limits.rejectsEarly = true;
    limits.asksForQuarantines = true;
    limits.healthInterval = settings.healthInterval;
    limits.estimatesCost = settings.placement == PlacementKind::ExpectedCompletion;
    limits.queue.isFair = true;
    limits.queue.bytes = settings.memoryMb * bytesPerMb / queueMemoryDivisor;
    limits.crashes.crashesToSuspect = crashesToSuspect;
    limits.egress.rate = usableEgress(settings);
    return limits;
}

MeshRouter::Options routerOptions(const SidecarSettings &settings)
{
    MeshRouter::Options options;
    options.queuesForCapacity = false;
    options.placement = settings.placement;
    options.heartbeat = settings.heartbeat;
    options.spillBytesPerWeight = spillBytesPerWeight;
    options.retries = { initialRetryTokens, maxRetryTokens,
                        RetryBudget::FleetLimit { settings.retries.limit, settings.retries.extra,
                                                  settings.retries.window } };
    const OrganisationSettings &organisations = settings.organisations;
    options.revocation = organisations.revocation;
    options.quotas
        = { settings.peerAddress,
            { organisations.quotaWindow, organisations.quotaExcess, organisations.quotaSlack } };
    return options;
}

std::string toText(const EvacuationsChanged &changed)
{
    std::string names;
    std::size_t named = 0;
    for (const FailureDomain &domain : *changed.domains) {
        if (named++ == maxNamedDomains)
            break;
        names += (names.empty() ? "" : ",") + domain.value();
    }
    return "event=evacuations-in-force count=" + std::to_string(changed.domains->size())
        + " failure-domains=" + names;
}

std::string toText(const ConfigurationRefused &refused)
{
    std::string text
        = "event=configuration-refused version=" + std::to_string(refused.version.value())
        + " findings=" + std::to_string(refused.findings.size());
    for (std::size_t i = 0; i < std::min(refused.findings.size(), maxLoggedFindings); ++i)
        text += " \"" + refused.findings[i].key + ": " + refused.findings[i].text + '"';
    return text;
}

std::string toText(const FindingsChanged &changed)
{
    std::string text = "event=config-finding version=" + std::to_string(changed.version.value())
        + " findings=" + std::to_string(changed.findings.size());
    if (!changed.findings.empty())
        text += " first=\"" + changed.findings.front().key + ": " + changed.findings.front().text
            + '"';
    return text;
}

boost::json::array dumpOf(const Findings &findings)
{
    boost::json::array result;
    for (std::size_t i = 0; i < std::min(findings.size(), maxLoggedFindings); ++i)
        result.emplace_back(findings[i].key + ": " + findings[i].text);
    return result;
}

std::string toText(const ConfigurationReceived &received)
{
    return "event=configuration-heard version=" + std::to_string(received.version.value())
        + " held=" + std::to_string(received.activeVersion.value())
        + " from=" + (received.from ? toText(*received.from) : "store")
        + " routes=" + std::to_string(received.routes);
}

} // namespace camphorreach::impl
