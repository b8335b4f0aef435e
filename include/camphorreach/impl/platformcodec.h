// JSON encoding of the values that are stored in the platform's object service.
#pragma once

#include <camphorreach/platform.h>
#include <camphorreach/result.h>

#include <string>
#include <string_view>

namespace camphorreach::impl {

[[nodiscard]] std::string encodeValue(const PlatformValue &value);

/// The prefix of \a key selects the type: "config/", "lease/" or "move/". Fails with Malformed.
[[nodiscard]] Result<PlatformValue> decodeValue(const ObjectKey &key, std::string_view text);

} // namespace camphorreach::impl
