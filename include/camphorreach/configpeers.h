// The other nodes, among which the components of `Configuration` choose peers.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/random.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorreach {

class ConfigPeers
{
public:
    explicit ConfigPeers(Endpoint self);

    void update(const EndpointTable &table);

    [[nodiscard]] const Endpoint &self() const noexcept { return m_self; }
    [[nodiscard]] const std::vector<NetAddress> &all() const noexcept { return m_all; }
    [[nodiscard]] const std::vector<NetAddress> &sameDomain() const noexcept
    {
        return m_domainPeers;
    }
    [[nodiscard]] std::optional<NetAddress> random(RandomSource &random) const;
    [[nodiscard]] std::optional<NetAddress> randomInDomain(RandomSource &random) const;
    /// Up to \a count distinct random peers.
    [[nodiscard]] std::vector<NetAddress> sample(std::size_t count, RandomSource &random) const;

    /// Number of nodes by failure domain, this node included.
    [[nodiscard]] const std::map<FailureDomain, std::uint32_t> &domains() const noexcept
    {
        return m_domains;
    }
    /// Whether \a instance belongs to this node's failure domain.
    [[nodiscard]] bool isInDomain(const InstanceId &instance) const;
    /// Number of nodes of the same failure domain, without draining ones, that precede this node in
    /// the order of the hashes of their ids. All nodes compute the same order.
    [[nodiscard]] std::size_t rank() const noexcept { return m_rank; }
    [[nodiscard]] bool isDraining() const noexcept { return m_isDraining; }

private:
    Endpoint m_self;
    std::vector<NetAddress> m_all; // without this node
    std::vector<NetAddress> m_domainPeers; // of the same failure domain, without this node
    std::vector<InstanceId> m_domainInstances; // sorted, this node included
    std::map<FailureDomain, std::uint32_t> m_domains;
    std::size_t m_rank = 0;
    bool m_isDraining = false;
};

} // namespace camphorreach
