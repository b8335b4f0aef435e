// Spread of move records, verdicts and evidence between nodes, and shares for the router.
#include <camphorreach/impl/movereport.h>
#include <camphorreach/moves.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <set>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t gossipFanOut = 4;
constexpr std::size_t maxContenders = 2; // nodes per service that contend for the lease
// A failure domain counts as reachable for the controller until this long after its last report.
constexpr Duration reportTimeout = std::chrono::seconds(6);
// Expected number of reports that an aggregator receives per second, for any number of senders.
// With reports of at most 1,100 bytes, and typically 300, this stays below the budget of 9 KB/s for
// a node.
constexpr double reportsPerSecond = 8.0;
// Reports without adverse events are sent less often, so that those with failures arrive first.
constexpr double quietReportFactor = 0.25;

} // namespace

void Moves::gossip(const MoveMessage &message, Outbox<Output> &outbox)
{
    std::vector<NetAddress> targets;
    std::ranges::sample(m_peers, std::back_inserter(targets), gossipFanOut, m_random);
    for (const NetAddress &target : targets)
        outbox.emit(PeerSend { target, Transport::Datagram, message });
}

MoveDigest Moves::digest(bool isAnswer)
{
    std::vector<std::pair<ServiceName, ObjectVersion>> known;
    for (const auto &[service, state] : m_services) {
        if (state.notice)
            known.emplace_back(service, state.notice->version);
    }
    std::vector<std::pair<ServiceName, ObjectVersion>> chosen;
    std::ranges::sample(known, std::back_inserter(chosen), maxDigestServices, m_random);
    return { { chosen.begin(), chosen.end() }, isAnswer };
}

// Sends the digest to a random peer. The empty digest of a restarted node requests all records and
// verdicts.
void Moves::sendDigest(Outbox<Output> &outbox)
{
    if (m_peers.empty())
        return;
    const NetAddress &peer = m_peers[uniformBelow(m_random, m_peers.size())];
    outbox.emit(PeerSend { peer, Transport::Datagram, MoveMessage(digest(false)) });
}

void Moves::refreshPeers()
{
    m_peers.clear();
    m_domainNodeCount = 1;
    for (const auto &[service, endpoints] : m_endpoints->services) {
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.instance == m_self.instance)
                continue;
            m_peers.push_back(endpoint.peer);
            m_domainNodeCount += endpoint.domain == m_self.domain ? 1 : 0;
        }
    }
}

const Endpoint *Moves::findAggregator(const ServiceName &service) const
{
    const Endpoint *chosen = nullptr;
    const auto found = m_endpoints->services.find(service);
    if (found == m_endpoints->services.end())
        return nullptr;
    const auto ranksHigher = [&](const Endpoint &a, const Endpoint &b) {
        const bool isLocalA = a.domain == m_self.domain;
        const bool isLocalB = b.domain == m_self.domain;
        if (isLocalA != isLocalB)
            return isLocalA;
        return impl::rankOf(service, a.instance) > impl::rankOf(service, b.instance);
    };
    for (const Endpoint &endpoint : found->second) {
        if (endpoint.state != EndpointState::Ready)
            continue;
        if (chosen == nullptr || ranksHigher(endpoint, *chosen))
            chosen = &endpoint;
    }
    return chosen;
}

void Moves::sendReports(const ServiceName &service, ServiceState &state, TimePoint now,
                        Outbox<Output> &outbox)
{
    const Endpoint *aggregator = m_endpoints ? findAggregator(service) : nullptr;
    if (aggregator == nullptr)
        return;
    ActiveMove &active = *state.active;
    EvidenceReport report { service, active.operation, m_self.domain, false, {} };
    if (aggregator->instance != m_self.instance) {
        const bool hasAdverse = std::ranges::any_of(active.toAggregator, [](const auto &entry) {
            return std::ranges::any_of(entry.counts.adverse, [](auto count) { return count > 0; });
        });
        const double probability
            = std::min(1.0, reportsPerSecond / static_cast<double>(m_domainNodeCount))
            * (hasAdverse ? 1.0 : quietReportFactor);
        if (active.toAggregator.empty() || uniformFraction(m_random) >= probability)
            return;
        report.entries = impl::takeReport(active.toAggregator);
        outbox.emit(
            PeerSend { aggregator->peer, Transport::Datagram, MoveMessage(std::move(report)) });
        return;
    }
    report.entries = std::exchange(active.toAggregator, {});
    onReport(report, now);
    report.isAggregated = true;
    report.entries = impl::takeReport(active.toController);
    const bool isController = service == m_self.service && m_controller.isLeading(now);
    if (isController)
        onReport(report, now);
    else if (state.notice->controller != NetAddress())
        outbox.emit(PeerSend { state.notice->controller, Transport::Datagram,
                               MoveMessage(std::move(report)) });
}

void Moves::advanceController(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_endpoints)
        return;
    std::size_t higherRanked = 0;
    const auto found = m_endpoints->services.find(m_self.service);
    if (found != m_endpoints->services.end()) {
        for (const Endpoint &endpoint : found->second) {
            higherRanked += impl::rankOf(m_self.service, endpoint.instance)
                    > impl::rankOf(m_self.service, m_self.instance)
                ? 1
                : 0;
        }
    }
    m_controller.setContender(higherRanked < maxContenders);
    ServiceState &state = m_services[m_self.service];
    if (m_controller.notice()) {
        MoveNotice notice = *m_controller.notice();
        notice.term = m_controller.term(now);
        if (notice.term > 0)
            notice.controller = m_self.peer;
        onNotice(notice, outbox);
    }
    std::optional<RecordedVerdict> verdict;
    if (state.notice) {
        const auto bad = state.verdicts.find(state.notice->record.to);
        if (bad != state.verdicts.end())
            verdict = RecordedVerdict { bad->first, bad->second.operation, bad->second.domain,
                                        bad->second.reason };
    }
    const WallTime wall(m_wallAtZero.value() + now.time_since_epoch().count() / 1000);
    m_controller.advance(now, wall, policyOf(m_self.service), viewOf(state, m_self.service, now),
                         verdict, outbox);
}

MoveView Moves::viewOf(const ServiceState &state, const ServiceName &service, TimePoint now) const
{
    MoveView view;
    if (!state.active)
        return view;
    view.evidence = state.active->globalEvidence.summary();
    for (const auto &[domain, reportedAt] : state.active->reportedAt) {
        if (now - reportedAt <= reportTimeout)
            view.reportingDomains.insert(domain);
    }
    const auto found = m_endpoints->services.find(service);
    if (found != m_endpoints->services.end()) {
        for (const Endpoint &endpoint : found->second)
            view.serviceDomains.insert(endpoint.domain);
    }
    return view;
}

bool Moves::hasOtherReadyVersion(const ServiceName &service, const BackendVersion &version) const
{
    const auto found = m_endpoints->services.find(service);
    return found != m_endpoints->services.end()
        && std::ranges::any_of(found->second, [&](const Endpoint &endpoint) {
               return endpoint.version != version && endpoint.state == EndpointState::Ready;
           });
}

// A bad version is not banned while no instance of another version is ready, because an answer that
// may fail is better for a client than none. Otherwise the instances of the other versions receive
// all requests and shed those that exceed their slots, by the weight of their kind.
void Moves::publishShares(Outbox<Output> &outbox)
{
    if (!m_hasChanged || !m_endpoints)
        return;
    m_hasChanged = false;
    auto shares = std::make_shared<MoveShares>();
    for (const auto &[service, state] : m_services) {
        ServiceShares &target = shares->services[service];
        for (const auto &[version, verdict] : state.verdicts) {
            if (hasOtherReadyVersion(service, version))
                target.banned.insert(version);
        }
        if (!state.notice)
            continue;
        const MoveRecord &record = state.notice->record;
        const bool isBanned = target.banned.contains(record.to);
        const Share share = isBanned ? Share::none() : shareIn(record, m_self.domain);
        target.shares[record.to] = share;
        target.shares[record.from] = share.complement();
    }
    outbox.emit(MoveSharesChanged { std::move(shares) });
}

MovePolicy Moves::policyOf(const ServiceName &service) const
{
    const ServicePolicy *policy = m_snapshot ? m_snapshot->findService(service) : nullptr;
    return policy != nullptr ? policy->move : MovePolicy();
}

std::array<std::uint32_t, instanceGroups>
Moves::instancesByGroup(const ServiceName &service, const BackendVersion &version) const
{
    std::array<std::uint32_t, instanceGroups> groups {};
    if (!m_endpoints)
        return groups;
    const auto found = m_endpoints->services.find(service);
    if (found == m_endpoints->services.end())
        return groups;
    for (const Endpoint &endpoint : found->second)
        groups[groupOf(endpoint.instance)] += endpoint.version == version ? 1 : 0;
    return groups;
}

std::vector<Moves::Status> Moves::statuses(TimePoint now) const
{
    std::vector<Status> statuses;
    for (const auto &[service, state] : m_services) {
        if (!state.notice)
            continue;
        Status status {
            *state.notice, service == m_self.service && m_controller.isLeading(now), {}, {}
        };
        for (const auto &[version, verdict] : state.verdicts)
            status.verdicts.push_back(verdict);
        if (status.isController && state.active)
            status.evidence = state.active->globalEvidence.summary();
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace camphorreach
