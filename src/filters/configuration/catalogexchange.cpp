// Exchange of changes between the catalogs of different nodes.
#include <camphorreach/catalog.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// Added to the staleness in a sent message for the time in transit. Without it, a staleness that
// nodes pass on in a loop would grow more slowly than real time.
constexpr Duration transitAllowance = std::chrono::milliseconds(20);
constexpr Duration unknownStaleness = std::chrono::hours(24); // also the maximum in a message
// A starting node reads the configuration from the store rather than from peers, unless the store
// takes longer than this.
constexpr Duration startupStoreTimeout = std::chrono::seconds(1);
// Leaves room for the envelope in a datagram of 1,400 bytes.
constexpr std::size_t maxDatagramUpdateBytes = 1200;
constexpr std::size_t fixedUpdateBytes = 64;
constexpr std::size_t fixedOrderBytes = 40;
constexpr std::size_t fixedEvacuationBytes = 13;

Transport transportOf(const CatalogUpdate &update)
{
    std::size_t bytes = fixedUpdateBytes;
    if (update.config)
        bytes += encodedSizeBound(*update.config);
    for (const RolloutOrder &order : update.orders)
        bytes += fixedOrderBytes + order.service.value().size() + order.target.value().size();
    for (const EvacuationOrder &order : update.evacuations)
        bytes += fixedEvacuationBytes + order.domain.value().size();
    return bytes <= maxDatagramUpdateBytes ? Transport::Datagram : Transport::Stream;
}

void emit(CatalogSpread::Sends &&sends, Outbox<Catalog::Output> &outbox)
{
    for (PeerSend &send : sends)
        outbox.emit(std::move(send));
}

} // namespace

void Catalog::onMessage(PeerReceived<CatalogMessage> &received, TimePoint now,
                        Outbox<Output> &outbox)
{
    m_election.onPeerMessage(now);
    std::visit(
        Overloaded {
            [&](const CatalogDigest &digest) { onDigest(received.from, digest, now, outbox); },
            [&](const CatalogPull &pull) { onPull(received.from, pull, now, outbox); },
            [&](const CatalogUpdate &update) { onUpdate(received.from, update, now, outbox); },
            [&](const CatalogProofRequest &request) {
                onProofRequest(received.from, request, now, outbox);
            },
            [&](const CatalogProofReply &reply) {
                onProofReply(received.from, reply, now, outbox);
            },
        },
        received.message);
}

void Catalog::onDigest(const NetAddress &from, const CatalogDigest &theirs, TimePoint now,
                       Outbox<Output> &outbox)
{
    if (theirs.staleness >= Duration::zero())
        updateFreshness(theirs.versions, now - std::min(theirs.staleness, unknownStaleness));
    noteVersion(theirs.versions.config, outbox);
    CatalogSpread::Sends sends;
    m_spread.onDigest(from, theirs, ownDigest(now), sends);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::onPull(const NetAddress &from, const CatalogPull &request, TimePoint now,
                     Outbox<Output> &outbox)
{
    const CatalogVersions own = heldVersions();
    if (request.versions.isBehind(own)) {
        const CatalogDigest digest = ownDigest(now);
        CatalogUpdate update { own, std::nullopt, m_orders.since(request.versions.orders),
                               digest.staleness,
                               m_evacuations.since(request.versions.evacuations) };
        if (request.versions.config < own.config)
            update.config = m_config.deltaSince(request.versions.config);
        if (m_spread.admitUpdate(from, update, now)) {
            const Transport transport = transportOf(update);
            outbox.emit(PeerSend { from, transport, CatalogMessage(std::move(update)) });
        }
    }
    noteVersion(request.versions.config, outbox);
    CatalogSpread::Sends sends;
    m_spread.updateCandidate(from, request.versions, own);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::onUpdate(const NetAddress &from, const CatalogUpdate &update, TimePoint now,
                       Outbox<Output> &outbox)
{
    const auto pullSentAt = m_spread.finishPull(from);
    bool haveEvacuationsChanged = false;
    for (const EvacuationOrder &order : update.evacuations)
        haveEvacuationsChanged = m_evacuations.apply(order) || haveEvacuationsChanged;
    // A sender whose staleness is unknown may have the configuration and not the orders yet.
    const bool doesSenderKnow
        = update.staleness < unknownStaleness || update.versions.evacuations.has_value();
    if (doesSenderKnow)
        publishEvacuations(haveEvacuationsChanged, outbox);
    bool haveOrdersChanged = false;
    for (const RolloutOrder &order : update.orders)
        haveOrdersChanged = m_orders.apply(order) || haveOrdersChanged;
    const bool hasConfigChanged = update.config && apply(from, *update.config, now, outbox);
    if (hasConfigChanged)
        m_configInformer.supersede();
    if (haveOrdersChanged)
        m_rolloutInformer.supersede();
    if (haveEvacuationsChanged)
        m_evacuationInformer.supersede();
    // The update may have been delayed in transit, but it was created after the pull was sent.
    if (pullSentAt && update.staleness >= Duration::zero())
        updateFreshness(update.versions,
                        *pullSentAt - std::min(update.staleness, unknownStaleness));
    m_spread.updateCandidate(from, update.versions, heldVersions());
    publishChanges(haveOrdersChanged, hasConfigChanged || haveEvacuationsChanged, now, outbox);
}

void Catalog::updateFreshness(const CatalogVersions &theirs, TimePoint asOf)
{
    if (!heldVersions().isBehind(theirs))
        m_peerFreshAsOf = std::max(m_peerFreshAsOf, std::optional(asOf));
}

bool Catalog::apply(const NetAddress &from, const ConfigDelta &delta, TimePoint now,
                    Outbox<Output> &outbox)
{
    const ConfigVersion held = version();
    const VersionedConfig::Effect effect = m_config.apply(delta);
    const bool isRejected = effect == VersionedConfig::Effect::Rejected;
    outbox.emit(ConfigurationReceived { delta.version, held, from,
                                        delta.set.size() + delta.removed.size(), isRejected,
                                        staleness(now) });
    if (isRejected)
        m_spread.onRejected();
    if (effect != VersionedConfig::Effect::Applied)
        return false;
    emitSnapshot(outbox);
    return true;
}

void Catalog::onProofRequest(const NetAddress &from, const CatalogProofRequest &request,
                             TimePoint now, Outbox<Output> &outbox)
{
    if (auto reply = m_proof.answer(request, version(), now))
        outbox.emit(PeerSend { from, Transport::Datagram, CatalogMessage(*reply) });
}

void Catalog::onProofReply(const NetAddress &from, const CatalogProofReply &reply, TimePoint now,
                           Outbox<Output> &outbox)
{
    m_proof.onReply(reply, version(), now);
    noteVersion(reply.version, outbox);
    CatalogSpread::Sends sends;
    m_spread.updateCandidate(from, { reply.version, {} }, heldVersions());
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::advanceProof(TimePoint now, Outbox<Output> &outbox)
{
    if (!m_proof.isStrict())
        return;
    m_proof.onHeld(version(), now);
    if (const auto ask = m_proof.nextAsk(); ask && now >= *ask) {
        const auto source = m_spread.proofSource(m_proof.attempts());
        const CatalogProofRequest request = m_proof.ask(now);
        if (source)
            outbox.emit(PeerSend { *source, Transport::Datagram, CatalogMessage(request) });
    }
    if (const auto renewal = m_proof.takeRenewal(version()))
        outbox.emit(*renewal);
}

// Requests with keys that this node does not know may be allowed by the version that it lacks.
void Catalog::noteVersion(ConfigVersion named, Outbox<Output> &outbox)
{
    if (!m_config.hasOrganisations() || named <= version() || named <= m_namedVersion)
        return;
    m_namedVersion = named;
    outbox.emit(NewerConfigurationKnown { named });
}

void Catalog::publishChanges(bool haveOrdersChanged, bool hasOtherChanged, TimePoint now,
                             Outbox<Output> &outbox)
{
    if (haveOrdersChanged)
        outbox.emit(OrdersChanged { m_orders.since({}) });
    CatalogSpread::Sends sends;
    if (hasOtherChanged || haveOrdersChanged)
        m_spread.pushDigest(ownDigest(now), sends);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::pull(TimePoint now, CatalogSpread::Sends &sends)
{
    if (!waitsForStore(now))
        m_spread.pull(heldVersions(), now, sends);
}

bool Catalog::waitsForStore(TimePoint now) const
{
    const auto startedAt = m_election.startedAt();
    return version() == ConfigVersion() && m_configInformer.isPending()
        && m_configInformer.failures() == 0 && startedAt && now < *startedAt + startupStoreTimeout;
}

TimePoint Catalog::snapshotReleaseTime() const
{
    return m_election.startedAt().value_or(TimePoint {}) + startupStoreTimeout;
}

CatalogDigest Catalog::ownDigest(TimePoint now) const
{
    const Duration onArrival = staleness(now).value_or(unknownStaleness) + transitAllowance;
    return { heldVersions(), std::min(onArrival, unknownStaleness), false };
}

void Catalog::advanceSpread(TimePoint now, Outbox<Output> &outbox)
{
    CatalogSpread::Sends sends;
    m_spread.advance(ownDigest(now), now, sends);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

} // namespace camphorreach
