// Records, verdicts and evidence of moves on one node.
#include <camphorreach/impl/movereport.h>
#include <camphorreach/moves.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration tickInterval = std::chrono::seconds(1);

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

Moves::Running::Running(const MoveRecord &record)
    : operation(record.operation), collector(record.from, record.to), own(horizonOf(record)),
      pooled(horizonOf(record)), all(horizonOf(record))
{ }

Moves::Moves(Endpoint self, WallTime wallAtZero, RandomSource &random)
    : m_self(std::move(self)), m_wallAtZero(wallAtZero), m_random(random),
      m_control(m_self.service, leaseRecordOf(m_self), m_numbers, random)
{ }

void Moves::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    std::visit(Overloaded {
                   [&](PlatformReply &reply) {
                       if (m_control.process(reply, now))
                           control(now, outbox);
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
        const bool isLeadNews = isSame && notice.term > state.notice->term;
        if (notice.version < state.notice->version || (isSame && !isLeadNews))
            return;
    }
    state.notice = notice;
    const MoveRecord &record = notice.record;
    // Only a later operation of an operator lifts a verdict, and only on the version it names.
    const auto found = state.verdicts.find(record.to);
    if (found != state.verdicts.end() && !isJudgedBad(record, record.to)
        && found->second.operation != record.operation && found->second.move < notice.version)
        state.verdicts.erase(found);
    for (const RecordedVerdict &verdict : record.verdicts) {
        state.verdicts.try_emplace(verdict.version,
                                   BadVersionVerdict { record.service, verdict.version,
                                                       notice.version, verdict.operation,
                                                       verdict.domain, verdict.reason });
    }
    if (!isUnderWay(record.state))
        state.running.reset();
    else if (!state.running || state.running->operation != record.operation)
        state.running = std::make_unique<Running>(record);
    m_hasChanged = true;
    push(notice, outbox);
}

void Moves::onVerdict(const BadVersionVerdict &verdict, Outbox<Output> &outbox)
{
    ServiceState &state = m_services[verdict.service];
    // A late message about an earlier move does not hit the move that an operator asked for since.
    if (state.notice && state.notice->record.to == verdict.version
        && state.notice->record.operation != verdict.operation
        && state.notice->version > verdict.move
        && !isJudgedBad(state.notice->record, verdict.version))
        return;
    if (!state.verdicts.try_emplace(verdict.version, verdict).second)
        return;
    m_hasChanged = true;
    push(verdict, outbox);
}

void Moves::onDigest(const MoveDigest &received, const NetAddress &from, Outbox<Output> &outbox)
{
    const auto send = [&](MoveMessage message) {
        outbox.emit(PeerSend { from, Transport::Datagram, std::move(message) });
    };
    for (const auto &[service, state] : m_services) {
        const auto theirs = received.versions.find(service);
        const ObjectVersion version
            = theirs == received.versions.end() ? ObjectVersion() : theirs->second;
        // A digest may leave services out; what it names and what it may lack is sent.
        const bool isComplete = received.versions.size() < maxDigestServices;
        if (theirs == received.versions.end() && !isComplete)
            continue;
        if (state.notice && state.notice->version > version)
            send(*state.notice);
        for (const auto &[name, verdict] : state.verdicts) {
            const bool isRecorded = state.notice && isJudgedBad(state.notice->record, name);
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
    if (found == m_services.end() || !found->second.running
        || found->second.running->operation != report.operation)
        return;
    Running &running = *found->second.running;
    if (report.isPooled)
        running.heard[report.domain] = now;
    for (const EvidenceEntry &entry : report.entries)
        (report.isPooled ? running.all : running.pooled).add(entry);
    if (!report.isPooled)
        impl::merge(running.toController, report.entries);
}

void Moves::onSample(const RequestSample &sample)
{
    const auto found = m_services.find(sample.service);
    if (found != m_services.end() && found->second.running)
        found->second.running->collector.add(sample);
}

void Moves::advance(TimePoint now, Outbox<Output> &outbox)
{
    if (m_nextTick && now < *m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    for (auto &[service, state] : m_services) {
        if (state.running)
            tickService(service, state, now, outbox);
    }
    m_tickedAt = now;
    control(now, outbox);
    exchange(outbox);
    publishShares(outbox);
}

void Moves::tickService(const ServiceName &service, ServiceState &state, TimePoint now,
                        Outbox<Output> &outbox)
{
    Running &running = *state.running;
    const Duration passed = std::min(now - m_tickedAt, 10 * tickInterval);
    const auto instances = instancesOf(service, state.notice->record.to);
    const std::vector<EvidenceEntry> entries = running.collector.take(now);
    for (const EvidenceEntry &entry : entries)
        running.own.add(entry);
    impl::merge(running.toPool, entries);
    for (Evidence *evidence : { &running.own, &running.pooled, &running.all }) {
        evidence->setInstances(instances);
        evidence->advance(passed);
    }
    // The false alarms of all nodes together stay within the rate of the policy.
    const double nodes = static_cast<double>(m_peers.size() + 1);
    brake(service, state, running.own, std::log(4.0 * nodes), outbox);
    brake(service, state, running.pooled, std::log(16.0), outbox);
    sendReports(service, state, now, outbox);
}

void Moves::brake(const ServiceName &service, ServiceState &state, const Evidence &evidence,
                  double extraNats, Outbox<Output> &outbox)
{
    const MoveRecord &record = state.notice->record;
    if (state.verdicts.contains(record.to))
        return;
    const EvidenceSummary summary = evidence.summary();
    if (summary.logBad < thresholdsOf(policyOf(service)).condemn + extraNats)
        return;
    onVerdict({ service, record.to, state.notice->version, record.operation, m_self.domain,
                accountOf(summary) },
              outbox);
}

} // namespace camphorreach
