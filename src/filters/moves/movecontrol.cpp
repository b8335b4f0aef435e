// Fenced writes of a move's record.
#include <camphorreach/movecontrol.h>

#include <camphorreach/result.h>

#include <utility>

namespace camphorreach {
namespace {

constexpr Duration watchTime = std::chrono::seconds(25);
constexpr Duration retryInterval = std::chrono::seconds(2);

MoveRecord rolledBack(const MoveRecord &record, const RecordedVerdict &verdict, WallTime wall)
{
    MoveRecord step = record;
    step.state = MoveState::RolledBack;
    step.share = Share::none();
    step.domainShares.clear();
    step.steppedAt = wall;
    step.verdicts.push_back(verdict);
    if (step.verdicts.size() > maxRecordedVerdicts)
        step.verdicts.erase(step.verdicts.begin());
    step.explanation = verdict.reason.substr(0, maxExplanationBytes);
    return step;
}

} // namespace

MoveControl::MoveControl(ServiceName service, LeaseRecord self, PlatformCallNumbers &numbers,
                         RandomSource &random)
    : m_service(std::move(service)), m_self(std::move(self)), m_numbers(numbers),
      m_lease(ObjectKey("lease/move/" + m_service.value()), m_self, {}, numbers, random)
{ }

void MoveControl::learn(const PlatformObject &object)
{
    const auto *record = std::get_if<MoveRecord>(&object.value);
    if (record == nullptr || (m_known && object.version < m_known->version))
        return;
    m_known = MoveNotice { object.version, *record, {}, 0 };
    m_mustRead = false;
}

bool MoveControl::process(const PlatformReply &reply, TimePoint now)
{
    const bool isRead = m_read == reply.id;
    const bool isWrite = m_write == reply.id;
    if (!isRead && !isWrite)
        return m_lease.process(reply, now);
    (isRead ? m_read : m_write).reset();
    if (const auto *object = std::get_if<PlatformObject>(&reply.result)) {
        learn(*object);
        return true;
    }
    if (isRead) {
        m_readAt = now + retryInterval;
    } else {
        // The write may have taken effect, or somebody else has written.
        m_mustRead = true;
        m_read.reset(); // a waiting watch might not return for long
        m_readAt = now;
    }
    return true;
}

std::uint64_t MoveControl::term(TimePoint now) noexcept
{
    if (!isLeading(now))
        m_term = 0;
    else if (m_term == 0 && m_lease.seen())
        m_term = m_lease.seen()->renewals;
    return m_term;
}

std::optional<PlatformCall> MoveControl::dueRead(TimePoint now)
{
    if (!m_isCandidate || m_read || now < m_readAt)
        return std::nullopt;
    m_read = m_numbers.take();
    PlatformCall call;
    call.id = *m_read;
    if (m_mustRead || !m_known)
        call.operation = PlatformRead { moveKey(m_service) };
    else
        call.operation = PlatformWatch { moveKey(m_service), m_known->version, watchTime };
    return call;
}

std::optional<PlatformCall> MoveControl::dueWrite(TimePoint now, WallTime wall,
                                                  const MovePolicy &policy, const MoveView &view,
                                                  const std::optional<RecordedVerdict> &verdict)
{
    if (!m_known || m_write || m_mustRead || !isLeading(now) || !isUnderWay(m_known->record.state))
        return std::nullopt;
    const bool isCondemned = verdict && verdict->operation == m_known->record.operation;
    std::optional<MoveRecord> step = isCondemned ? rolledBack(m_known->record, *verdict, wall)
                                                 : planStep(m_known->record, policy, view, wall);
    if (!step)
        return std::nullopt;
    m_write = m_numbers.take();
    PlatformCall call;
    call.id = *m_write;
    call.operation = PlatformWrite { moveKey(m_service), m_known->version, std::move(*step) };
    return call;
}

} // namespace camphorreach
