// Aggregation of node reports into summaries and a status.
#include <camphorreach/domainstatus.h>

#include <algorithm>
#include <functional>
#include <set>

namespace camphorreach {
namespace {

constexpr Duration minReportInterval = std::chrono::seconds(10);
// Bounds the periodic reports that a reader receives, whatever the size of its domain.
constexpr std::uint32_t maxReportsPerSecond = 28;
// Spreads the reports of a domain after a version change.
constexpr Duration reportJitter = std::chrono::seconds(2);
constexpr unsigned reportLifetimeIntervals = 3;
constexpr Duration summaryInterval = std::chrono::seconds(2);
constexpr Duration summaryLifetime = std::chrono::seconds(30);
constexpr std::size_t summariesPerDigest = 3;
constexpr std::size_t maxDomains = 64;
constexpr std::size_t maxSlots = 2;
constexpr Duration domainRetention = std::chrono::hours(24);
constexpr std::size_t maxRefusalsInStatus = 32;

Duration randomBelow(Duration bound, RandomSource &random)
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
    std::erase_if(m_reports,
                  [this](const auto &entry) { return !m_peers.isInDomain(entry.first); });
}

void DomainStatus::onVersionChanged(TimePoint now)
{
    m_nextReport = std::min(m_nextReport, now + randomBelow(reportJitter, m_random));
}

void DomainStatus::onReport(const NodeReport &report, TimePoint now)
{
    if (m_peers.isInDomain(report.instance))
        m_reports[report.instance] = { report, now };
}

void DomainStatus::onSummaries(const std::vector<DomainSummary> &summaries, TimePoint now)
{
    for (const DomainSummary &summary : summaries) {
        const TimePoint createdAt = now - std::chrono::milliseconds(summary.ageMs);
        const std::pair key(summary.domain, summary.slot);
        const bool isKnown = m_summaries.contains(key);
        if (!isKnown && m_summaries.size() >= maxDomains * maxSlots)
            continue;
        if (isKnown && m_summaries.at(key).createdAt >= createdAt)
            continue;
        m_summaries[key] = { summary, createdAt };
        if (m_domains.size() < maxDomains)
            m_domains.try_emplace(summary.domain, now);
    }
}

Duration DomainStatus::reportInterval() const
{
    const auto found = m_peers.domains().find(m_peers.self().domain);
    const std::uint32_t nodes = found == m_peers.domains().end() ? 1 : found->second;
    return std::max<Duration>(minReportInterval, std::chrono::seconds(nodes / maxReportsPerSecond));
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
        if (now - entry.receivedAt > reportInterval() * reportLifetimeIntervals)
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
        m_summaries[{ m_peers.self().domain, *slot }] = { summarize(*slot, inForce, now), now };
    }
    if (now < m_nextReport)
        return;
    const Duration interval = reportInterval();
    m_nextReport = now + interval / 2 + randomBelow(interval, m_random);
    for (const auto &[key, received] : m_summaries) {
        const bool isOwnDomain = key.first == m_peers.self().domain;
        const bool isOtherReader = received.summary.reader != m_peers.self().peer;
        if (isOwnDomain && isOtherReader && now - received.createdAt <= summaryLifetime)
            sends.push_back({ received.summary.reader, Transport::Datagram,
                              ConfigMessage(ownReport(inForce)) });
    }
}

TimePoint DomainStatus::nextDeadline() const
{
    return m_nextReport;
}

std::vector<DomainSummary> DomainStatus::nextSummaries(TimePoint now)
{
    std::vector<DomainSummary> fresh;
    for (const auto &[key, received] : m_summaries) {
        const Duration age = now - received.createdAt;
        if (age > summaryLifetime)
            continue;
        fresh.push_back(received.summary);
        fresh.back().ageMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    }
    if (fresh.size() <= summariesPerDigest)
        return fresh;
    std::vector<DomainSummary> selected;
    for (std::size_t i = 0; i < summariesPerDigest; ++i)
        selected.push_back(fresh[m_nextSummaryIndex++ % fresh.size()]);
    return selected;
}

ConfigStatus DomainStatus::status(TimePoint now) const
{
    ConfigStatus status;
    status.version = m_store.accepted();
    if (const auto &refusal = m_store.refusal())
        status.version = std::max(status.version, refusal->version);
    // A failure domain has two readers; their newer summary counts.
    std::map<FailureDomain, const ReceivedSummary *> newest;
    for (const auto &[key, received] : m_summaries) {
        if (now - received.createdAt > summaryLifetime)
            continue;
        const ReceivedSummary *&entry = newest[key.first];
        if (entry == nullptr || entry->createdAt < received.createdAt)
            entry = &received;
        status.version = std::max(status.version, received.summary.accepted);
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
        // Refusals of an older version say nothing about the newest one.
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
