// Messages between nodes about requests that crash backend servers.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace camphorreach {

struct QuarantineEntry
{
    Digest fingerprint;
    Duration remaining {}; ///< Time left until it expires; keeps clocks of nodes out of it.
    bool isProved = false; ///< Whether it crashed a backend server while it ran alone.
    std::uint32_t crashes = 1; ///< How many crashes a gate has seen with it in flight.

    friend bool operator==(const QuarantineEntry &, const QuarantineEntry &) = default;
};

/// Most entries in one notice, so that it fits into a datagram.
inline constexpr std::size_t maxQuarantineEntries = 48;

/// What one gate knows of crash-causing requests of a service.
struct QuarantineNotice
{
    ServiceName service;
    std::vector<QuarantineEntry> entries; ///< At most maxQuarantineEntries.

    friend bool operator==(const QuarantineNotice &, const QuarantineNotice &) = default;
};

/// The part of the protocol between nodes that carries quarantines.
using QuarantineMessage = std::variant<QuarantineNotice>;

} // namespace camphorreach
