// Selection of peers and schedule for quarantine notices.
#include <camphorreach/quarantinespread.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorreach {
namespace {

constexpr Duration repairInterval = std::chrono::seconds(10);
constexpr std::size_t announceFanOut = 256;
constexpr std::size_t relayFanOut = 3;
constexpr std::size_t repairFanOut = 1;
// One of several gates answers even if the others are starting or are lost.
constexpr std::size_t askFanOut = 3;
constexpr Duration askInterval = std::chrono::milliseconds(150);
// A gate without an answer after these asks is alone or cut off, and asks at the repair interval.
constexpr std::uint32_t quickAsks = 4;
// Shorter than most deadlines, so that requests that wait meanwhile can still be answered.
constexpr Duration maxAnswerWait = std::chrono::milliseconds(500);

} // namespace

QuarantineSpread::QuarantineSpread(ServiceName service, NetAddress self, bool asks,
                                   RandomSource &random)
    : m_service(std::move(service)), m_self(std::move(self)), m_random(random), m_asks(asks),
      m_isAnswered(!asks)
{ }

void QuarantineSpread::setTime(TimePoint now)
{
    if (!std::exchange(m_isStarted, true) && m_asks)
        m_awaitEnd = now + maxAnswerWait;
    if (m_awaitEnd && now >= *m_awaitEnd)
        m_awaitEnd.reset();
}

void QuarantineSpread::setService(const ServiceName &service, TimePoint now)
{
    if (service == m_service)
        return;
    m_service = service;
    m_peers.clear();
    if (m_asks)
        m_awaitEnd = now + maxAnswerWait;
    m_nextAsk = now;
    m_askCount = 0;
    m_isAnswered = !m_asks;
}

void QuarantineSpread::setPeers(const EndpointsChanged &changed)
{
    m_peers.clear();
    const auto found = changed.table->services.find(m_service);
    if (found == changed.table->services.end())
        return;
    for (const Endpoint &endpoint : found->second) {
        if (endpoint.peer != m_self)
            m_peers.push_back(endpoint.peer);
    }
}

std::vector<PeerSend> QuarantineSpread::announce(const std::vector<QuarantineEntry> &entries,
                                                 TimePoint now)
{
    if (!entries.empty() && !m_nextRepair)
        m_nextRepair = now + repairInterval;
    return sendToSample(entries, announceFanOut);
}

std::vector<PeerSend> QuarantineSpread::relay(const std::vector<QuarantineEntry> &newEntries,
                                              TimePoint now)
{
    if (!newEntries.empty() && !m_nextRepair)
        m_nextRepair = now + repairInterval;
    return sendToSample(newEntries, relayFanOut);
}

std::vector<PeerSend> QuarantineSpread::repair(const std::vector<QuarantineEntry> &activeEntries,
                                               TimePoint now)
{
    m_nextRepair.reset();
    if (!activeEntries.empty())
        m_nextRepair = now + repairInterval;
    return sendToSample(activeEntries, repairFanOut);
}

std::vector<PeerSend> QuarantineSpread::ask(TimePoint now)
{
    const std::optional<TimePoint> due = nextAsk();
    if (!due || now < *due)
        return {};
    m_nextAsk = now + (++m_askCount < quickAsks ? askInterval : repairInterval);
    std::vector<PeerSend> result;
    for (const NetAddress &target : samplePeers(askFanOut))
        result.push_back(
            { target, Transport::Datagram, QuarantineMessage(QuarantineRequest { m_service }) });
    return result;
}

std::optional<TimePoint> QuarantineSpread::nextAsk() const
{
    return m_isAnswered || m_peers.empty() ? std::nullopt : std::optional(m_nextAsk);
}

void QuarantineSpread::onAnswer(const std::vector<QuarantineEntry> &newEntries, TimePoint now)
{
    m_isAnswered = true;
    m_awaitEnd.reset();
    if (!newEntries.empty() && !m_nextRepair)
        m_nextRepair = now + repairInterval;
}

std::vector<PeerSend> QuarantineSpread::answer(const NetAddress &to,
                                               const QuarantineRequest &request,
                                               const std::vector<QuarantineEntry> &entries) const
{
    if (request.service != m_service || m_awaitEnd)
        return {};
    std::vector<PeerSend> result;
    std::size_t first = 0;
    do {
        const std::size_t count = std::min(entries.size() - first, maxQuarantineEntries);
        const auto begin = entries.begin() + static_cast<std::ptrdiff_t>(first);
        first += count;
        result.push_back({ to, Transport::Datagram,
                           QuarantineMessage(QuarantineNotice {
                               m_service,
                               { begin, begin + static_cast<std::ptrdiff_t>(count) },
                               first == entries.size() }) });
    } while (first < entries.size());
    return result;
}

std::vector<NetAddress> QuarantineSpread::samplePeers(std::size_t count)
{
    std::vector<NetAddress> targets;
    std::ranges::sample(m_peers, std::back_inserter(targets), static_cast<std::ptrdiff_t>(count),
                        m_random);
    return targets;
}

std::vector<PeerSend> QuarantineSpread::sendToSample(const std::vector<QuarantineEntry> &entries,
                                                     std::size_t fanOut)
{
    if (entries.empty())
        return {};
    const std::vector<NetAddress> targets = samplePeers(fanOut);
    std::vector<PeerSend> result;
    result.reserve(targets.size());
    for (const NetAddress &target : targets) {
        result.push_back({ target, Transport::Datagram,
                           QuarantineMessage(QuarantineNotice { m_service, entries }) });
    }
    return result;
}

} // namespace camphorreach
