// Selection of peers among the other nodes.
#include <camphorreach/configpeers.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace camphorreach {
namespace {

std::uint64_t rankHash(const InstanceId &instance)
{
    return XXH3_64bits(instance.value().data(), instance.value().size());
}

std::optional<NetAddress> pick(const std::vector<NetAddress> &peers, RandomSource &random)
{
    if (peers.empty())
        return std::nullopt;
    return peers[uniformBelow(random, peers.size())];
}

} // namespace

ConfigPeers::ConfigPeers(Endpoint self) : m_self(std::move(self))
{
    m_domains[m_self.domain] = 1;
}

void ConfigPeers::update(const EndpointTable &table)
{
    m_all.clear();
    m_domainPeers.clear();
    m_domainInstances.clear();
    m_domains.clear();
    m_rank = 0;
    const std::uint64_t ownHash = rankHash(m_self.instance);
    for (const auto &[service, endpoints] : table.services) {
        for (const Endpoint &endpoint : endpoints) {
            ++m_domains[endpoint.domain];
            const bool isSameDomain = endpoint.domain == m_self.domain;
            if (isSameDomain)
                m_domainInstances.push_back(endpoint.instance);
            if (endpoint.instance == m_self.instance) {
                m_isDraining = endpoint.state == EndpointState::Draining;
                continue;
            }
            m_all.push_back(endpoint.peer);
            if (!isSameDomain)
                continue;
            m_domainPeers.push_back(endpoint.peer);
            const bool isEligible = endpoint.state != EndpointState::Draining;
            m_rank += isEligible && rankHash(endpoint.instance) < ownHash ? 1 : 0;
        }
    }
    std::ranges::sort(m_domainInstances);
}

std::optional<NetAddress> ConfigPeers::random(RandomSource &random) const
{
    return pick(m_all, random);
}

std::optional<NetAddress> ConfigPeers::randomInDomain(RandomSource &random) const
{
    return pick(m_domainPeers, random);
}

std::vector<NetAddress> ConfigPeers::sample(std::size_t count, RandomSource &random) const
{
    if (m_all.size() <= count)
        return m_all;
    std::vector<NetAddress> result;
    while (result.size() < count) {
        const NetAddress &peer = m_all[uniformBelow(random, m_all.size())];
        if (std::ranges::find(result, peer) == result.end())
            result.push_back(peer);
    }
    return result;
}

bool ConfigPeers::isInDomain(const InstanceId &instance) const
{
    return std::ranges::binary_search(m_domainInstances, instance);
}

} // namespace camphorreach
