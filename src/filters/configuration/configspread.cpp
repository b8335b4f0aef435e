// Epidemic spread of versions.
#include <camphorreach/configspread.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration advertInterval = std::chrono::seconds(1);
constexpr Duration pushInterval = std::chrono::milliseconds(100);
constexpr unsigned pushRounds = 3;
// Leaves room for the envelope in a datagram of 1,400 bytes.
constexpr std::size_t maxDatagramSteps = 1200;
constexpr Duration pullTimeout = std::chrono::milliseconds(500);
constexpr Duration fullPullTimeout = std::chrono::seconds(2);
constexpr std::size_t maxAhead = 4;
// A storm of restarts takes most of its full state from the platform; peers add a little.
constexpr double fullPerSecond = 0.5;
constexpr double fullBurst = 2;

Transport transportOf(const std::vector<ConfigStep> &steps)
{
    std::size_t bytes = 0;
    for (const ConfigStep &step : steps)
        bytes += encodedSizeBound(step);
    return bytes <= maxDatagramSteps ? Transport::Datagram : Transport::Stream;
}

} // namespace

ConfigSpread::ConfigSpread(const VersionStore &store, const ConfigPeers &peers, std::size_t fanOut,
                           RandomSource &random)
    : m_store(store), m_peers(peers), m_fanOut(fanOut), m_random(random),
      m_fullBudget(fullPerSecond, fullBurst)
{ }

VersionAdvert ConfigSpread::bareAdvert() const
{
    return { m_peers.self().instance, m_store.accepted(), m_store.digest(), {}, {} };
}

void ConfigSpread::onAdvanced(TimePoint now, Sends &sends)
{
    m_pullEnds.reset();
    m_ahead.clear();
    m_pushRounds = pushRounds - 1;
    m_nextPush = now + pushInterval;
    pushRound(sends);
}

// A small delta is pushed at once. Of a large one only the advert is pushed, so that each node
// takes it once.
void ConfigSpread::pushRound(Sends &sends)
{
    const ConfigStep *step = m_store.newestStep();
    const bool isSmall = step != nullptr && transportOf({ *step }) == Transport::Datagram;
    for (const NetAddress &peer : m_peers.sample(m_fanOut, m_random)) {
        if (isSmall)
            sends.push_back(
                { peer, Transport::Datagram, ConfigMessage(ConfigUpdate { { *step } }) });
        else
            sends.push_back({ peer, Transport::Datagram, ConfigMessage(bareAdvert()) });
    }
}

void ConfigSpread::onAdvert(const NetAddress &from, const VersionAdvert &advert, TimePoint now,
                            Sends &sends)
{
    if (advert.accepted == m_store.accepted())
        return;
    if (advert.accepted > m_store.accepted()) {
        pull(from, false, now, sends);
        return;
    }
    auto steps = m_store.stepsFrom(advert.accepted, advert.digest);
    if (!steps.empty() && transportOf(steps) == Transport::Datagram) {
        sends.push_back(
            { from, Transport::Datagram, ConfigMessage(ConfigUpdate { std::move(steps) }) });
        return;
    }
    sends.push_back({ from, Transport::Datagram, ConfigMessage(bareAdvert()) });
}

void ConfigSpread::pull(const NetAddress &from, bool isFull, TimePoint now, Sends &sends)
{
    if (m_pullEnds && now < *m_pullEnds) {
        if (m_ahead.size() < maxAhead && std::ranges::find(m_ahead, from) == m_ahead.end())
            m_ahead.push_back(from);
        return;
    }
    const bool takesFull = isFull || m_store.accepted() == ConfigVersion();
    m_pullEnds = now + (takesFull ? fullPullTimeout : pullTimeout);
    const ConfigPull request
        = isFull ? ConfigPull {} : ConfigPull { m_store.accepted(), m_store.digest() };
    sends.push_back({ from, Transport::Datagram, ConfigMessage(request) });
}

void ConfigSpread::onUnusable(const NetAddress &from, TimePoint now, Sends &sends)
{
    pull(from, false, now, sends);
}

void ConfigSpread::onPull(const NetAddress &from, const ConfigPull &pull, TimePoint now,
                          Sends &sends)
{
    if (pull.accepted >= m_store.accepted())
        return;
    auto steps = m_store.stepsFrom(pull.accepted, pull.digest);
    if (steps.empty()) {
        if (!m_fullBudget.take(1, now))
            return; // the asker goes on to another peer
        ++m_fullTransfers;
        steps = m_store.fullState();
    }
    const Transport transport = transportOf(steps);
    sends.push_back({ from, transport, ConfigMessage(ConfigUpdate { std::move(steps) }) });
}

void ConfigSpread::advance(const VersionAdvert &advert, TimePoint now, Sends &sends)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_nextAdvert = now
            + Duration(static_cast<Duration::rep>(
                uniformBelow(m_random, static_cast<std::uint64_t>(advertInterval.count()))));
    }
    if (m_pushRounds > 0 && now >= m_nextPush) {
        --m_pushRounds;
        m_nextPush = now + pushInterval;
        pushRound(sends);
    }
    if (m_pullEnds && now >= *m_pullEnds) {
        m_pullEnds.reset();
        if (!m_ahead.empty()) {
            const NetAddress next = std::move(m_ahead.front());
            m_ahead.pop_front();
            pull(next, false, now, sends);
        }
    }
    if (now < m_nextAdvert)
        return;
    m_nextAdvert = now + advertInterval;
    for (const auto &peer : { m_peers.randomNear(m_random), m_peers.random(m_random) }) {
        if (peer)
            sends.push_back({ *peer, Transport::Datagram, ConfigMessage(advert) });
    }
}

TimePoint ConfigSpread::nextDeadline() const
{
    TimePoint next = m_nextAdvert;
    if (m_pushRounds > 0)
        next = std::min(next, m_nextPush);
    if (m_pullEnds)
        next = std::min(next, *m_pullEnds);
    return next;
}

} // namespace camphorreach
