// Evidence reports: merging, selection of the entries to send first, and ranking of instances.
#pragma once

#include <camphorreach/moveevidence.h>

#include <cstdint>
#include <vector>

namespace camphorreach::impl {

/// Rendezvous hash of an instance for a role of a service, such as the aggregator. The instances
/// with the highest ranks take the role.
[[nodiscard]] std::uint64_t rankOf(const ServiceName &service, const InstanceId &instance);
/// Adds \a entries to \a pending. Entries that would exceed its limit are dropped.
void merge(std::vector<EvidenceEntry> &pending, const std::vector<EvidenceEntry> &entries);
/// Moves at most maxReportEntries entries from \a pending into a report, those of the strata with
/// the most adverse events first. A stratum is never split, because a version would look worse
/// without its successful requests.
[[nodiscard]] std::vector<EvidenceEntry> takeReport(std::vector<EvidenceEntry> &pending);

} // namespace camphorreach::impl
