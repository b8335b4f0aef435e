// Blocking calls of the operators' programs to the platform and to nodes.
#pragma once

#include <camphorreach/acceptance.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/platform.h>
#include <camphorreach/result.h>

#include <cstdint>
#include <string>

namespace camphorreach {

/// Commits an edit through the platform at \a platform.
[[nodiscard]] Result<EditAccepted> runEdit(const NetAddress &platform, Edit edit,
                                           Acceptance::Limits limits, std::uint64_t seed);

/// Reads the head. Fails with NotFound, Unavailable or Malformed.
[[nodiscard]] Result<ConfigHead> readHead(const NetAddress &platform);

/// Body of a node's response on its admin port. Fails with Unavailable or NotFound.
[[nodiscard]] Result<std::string> fetch(const NetAddress &node, const std::string &path);

} // namespace camphorreach
