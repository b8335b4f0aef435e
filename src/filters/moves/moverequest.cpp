// Checks, calls and retries of an operator's request.
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

std::optional<std::int64_t> parseDurationMs(std::string_view text)
{
    std::int64_t total = 0;
    if (text.empty())
        return std::nullopt;
    while (!text.empty()) {
        std::int64_t number = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        constexpr std::int64_t maxNumber = 1'000'000;
        const bool hasUnit = end != text.data() + text.size();
        if (code != std::errc() || !hasUnit || number < 0 || number > maxNumber)
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
    if (const auto duration = parseDurationMs(text))
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
    if (const auto *noAnswer = std::get_if<PlatformNoReply>(&result)) {
        m_mayHaveWritten = m_mayHaveWritten || noAnswer->mayHaveTakenEffect;
        return retryOrFail();
    }
    if (const auto *refusal = std::get_if<PlatformRefusal>(&result)) {
        if (!wasWriting && refusal->reason == PlatformRefusal::Reason::NotFound)
            return onRecord(std::nullopt, ObjectVersion(), now);
        if (refusal->reason == PlatformRefusal::Reason::Conflict
            || refusal->reason == PlatformRefusal::Reason::Throttled)
            return retryOrFail(); // starts again with the current record
        return Error { ErrorCode::Malformed, "the platform refused the call" };
    }
    const auto &object = std::get<PlatformObject>(result);
    const auto *record = std::get_if<MoveRecord>(&object.value);
    if (record == nullptr)
        return Error { ErrorCode::Malformed, "the object in the platform is not a move" };
    if (wasWriting)
        return *record;
    return onRecord(*record, object.version, now);
}

MoveRequest::Step MoveRequest::retryOrFail()
{
    if (++m_attempts < maxAttempts)
        return begin();
    if (m_mayHaveWritten)
        return Error { ErrorCode::UnknownOutcome,
                       "the platform does not answer; the request may have been recorded as "
                       "operation "
                           + m_spec.operation.value() };
    return Error { ErrorCode::Unavailable, "the platform does not answer; nothing was changed" };
}

// Returns the version that currently receives the requests: the one that the latest move left in
// place, otherwise the one that the tree configures, otherwise any other version that is announced.
BackendVersion MoveRequest::servingVersion(const std::optional<MoveRecord> &record) const
{
    std::vector<BackendVersion> candidates;
    if (record)
        candidates.push_back(record->state == MoveState::Done ? record->to : record->from);
    candidates.push_back(m_spec.configured);
    candidates.insert(candidates.end(), m_spec.announced.begin(), m_spec.announced.end());
    for (const BackendVersion &version : candidates) {
        const bool isBad = record && hasBadVerdict(*record, version);
        if (version != m_spec.to && m_spec.announced.contains(version) && !isBad)
            return version;
    }
    return {};
}

MoveRequest::Step MoveRequest::onRecord(const std::optional<MoveRecord> &record,
                                        ObjectVersion version, WallTime now)
{
    const bool isCancel = m_spec.to == BackendVersion();
    const bool isActive = record && isUnderWay(record->state);
    MoveRecord updated;
    if (isCancel) {
        if (record && m_mayHaveWritten && record->state == MoveState::Cancelled)
            return *record;
        if (!isActive)
            return Error { ErrorCode::NotFound, "no move of this service is under way" };
        updated = *record;
        updated.state = MoveState::Cancelled;
        updated.share = Share::none();
        updated.domainShares.clear();
        updated.explanation = "An operator cancelled the move.";
    } else {
        if (record && record->operation == m_spec.operation)
            return *record; // an earlier write took effect
        if (isActive)
            return Error { ErrorCode::Conflict,
                           "a move of this service to " + record->to.value()
                               + " is under way (operation " + record->operation.value() + ")" };
        if (!m_spec.announced.contains(m_spec.to))
            return Error { ErrorCode::InvalidInput,
                           "no backend server announces version " + m_spec.to.value() };
        const auto minLength
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_spec.soak + minRamp);
        if (m_spec.deadline.value() - now.value() < minLength.count())
            return Error { ErrorCode::InvalidInput,
                           "the deadline is too soon: the soak and the minimum ramp take "
                               + std::to_string(minLength.count() / 1000) + " s" };
        updated.from = servingVersion(record);
        if (updated.from == BackendVersion())
            return Error { ErrorCode::InvalidInput, "there is no other version to move from" };
        updated.service = m_spec.service;
        updated.to = m_spec.to;
        updated.requestedAt = now;
        updated.deadline = m_spec.deadline;
        updated.operation = m_spec.operation;
        updated.scopeDomain = m_spec.scopeDomain;
        updated.scopeRoute = m_spec.scopeRoute;
        updated.explanation = "The move was requested.";
        for (const RecordedVerdict &verdict :
             record ? record->verdicts : std::vector<RecordedVerdict>()) {
            if (verdict.version != m_spec.to)
                updated.verdicts.push_back(verdict);
        }
    }
    updated.steppedAt = now;
    m_isWriting = true;
    return PlatformOperation(PlatformWrite { moveKey(m_spec.service), version, updated });
}

} // namespace camphorreach
