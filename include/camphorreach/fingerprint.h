// Fingerprint of a request's content.
#pragma once

#include <camphorreach/ids.h>
#include <camphorreach/request.h>

namespace camphorreach {

/// XXH3 hash over method, target and body, each with its length; of a large body, its size and
/// digest. The idempotency key is not hashed,
/// because the same content under a new key is the same work for the backend server.
[[nodiscard]] Digest fingerprintOf(const RequestContent &content);

} // namespace camphorreach
