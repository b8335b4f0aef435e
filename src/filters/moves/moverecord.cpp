// Queries on move records.
#include <camphorreach/moverecord.h>

#include <algorithm>

namespace camphorreach {

ObjectKey moveKey(const ServiceName &service)
{
    return ObjectKey("move/" + service.value());
}

bool isUnderWay(MoveState state) noexcept
{
    return state == MoveState::Requested || state == MoveState::Ramping
        || state == MoveState::Soaking;
}

const char *toText(MoveState state) noexcept
{
    switch (state) {
    case MoveState::Requested:
        return "requested";
    case MoveState::Ramping:
        return "ramping";
    case MoveState::Soaking:
        return "soaking";
    case MoveState::Done:
        return "done";
    case MoveState::RolledBack:
        return "rolled-back";
    case MoveState::Cancelled:
        return "cancelled";
    }
    return "";
}

Share shareIn(const MoveRecord &record, const FailureDomain &domain)
{
    if (record.scopeDomain != FailureDomain() && record.scopeDomain != domain)
        return Share::none();
    const auto own = record.domainShares.find(domain);
    return own == record.domainShares.end() ? record.share : own->second;
}

bool hasBadVerdict(const MoveRecord &record, const BackendVersion &version) noexcept
{
    return std::ranges::any_of(record.verdicts, [&](const RecordedVerdict &verdict) {
        return verdict.version == version;
    });
}

} // namespace camphorreach
