// Move records, verdicts and evidence at one node.
#include <camphorreach/impl/movereport.h>
#include <camphorreach/moves.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration updateInterval = std::chrono::seconds(1);

Duration horizonOf(const MoveRecord &record)
{
    return std::chrono::milliseconds(
        std::max<std::int64_t>(1, record.deadline.value() - record.requestedAt.value()));
}

LeaseRecord leaseRecordOf(const Endpoint &self)
{
    LeaseRecord record;
    record.holder = self.instance;
    record.peer = self.peer;
    record.incarnation = self.incarnation;
    return record;
}

} // namespace

Moves::ActiveMove::ActiveMove(const MoveRecord &record)
    : operation(record.operation), collector(record.from, record.to),
      localEvidence(horizonOf(record)), domainEvidence(horizonOf(record)),
      globalEvidence(horizonOf(record))
{ }

Moves::Moves(Endpoint self, WallTime wallAtZero, RandomSource &random)
    : m_self(std::move(self)), m_wallAtZero(wallAtZero), m_random(random),
      m_controller(m_self.service, leaseRecordOf(m_self), m_callIds, random)
{ }

void Moves::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(Overloaded {
                   [&](PlatformReply &reply) {
                       if (m_controller.process(reply, now))
                           advanceController(now, outbox);
                   },
                   [&](PeerReceived<MoveMessage> &received) { onMessage(received, now, outbox); },
                   [&](EndpointsChanged &changed) {
                       m_endpoints = std::move(changed.table);
                       refreshPeers();
                       m_hasChanged = true;
                   },
                   [&](SnapshotChanged &changed) { m_snapshot = std::move(changed.snapshot); },
                   [&](RequestSample &sample) { onSample(sample); },
               },
               input);
    publishShares(outbox);
}

void Moves::onMessage(const PeerReceived<MoveMessage> &received, TimePoint now,
                      Outbox<Output> &outbox)
{
    std::visit(Overloaded {
                   [&](const BadVersionVerdict &verdict) { onVerdict(verdict, outbox); },
                   [&](const MoveNotice &notice) { onNotice(notice, outbox); },
                   [&](const MoveDigest &digest) { onDigest(digest, received.from, outbox); },
                   [&](const EvidenceReport &report) { onReport(report, now); },
               },
               received.message);
}

void Moves::onNotice(const MoveNotice &notice, Outbox<Output> &outbox)
{
    ServiceState &state = m_services[notice.record.service];
    if (state.notice) {
        const bool isSame = notice.version == state.notice->version;
        const bool isNewTerm = isSame && notice.term > state.notice->term;
        if (notice.version < state.notice->version || (isSame && !isNewTerm))
            return;
    }
    state.notice = notice;
    const MoveRecord &record = notice.record;
    // A verdict is lifted only by a later operation of an operator that moves to the same version.
    const auto found = state.verdicts.find(record.to);
    if (found != state.verdicts.end() && !hasBadVerdict(record, record.to)
        && found->second.operation != record.operation && found->second.move < notice.version)
        state.verdicts.erase(found);
    for (const RecordedVerdict &verdict : record.verdicts) {
        state.verdicts.try_emplace(verdict.version,
                                   BadVersionVerdict { record.service, verdict.version,
                                                       notice.version, verdict.operation,
                                                       verdict.domain, verdict.reason });
    }
    if (!isUnderWay(record.state))
        state.active.reset();
    else if (!state.active || state.active->operation != record.operation)
        state.active = std::make_unique<ActiveMove>(record);
    m_hasChanged = true;
    gossip(notice, outbox);
}

void Moves::onVerdict(const BadVersionVerdict &verdict, Outbox<Output> &outbox)
{
    ServiceState &state = m_services[verdict.service];
    // A late verdict on an earlier move does not apply to a move that was requested after it.
    if (state.notice && state.notice->record.to == verdict.version
        && state.notice->record.operation != verdict.operation
        && state.notice->version > verdict.move
        && !hasBadVerdict(state.notice->record, verdict.version))
        return;
    if (!state.verdicts.try_emplace(verdict.version, verdict).second)
        return;
    m_hasChanged = true;
    gossip(verdict, outbox);
}

void Moves::onDigest(const MoveDigest &received, const NetAddress &from, Outbox<Output> &outbox)
{
    const auto send = [&](MoveMessage message) {
        outbox.emit(PeerSend { from, Transport::Datagram, std::move(message) });
    };
    for (const auto &[service, state] : m_services) {
        const auto peerVersion = received.versions.find(service);
        const ObjectVersion version
            = peerVersion == received.versions.end() ? ObjectVersion() : peerVersion->second;
        // A full digest may omit services that the peer holds. Only a digest below the limit shows
        // that a service is missing there.
        const bool isComplete = received.versions.size() < maxDigestServices;
        if (peerVersion == received.versions.end() && !isComplete)
            continue;
        if (state.notice && state.notice->version > version)
            send(*state.notice);
        for (const auto &[name, verdict] : state.verdicts) {
            const bool isRecorded = state.notice && hasBadVerdict(state.notice->record, name);
            if (!isRecorded)
                send(verdict);
        }
    }
    const bool isBehind = std::ranges::any_of(received.versions, [&](const auto &entry) {
        const auto found = m_services.find(entry.first);
        return found == m_services.end() || !found->second.notice
            || found->second.notice->version < entry.second;
    });
    if (isBehind && !received.isAnswer)
        send(digest(true));
}

void Moves::onReport(const EvidenceReport &report, TimePoint now)
{
    const auto found = m_services.find(report.service);
    if (found == m_services.end() || !found->second.active
        || found->second.active->operation != report.operation)
        return;
    ActiveMove &active = *found->second.active;
    if (report.isAggregated)
        active.reportedAt[report.domain] = now;
    for (const EvidenceEntry &entry : report.entries)
        (report.isAggregated ? active.globalEvidence : active.domainEvidence).add(entry);
    if (!report.isAggregated)
        impl::merge(active.toController, report.entries);
}

void Moves::onSample(const RequestSample &sample)
{
    const auto found = m_services.find(sample.service);
    if (found != m_services.end() && found->second.active)
        found->second.active->collector.add(sample);
}

void Moves::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (m_nextUpdate && now < *m_nextUpdate)
        return;
    m_nextUpdate = now + updateInterval;
    for (auto &[service, state] : m_services) {
        if (state.active)
            updateService(service, state, now, outbox);
    }
    m_updatedAt = now;
    advanceController(now, outbox);
    sendDigest(outbox);
    publishShares(outbox);
}

void Moves::updateService(const ServiceName &service, ServiceState &state, TimePoint now,
                          Outbox<Output> &outbox)
{
    ActiveMove &active = *state.active;
    const Duration elapsed = std::min(now - m_updatedAt, 10 * updateInterval);
    const auto instances = instancesByGroup(service, state.notice->record.to);
    const std::vector<EvidenceEntry> entries = active.collector.take(now);
    for (const EvidenceEntry &entry : entries)
        active.localEvidence.add(entry);
    impl::merge(active.toAggregator, entries);
    for (Evidence *evidence :
         { &active.localEvidence, &active.domainEvidence, &active.globalEvidence }) {
        evidence->setInstances(instances);
        evidence->advance(elapsed);
    }
    // The higher thresholds keep the false positive rate of all nodes together within that of the
    // policy.
    const double nodes = static_cast<double>(m_peers.size() + 1);
    checkForRegression(service, state, active.localEvidence, std::log(4.0 * nodes), outbox);
    checkForRegression(service, state, active.domainEvidence, std::log(16.0), outbox);
    sendReports(service, state, now, outbox);
}

void Moves::checkForRegression(const ServiceName &service, ServiceState &state,
                               const Evidence &evidence, double extraThreshold,
                               Outbox<Output> &outbox)
{
    const MoveRecord &record = state.notice->record;
    if (state.verdicts.contains(record.to))
        return;
    const EvidenceSummary summary = evidence.summary();
    if (summary.logBad < thresholdsOf(policyOf(service)).regression + extraThreshold)
        return;
    onVerdict({ service, record.to, state.notice->version, record.operation, m_self.domain,
                describeEvidence(summary) },
              outbox);
}

} // namespace camphorreach
