// Adverts, questions and answers between catalogs.
#include <camphorreach/catalogspread.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

// Nodes of the failure domain that are told news at once; each of them tells as many.
constexpr std::size_t spreadFanOut = 3;
// A node that is cut off from the store hears of a change within about this time.
constexpr Duration advertInterval = std::chrono::milliseconds(500);
// One advert in so many goes to another failure domain.
constexpr std::uint64_t farOneIn = 3;
// A node that was asked and doesn't answer within this time is passed over. A complete
// configuration of a megabyte takes 0.8 s on a link of 10 Mbit/s.
constexpr Duration changesTimeout = std::chrono::milliseconds(300);
constexpr Duration completeTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxSources = 4;
// An answer that is on its way need not be sent again.
constexpr Duration changesResend = std::chrono::milliseconds(100);
constexpr Duration completeResend = std::chrono::milliseconds(1000);
constexpr std::size_t maxSent = 256;
// Nodes that start together take the configuration from the store; others add a little.
constexpr double completePerSecond = 2;
constexpr double completeBurst = 4;

} // namespace

CatalogSpread::CatalogSpread(Endpoint self, RandomSource &random)
    : m_self(std::move(self)), m_random(random), m_completeBudget(completePerSecond, completeBurst)
{ }

void CatalogSpread::update(const EndpointTable &table)
{
    m_near.clear();
    m_far.clear();
    m_rank = 0;
    for (const auto &[service, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints) {
            if (endpoint.peer == m_self.peer)
                continue;
            const bool isNear = endpoint.domain == m_self.domain;
            (isNear ? m_near : m_far).push_back(endpoint.peer);
            const bool mayAct = isNear && endpoint.state == EndpointState::Ready;
            m_rank += mayAct && endpoint.peer < m_self.peer ? 1 : 0;
        }
    }
}

void CatalogSpread::announce(const CatalogAdvert &own, Sends &sends)
{
    std::vector<NetAddress> targets;
    std::ranges::sample(m_near, std::back_inserter(targets), spreadFanOut, m_random);
    for (const NetAddress &target : targets)
        sends.push_back({ target, Transport::Datagram, CatalogMessage(own) });
}

void CatalogSpread::onAdvert(const NetAddress &from, const CatalogAdvert &theirs,
                             const CatalogAdvert &own, Sends &sends)
{
    if (theirs.extent.lacks(own.extent) && !theirs.isAnswer) {
        CatalogAdvert answer = own;
        answer.isAnswer = true;
        sends.push_back({ from, Transport::Datagram, CatalogMessage(answer) });
    }
    onSource(from, theirs.extent, own.extent);
}

bool CatalogSpread::maySend(const NetAddress &to, const CatalogUpdate &update, TimePoint now)
{
    const bool isComplete = update.config && update.config->isComplete();
    const Sent sent { update.extent, isComplete,
                      now + (isComplete ? completeResend : changesResend) };
    const auto before = m_sent.find(to);
    if (before != m_sent.end() && now < before->second.again && before->second.extent == sent.extent
        && before->second.isComplete == sent.isComplete)
        return false;
    if (sent.isComplete && !m_completeBudget.take(1, now))
        return false; // the asker goes on to another node
    std::erase_if(m_sent, [now](const auto &entry) { return entry.second.again <= now; });
    if (m_sent.size() < maxSent)
        m_sent.insert_or_assign(to, sent);
    return true;
}

void CatalogSpread::onSource(const NetAddress &from, const CatalogExtent &extent,
                             const CatalogExtent &own)
{
    std::erase_if(m_sources, [&](const Source &source) {
        return source.peer == from || !own.lacks(source.extent);
    });
    if (!own.lacks(extent))
        return;
    if (m_sources.size() >= maxSources)
        m_sources.pop_front();
    m_sources.push_back({ from, extent });
}

std::optional<TimePoint> CatalogSpread::onUpdate(const NetAddress &from)
{
    if (!m_question || m_question->peer != from)
        return std::nullopt;
    return std::exchange(m_question, std::nullopt)->askedAt;
}

void CatalogSpread::pull(const CatalogExtent &own, TimePoint now, Sends &sends)
{
    if (m_question && now < m_question->end)
        return;
    m_question.reset();
    std::erase_if(m_sources, [&](const Source &source) { return !own.lacks(source.extent); });
    if (m_sources.empty())
        return;
    // The last one that was heard is the most likely to have the newest, and to run.
    const Source source = std::move(m_sources.back());
    m_sources.pop_back();
    CatalogExtent extent = own;
    if (std::exchange(m_needsAll, false))
        extent.config = {};
    const bool asksForAll = extent.config == ConfigVersion();
    m_question = { source.peer, now, now + (asksForAll ? completeTimeout : changesTimeout) };
    sends.push_back({ source.peer, Transport::Datagram, CatalogMessage(CatalogPull { extent }) });
}

void CatalogSpread::advance(const CatalogAdvert &own, TimePoint now, Sends &sends)
{
    if (!m_nextAdvert)
        m_nextAdvert = now + advertInterval;
    if (now < *m_nextAdvert)
        return;
    m_nextAdvert = now + advertInterval;
    const bool goesFar = m_near.empty() || uniformBelow(m_random, farOneIn) == 0;
    const std::vector<NetAddress> &peers = goesFar ? m_far : m_near;
    if (!peers.empty())
        sends.push_back({ peers[uniformBelow(m_random, peers.size())], Transport::Datagram,
                          CatalogMessage(own) });
}

TimePoint CatalogSpread::nextDeadline() const
{
    if (!m_nextAdvert)
        return TimePoint {};
    if (m_question)
        return std::min(*m_nextAdvert, m_question->end);
    return *m_nextAdvert;
}

} // namespace camphorreach
