// Acceptance: the filter that commits an operator's edit as the next configuration version.
#pragma once

#include <camphorreach/confighead.h>
#include <camphorreach/filter.h>
#include <camphorreach/platform.h>
#include <camphorreach/random.h>
#include <camphorreach/result.h>
#include <camphorreach/settingstree.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorreach {

/// An operator's change to the settings tree.
struct Edit
{
    OperationId operation; ///< Unique per edit; makes a retry idempotent.
    std::string text; ///< TOML text of the whole tree.
    std::string file; ///< File name in findings.
    std::optional<SettingsTree> base; ///< The tree edited; if empty, that of the first read.
    bool isMergeWanted = false; ///< Merge with disjoint edits accepted since the base.
};

struct EditAccepted
{
    enum class Kind : std::uint8_t {
        Written, ///< A new version was written.
        AlreadyWritten, ///< An earlier run of the operation wrote this version.
        Unchanged, ///< The head already has these settings; no version was written.
    };

    Kind kind = Kind::Written;
    ConfigVersion version;
    bool isMerged = false;
    std::vector<std::string> changes; ///< Paths that differ from the previous version.
};

/// The final message of the filter. On any error but UnknownOutcome the configuration is unchanged.
/// Conflict carries a finding for every key concerned, or none if other writes kept coming first.
struct EditFinished
{
    Result<EditAccepted> result;
};

/// Commits one edit to the head by a conditional write on the object version that it read.
/// Configuration versions only increase.
class Acceptance
{
public:
    struct Limits
    {
        Duration timeout = std::chrono::seconds(15);
        std::uint32_t maxCalls = 20; ///< Reads and writes combined.
        Duration initialBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::seconds(2);
    };

    using Input = std::variant<PlatformReply>;
    using Output = std::variant<PlatformCall, EditFinished>;

    Acceptance(Edit edit, Limits limits, RandomSource &random);

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    void start(TimePoint now, Outbox<Output> &outbox);
    void onReadReply(const PlatformResult &result, TimePoint now, Outbox<Output> &outbox);
    void onWriteReply(const PlatformResult &result, TimePoint now, Outbox<Output> &outbox);
    void onHead(const ConfigHead &head, ObjectVersion version, TimePoint now,
                Outbox<Output> &outbox);
    [[nodiscard]] std::optional<EditFinished> findOperation(const ConfigHead &head) const;
    [[nodiscard]] bool isOutcomeUnknown(const ConfigHead &head, ObjectVersion version);
    void plan(const ConfigHead &head, ObjectVersion version, Outbox<Output> &outbox);
    [[nodiscard]] Result<SettingsTree> mergeWithCurrent(const ConfigHead &head,
                                                        const SettingsTree &current) const;
    void read(Outbox<Output> &outbox);
    void write(ConfigHead head, ObjectVersion expected, Outbox<Output> &outbox);
    void retry(TimePoint now, Duration delay);
    void backOff(TimePoint now);
    void giveUp(Outbox<Output> &outbox);
    void fail(Error error, Outbox<Output> &outbox);
    void finish(Result<EditAccepted> result, Outbox<Output> &outbox);

    Edit m_edit;
    const Limits m_limits;
    RandomSource &m_random;
    SettingsTree m_editedTree; // parsed from m_edit.text
    EditAccepted m_pendingResult; // the result if the latest write succeeds
    std::optional<ObjectVersion> m_unconfirmedWrite; // expected version of a write without a reply
    ConfigVersion m_unconfirmedBase; // configuration version before that write
    ObjectVersion m_expected; // expected version of the latest write
    PlatformCallId m_call;
    std::uint32_t m_calls = 0;
    std::uint32_t m_conflictCount = 0;
    Duration m_backoff;
    std::optional<TimePoint> m_nextCallAt = TimePoint {}; // empty while a call is in progress
    std::optional<TimePoint> m_deadline; // empty before the first advance()
    bool m_hasConflict = false; // another write came first, and no backoff followed
    bool m_isWriting = false; // whether the call in progress is a write
    bool m_hasWritten = false;
    bool m_isFinished = false;
};

static_assert(Filter<Acceptance>);

} // namespace camphorreach
