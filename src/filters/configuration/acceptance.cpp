// Decisions of the acceptance of an edit.
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

// A head that can't be read has no settings to compare with; writing over it repairs it.
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
    return { own == mine.settings.end() ? Place {} : own->second.place, path,
             state + " in " + versionText(head.version) };
}

} // namespace

Acceptance::Acceptance(Edit edit, Limits limits, RandomSource &random)
    : m_edit(std::move(edit)), m_limits(limits), m_random(random), m_backoff(limits.shortestBackoff)
{ }

std::optional<TimePoint> Acceptance::nextDeadline() const
{
    if (m_isFinished)
        return std::nullopt;
    if (!m_endAt || !m_nextCallAt)
        return m_endAt ? m_endAt : m_nextCallAt;
    return std::min(*m_endAt, *m_nextCallAt);
}

void Acceptance::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_endAt)
        start(now, outbox);
    if (m_isFinished)
        return;
    if (now >= *m_endAt)
        return giveUp(outbox);
    if (m_nextCallAt && now >= *m_nextCallAt)
        read(outbox);
}

void Acceptance::start(TimePoint now, Outbox<Output> &outbox)
{
    m_endAt = now + m_limits.total;
    m_nextCallAt = now;
    if (m_edit.operation.value().empty())
        return fail({ ErrorCode::InvalidInput, "the operation id is empty" }, outbox);
    auto tree = parseTree(m_edit.text, m_edit.file);
    if (!isOk(tree))
        return fail(errorOf(tree), outbox);
    m_wanted = valueOf(std::move(tree));
    const auto snapshot = resolve(m_wanted, ConfigVersion());
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
    if (refusal != nullptr && refusal->reason == PlatformRefusal::Reason::Malformed && !m_uncertain)
        return fail({ ErrorCode::Malformed, "the head in the platform can't be decoded" }, outbox);
    backOff(now);
}

void Acceptance::onWriteReply(const PlatformResult &result, TimePoint now, Outbox<Output> &outbox)
{
    using Reason = PlatformRefusal::Reason;
    if (std::holds_alternative<PlatformObject>(result))
        return finish(m_planned, outbox);
    if (const auto *silence = std::get_if<PlatformSilence>(&result)) {
        if (silence->mayHaveTakenEffect) {
            m_uncertain = m_expected;
            m_uncertainBase = ConfigVersion(m_planned.version.value() - 1);
        }
        return backOff(now);
    }
    const Reason reason = std::get<PlatformRefusal>(result).reason;
    if (reason == Reason::TooLarge && !m_uncertain) {
        return fail({ ErrorCode::TooLarge, "the platform refuses the tree because of its size" },
                    outbox);
    }
    if (reason == Reason::Invalid && !m_uncertain)
        return fail({ ErrorCode::Malformed, "the platform refuses the write as invalid" }, outbox);
    if (reason != Reason::Conflict)
        return backOff(now);
    // The earlier write of this edit may be the one that won: the next read tells.
    ++m_lostRaces;
    m_isRaceLost = true;
    retry(now, Duration::zero());
}

void Acceptance::onHead(const ConfigHead &head, ObjectVersion version, TimePoint now,
                        Outbox<Output> &outbox)
{
    if (auto finished = findOperation(head))
        return finish(std::move(finished->result), outbox);
    if (isOutcomeLost(head, version))
        return giveUp(outbox);
    if (m_calls >= m_limits.calls)
        return retry(now, Duration::zero());
    plan(head, version, outbox);
}

// Each version was made by one operation, so the place in the list tells which version it was.
std::optional<EditFinished> Acceptance::findOperation(const ConfigHead &head) const
{
    const auto found = std::ranges::find(head.operations, m_edit.operation);
    if (found == head.operations.end())
        return std::nullopt;
    const auto age = static_cast<std::uint64_t>(found - head.operations.begin());
    const bool isReused = age == 0 && !m_hasWritten && !m_edit.isMergeWanted
        && digestOf(treeOf(head)) != digestOf(m_wanted);
    if (isReused) {
        return EditFinished { Error { ErrorCode::InvalidInput,
                                      "the operation id \"" + m_edit.operation.value()
                                          + "\" was used for another edit" } };
    }
    EditAccepted accepted;
    accepted.kind = m_hasWritten ? EditAccepted::Kind::Written : EditAccepted::Kind::WrittenBefore;
    accepted.version = ConfigVersion(head.version.value() - age);
    accepted.isMerged = m_hasWritten && m_planned.isMerged;
    if (m_hasWritten)
        accepted.changes = m_planned.changes;
    return EditFinished { accepted };
}

// Whether a write without an answer may be hidden behind more versions than the head remembers.
bool Acceptance::isOutcomeLost(const ConfigHead &head, ObjectVersion version)
{
    if (!m_uncertain || version == *m_uncertain)
        return false;
    if (head.version.value() > m_uncertainBase.value() + maxHeadOperations)
        return true;
    // Its condition can no longer hold and its id is not there: it has had no effect.
    m_uncertain.reset();
    return false;
}

void Acceptance::plan(const ConfigHead &head, ObjectVersion version, Outbox<Output> &outbox)
{
    const SettingsTree current = treeOf(head);
    if (!m_edit.base)
        m_edit.base = current;
    const bool isMerged = digestOf(*m_edit.base) != digestOf(current);
    auto tree = isMerged ? joined(head, current) : Result<SettingsTree>(m_wanted);
    if (!isOk(tree))
        return fail(errorOf(tree), outbox);
    const TreeDelta delta = diff(current, valueOf(tree));
    m_planned = { EditAccepted::Kind::Written, next(head.version), isMerged, pathsOf(delta) };
    if (delta.isEmpty() && head.version != ConfigVersion()) {
        m_planned.kind = EditAccepted::Kind::Unchanged;
        m_planned.version = head.version;
        return finish(m_planned, outbox);
    }
    ConfigHead wanted { m_planned.version, { m_edit.operation }, m_edit.text };
    if (isMerged)
        wanted.tree = toToml(valueOf(tree));
    for (const OperationId &operation : head.operations) {
        if (wanted.operations.size() < maxHeadOperations)
            wanted.operations.push_back(operation);
    }
    write(std::move(wanted), version, outbox);
}

// The edit on top of what others have changed since its base, if that is asked for and possible.
Result<SettingsTree> Acceptance::joined(const ConfigHead &head, const SettingsTree &current) const
{
    TreeMerge merged = merge(*m_edit.base, m_wanted, current);
    Error conflict { ErrorCode::Conflict, "" };
    const auto concern = [&](const std::vector<std::string> &paths) {
        for (const std::string &path : paths)
            conflict.findings.push_back(differenceAt(path, m_wanted, head, current));
    };
    if (!merged.clashes.empty()) {
        conflict.text = "others have changed the same keys";
        concern(merged.clashes);
        return conflict;
    }
    if (!m_edit.isMergeWanted) {
        conflict.text = "others have changed other keys; a merge would join the edits";
        concern(pathsOf(diff(*m_edit.base, current)));
        return conflict;
    }
    const auto snapshot = resolve(merged.tree, head.version);
    if (!isOk(snapshot)) {
        return Error { ErrorCode::Conflict,
                       "joined with " + versionText(head.version) + ", the tree is not valid",
                       errorOf(snapshot).findings };
    }
    if (toToml(merged.tree).size() > maxTreeBytes)
        return Error { ErrorCode::TooLarge, "the merged tree is larger than 900000 bytes" };
    return std::move(merged.tree);
}

void Acceptance::read(Outbox<Output> &outbox)
{
    if (m_calls >= m_limits.calls)
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

void Acceptance::retry(TimePoint now, Duration pause)
{
    m_nextCallAt = now + pause;
}

// Jitter keeps operators' programs from calling a recovering platform together.
void Acceptance::backOff(TimePoint now)
{
    m_isRaceLost = false;
    const auto jitter = uniformBelow(m_random, static_cast<std::uint64_t>(m_backoff.count()) + 1);
    retry(now, m_backoff / 2 + Duration(static_cast<Duration::rep>(jitter)));
    m_backoff = std::min(m_backoff * 2, m_limits.longestBackoff);
}

void Acceptance::giveUp(Outbox<Output> &outbox)
{
    if (m_uncertain || m_isWriting) {
        return fail({ ErrorCode::UnknownOutcome,
                      "it is not known whether the edit was accepted; repeat it with the operation "
                      "id \""
                          + m_edit.operation.value() + "\" to find out" },
                    outbox);
    }
    if (m_isRaceLost) {
        return fail({ ErrorCode::Conflict,
                      "other edits were accepted first, " + std::to_string(m_lostRaces)
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
