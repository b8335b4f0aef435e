// Commit of an edit: read, merge, conditional write and retry.
#include <camphorreach/acceptance.h>

#include <camphorreach/treedelta.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

std::string versionText(ConfigVersion version)
{
    return "version " + std::to_string(version.value());
}

// A head that can't be parsed counts as an empty tree, so that an edit can overwrite and repair it.
SettingsTree treeOf(const ConfigHead &head)
{
    auto parsed = parseTree(head.tree, "config/head");
    return isOk(parsed) ? valueOf(std::move(parsed)) : SettingsTree();
}

Finding differenceAt(const std::string &path, const SettingsTree &mine, const ConfigHead &head,
                     const SettingsTree &theirs)
{
    const auto own = mine.settings.find(path);
    const auto other = theirs.settings.find(path);
    const std::string state
        = other == theirs.settings.end() ? "is not set" : "is " + toToml(other->second.value);
    return { own == mine.settings.end() ? SourceLocation {} : own->second.location, path,
             state + " in " + versionText(head.version) };
}

} // namespace

Acceptance::Acceptance(Edit edit, Limits limits, RandomSource &random)
    : m_edit(std::move(edit)), m_limits(limits), m_random(random), m_backoff(limits.initialBackoff)
{ }

std::optional<TimePoint> Acceptance::nextDeadline() const
{
    if (m_isFinished)
        return std::nullopt;
    if (!m_deadline || !m_nextCallAt)
        return m_deadline ? m_deadline : m_nextCallAt;
    return std::min(*m_deadline, *m_nextCallAt);
}

void Acceptance::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_deadline)
        start(now, outbox);
    if (m_isFinished)
        return;
    if (now >= *m_deadline)
        return giveUp(outbox);
    if (m_nextCallAt && now >= *m_nextCallAt)
        read(outbox);
}

void Acceptance::start(TimePoint now, Outbox<Output> &outbox)
{
    m_deadline = now + m_limits.timeout;
    m_nextCallAt = now;
    if (m_edit.operation.value().empty())
        return fail({ ErrorCode::InvalidInput, "the operation id is empty" }, outbox);
    auto tree = parseTree(m_edit.text, m_edit.file);
    if (!isOk(tree))
        return fail(errorOf(tree), outbox);
    m_editedTree = valueOf(std::move(tree));
    const auto snapshot = resolve(m_editedTree, ConfigVersion());
    if (!isOk(snapshot))
        fail(errorOf(snapshot), outbox);
}

void Acceptance::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    const auto &reply = std::get<PlatformReply>(input);
    if (m_isFinished || reply.id != m_call || m_nextCallAt)
        return;
    if (std::exchange(m_isWriting, false))
        onWriteReply(reply.result, now, outbox);
    else
        onReadReply(reply.result, now, outbox);
}

void Acceptance::onReadReply(const PlatformResult &result, TimePoint now, Outbox<Output> &outbox)
{
    if (const auto *object = std::get_if<PlatformObject>(&result)) {
        if (const auto *head = std::get_if<ConfigHead>(&object->value))
            return onHead(*head, object->version, now, outbox);
    }
    const auto *refusal = std::get_if<PlatformRefusal>(&result);
    if (refusal != nullptr && refusal->reason == PlatformRefusal::Reason::NotFound)
        return onHead({}, {}, now, outbox);
    if (refusal != nullptr && refusal->reason == PlatformRefusal::Reason::Malformed
        && !m_unconfirmedWrite)
        return fail({ ErrorCode::Malformed, "the head in the platform can't be decoded" }, outbox);
    backOff(now);
}

void Acceptance::onWriteReply(const PlatformResult &result, TimePoint now, Outbox<Output> &outbox)
{
    using Reason = PlatformRefusal::Reason;
    if (std::holds_alternative<PlatformObject>(result))
        return finish(m_pendingResult, outbox);
    if (const auto *noReply = std::get_if<PlatformNoReply>(&result)) {
        if (noReply->mayHaveTakenEffect) {
            m_unconfirmedWrite = m_expected;
            m_unconfirmedBase = ConfigVersion(m_pendingResult.version.value() - 1);
        }
        return backOff(now);
    }
    const Reason reason = std::get<PlatformRefusal>(result).reason;
    if (reason == Reason::TooLarge && !m_unconfirmedWrite) {
        return fail({ ErrorCode::TooLarge, "the platform rejected the tree because of its size" },
                    outbox);
    }
    if (reason == Reason::Invalid && !m_unconfirmedWrite)
        return fail({ ErrorCode::Malformed, "the platform rejected the write as invalid" }, outbox);
    if (reason != Reason::Conflict)
        return backOff(now);
    // The write that came first may be an earlier one of this edit; the next read shows it.
    ++m_conflictCount;
    m_hasConflict = true;
    retry(now, Duration::zero());
}

void Acceptance::onHead(const ConfigHead &head, ObjectVersion version, TimePoint now,
                        Outbox<Output> &outbox)
{
    if (auto finished = findOperation(head))
        return finish(std::move(finished->result), outbox);
    if (isOutcomeUnknown(head, version))
        return giveUp(outbox);
    if (m_calls >= m_limits.maxCalls)
        return retry(now, Duration::zero());
    plan(head, version, outbox);
}

// Each version was written by one operation, so the index in the list determines the version.
std::optional<EditFinished> Acceptance::findOperation(const ConfigHead &head) const
{
    const auto found = std::ranges::find(head.operations, m_edit.operation);
    if (found == head.operations.end())
        return std::nullopt;
    const auto age = static_cast<std::uint64_t>(found - head.operations.begin());
    const bool isReused = age == 0 && !m_hasWritten && !m_edit.isMergeWanted
        && digestOf(treeOf(head)) != digestOf(m_editedTree);
    if (isReused) {
        return EditFinished { Error { ErrorCode::InvalidInput,
                                      "the operation id \"" + m_edit.operation.value()
                                          + "\" was used for another edit" } };
    }
    EditAccepted accepted;
    accepted.kind = m_hasWritten ? EditAccepted::Kind::Written : EditAccepted::Kind::AlreadyWritten;
    accepted.version = ConfigVersion(head.version.value() - age);
    accepted.isMerged = m_hasWritten && m_pendingResult.isMerged;
    if (m_hasWritten)
        accepted.changes = m_pendingResult.changes;
    return EditFinished { accepted };
}

// Whether a write without a reply may have taken effect although the head does not list its
// operation id, because more than maxHeadOperations versions may have followed it.
bool Acceptance::isOutcomeUnknown(const ConfigHead &head, ObjectVersion version)
{
    if (!m_unconfirmedWrite || version == *m_unconfirmedWrite)
        return false;
    if (head.version.value() > m_unconfirmedBase.value() + maxHeadOperations)
        return true;
    // The object has changed, so the write can't succeed any more, and its id is not listed: it had
    // no effect.
    m_unconfirmedWrite.reset();
    return false;
}

void Acceptance::plan(const ConfigHead &head, ObjectVersion version, Outbox<Output> &outbox)
{
    const SettingsTree current = treeOf(head);
    if (!m_edit.base)
        m_edit.base = current;
    const bool isMerged = digestOf(*m_edit.base) != digestOf(current);
    auto tree = isMerged ? mergeWithCurrent(head, current) : Result<SettingsTree>(m_editedTree);
    if (!isOk(tree))
        return fail(errorOf(tree), outbox);
    const TreeDelta delta = diff(current, valueOf(tree));
    m_pendingResult
        = { EditAccepted::Kind::Written, next(head.version), isMerged, changedPaths(delta) };
    if (delta.isEmpty() && head.version != ConfigVersion()) {
        m_pendingResult.kind = EditAccepted::Kind::Unchanged;
        m_pendingResult.version = head.version;
        return finish(m_pendingResult, outbox);
    }
    ConfigHead newHead { m_pendingResult.version, { m_edit.operation }, m_edit.text };
    if (isMerged)
        newHead.tree = toToml(valueOf(tree));
    for (const OperationId &operation : head.operations) {
        if (newHead.operations.size() < maxHeadOperations)
            newHead.operations.push_back(operation);
    }
    write(std::move(newHead), version, outbox);
}

// Merges the edit with what others changed since its base, if requested and free of conflicts.
Result<SettingsTree> Acceptance::mergeWithCurrent(const ConfigHead &head,
                                                  const SettingsTree &current) const
{
    TreeMerge merged = merge(*m_edit.base, m_editedTree, current);
    Error conflict { ErrorCode::Conflict, "" };
    const auto addFindings = [&](const std::vector<std::string> &paths) {
        for (const std::string &path : paths)
            conflict.findings.push_back(differenceAt(path, m_editedTree, head, current));
    };
    if (!merged.conflicts.empty()) {
        conflict.text = "other edits changed the same keys";
        addFindings(merged.conflicts);
        return conflict;
    }
    if (!m_edit.isMergeWanted) {
        conflict.text = "other edits changed different keys; a merge can combine them";
        addFindings(changedPaths(diff(*m_edit.base, current)));
        return conflict;
    }
    const auto snapshot = resolve(merged.tree, head.version);
    if (!isOk(snapshot)) {
        return Error { ErrorCode::Conflict,
                       "merged with " + versionText(head.version) + ", the tree is not valid",
                       errorOf(snapshot).findings };
    }
    if (toToml(merged.tree).size() > maxTreeBytes)
        return Error { ErrorCode::TooLarge, "the merged tree is larger than 900000 bytes" };
    return std::move(merged.tree);
}

void Acceptance::read(Outbox<Output> &outbox)
{
    if (m_calls >= m_limits.maxCalls)
        return giveUp(outbox);
    ++m_calls;
    m_nextCallAt.reset();
    m_call = next(m_call);
    m_isWriting = false;
    outbox.emit(PlatformCall { m_call, PlatformRead { configHeadKey() } });
}

void Acceptance::write(ConfigHead head, ObjectVersion expected, Outbox<Output> &outbox)
{
    ++m_calls;
    m_call = next(m_call);
    m_isWriting = true;
    m_hasWritten = true;
    m_expected = expected;
    outbox.emit(
        PlatformCall { m_call, PlatformWrite { configHeadKey(), expected, std::move(head) } });
}

void Acceptance::retry(TimePoint now, Duration delay)
{
    m_nextCallAt = now + delay;
}

// Jitter keeps operators' programs from calling a recovering platform at the same time.
void Acceptance::backOff(TimePoint now)
{
    m_hasConflict = false;
    const auto jitter = uniformBelow(m_random, static_cast<std::uint64_t>(m_backoff.count()) + 1);
    retry(now, m_backoff / 2 + Duration(static_cast<Duration::rep>(jitter)));
    m_backoff = std::min(m_backoff * 2, m_limits.maxBackoff);
}

void Acceptance::giveUp(Outbox<Output> &outbox)
{
    if (m_unconfirmedWrite || m_isWriting) {
        return fail({ ErrorCode::UnknownOutcome,
                      "it is not known whether the edit was accepted; repeat it with the operation "
                      "id \""
                          + m_edit.operation.value() + "\" to find out" },
                    outbox);
    }
    if (m_hasConflict) {
        return fail({ ErrorCode::Conflict,
                      "other edits were accepted first, " + std::to_string(m_conflictCount)
                          + " times; nothing was changed" },
                    outbox);
    }
    fail({ ErrorCode::Unavailable,
           "the platform does not answer or refuses calls; nothing was changed" },
         outbox);
}

void Acceptance::fail(Error error, Outbox<Output> &outbox)
{
    finish(std::move(error), outbox);
}

void Acceptance::finish(Result<EditAccepted> result, Outbox<Output> &outbox)
{
    m_isFinished = true;
    m_nextCallAt.reset();
    outbox.emit(EditFinished { std::move(result) });
}

} // namespace camphorreach
