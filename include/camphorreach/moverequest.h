// MoveRequest: starts or cancels a move on behalf of an operator.
#pragma once

#include <camphorreach/moverecord.h>
#include <camphorreach/platform.h>
#include <camphorreach/result.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace camphorreach {

/// A move that an operator requests. An empty `to` cancels the move that is under way.
struct MoveSpec
{
    ServiceName service;
    BackendVersion to;
    WallTime deadline;
    OperationId operation;
    FailureDomain scopeDomain;
    RouteName scopeRoute;
    BackendVersion configured; ///< With the highest weight in the accepted tree; may be empty.
    std::set<BackendVersion> announced; ///< Versions that backend servers currently announce.
    Duration soak {};
};

/// Parses a duration from \a now such as "15m" or "1h30m", or a time such as
/// "2026-01-31T12:00:00Z". Fails with InvalidInput.
[[nodiscard]] Result<WallTime> parseDeadline(std::string_view text, WallTime now);

/// Determines the platform calls of one request. The caller executes every call and passes its
/// result to process().
class MoveRequest
{
public:
    /// The next call, or at the end the move record or an error.
    using Step = std::variant<PlatformOperation, MoveRecord, Error>;

    explicit MoveRequest(MoveSpec spec) : m_spec(std::move(spec)) { }

    [[nodiscard]] PlatformOperation begin() const
    {
        return PlatformRead { moveKey(m_spec.service) };
    }
    [[nodiscard]] Step process(const PlatformResult &result, WallTime now);

private:
    [[nodiscard]] BackendVersion servingVersion(const std::optional<MoveRecord> &record) const;
    [[nodiscard]] Step onRecord(const std::optional<MoveRecord> &record, ObjectVersion version,
                                WallTime now);
    [[nodiscard]] Step retryOrFail();

    MoveSpec m_spec;
    bool m_isWriting = false; // the last call was a write
    bool m_mayHaveWritten = false; // a write without a response may have taken effect
    std::uint32_t m_attempts = 0; // calls that failed and are retried
};

} // namespace camphorreach
