// Parsing and validation of the settings of a node that reads the platform's store.
#include <camphorreach/impl/settingsreader.h>
#include <camphorreach/sidecarsettings.h>

#include <limits>

namespace camphorreach {
namespace {

constexpr std::int64_t maxMs = 3'600'000;
constexpr double minSeconds = 0.1;
constexpr double maxSeconds = 3600;
constexpr std::int64_t maxMemoryMb = 1'000'000;
constexpr double maxLinkMbps = 1'000'000;

Duration readMs(impl::TomlReader &reader, std::string_view key, Duration defaultValue)
{
    using std::chrono::milliseconds;
    const auto defaultMs = std::chrono::duration_cast<milliseconds>(defaultValue).count();
    return milliseconds(reader.integer(key, 1, maxMs, defaultMs));
}

Duration readSeconds(impl::TomlReader &reader, std::string_view key, Duration defaultValue)
{
    using Seconds = std::chrono::duration<double>;
    const double seconds
        = reader.number(key, minSeconds, maxSeconds, Seconds(defaultValue).count());
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

void readInstance(SidecarSettings &settings, impl::TomlReader reader)
{
    impl::readIdentity(settings, reader);
    settings.memoryMb = static_cast<std::uint32_t>(
        reader.integer("memory-mb", 16, maxMemoryMb, settings.memoryMb));
    settings.linkMbps = reader.number("link-mbps", 0, maxLinkMbps, settings.linkMbps);
    settings.stopGrace = readSeconds(reader, "stop-grace-s", settings.stopGrace);
    reader.reportUnknown();
}

void readListen(SidecarSettings &settings, impl::TomlReader reader)
{
    settings.clientAddress = reader.address("guest");
    settings.peerAddress = reader.address("peer");
    settings.readyAddress = reader.address("ready");
    settings.announceAddress = reader.address("announcements");
    reader.reportUnknown();
}

void readBackendServer(SidecarSettings &settings, impl::TomlReader reader)
{
    settings.backendServer.address = reader.address("address");
    settings.backendServer.service = ServiceName(reader.text("service"));
    settings.heartbeat = readMs(reader, "heartbeat-ms", settings.heartbeat);
    if (reader.contains("health-check-ms"))
        settings.healthInterval = readMs(reader, "health-check-ms", settings.heartbeat);
    reader.reportUnknown();
}

void readRetries(SidecarSettings &settings, impl::TomlReader reader)
{
    RetrySettings &retries = settings.retries;
    retries.ratio = Share::fromFraction(reader.number("ratio", 0, 1, retries.ratio.fraction()));
    retries.limit = Share::fromFraction(reader.number("limit", 0, 1, retries.limit.fraction()));
    retries.extra = static_cast<std::uint32_t>(
        reader.integer("extra", 0, std::numeric_limits<std::int32_t>::max(), retries.extra));
    retries.window = readSeconds(reader, "window-s", retries.window);
    reader.reportUnknown();
}

void readEvacuation(SidecarSettings &settings, impl::TomlReader reader)
{
    settings.evacuationTime = readMs(reader, "within-ms", std::chrono::seconds(5));
    reader.reportUnknown();
}

void readOrganisations(SidecarSettings &settings, impl::TomlReader reader)
{
    OrganisationSettings &organisations = settings.organisations;
    if (reader.contains("revocation-ms"))
        organisations.revocation = readMs(reader, "revocation-ms", std::chrono::seconds(5));
    organisations.quotaWindow = readSeconds(reader, "quota-window-s", organisations.quotaWindow);
    organisations.quotaExcess = Share::fromFraction(
        reader.number("quota-excess", 0, 1, organisations.quotaExcess.fraction()));
    organisations.quotaSlack = static_cast<std::uint32_t>(reader.integer(
        "quota-slack", 0, std::numeric_limits<std::int32_t>::max(), organisations.quotaSlack));
    reader.reportUnknown();
}

void readPlacement(SidecarSettings &settings, impl::TomlReader reader)
{
    const std::string policy = reader.text("policy");
    if (policy == "expected-completion")
        settings.placement = PlacementKind::ExpectedCompletion;
    else if (policy != "least-occupied")
        reader.report("policy", "must be \"least-occupied\" or \"expected-completion\"");
    reader.reportUnknown();
}

} // namespace

Result<SidecarSettings> parseSidecarSettings(std::string_view text, const std::string &file)
{
    return impl::parseSettings<SidecarSettings>(
        text, file, [](SidecarSettings &settings, impl::TomlReader &root) {
            readInstance(settings, root.table("instance"));
            readListen(settings, root.table("listen"));
            readBackendServer(settings, root.table("backend-server"));
            impl::readShared(settings, root);
            if (root.contains("retries"))
                readRetries(settings, root.table("retries"));
            if (root.contains("evacuation"))
                readEvacuation(settings, root.table("evacuation"));
            if (root.contains("organisations"))
                readOrganisations(settings, root.table("organisations"));
            if (root.contains("placement"))
                readPlacement(settings, root.table("placement"));
        });
}

} // namespace camphorreach
