// How shares, verdicts and evidence of moves travel, and what the router is told.
#include <camphorreach/impl/movereport.h>
#include <camphorreach/moves.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <set>
#include <utility>

namespace camphorreach {
namespace {

constexpr std::size_t pushFanOut = 4;
constexpr std::size_t controllerCandidates = 2; // for each service
// Domains are in reach of the controller while they report at least this often.
constexpr Duration hearingTime = std::chrono::seconds(6);
// Node reports that a pooling node takes each second, whatever the number of senders. With reports
// of at most 1,100 bytes, and typically 300, this stays below the budget of 9 KB/s for a node.
constexpr double reportsPerSecond = 8.0;
// Reports without adverse events are sent less often, so that failures arrive first.
constexpr double quietPart = 0.25;

} // namespace

void Moves::push(const MoveMessage &message, Outbox<Output> &outbox)
{
    std::vector<NetAddress> targets;
    std::ranges::sample(m_peers, std::back_inserter(targets), pushFanOut, m_random);
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

// A restarted node sends an empty digest and so asks for all records and verdicts.
void Moves::exchange(Outbox<Output> &outbox)
{
    if (m_peers.empty())
        return;
    const NetAddress &peer = m_peers[uniformBelow(m_random, m_peers.size())];
    outbox.emit(PeerSend { peer, Transport::Datagram, MoveMessage(digest(false)) });
}

void Moves::refreshPeers()
{
    m_peers.clear();
    m_domainNodes = 1;
    for (const auto &[service, endpoints] : m_endpoints->services) {
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.instance == m_self.instance)
                continue;
            m_peers.push_back(endpoint.peer);
            m_domainNodes += endpoint.domain == m_self.domain ? 1 : 0;
        }
    }
}

const Endpoint *Moves::poolingNode(const ServiceName &service) const
{
    const Endpoint *chosen = nullptr;
    const auto found = m_endpoints->services.find(service);
    if (found == m_endpoints->services.end())
        return nullptr;
    const auto better = [&](const Endpoint &a, const Endpoint &b) {
        const bool isLocalA = a.domain == m_self.domain;
        const bool isLocalB = b.domain == m_self.domain;
        if (isLocalA != isLocalB)
            return isLocalA;
        return impl::rankOf(service, a.instance) > impl::rankOf(service, b.instance);
    };
    for (const Endpoint &endpoint : found->second) {
        if (endpoint.state != EndpointState::Ready)
            continue;
        if (chosen == nullptr || better(endpoint, *chosen))
            chosen = &endpoint;
    }
    return chosen;
}

void Moves::sendReports(const ServiceName &service, ServiceState &state, TimePoint now,
                        Outbox<Output> &outbox)
{
    const Endpoint *pooling = m_endpoints ? poolingNode(service) : nullptr;
    if (pooling == nullptr)
        return;
    Running &running = *state.running;
    EvidenceReport report { service, running.operation, m_self.domain, false, {} };
    if (pooling->instance != m_self.instance) {
        const bool hasAdverse = std::ranges::any_of(running.toPool, [](const auto &entry) {
            return std::ranges::any_of(entry.counts.adverse, [](auto count) { return count > 0; });
        });
        const double chance = std::min(1.0, reportsPerSecond / static_cast<double>(m_domainNodes))
            * (hasAdverse ? 1.0 : quietPart);
        if (running.toPool.empty() || uniformFraction(m_random) >= chance)
            return;
        report.entries = impl::takeReport(running.toPool);
        outbox.emit(
            PeerSend { pooling->peer, Transport::Datagram, MoveMessage(std::move(report)) });
        return;
    }
    report.entries = std::exchange(running.toPool, {});
    onReport(report, now);
    report.isPooled = true;
    report.entries = impl::takeReport(running.toController);
    const bool isLedHere = service == m_self.service && m_control.isLeading(now);
    if (isLedHere)
        onReport(report, now);
    else if (state.notice->controller != NetAddress())
        outbox.emit(PeerSend { state.notice->controller, Transport::Datagram,
                               MoveMessage(std::move(report)) });
}

void Moves::control(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_endpoints)
        return;
    std::size_t ahead = 0;
    const auto found = m_endpoints->services.find(m_self.service);
    if (found != m_endpoints->services.end()) {
        for (const Endpoint &endpoint : found->second) {
            ahead += impl::rankOf(m_self.service, endpoint.instance)
                    > impl::rankOf(m_self.service, m_self.instance)
                ? 1
                : 0;
        }
    }
    m_control.setCandidate(ahead < controllerCandidates);
    ServiceState &state = m_services[m_self.service];
    if (m_control.known()) {
        MoveNotice notice = *m_control.known();
        notice.term = m_control.term(now);
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
    m_control.advance(now, wall, policyOf(m_self.service), viewOf(state, m_self.service, now),
                      verdict, outbox);
}

MoveView Moves::viewOf(const ServiceState &state, const ServiceName &service, TimePoint now) const
{
    MoveView view;
    if (!state.running)
        return view;
    view.evidence = state.running->all.summary();
    for (const auto &[domain, heardAt] : state.running->heard) {
        if (now - heardAt <= hearingTime)
            view.heard.insert(domain);
    }
    const auto found = m_endpoints->services.find(service);
    if (found != m_endpoints->services.end()) {
        for (const Endpoint &endpoint : found->second)
            view.expected.insert(endpoint.domain);
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

// When no instance of another version is ready, the ban yields: an answer that may fail is better
// for a guest than none. While there is one, the old instances take all the traffic and shed by the
// weight of the kind what is beyond their slots.
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

std::array<std::uint32_t, instanceGroups> Moves::instancesOf(const ServiceName &service,
                                                             const BackendVersion &version) const
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

std::vector<Moves::Account> Moves::accounts(TimePoint now) const
{
    std::vector<Account> accounts;
    for (const auto &[service, state] : m_services) {
        if (!state.notice)
            continue;
        Account account {
            *state.notice, service == m_self.service && m_control.isLeading(now), {}, {}
        };
        for (const auto &[version, verdict] : state.verdicts)
            account.verdicts.push_back(verdict);
        if (account.isLedHere && state.running)
            account.evidence = state.running->all.summary();
        accounts.push_back(std::move(account));
    }
    return accounts;
}

} // namespace camphorreach
