// Virtual time of fair queueing.
#pragma once

#include <camphorreach/strong.h>

#include <cstdint>

namespace camphorreach {

/// Virtual time of fair queueing: service time in microseconds, divided by weight.
using FairTag = Strong<struct FairTagTag, std::int64_t>;

} // namespace camphorreach
