// Reads, watches and conditional writes of a move record.
#include <camphorreach/movecontrol.h>

#include <camphorreach/result.h>

#include <utility>

namespace camphorreach {
namespace {

constexpr Duration watchTimeout = std::chrono::seconds(25);
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

MoveController::MoveController(ServiceName service, LeaseRecord self, PlatformCallIds &callIds,
                               RandomSource &random)
    : m_service(std::move(service)), m_self(std::move(self)), m_callIds(callIds),
      m_lease(ObjectKey("lease/move/" + m_service.value()), m_self, {}, callIds, random)
{ }

void MoveController::observe(const PlatformObject &object)
{
    const auto *record = std::get_if<MoveRecord>(&object.value);
    if (record == nullptr || (m_notice && object.version < m_notice->version))
        return;
    m_notice = MoveNotice { object.version, *record, {}, 0 };
    m_mustRead = false;
}

bool MoveController::process(const PlatformReply &reply, TimePoint now)
{
    const bool isRead = m_read == reply.id;
    const bool isWrite = m_write == reply.id;
    if (!isRead && !isWrite)
        return m_lease.process(reply, now);
    (isRead ? m_read : m_write).reset();
    if (const auto *object = std::get_if<PlatformObject>(&reply.result)) {
        observe(*object);
        return true;
    }
    if (isRead) {
        m_readAt = now + retryInterval;
    } else {
        // The write may have taken effect, or another writer has changed the record.
        m_mustRead = true;
        m_read.reset(); // do not wait for a watch, which may take up to its timeout
        m_readAt = now;
    }
    return true;
}

std::uint64_t MoveController::term(TimePoint now) noexcept
{
    if (!isLeading(now))
        m_term = 0;
    else if (m_term == 0 && m_lease.lastSeen())
        m_term = m_lease.lastSeen()->renewals;
    return m_term;
}

std::optional<PlatformCall> MoveController::dueRead(TimePoint now)
{
    if (!m_isContender || m_read || now < m_readAt)
        return std::nullopt;
    m_read = m_callIds.allocate();
    PlatformCall call;
    call.id = *m_read;
    if (m_mustRead || !m_notice)
        call.operation = PlatformRead { moveKey(m_service) };
    else
        call.operation = PlatformWatch { moveKey(m_service), m_notice->version, watchTimeout };
    return call;
}

std::optional<PlatformCall> MoveController::dueWrite(TimePoint now, WallTime wall,
                                                     const MovePolicy &policy, const MoveView &view,
                                                     const std::optional<RecordedVerdict> &verdict)
{
    if (!m_notice || m_write || m_mustRead || !isLeading(now)
        || !isUnderWay(m_notice->record.state))
        return std::nullopt;
    const bool isRejected = verdict && verdict->operation == m_notice->record.operation;
    std::optional<MoveRecord> step = isRejected ? rolledBack(m_notice->record, *verdict, wall)
                                                : planStep(m_notice->record, policy, view, wall);
    if (!step)
        return std::nullopt;
    m_write = m_callIds.allocate();
    PlatformCall call;
    call.id = *m_write;
    call.operation = PlatformWrite { moveKey(m_service), m_notice->version, std::move(*step) };
    return call;
}

} // namespace camphorreach
