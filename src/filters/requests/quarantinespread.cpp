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

} // namespace

QuarantineSpread::QuarantineSpread(ServiceName service, NetAddress self, RandomSource &random)
    : m_service(std::move(service)), m_self(std::move(self)), m_random(random)
{ }

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

std::vector<PeerSend> QuarantineSpread::sendToSample(const std::vector<QuarantineEntry> &entries,
                                                     std::size_t fanOut)
{
    if (entries.empty())
        return {};
    std::vector<NetAddress> targets;
    std::ranges::sample(m_peers, std::back_inserter(targets), static_cast<std::ptrdiff_t>(fanOut),
                        m_random);
    std::vector<PeerSend> result;
    result.reserve(targets.size());
    for (const NetAddress &target : targets) {
        result.push_back({ target, Transport::Datagram,
                           QuarantineMessage(QuarantineNotice { m_service, entries }) });
    }
    return result;
}

} // namespace camphorreach
