// Decisions of the operators' command.
#include <camphorreach/moverequest.h>

#include <camphorreach/moveplan.h>

#include <charconv>
#include <chrono>
#include <cstdio>
#include <utility>
#include <vector>

namespace camphorreach {
namespace {

constexpr std::uint32_t maxAttempts = 4;

std::optional<std::int64_t> durationMs(std::string_view text)
{
    std::int64_t total = 0;
    if (text.empty())
        return std::nullopt;
    while (!text.empty()) {
        std::int64_t number = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        constexpr std::int64_t largest = 1'000'000;
        const bool hasUnit = end != text.data() + text.size();
        if (code != std::errc() || !hasUnit || number < 0 || number > largest)
            return std::nullopt;
        const std::int64_t unit = *end == 's' ? 1 : *end == 'm' ? 60 : *end == 'h' ? 3600 : 0;
        if (unit == 0)
            return std::nullopt;
        total += number * unit * 1000;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
    }
    return total;
}

} // namespace

Result<WallTime> parseDeadline(std::string_view text, WallTime now)
{
    if (const auto duration = durationMs(text))
        return WallTime(now.value() + *duration);
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    const std::string copy(text);
    // NOLINTNEXTLINE(cert-err34-c): the fields are checked below
    const int fields = std::sscanf(copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2dZ", &year, &month, &day,
                                   &hour, &minute, &second);
    const std::chrono::year_month_day date { std::chrono::year(year), std::chrono::month(month),
                                             std::chrono::day(day) };
    constexpr std::size_t length = 20;
    if (fields != 6 || copy.size() != length || !date.ok() || hour > 23 || minute > 59
        || second > 59)
        return Error { ErrorCode::InvalidInput,
                       "\"" + copy
                           + "\" is neither a duration such as 15m nor a time such as "
                             "2026-01-31T12:00:00Z" };
    const auto days = std::chrono::sys_days(date).time_since_epoch().count();
    return WallTime(((std::int64_t { days } * 24 + hour) * 60 + minute) * 60'000 + second * 1000);
}

MoveRequest::Step MoveRequest::process(const PlatformResult &result, WallTime now)
{
    const bool wasWriting = std::exchange(m_isWriting, false);
    if (const auto *silence = std::get_if<PlatformSilence>(&result)) {
        m_mayHaveWritten = m_mayHaveWritten || silence->mayHaveTakenEffect;
        return onSilence();
    }
    if (const auto *refusal = std::get_if<PlatformRefusal>(&result)) {
        if (!wasWriting && refusal->reason == PlatformRefusal::Reason::NotFound)
            return onRecord(std::nullopt, ObjectVersion(), now);
        if (refusal->reason == PlatformRefusal::Reason::Conflict
            || refusal->reason == PlatformRefusal::Reason::Throttled)
            return onSilence(); // read what stands there now
        return Error { ErrorCode::Malformed, "the platform refused the call" };
    }
    const auto &object = std::get<PlatformObject>(result);
    const auto *record = std::get_if<MoveRecord>(&object.value);
    if (record == nullptr)
        return Error { ErrorCode::Malformed, "the platform's object is not a move" };
    if (wasWriting)
        return *record;
    return onRecord(*record, object.version, now);
}

MoveRequest::Step MoveRequest::onSilence()
{
    if (++m_attempts < maxAttempts)
        return begin();
    if (m_mayHaveWritten)
        return Error { ErrorCode::UnknownOutcome,
                       "the platform does not answer; the request may have been recorded as "
                       "operation "
                           + m_wish.operation.value() };
    return Error { ErrorCode::Unavailable, "the platform does not answer; nothing was changed" };
}

// The version that serves guests now: what the latest move left, else what the tree says, else any
// other version that is announced.
BackendVersion MoveRequest::servingVersion(const std::optional<MoveRecord> &record) const
{
    std::vector<BackendVersion> candidates;
    if (record)
        candidates.push_back(record->state == MoveState::Done ? record->to : record->from);
    candidates.push_back(m_wish.configured);
    candidates.insert(candidates.end(), m_wish.announced.begin(), m_wish.announced.end());
    for (const BackendVersion &version : candidates) {
        const bool isBad = record && isJudgedBad(*record, version);
        if (version != m_wish.to && m_wish.announced.contains(version) && !isBad)
            return version;
    }
    return {};
}

MoveRequest::Step MoveRequest::onRecord(const std::optional<MoveRecord> &record,
                                        ObjectVersion version, WallTime now)
{
    const bool isCancel = m_wish.to == BackendVersion();
    const bool isUnder = record && isUnderWay(record->state);
    MoveRecord wanted;
    if (isCancel) {
        if (record && m_mayHaveWritten && record->state == MoveState::Cancelled)
            return *record;
        if (!isUnder)
            return Error { ErrorCode::NotFound, "no move of this service is under way" };
        wanted = *record;
        wanted.state = MoveState::Cancelled;
        wanted.share = Share::none();
        wanted.domainShares.clear();
        wanted.explanation = "An operator cancelled the move.";
    } else {
        if (record && record->operation == m_wish.operation)
            return *record; // an earlier write took effect
        if (isUnder)
            return Error { ErrorCode::Conflict,
                           "a move of this service to " + record->to.value()
                               + " is under way (operation " + record->operation.value() + ")" };
        if (!m_wish.announced.contains(m_wish.to))
            return Error { ErrorCode::InvalidInput,
                           "no backend server announces version " + m_wish.to.value() };
        const auto shortest
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_wish.soak + shortestRamp);
        if (m_wish.deadline.value() - now.value() < shortest.count())
            return Error { ErrorCode::InvalidInput,
                           "the time cannot be met: the soak and the shortest ramp take "
                               + std::to_string(shortest.count() / 1000) + " s" };
        wanted.from = servingVersion(record);
        if (wanted.from == BackendVersion())
            return Error { ErrorCode::InvalidInput, "there is no other version to move from" };
        wanted.service = m_wish.service;
        wanted.to = m_wish.to;
        wanted.requestedAt = now;
        wanted.deadline = m_wish.deadline;
        wanted.operation = m_wish.operation;
        wanted.scopeDomain = m_wish.scopeDomain;
        wanted.scopeRoute = m_wish.scopeRoute;
        wanted.explanation = "The move was requested.";
        for (const RecordedVerdict &verdict :
             record ? record->verdicts : std::vector<RecordedVerdict>()) {
            if (verdict.version != m_wish.to)
                wanted.verdicts.push_back(verdict);
        }
    }
    wanted.steppedAt = now;
    m_isWriting = true;
    return PlatformOperation(PlatformWrite { moveKey(m_wish.service), version, wanted });
}

} // namespace camphorreach
