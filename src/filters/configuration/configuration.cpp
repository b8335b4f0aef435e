// Connects the parts of the configuration filter.
#include <camphorreach/configuration.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

Configuration::Configuration(Endpoint self, Options options, RandomSource &random)
    : m_peers(std::move(self)), m_floor(m_peers.self().instance, m_callIds, random),
      m_spread(m_store, m_peers, options.fanOut, random), m_reader(m_peers, m_callIds, random),
      m_status(m_store, m_peers, random)
{ }

ConfigVersion Configuration::version() const noexcept
{
    return m_inForce ? m_inForce->version : ConfigVersion();
}

std::string Configuration::unreadyReason() const
{
    if (m_inForce)
        return "";
    if (m_floor.isCutOff())
        return "cut off: neither the platform nor a peer has answered";
    if (!m_store.good())
        return "no configuration is in force";
    return "version " + std::to_string(m_store.good()->version.value())
        + " is held, but not known to be at or above the floor of this instance";
}

void Configuration::process(Input input, TimePoint now, Outbox<Output> &outbox)
{
    Sends sends;
    std::visit(Overloaded {
                   [&](PlatformReply &reply) { onReply(reply, now, sends); },
                   [&](PeerReceived<ConfigMessage> &received) { onMessage(received, now, sends); },
                   [&](EndpointsChanged &changed) {
                       m_peers.update(*changed.table);
                       m_status.onPeersChanged(now);
                   },
               },
               input);
    finish(now, sends, outbox);
}

void Configuration::onReply(const PlatformReply &reply, TimePoint now, Sends &sends)
{
    std::optional<ConfigHead> head = m_floor.onReply(reply, now);
    if (!head)
        head = m_reader.onReply(reply, now);
    if (!head)
        return;
    const auto refused = m_store.refusal() ? m_store.refusal()->version : ConfigVersion();
    if (m_store.applyHead(head->version, head->tree) == VersionStore::Effect::Advanced)
        onAdvanced(now, sends);
    else if (m_store.refusal() && m_store.refusal()->version != refused)
        m_status.onVersionChanged(now);
}

void Configuration::onAdvanced(TimePoint now, Sends &sends)
{
    m_spread.onAdvanced(now, sends);
    m_status.onVersionChanged(now);
}

void Configuration::onMessage(PeerReceived<ConfigMessage> &received, TimePoint now, Sends &sends)
{
    const NetAddress &from = received.from;
    std::visit(Overloaded {
                   [&](VersionDigest &digest) { onDigest(from, digest, now, sends); },
                   [&](ConfigUpdate &update) { onUpdate(from, update, now, sends); },
                   [&](ConfigPull &pull) { m_spread.onPull(from, pull, now, sends); },
                   [&](FloorQuery &query) {
                       const ConfigVersion floor
                           = std::max(m_peerVersions.highest(query.instance, now), version());
                       sends.push_back(
                           { from, Transport::Datagram,
                             ConfigMessage(FloorAnswer { floor, m_floor.isEstablished() }) });
                   },
                   [&](FloorAnswer &answer) { m_floor.onPeerAnswer(from, answer); },
                   [&](NodeReport &report) {
                       m_peerVersions.record(report.instance, report.inForce, now);
                       m_status.onReport(report, now);
                   },
               },
               received.message);
}

void Configuration::onDigest(const NetAddress &from, const VersionDigest &theirs, TimePoint now,
                             Sends &sends)
{
    m_peerVersions.record(theirs.instance, theirs.inForce, now);
    m_status.onSummaries(theirs.summaries, now);
    m_spread.onDigest(from, theirs, now, sends);
}

void Configuration::onUpdate(const NetAddress &from, const ConfigUpdate &update, TimePoint now,
                             Sends &sends)
{
    switch (m_store.applyUpdate(update)) {
    case VersionStore::Effect::Advanced:
        onAdvanced(now, sends);
        break;
    case VersionStore::Effect::Unusable:
        m_spread.onUnusable(from, now, sends);
        break;
    case VersionStore::Effect::Known:
        break;
    }
}

VersionDigest Configuration::ownDigest(TimePoint now)
{
    return { m_peers.self().instance, m_store.accepted(), m_store.digest(), version(),
             m_status.nextSummaries(now) };
}

void Configuration::advance(TimePoint now, Outbox<Output> &outbox)
{
    Sends sends;
    m_floor.advance(m_peers, now, outbox);
    m_reader.advance(now, outbox);
    // The digest is built only when a timer is due, because each one advances the rotation over the
    // summaries.
    const bool isSpreadDue = m_spread.nextDeadline() <= now;
    if (isSpreadDue)
        m_spread.advance(ownDigest(now), now, sends);
    const bool isReader = m_reader.isReader(now);
    m_status.advance(isReader ? std::optional(m_reader.slot()) : std::nullopt, version(), now,
                     sends);
    finish(now, sends, outbox);
}

// Messages to peers are emitted before the version is put in force, so that a node that restarts
// right after serving a version is not the only one that knew it.
void Configuration::finish(TimePoint now, Sends &sends, Outbox<Output> &outbox)
{
    m_now = now;
    for (PeerSend &send : sends)
        outbox.emit(std::move(send));
    std::vector<NetAddress> readers = m_reader.takeNewReaders();
    if (!readers.empty())
        outbox.emit(JoinPeers { std::move(readers) });
    const auto &good = m_store.good();
    if (!good || good->version <= version() || !m_floor.establish(good->version, m_peers))
        return;
    m_inForce = good;
    m_status.onVersionChanged(now);
    outbox.emit(SnapshotChanged { m_inForce });
}

std::optional<TimePoint> Configuration::nextDeadline() const
{
    TimePoint next = std::min(m_spread.nextDeadline(), m_status.nextDeadline());
    for (const auto &deadline : { m_floor.nextDeadline(), m_reader.nextDeadline(m_now) }) {
        if (deadline)
            next = std::min(next, *deadline);
    }
    return next;
}

} // namespace camphorreach
