// cereal serialisation of messages about moves.
#pragma once

#include <camphorreach/impl/archive.h>
#include <camphorreach/movemessage.h>

#include <cereal/types/array.hpp>

namespace camphorreach {

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name `serialize`.
template <typename Archive>
void serialize(Archive &archive, RecordedVerdict &verdict)
{
    archive(verdict.version, verdict.operation, verdict.domain, verdict.reason);
}

template <typename Archive>
void serialize(Archive &archive, MoveRecord &record)
{
    archive(record.service, record.from, record.to, record.state, record.share, record.requestedAt,
            record.deadline, record.operation, record.explanation, record.steppedAt,
            record.domainShares, record.scopeDomain, record.scopeRoute, record.verdicts);
}

template <typename Archive>
void serialize(Archive &archive, Stratum &stratum)
{
    archive(stratum.domain, stratum.route, stratum.kind);
}

template <typename Archive>
void serialize(Archive &archive, GroupCounts &counts)
{
    archive(counts.requests, counts.adverse);
}

template <typename Archive>
void serialize(Archive &archive, EvidenceEntry &entry)
{
    archive(entry.stratum, entry.role, entry.group, entry.counts);
}

template <typename Archive>
void serialize(Archive &archive, BadVersionVerdict &verdict)
{
    archive(verdict.service, verdict.version, verdict.move, verdict.operation, verdict.domain,
            verdict.reason);
}

template <typename Archive>
void serialize(Archive &archive, MoveNotice &notice)
{
    archive(notice.version, notice.record, notice.controller.host, notice.controller.port,
            notice.term);
}

template <typename Archive>
void serialize(Archive &archive, MoveDigest &digest)
{
    archive(digest.versions, digest.isAnswer);
}

template <typename Archive>
void serialize(Archive &archive, EvidenceReport &report)
{
    archive(report.service, report.operation, report.domain, report.isAggregated, report.entries);
}
// NOLINTEND(readability-identifier-naming)

} // namespace camphorreach
