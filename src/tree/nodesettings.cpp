// Parsing and validation of the settings of a node process.
#include <camphorreach/impl/settingsreader.h>
#include <camphorreach/nodesettings.h>

#include <algorithm>
#include <array>
#include <set>

namespace camphorreach {
namespace {

constexpr std::int64_t maxSlots = 100'000;
constexpr std::int64_t maxConnections = 100'000;

void checkListeners(const NodeSettings &settings, impl::TomlReader &listen)
{
    std::set<NetAddress> seen;
    const auto check = [&](std::string_view key, const NetAddress &address) {
        if (!address.host.empty() && !seen.insert(address).second)
            listen.report(key, toText(address) + " is used twice");
    };
    check("guest", settings.clientAddress);
    check("admin", settings.adminAddress);
    check("peer", settings.peerAddress);
}

void readInstance(NodeSettings &settings, impl::TomlReader instance)
{
    impl::readIdentity(settings, instance);
    instance.reportUnknown();
}

void readListen(NodeSettings &settings, impl::TomlReader listen)
{
    settings.clientAddress = listen.address("guest");
    settings.peerAddress = listen.address("peer");
    settings.adminAddress = listen.address("admin");
    checkListeners(settings, listen);
    listen.reportUnknown();
}

void readBackendServer(NodeSettings &node, impl::TomlReader reader)
{
    BackendServerSettings &settings = node.backendServer;
    settings.address = reader.address("address");
    const std::array ownAddresses { node.clientAddress, node.peerAddress, node.adminAddress };
    if (!settings.address.host.empty()
        && std::ranges::find(ownAddresses, settings.address) != ownAddresses.end())
        reader.report("address", toText(settings.address) + " is an address of the node itself");
    settings.service = ServiceName(reader.text("service"));
    settings.version = BackendVersion(reader.text("version"));
    settings.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, maxSlots, 1));
    settings.connections = static_cast<std::uint32_t>(
        reader.integer("connections", 1, maxConnections, settings.slots));
    if (settings.connections < settings.slots)
        reader.report("connections", "must not be less than slots");
    reader.reportUnknown();
}

} // namespace

Result<NodeSettings> parseNodeSettings(std::string_view text, const std::string &file)
{
    return impl::parseSettings<NodeSettings>(
        text, file, [](NodeSettings &settings, impl::TomlReader &root) {
            readInstance(settings, root.table("instance"));
            readListen(settings, root.table("listen"));
            readBackendServer(settings, root.table("backend-server"));
            impl::readShared(settings, root);
        });
}

} // namespace camphorreach
