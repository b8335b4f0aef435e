// cereal serialisation of configuration messages.
#pragma once

#include <camphorreach/configmessage.h>
#include <camphorreach/impl/archive.h>

namespace camphorreach {

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name `serialize`.
template <typename Archive>
void serialize(Archive &archive, RefusalReport &report)
{
    archive(report.instance, report.version, report.findings);
}

template <typename Archive>
void serialize(Archive &archive, VersionCount &count)
{
    archive(count.version, count.nodes);
}

template <typename Archive>
void serialize(Archive &archive, DomainSummary &summary)
{
    archive(summary.domain, summary.slot, summary.reader, summary.ageMs, summary.accepted,
            summary.nodes, summary.inForce, summary.refusing, summary.refusals);
}

template <typename Archive>
void serialize(Archive &archive, VersionDigest &message)
{
    archive(message.instance, message.accepted, message.digest, message.inForce, message.summaries);
}

template <typename Archive>
void serialize(Archive &archive, TreeDelta &delta)
{
    archive(delta.base, delta.result, delta.set, delta.removed);
}

template <typename Archive>
void serialize(Archive &archive, ConfigStep &step)
{
    archive(step.base, step.version, step.changes);
}

template <typename Archive>
void serialize(Archive &archive, ConfigUpdate &update)
{
    archive(update.steps);
}

template <typename Archive>
void serialize(Archive &archive, ConfigPull &pull)
{
    archive(pull.accepted, pull.digest);
}

template <typename Archive>
void serialize(Archive &archive, FloorQuery &query)
{
    archive(query.instance);
}

template <typename Archive>
void serialize(Archive &archive, FloorAnswer &answer)
{
    archive(answer.floor, answer.isEstablished);
}

template <typename Archive>
void serialize(Archive &archive, NodeReport &report)
{
    archive(report.instance, report.inForce, report.refused, report.findings);
}
// NOLINTEND(readability-identifier-naming)

} // namespace camphorreach
