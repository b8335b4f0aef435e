// Pooling of reports and summaries.
#include <camphorreach/domainstatus.h>

#include <algorithm>
#include <functional>
#include <set>

namespace camphorreach {
namespace {

constexpr Duration shortestReportInterval = std::chrono::seconds(10);
// A reader takes in at most this many ordinary reports a second, however large its domain is.
constexpr std::uint32_t reportsPerSecond = 28;
// After a change of version, a domain's reports are spread over this time.
constexpr Duration reportSpread = std::chrono::seconds(2);
constexpr unsigned reportsKept = 3; // intervals
constexpr Duration summaryInterval = std::chrono::seconds(2);
constexpr Duration summaryLifetime = std::chrono::seconds(30);
constexpr std::size_t summariesPerAdvert = 3;
constexpr std::size_t maxDomains = 64;
constexpr std::size_t maxSlots = 2;
constexpr Duration domainRetention = std::chrono::hours(24);
constexpr std::size_t maxRefusalsInStatus = 32;

Duration below(Duration bound, RandomSource &random)
{
    return Duration(static_cast<Duration::rep>(
        uniformBelow(random, static_cast<std::uint64_t>(bound.count()))));
}

std::uint32_t countAt(const DomainSummary &summary, ConfigVersion version)
{
    const auto found = std::ranges::find(summary.inForce, version, &VersionCount::version);
    return found == summary.inForce.end() ? 0 : found->nodes;
}

} // namespace

DomainStatus::DomainStatus(const VersionStore &store, const ConfigPeers &peers,
                           RandomSource &random)
    : m_store(store), m_peers(peers), m_random(random)
{ }

void DomainStatus::onPeersChanged(TimePoint now)
{
    for (const auto &[domain, count] : m_peers.domains()) {
        if (m_domains.size() < maxDomains || m_domains.contains(domain))
            m_domains[domain] = now;
    }
    std::erase_if(m_domains,
                  [now](const auto &entry) { return entry.second + domainRetention <= now; });
    std::erase_if(m_reports, [this](const auto &entry) { return !m_peers.isMember(entry.first); });
}

void DomainStatus::onVersionChanged(TimePoint now)
{
    m_nextReport = std::min(m_nextReport, now + below(reportSpread, m_random));
}

void DomainStatus::onReport(const NodeReport &report, TimePoint now)
{
    if (m_peers.isMember(report.instance))
        m_reports[report.instance] = { report, now };
}

void DomainStatus::onSummaries(const std::vector<DomainSummary> &summaries, TimePoint now)
{
    for (const DomainSummary &summary : summaries) {
        const TimePoint madeAt = now - std::chrono::milliseconds(summary.ageMs);
        const std::pair key(summary.domain, summary.slot);
        const bool isKnown = m_heard.contains(key);
        if (!isKnown && m_heard.size() >= maxDomains * maxSlots)
            continue;
        if (isKnown && m_heard.at(key).madeAt >= madeAt)
            continue;
        m_heard[key] = { summary, madeAt };
        if (m_domains.size() < maxDomains)
            m_domains.try_emplace(summary.domain, now);
    }
}

Duration DomainStatus::reportInterval() const
{
    const auto found = m_peers.domains().find(m_peers.self().domain);
    const std::uint32_t nodes = found == m_peers.domains().end() ? 1 : found->second;
    return std::max<Duration>(shortestReportInterval,
                              std::chrono::seconds(nodes / reportsPerSecond));
}

NodeReport DomainStatus::ownReport(ConfigVersion inForce) const
{
    NodeReport report { m_peers.self().instance, inForce, {}, {} };
    if (const auto &refusal = m_store.refusal()) {
        report.refused = refusal->version;
        report.findings = toText(refusal->findings).substr(0, maxReportedFindings);
    }
    return report;
}

DomainSummary DomainStatus::summarize(std::uint8_t slot, ConfigVersion inForce, TimePoint now)
{
    const Endpoint &self = m_peers.self();
    m_reports[self.instance] = { ownReport(inForce), now };
    DomainSummary summary { self.domain, slot, self.peer, 0, m_store.accepted(), 0, {}, 0, {} };
    if (const auto &refusal = m_store.refusal())
        summary.accepted = std::max(summary.accepted, refusal->version);
    const auto nodes = m_peers.domains().find(self.domain);
    summary.nodes = nodes == m_peers.domains().end() ? 1 : nodes->second;
    std::map<ConfigVersion, std::uint32_t, std::greater<>> counts;
    for (const auto &[instance, entry] : m_reports) {
        if (now - entry.heardAt > reportInterval() * reportsKept)
            continue;
        const NodeReport &report = entry.report;
        ++counts[report.inForce];
        if (report.refused == ConfigVersion() || report.refused < summary.accepted)
            continue;
        ++summary.refusing;
        if (summary.refusals.size() < maxReportedRefusals)
            summary.refusals.push_back({ instance, report.refused, report.findings });
    }
    for (const auto &[version, count] : counts) {
        if (summary.inForce.size() < maxReportedVersions)
            summary.inForce.push_back({ version, count });
    }
    return summary;
}

void DomainStatus::advance(std::optional<std::uint8_t> slot, ConfigVersion inForce, TimePoint now,
                           std::vector<PeerSend> &sends)
{
    if (slot && now >= m_nextSummary) {
        m_nextSummary = now + summaryInterval;
        m_heard[{ m_peers.self().domain, *slot }] = { summarize(*slot, inForce, now), now };
    }
    if (now < m_nextReport)
        return;
    const Duration interval = reportInterval();
    m_nextReport = now + interval / 2 + below(interval, m_random);
    for (const auto &[key, heard] : m_heard) {
        const bool isNear = key.first == m_peers.self().domain;
        const bool isOther = heard.summary.reader != m_peers.self().peer;
        if (isNear && isOther && now - heard.madeAt <= summaryLifetime)
            sends.push_back(
                { heard.summary.reader, Transport::Datagram, ConfigMessage(ownReport(inForce)) });
    }
}

TimePoint DomainStatus::nextDeadline() const
{
    return m_nextReport;
}

std::vector<DomainSummary> DomainStatus::summariesToTell(TimePoint now)
{
    std::vector<DomainSummary> fresh;
    for (const auto &[key, heard] : m_heard) {
        const Duration age = now - heard.madeAt;
        if (age > summaryLifetime)
            continue;
        fresh.push_back(heard.summary);
        fresh.back().ageMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    }
    if (fresh.size() <= summariesPerAdvert)
        return fresh;
    std::vector<DomainSummary> told;
    for (std::size_t i = 0; i < summariesPerAdvert; ++i)
        told.push_back(fresh[m_nextToTell++ % fresh.size()]);
    return told;
}

ConfigStatus DomainStatus::status(TimePoint now) const
{
    ConfigStatus status;
    status.version = m_store.accepted();
    if (const auto &refusal = m_store.refusal())
        status.version = std::max(status.version, refusal->version);
    // Of the two readers of a failure domain, the later summary counts.
    std::map<FailureDomain, const Heard *> newest;
    for (const auto &[key, heard] : m_heard) {
        if (now - heard.madeAt > summaryLifetime)
            continue;
        const Heard *&entry = newest[key.first];
        if (entry == nullptr || entry->madeAt < heard.madeAt)
            entry = &heard;
        status.version = std::max(status.version, heard.summary.accepted);
    }
    std::uint32_t nodes = 0;
    for (const auto &[domain, seenAt] : m_domains) {
        const auto found = newest.find(domain);
        if (found == newest.end()) {
            status.unknownDomains.push_back(domain);
            continue;
        }
        const DomainSummary &summary = found->second->summary;
        const std::uint32_t atVersion = std::min(countAt(summary, status.version), summary.nodes);
        // Refusals of an older version do not tell what the nodes do with the newest one.
        const std::uint32_t refusing = summary.accepted == status.version
            ? std::min(summary.refusing, summary.nodes - atVersion)
            : 0;
        nodes += summary.nodes;
        status.nodesAtVersion += atVersion;
        status.nodesRefusing += refusing;
        status.nodesBehind += summary.nodes - atVersion - refusing;
        status.domains.push_back({ domain, summary.nodes, atVersion });
        for (const RefusalReport &refusal : summary.refusals) {
            if (refusing > 0 && status.refusals.size() < maxRefusalsInStatus)
                status.refusals.push_back(refusal);
        }
    }
    status.isInForceEverywhere = status.version != ConfigVersion() && status.unknownDomains.empty()
        && nodes > 0 && status.nodesAtVersion == nodes;
    return status;
}

} // namespace camphorreach
