// Table of the known endpoints, published by membership to the router.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorreach {

enum class EndpointState : std::uint8_t {
    Ready,
    Draining,
    Suspect,
    Stopped, ///< In an orderly way; only in records of members that are gone.
};

/// One backend server, reached through its sidecar node.
struct Endpoint
{
    InstanceId instance;
    NetAddress peer; ///< Address at which its node listens for other nodes.
    FailureDomain domain;
    std::string region;
    ServiceName service;
    BackendVersion version;
    Incarnation incarnation;
    std::uint32_t slots = 1;
    EndpointState state = EndpointState::Ready;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

/// Immutable set of endpoints by service, each list ordered by instance.
struct EndpointTable
{
    std::map<ServiceName, std::vector<Endpoint>> services;
    /// Nodes that have stopped in an orderly way, and admit no requests. Any other node that is not
    /// listed may be cut off and still admit some.
    std::vector<NetAddress> stopped;
};

struct EndpointsChanged
{
    std::shared_ptr<const EndpointTable> table;
};

} // namespace camphorreach
