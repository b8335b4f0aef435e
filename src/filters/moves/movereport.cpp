// Evidence reports of limited size.
#include <camphorreach/impl/movereport.h>

#include <camphorreach/movemessage.h>

#include <algorithm>
#include <map>
#include <utility>

namespace camphorreach::impl {
namespace {

constexpr std::size_t maxPending = 512; // entries that wait for later reports

std::uint64_t adverseCount(const GroupCounts &counts)
{
    std::uint64_t sum = 0;
    for (const std::uint32_t count : counts.adverse)
        sum += count;
    return sum;
}

} // namespace

std::uint64_t rankOf(const ServiceName &service, const InstanceId &instance)
{
    std::uint64_t hash = 14695981039346656037ULL; // FNV-1a
    for (const std::string *text : { &service.value(), &instance.value() }) {
        for (const char byte : *text)
            hash = (hash ^ static_cast<std::uint8_t>(byte)) * 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    return hash * 0xff51afd7ed558ccdULL;
}

void merge(std::vector<EvidenceEntry> &pending, const std::vector<EvidenceEntry> &entries)
{
    for (const EvidenceEntry &entry : entries) {
        const auto found = std::ranges::find_if(pending, [&](const EvidenceEntry &other) {
            return other.group == entry.group && other.role == entry.role
                && other.stratum == entry.stratum;
        });
        if (found != pending.end())
            found->counts += entry.counts;
        else if (pending.size() < maxPending)
            pending.push_back(entry);
    }
}

std::vector<EvidenceEntry> takeReport(std::vector<EvidenceEntry> &pending)
{
    std::map<Stratum, std::pair<std::uint64_t, std::size_t>> strata; // adverse events, entries
    for (const EvidenceEntry &entry : pending) {
        strata[entry.stratum].first += adverseCount(entry.counts);
        ++strata[entry.stratum].second;
    }
    std::vector<EvidenceEntry> report;
    while (!strata.empty()) {
        const auto first = std::ranges::max_element(
            strata, {}, [](const auto &stratum) { return stratum.second.first; });
        const Stratum stratum = first->first;
        if (!report.empty() && report.size() + first->second.second > maxReportEntries)
            break;
        strata.erase(first);
        std::erase_if(pending, [&](const EvidenceEntry &entry) {
            if (entry.stratum != stratum)
                return false;
            report.push_back(entry);
            return true;
        });
    }
    return report;
}

} // namespace camphorreach::impl
