// Settings of a node process, from a TOML file.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/processsettings.h>
#include <camphorreach/result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorreach {

/// The backend server beside which a node runs.
struct BackendServerSettings
{
    NetAddress address;
    ServiceName service;
    BackendVersion version;
    std::uint32_t slots = 1; ///< Maximum number of concurrent requests.
    std::uint32_t connections = 1; ///< Maximum number of connections that it accepts.
};

struct NodeSettings : ProcessSettings
{
    NetAddress adminAddress; ///< Serves the state dump, metrics and drain.
    BackendServerSettings backendServer;
};

/// Parses and validates settings. \a file is the file name in findings. Fails with all findings.
[[nodiscard]] Result<NodeSettings> parseNodeSettings(std::string_view text,
                                                     const std::string &file);

} // namespace camphorreach
