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
    Duration remaining {}; ///< Time until it expires; relative, as clocks of nodes differ.
    bool isConfirmed = false; ///< Whether it crashed a backend server while it ran alone.
    std::uint32_t crashes = 1; ///< Crashes seen by a gate with it in flight.

    friend bool operator==(const QuarantineEntry &, const QuarantineEntry &) = default;
};

/// Maximum number of entries in a notice, so that it fits into a datagram.
inline constexpr std::size_t maxQuarantineEntries = 48;

/// Suspect and quarantined requests of a service, as known to one gate.
struct QuarantineNotice
{
    ServiceName service;
    std::vector<QuarantineEntry> entries; ///< At most maxQuarantineEntries.
    bool isAnswer = false; ///< The last notice of those that answer a request.

    friend bool operator==(const QuarantineNotice &, const QuarantineNotice &) = default;
};

/// Asks a gate of the service for all suspect and quarantined requests that it knows.
struct QuarantineRequest
{
    ServiceName service;

    friend bool operator==(const QuarantineRequest &, const QuarantineRequest &) = default;
};

/// The messages about quarantines in the protocol between nodes.
using QuarantineMessage = std::variant<QuarantineNotice, QuarantineRequest>;

} // namespace camphorreach
