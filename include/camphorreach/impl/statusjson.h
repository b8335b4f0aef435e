// JSON encoding of the configuration status.
#pragma once

#include <camphorreach/domainstatus.h>

#include <string>

namespace camphorreach::impl {

/// Body of the response to GET /status on the admin port.
[[nodiscard]] std::string statusJson(const ConfigStatus &status);

} // namespace camphorreach::impl
