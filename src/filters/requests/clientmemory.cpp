// Decisions about the memory that clients make a process hold.
#include <camphorreach/clientmemory.h>

#include <algorithm>
#include <utility>

namespace camphorreach {

namespace {

// The rest of a machine's memory is for the process itself, the queues of the gate (three
// sixteenths), and the buffers of links and backend connections.
constexpr std::uint64_t memoryDivisor = 4;
// A request of the maximum size, with a copy of it, must fit beside the reserve.
constexpr std::uint64_t minTotal = 8 * 1024 * 1024;
constexpr std::uint64_t reserveDivisor = 4;
// Part of the machine's memory for large bodies: one of 64 MiB on a machine of 160 MB. With it,
// half of the total may be held and half of it sent (a quarter of the memory together), and the
// queues of the gate (three sixteenths) leave a ninth to the process itself.
constexpr std::uint64_t largeNumerator = 9;
constexpr std::uint64_t largeDenominator = 20;
constexpr std::uint64_t givenUpDivisor = 2;
// What the system may hold of a connection that is not read.
constexpr std::uint64_t socketBufferBytes = 64 * 1024;
constexpr std::uint64_t waitingDivisor = 16;
// What an open connection holds at least. Connections without a request may use half of the total.
constexpr std::uint64_t connectionBytes = 8 * 1024;
constexpr std::uint64_t connectionsDivisor = 2;
// More room than needed is made at once, so that connections are searched rarely.
constexpr std::uint64_t extraRoomDivisor = 16;

} // namespace

ClientMemory::Limits ClientMemory::limitsFor(ByteCount machineMemory, std::size_t connections)
{
    Limits limits;
    const std::uint64_t total = std::max(minTotal, machineMemory.value() / memoryDivisor);
    limits.total = ByteCount(total);
    limits.reserve = ByteCount(total / reserveDivisor);
    limits.large = ByteCount(machineMemory.value() / largeDenominator * largeNumerator);
    limits.connections
        = std::min<std::size_t>(connections, total / connectionsDivisor / connectionBytes);
    limits.waiting = std::max<std::uint64_t>(1, total / waitingDivisor / socketBufferBytes);
    return limits;
}

void ClientMemory::open(ClientId client, TimePoint now)
{
    m_clients[client].movedAt = now;
}

void ClientMemory::close(ClientId client)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end())
        return;
    endWait(found->second);
    m_held -= found->second.held;
    m_large -= found->second.large;
    m_sending -= found->second.sending;
    m_clients.erase(found);
}

void ClientMemory::update(ClientId id, ByteCount held, ByteCount sending, Activity activity,
                          ByteCount received, TimePoint now, ByteCount large)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    Client &client = found->second;
    m_held += held.value() - client.held;
    client.held = held.value();
    m_large += large.value() - client.large;
    client.large = large.value();
    m_sending += sending.value() - client.sending;
    client.sending = sending.value();
    // Requests that a client sends ahead do not show that it takes the responses.
    if (activity != Activity::Sending)
        client.receivedSinceMove += received.value();
    // The end of a request or of a response is progress, too.
    const bool hasMoved = std::exchange(client.activity, activity) != activity;
    const ByteCount progress = client.large > 0 ? m_limits.largeProgress : m_limits.progress;
    if (hasMoved || client.receivedSinceMove >= progress.value()) {
        client.receivedSinceMove = 0;
        client.movedAt = now;
    }
    if (activity == Activity::Closing || activity == Activity::Idle)
        endWait(client);
}

void ClientMemory::onSent(ClientId id, TimePoint now)
{
    const auto found = m_clients.find(id);
    if (found != m_clients.end())
        found->second.movedAt = now;
}

void ClientMemory::observeUnsent(ClientId id, ByteCount unsent, TimePoint now)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    if (std::exchange(found->second.unsent, unsent.value()) != unsent.value())
        found->second.movedAt = now;
}

ClientMemory::Decision ClientMemory::ask(ClientId id, ByteCount wanted, TimePoint now,
                                         ByteCount large)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return { Answer::Refuse, {} };
    Client &client = found->second;
    const Demand demand = demandOf(client, wanted, large);
    const bool fitsNow = fits(demand, 0, 0);
    const bool fitsAlone = fits(demand, demand.others, demand.othersLarge);
    Decision decision;
    if (!fitsNow && fitsAlone)
        decision.closed = victims(id, demand, now);
    if (fitsNow || !decision.closed.empty()) {
        if (client.isWaiting)
            client.movedAt = now;
        endWait(client);
        return decision;
    }
    if (!client.isWaiting) {
        if (m_waiting >= m_limits.waiting || !fitsAlone)
            return { Answer::Refuse, {} };
        client.isWaiting = true;
        client.waitingSince = now;
        ++m_waiting;
    }
    const bool isTooLate = now - client.waitingSince >= m_limits.maxWait;
    if (isTooLate)
        endWait(client);
    return { isTooLate ? Answer::Refuse : Answer::Wait, {} };
}

bool ClientMemory::hasRoom(ClientId id, ByteCount wanted, ByteCount large) const
{
    const auto found = m_clients.find(id);
    return found != m_clients.end() && fits(demandOf(found->second, wanted, large), 0, 0);
}

std::vector<ClientId> ClientMemory::excessConnections(TimePoint now) const
{
    if (m_clients.size() <= m_limits.connections)
        return {};
    return leastActive(m_clients.size() - m_limits.connections, now);
}

std::vector<ClientId> ClientMemory::leastActive(std::size_t count, TimePoint now) const
{
    std::vector<std::pair<std::pair<Activity, TimePoint>, ClientId>> candidates;
    for (const auto &[id, client] : m_clients) {
        if (client.activity != Activity::Running && isStalled(client, now))
            candidates.push_back({ { client.activity, client.movedAt }, id });
    }
    std::ranges::sort(candidates);
    std::vector<ClientId> result;
    for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i)
        result.push_back(candidates[i].second);
    return result;
}

ClientMemory::Demand ClientMemory::demandOf(const Client &client, ByteCount wanted,
                                            ByteCount large) const
{
    const std::uint64_t total = m_limits.total.value();
    const std::uint64_t othersLarge = m_large - client.large + m_largeUnderWay;
    const std::uint64_t sendLimit = total - std::min(othersLarge, total / givenUpDivisor);
    const std::uint64_t excess = m_sending - std::min(m_sending, sendLimit);
    return { wanted.value(), large.value(), m_held - client.held + excess, othersLarge,
             wanted <= m_limits.small && large == ByteCount() };
}

std::uint64_t ClientMemory::missing(const Demand &demand, std::uint64_t freed,
                                    std::uint64_t freedLarge) const
{
    const std::uint64_t total = m_limits.total.value();
    const std::uint64_t large = demand.large + demand.othersLarge - freedLarge;
    const std::uint64_t share = total - (demand.isSmall ? 0 : m_limits.reserve.value());
    const std::uint64_t limit = share - std::min({ large, total / givenUpDivisor, share });
    const std::uint64_t needed = demand.wanted + demand.others - freed;
    return needed - std::min(needed, limit);
}

std::uint64_t ClientMemory::missingLarge(const Demand &demand, std::uint64_t freedLarge) const
{
    if (demand.large == 0)
        return 0;
    const std::uint64_t needed = demand.large + demand.othersLarge - freedLarge;
    return needed - std::min(needed, m_limits.large.value());
}

bool ClientMemory::fits(const Demand &demand, std::uint64_t freed, std::uint64_t freedLarge) const
{
    return missing(demand, freed, freedLarge) == 0 && missingLarge(demand, freedLarge) == 0;
}

bool ClientMemory::isStalled(const Client &client, TimePoint now) const
{
    return !client.isWaiting && now - client.movedAt >= m_limits.stallTime;
}

// Connections that hold a part of a request, those first that have held the most for the longest,
// which together free what is missing. Empty when there are not enough. A small request may also
// end large ones that move.
std::vector<ClientId> ClientMemory::victims(ClientId asking, const Demand &demand, TimePoint now)
{
    if (!demand.isSmall && now < m_searchAt)
        return {};
    struct Candidate
    {
        double weight = 0;
        std::uint64_t held = 0;
        std::uint64_t large = 0;
        ClientId id;
    };
    const std::uint64_t needed = missing(demand, 0, 0);
    std::vector<Candidate> candidates;
    std::uint64_t available = 0;
    std::uint64_t availableLarge = 0;
    for (const auto &[id, client] : m_clients) {
        if (id == asking || client.activity != Activity::Receiving)
            continue;
        const bool isLarge = client.held > m_limits.small.value() || client.large > 0;
        if (!isStalled(client, now) && !(demand.isSmall && isLarge))
            continue;
        if (needed == 0 && client.large == 0)
            continue; // its end would not help
        const auto time = static_cast<double>(1 + (now - client.movedAt).count());
        candidates.push_back({ static_cast<double>(client.held + client.large) * time, client.held,
                               client.large, id });
        available += client.held;
        availableLarge += client.large;
    }
    if (!fits(demand, available, availableLarge)) {
        m_searchAt = now + m_limits.stallTime / 8;
        return {};
    }
    std::ranges::sort(candidates, [](const Candidate &a, const Candidate &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.id < b.id;
    });
    const std::uint64_t extra
        = demand.isSmall || needed == 0 ? 0 : m_limits.total.value() / extraRoomDivisor;
    Demand wanted = demand;
    wanted.others += extra;
    std::vector<ClientId> result;
    std::uint64_t freed = 0;
    std::uint64_t freedLarge = 0;
    for (std::size_t i = 0; i < candidates.size() && !fits(wanted, freed, freedLarge); ++i) {
        result.push_back(candidates[i].id);
        freed += candidates[i].held;
        freedLarge += candidates[i].large;
    }
    return result;
}

void ClientMemory::endWait(Client &client)
{
    if (std::exchange(client.isWaiting, false))
        --m_waiting;
}

} // namespace camphorreach
