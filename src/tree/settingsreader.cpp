// Reading of the settings that every node process has.
#include <camphorreach/impl/settingsreader.h>

#include <limits>

namespace camphorreach::impl {

void readIdentity(ProcessSettings &settings, TomlReader &instance)
{
    settings.instance = InstanceId(instance.text("name"));
    settings.domain = FailureDomain(instance.text("failure-domain"));
    settings.region = instance.text("region", false);
}

void readShared(ProcessSettings &settings, TomlReader &root)
{
    TomlReader platform = root.table("platform");
    settings.platform = platform.address("address");
    platform.reportUnknown();
    TomlReader peers = root.table("peers");
    settings.seeds = peers.addresses("seeds");
    peers.reportUnknown();
    if (root.contains("log")) {
        TomlReader log = root.table("log");
        settings.logLevel = readLogLevel(log);
        log.reportUnknown();
    }
    settings.randomSeed = static_cast<std::uint64_t>(
        root.integer("random-seed", 0, std::numeric_limits<std::int64_t>::max(), 0));
}

} // namespace camphorreach::impl
