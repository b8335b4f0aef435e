// Settings of every node process, whatever the source of its configuration.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/log.h>
#include <camphorreach/netaddress.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorreach {

struct ProcessSettings
{
    InstanceId instance;
    FailureDomain domain;
    std::string region;
    NetAddress clientAddress; ///< Where clients on this machine connect.
    NetAddress peerAddress; ///< Where other nodes connect, TCP and UDP.
    NetAddress platform;
    std::vector<NetAddress> seeds; ///< Nodes to join through; may be empty.
    LogLevel logLevel = LogLevel::Info;
    std::uint64_t randomSeed = 0; ///< Zero: seeded from std::random_device.
};

} // namespace camphorreach
