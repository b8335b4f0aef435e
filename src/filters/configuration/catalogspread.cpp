// Gossip between catalogs: digests, pulls and updates.
#include <camphorreach/catalogspread.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

// Number of nodes of the failure domain to which a node pushes the digest of a change at once; each
// of them pushes it to as many.
constexpr std::size_t pushFanOut = 3;
// A node that cannot reach the store learns of a change within about this time.
constexpr Duration digestInterval = std::chrono::milliseconds(500);
// On average, one of this many digests goes to another failure domain.
constexpr std::uint64_t digestsPerRemoteDigest = 3;
// After this time without an update, a pull goes to another node. A complete configuration of 1 MB
// takes 0.8 s on a link of 10 Mbit/s.
constexpr Duration deltaPullTimeout = std::chrono::milliseconds(300);
constexpr Duration completePullTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxCandidates = 4;
// The nodes that watch the store for a failure domain, see watchersPerDomain in catalog.cpp.
constexpr std::size_t maxProofSources = 3;
// Questions that go to them before others are asked.
constexpr unsigned actingAttempts = 2;
// An update is not sent again while it may still be in transit.
constexpr Duration deltaResendInterval = std::chrono::milliseconds(100);
constexpr Duration completeResendInterval = std::chrono::milliseconds(1000);
constexpr std::size_t maxSentUpdates = 256;
// Rate limit of the complete configurations that a node sends. Nodes that start together read the
// configuration from the store; peers only supply a few of them.
constexpr double completePerSecond = 2;
constexpr double completeBurst = 4;

} // namespace

CatalogSpread::CatalogSpread(Endpoint self, RandomSource &random)
    : m_self(std::move(self)), m_random(random), m_completeBudget(completePerSecond, completeBurst)
{ }

void CatalogSpread::update(const EndpointTable &table)
{
    m_domainPeers.clear();
    m_remotePeers.clear();
    m_actingPeers.clear();
    m_rank = 0;
    for (const auto &[service, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.peer == m_self.peer)
                continue;
            const bool isSameDomain = endpoint.domain == m_self.domain;
            (isSameDomain ? m_domainPeers : m_remotePeers).push_back(endpoint.peer);
            const bool isEligible = isSameDomain && endpoint.state == EndpointState::Ready;
            m_rank += isEligible && endpoint.peer < m_self.peer ? 1 : 0;
            if (isEligible)
                m_actingPeers.push_back(endpoint.peer);
        }
    }
    std::ranges::sort(m_actingPeers);
    m_actingPeers.resize(std::min(m_actingPeers.size(), maxProofSources));
}

std::optional<NetAddress> CatalogSpread::proofSource(unsigned attempts)
{
    const std::vector<NetAddress> *peers = &m_actingPeers;
    if (attempts >= actingAttempts || peers->empty())
        peers = attempts % 2 == 0 ? &m_domainPeers : &m_remotePeers;
    if (peers->empty())
        peers = m_domainPeers.empty() ? &m_remotePeers : &m_domainPeers;
    if (peers->empty())
        return std::nullopt;
    return (*peers)[uniformBelow(m_random, peers->size())];
}

void CatalogSpread::pushDigest(const CatalogDigest &own, Sends &sends)
{
    std::vector<NetAddress> targets;
    std::ranges::sample(m_domainPeers, std::back_inserter(targets), pushFanOut, m_random);
    for (const NetAddress &target : targets)
        sends.push_back({ target, Transport::Datagram, CatalogMessage(own) });
}

void CatalogSpread::onDigest(const NetAddress &from, const CatalogDigest &theirs,
                             const CatalogDigest &own, Sends &sends)
{
    if (theirs.versions.isBehind(own.versions) && !theirs.isAnswer) {
        CatalogDigest reply = own;
        reply.isAnswer = true;
        sends.push_back({ from, Transport::Datagram, CatalogMessage(reply) });
    }
    updateCandidate(from, theirs.versions, own.versions);
}

bool CatalogSpread::admitUpdate(const NetAddress &to, const CatalogUpdate &update, TimePoint now)
{
    const bool isComplete = update.config && update.config->isComplete();
    const SentUpdate sent { update.versions, isComplete,
                            now + (isComplete ? completeResendInterval : deltaResendInterval) };
    const auto last = m_sentUpdates.find(to);
    if (last != m_sentUpdates.end() && now < last->second.resendAt
        && last->second.versions == sent.versions && last->second.isComplete == sent.isComplete)
        return false;
    if (sent.isComplete && !m_completeBudget.take(1, now))
        return false; // the requesting node pulls from another one after its timeout
    std::erase_if(m_sentUpdates, [now](const auto &entry) { return entry.second.resendAt <= now; });
    if (m_sentUpdates.size() < maxSentUpdates)
        m_sentUpdates.insert_or_assign(to, sent);
    return true;
}

void CatalogSpread::updateCandidate(const NetAddress &from, const CatalogVersions &versions,
                                    const CatalogVersions &own)
{
    std::erase_if(m_candidates, [&](const PullCandidate &candidate) {
        return candidate.peer == from || !own.isBehind(candidate.versions);
    });
    if (!own.isBehind(versions))
        return;
    if (m_candidates.size() >= maxCandidates)
        m_candidates.pop_front();
    m_candidates.push_back({ from, versions });
}

std::optional<TimePoint> CatalogSpread::finishPull(const NetAddress &from)
{
    if (!m_pendingPull || m_pendingPull->peer != from)
        return std::nullopt;
    return std::exchange(m_pendingPull, std::nullopt)->sentAt;
}

void CatalogSpread::pull(const CatalogVersions &own, TimePoint now, Sends &sends)
{
    if (m_pendingPull && now < m_pendingPull->expiresAt)
        return;
    m_pendingPull.reset();
    std::erase_if(m_candidates, [&](const PullCandidate &candidate) {
        return !own.isBehind(candidate.versions);
    });
    if (m_candidates.empty())
        return;
    // The node that was heard from last is the most likely to be alive and to hold the newest
    // version.
    const PullCandidate candidate = std::move(m_candidates.back());
    m_candidates.pop_back();
    CatalogVersions versions = own;
    if (std::exchange(m_needsComplete, false))
        versions.config = {};
    const bool wantsComplete = versions.config == ConfigVersion();
    m_pendingPull
        = { candidate.peer, now, now + (wantsComplete ? completePullTimeout : deltaPullTimeout) };
    sends.push_back(
        { candidate.peer, Transport::Datagram, CatalogMessage(CatalogPull { versions }) });
}

void CatalogSpread::advance(const CatalogDigest &own, TimePoint now, Sends &sends)
{
    if (!m_nextDigest)
        m_nextDigest = now + digestInterval;
    if (now < *m_nextDigest)
        return;
    m_nextDigest = now + digestInterval;
    const bool isRemote
        = m_domainPeers.empty() || uniformBelow(m_random, digestsPerRemoteDigest) == 0;
    const std::vector<NetAddress> &peers = isRemote ? m_remotePeers : m_domainPeers;
    if (!peers.empty())
        sends.push_back({ peers[uniformBelow(m_random, peers.size())], Transport::Datagram,
                          CatalogMessage(own) });
}

TimePoint CatalogSpread::nextDeadline() const
{
    if (!m_nextDigest)
        return TimePoint {};
    if (m_pendingPull)
        return std::min(*m_nextDigest, m_pendingPull->expiresAt);
    return *m_nextDigest;
}

} // namespace camphorreach
