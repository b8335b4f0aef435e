// What catalogs tell each other, and what a node does with it.
#include <camphorreach/catalog.h>

#include <camphorreach/result.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

// What a message may have waited on its way, added to the age that it states. Without it, an age
// that is passed on in circles would grow more slowly than time.
constexpr Duration transitAllowance = std::chrono::milliseconds(20);
constexpr Duration unknownAge = std::chrono::hours(24); // the highest that is stated
// A node that starts takes the configuration from the store rather than from others, unless the
// store takes longer than this.
constexpr Duration startPatience = std::chrono::seconds(1);
// Leaves room for the envelope in a datagram of 1,400 bytes.
constexpr std::size_t maxDatagramUpdate = 1200;
constexpr std::size_t fixedUpdateBytes = 64;
constexpr std::size_t fixedOrderBytes = 40;

Transport transportOf(const CatalogUpdate &update)
{
    std::size_t bytes = fixedUpdateBytes;
    if (update.config)
        bytes += encodedSizeBound(*update.config);
    for (const RolloutOrder &order : update.orders)
        bytes += fixedOrderBytes + order.service.value().size() + order.target.value().size();
    return bytes <= maxDatagramUpdate ? Transport::Datagram : Transport::Stream;
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
    m_heardPeer = now;
    std::visit(
        Overloaded {
            [&](const CatalogAdvert &advert) { onAdvert(received.from, advert, now, outbox); },
            [&](const CatalogPull &pull) { onPull(received.from, pull, now, outbox); },
            [&](const CatalogUpdate &update) { onUpdate(received.from, update, now, outbox); },
        },
        received.message);
}

void Catalog::onAdvert(const NetAddress &from, const CatalogAdvert &theirs, TimePoint now,
                       Outbox<Output> &outbox)
{
    if (theirs.age >= Duration::zero())
        confirm(theirs.extent, now - std::min(theirs.age, unknownAge));
    CatalogSpread::Sends sends;
    m_spread.onAdvert(from, theirs, advert(now), sends);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::onPull(const NetAddress &from, const CatalogPull &asked, TimePoint now,
                     Outbox<Output> &outbox)
{
    const CatalogExtent own = extent();
    if (asked.extent.lacks(own)) {
        const CatalogAdvert stated = advert(now);
        CatalogUpdate update { own, std::nullopt, ordersSince(asked.extent.orders), stated.age };
        if (asked.extent.config < own.config)
            update.config = m_config.changesSince(asked.extent.config);
        if (m_spread.maySend(from, update, now)) {
            const Transport transport = transportOf(update);
            outbox.emit(PeerSend { from, transport, CatalogMessage(std::move(update)) });
        }
    }
    CatalogSpread::Sends sends;
    m_spread.onSource(from, asked.extent, own);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::onUpdate(const NetAddress &from, const CatalogUpdate &update, TimePoint now,
                       Outbox<Output> &outbox)
{
    const auto askedAt = m_spread.onUpdate(from);
    bool haveOrdersChanged = false;
    for (const RolloutOrder &order : update.orders)
        haveOrdersChanged = take(order) || haveOrdersChanged;
    const bool isNews = update.config && take(from, *update.config, now, outbox);
    m_configuration.isOvertaken = m_configuration.isOvertaken || isNews;
    m_rollouts.isOvertaken = m_rollouts.isOvertaken || haveOrdersChanged;
    // The update may have waited on its way, but it was made after the question was sent.
    if (askedAt && update.age >= Duration::zero())
        confirm(update.extent, *askedAt - std::min(update.age, unknownAge));
    m_spread.onSource(from, update.extent, extent());
    tell(haveOrdersChanged, isNews, now, outbox);
}

void Catalog::confirm(const CatalogExtent &theirs, TimePoint at)
{
    if (!extent().lacks(theirs))
        m_toldAt = std::max(m_toldAt, std::optional(at));
}

bool Catalog::take(const NetAddress &from, const ConfigChanges &changes, TimePoint now,
                   Outbox<Output> &outbox)
{
    const ConfigVersion held = version();
    const VersionedConfig::Effect effect = m_config.take(changes);
    const bool isUnusable = effect == VersionedConfig::Effect::Unusable;
    outbox.emit(ConfigurationHeard { changes.version, held, from,
                                     changes.set.size() + changes.removed.size(), isUnusable,
                                     age(now) });
    if (isUnusable)
        m_spread.onUnusable();
    if (effect != VersionedConfig::Effect::Applied)
        return false;
    putInForce(outbox);
    return true;
}

void Catalog::tell(bool haveOrdersChanged, bool isNews, TimePoint now, Outbox<Output> &outbox)
{
    if (haveOrdersChanged)
        outbox.emit(OrdersChanged { ordersSince({}) });
    CatalogSpread::Sends sends;
    if (isNews || haveOrdersChanged)
        m_spread.announce(advert(now), sends);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

void Catalog::pull(TimePoint now, CatalogSpread::Sends &sends)
{
    if (!waitsForStore(now))
        m_spread.pull(extent(), now, sends);
}

bool Catalog::waitsForStore(TimePoint now) const
{
    return version() == ConfigVersion() && m_configuration.call && m_configuration.failures == 0
        && m_startedAt && now < *m_startedAt + startPatience;
}

CatalogAdvert Catalog::advert(TimePoint now) const
{
    const Duration known = age(now).value_or(unknownAge) + transitAllowance;
    return { extent(), std::min(known, unknownAge), false };
}

void Catalog::advertise(TimePoint now, Outbox<Output> &outbox)
{
    CatalogSpread::Sends sends;
    m_spread.advance(advert(now), now, sends);
    pull(now, sends);
    emit(std::move(sends), outbox);
}

} // namespace camphorreach
