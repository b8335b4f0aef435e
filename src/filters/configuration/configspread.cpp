// Gossip of configuration versions.
#include <camphorreach/configspread.h>

#include <algorithm>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration digestInterval = std::chrono::seconds(1);
constexpr Duration pushInterval = std::chrono::milliseconds(100);
constexpr unsigned pushRounds = 3;
// Leaves room for the envelope in a datagram of 1,400 bytes.
constexpr std::size_t maxDatagramStepBytes = 1200;
constexpr Duration pullTimeout = std::chrono::milliseconds(500);
constexpr Duration fullStatePullTimeout = std::chrono::seconds(2);
constexpr std::size_t maxPullCandidates = 4;
// Nodes of a mass restart get most of their full state from the platform; peers add a little.
constexpr double fullStatesPerSecond = 0.5;
constexpr double fullStateBurst = 2;

Transport transportOf(const std::vector<ConfigStep> &steps)
{
    std::size_t bytes = 0;
    for (const ConfigStep &step : steps)
        bytes += encodedSizeBound(step);
    return bytes <= maxDatagramStepBytes ? Transport::Datagram : Transport::Stream;
}

} // namespace

ConfigSpread::ConfigSpread(const VersionStore &store, const ConfigPeers &peers, std::size_t fanOut,
                           RandomSource &random)
    : m_store(store), m_peers(peers), m_fanOut(fanOut), m_random(random),
      m_fullStateBudget(fullStatesPerSecond, fullStateBurst)
{ }

VersionDigest ConfigSpread::bareDigest() const
{
    return { m_peers.self().instance, m_store.accepted(), m_store.digest(), {}, {} };
}

void ConfigSpread::onAdvanced(TimePoint now, Sends &sends)
{
    m_pullDeadline.reset();
    m_pullCandidates.clear();
    m_pushRoundsLeft = pushRounds - 1;
    m_nextPush = now + pushInterval;
    pushRound(sends);
}

// Pushes a delta that fits in a datagram. For a larger one only a digest is sent, so that every
// node transfers the delta once.
void ConfigSpread::pushRound(Sends &sends)
{
    const ConfigStep *step = m_store.newestStep();
    const bool isSmall = step != nullptr && transportOf({ *step }) == Transport::Datagram;
    for (const NetAddress &peer : m_peers.sample(m_fanOut, m_random)) {
        if (isSmall)
            sends.push_back(
                { peer, Transport::Datagram, ConfigMessage(ConfigUpdate { { *step } }) });
        else
            sends.push_back({ peer, Transport::Datagram, ConfigMessage(bareDigest()) });
    }
}

void ConfigSpread::onDigest(const NetAddress &from, const VersionDigest &theirs, TimePoint now,
                            Sends &sends)
{
    if (theirs.accepted == m_store.accepted())
        return;
    if (theirs.accepted > m_store.accepted()) {
        pull(from, false, now, sends);
        return;
    }
    auto steps = m_store.stepsFrom(theirs.accepted, theirs.digest);
    if (!steps.empty() && transportOf(steps) == Transport::Datagram) {
        sends.push_back(
            { from, Transport::Datagram, ConfigMessage(ConfigUpdate { std::move(steps) }) });
        return;
    }
    sends.push_back({ from, Transport::Datagram, ConfigMessage(bareDigest()) });
}

void ConfigSpread::pull(const NetAddress &from, bool isFull, TimePoint now, Sends &sends)
{
    if (m_pullDeadline && now < *m_pullDeadline) {
        if (m_pullCandidates.size() < maxPullCandidates
            && std::ranges::find(m_pullCandidates, from) == m_pullCandidates.end())
            m_pullCandidates.push_back(from);
        return;
    }
    const bool expectsFullState = isFull || m_store.accepted() == ConfigVersion();
    m_pullDeadline = now + (expectsFullState ? fullStatePullTimeout : pullTimeout);
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
        if (!m_fullStateBudget.take(1, now))
            return; // the peer's pull times out, and it pulls from another peer
        ++m_fullTransfers;
        steps = m_store.fullState();
    }
    const Transport transport = transportOf(steps);
    sends.push_back({ from, transport, ConfigMessage(ConfigUpdate { std::move(steps) }) });
}

void ConfigSpread::advance(const VersionDigest &own, TimePoint now, Sends &sends)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_nextDigest = now
            + Duration(static_cast<Duration::rep>(
                uniformBelow(m_random, static_cast<std::uint64_t>(digestInterval.count()))));
    }
    if (m_pushRoundsLeft > 0 && now >= m_nextPush) {
        --m_pushRoundsLeft;
        m_nextPush = now + pushInterval;
        pushRound(sends);
    }
    if (m_pullDeadline && now >= *m_pullDeadline) {
        m_pullDeadline.reset();
        if (!m_pullCandidates.empty()) {
            const NetAddress next = std::move(m_pullCandidates.front());
            m_pullCandidates.pop_front();
            pull(next, false, now, sends);
        }
    }
    if (now < m_nextDigest)
        return;
    m_nextDigest = now + digestInterval;
    for (const auto &peer : { m_peers.randomInDomain(m_random), m_peers.random(m_random) }) {
        if (peer)
            sends.push_back({ *peer, Transport::Datagram, ConfigMessage(own) });
    }
}

TimePoint ConfigSpread::nextDeadline() const
{
    TimePoint next = m_nextDigest;
    if (m_pushRoundsLeft > 0)
        next = std::min(next, m_nextPush);
    if (m_pullDeadline)
        next = std::min(next, *m_pullDeadline);
    return next;
}

} // namespace camphorreach
