// Calls to the platform's object service and their replies.
#pragma once

#include <camphorreach/confighead.h>
#include <camphorreach/ids.h>
#include <camphorreach/leaserecord.h>
#include <camphorreach/moverecord.h>
#include <camphorreach/strong.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// Matches a platform reply to its call; unique within the filter that made the call.
using PlatformCallId = Strong<struct PlatformCallIdTag, std::uint64_t>;

/// Values stored in the platform. Endpoints encode them; filters use the typed form.
using PlatformValue = std::variant<ConfigHead, LeaseRecord, MoveRecord>;

struct PlatformRead
{
    ObjectKey key;
};

/// Long poll: answered once the object's version differs from `known`, or with the unchanged object
/// after `wait`.
struct PlatformWatch
{
    ObjectKey key;
    ObjectVersion known;
    Duration wait {};
};

/// Conditional write: the object's version must be `expected`; zero means that it must not exist.
struct PlatformWrite
{
    ObjectKey key;
    ObjectVersion expected;
    PlatformValue value;
};

using PlatformOperation = std::variant<PlatformRead, PlatformWatch, PlatformWrite>;

struct PlatformCall
{
    PlatformCallId id;
    PlatformOperation operation;
};

/// The current object. After a write, the object that was written.
struct PlatformObject
{
    ObjectVersion version;
    PlatformValue value;
};

/// The call was refused and had no effect.
struct PlatformRefusal
{
    enum class Reason : std::uint8_t {
        NotFound,
        Conflict,
        Throttled,
        TooLarge,
        Invalid,
        Malformed
    };

    Reason reason = Reason::NotFound;
};

/// No usable reply: a read has no result; a write may or may not have taken effect.
struct PlatformNoReply
{
    bool mayHaveTakenEffect = false;
};

using PlatformResult = std::variant<PlatformObject, PlatformRefusal, PlatformNoReply>;

struct PlatformReply
{
    PlatformCallId id;
    PlatformResult result;
};

} // namespace camphorreach
