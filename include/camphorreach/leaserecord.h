// A lease as stored in the platform.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/netaddress.h>

#include <cstdint>

namespace camphorreach {

/// The holder of a lease. A lease expires when its object has not changed for the term.
struct LeaseRecord
{
    InstanceId holder; ///< Empty after a release.
    NetAddress peer; ///< Where the holder listens for other nodes.
    Incarnation incarnation;
    std::uint64_t renewals = 0; ///< Incremented so that every renewal changes the object.

    friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

} // namespace camphorreach
