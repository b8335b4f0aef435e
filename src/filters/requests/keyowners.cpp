// Rendezvous hashing of keys over members, including lost members.
#include <camphorreach/keyowners.h>

#include <camphorreach/versionshares.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <xxhash.h>

namespace camphorreach {

std::uint64_t rendezvousRank(const std::string &name, std::uint64_t key) noexcept
{
    return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

void KeyOwners::update(const std::shared_ptr<const EndpointTable> &table, TimePoint now)
{
    std::map<ServiceName, std::set<InstanceId>> present;
    for (const auto &[name, endpoints] : table->services) {
        Service &service = m_services[name];
        for (const Endpoint &endpoint : endpoints) {
            present[name].insert(endpoint.instance);
            const auto [found, isNew]
                = service.members.try_emplace(endpoint.instance, Member { endpoint });
            Member &member = found->second;
            if (isNew)
                continue;
            if (member.endpoint.incarnation != endpoint.incarnation)
                member.lostUntil = now + keyLifetime; // restarted, without its stored results
            else if (!member.isPresent)
                member.lostUntil.reset(); // the same process was only absent from the table
            member.isPresent = true;
            member.endpoint = endpoint;
        }
    }
    for (auto &[name, service] : m_services) {
        const std::set<InstanceId> &presentIds = present[name];
        for (auto &[instance, member] : service.members) {
            if (!member.isPresent || presentIds.contains(instance))
                continue;
            member.isPresent = false;
            member.lostUntil = now + keyLifetime;
        }
        pruneExpired(service, now);
    }
    std::erase_if(m_services, [](const auto &entry) { return entry.second.members.empty(); });
}

void KeyOwners::pruneExpired(Service &service, TimePoint now)
{
    std::erase_if(service.banned, [now](const auto &entry) { return entry.second.second <= now; });
    std::size_t lost = 0;
    for (auto &[instance, member] : service.members) {
        if (member.lostUntil && *member.lostUntil <= now)
            member.lostUntil.reset();
        lost += member.isPresent ? 0 : 1;
    }
    std::erase_if(service.members, [&lost](const auto &entry) {
        const Member &member = entry.second;
        if (member.isPresent || (member.lostUntil && lost <= maxLostPerService))
            return false;
        --lost;
        return true;
    });
}

// Keeps the shares of versions that were banned since the last request.
void KeyOwners::recordBans(Service &service, const VersionShares &shares, TimePoint now)
{
    if (service.shares == shares.shares())
        return;
    for (const auto &[version, share] : service.shares) {
        if (shares.isBanned(version))
            service.banned[version] = { share, now + keyLifetime };
    }
    for (const auto &[version, share] : shares.shares())
        service.banned.erase(version);
    service.shares = shares.shares();
}

KeyOwners::Owner KeyOwners::find(const ServiceName &name, const IdempotencyKey &key,
                                 const VersionShares &shares, std::span<const InstanceId> refusedBy,
                                 bool isFreshKey, TimePoint now)
{
    const auto found = m_services.find(name);
    if (found == m_services.end())
        return {};
    Service &service = found->second;
    recordBans(service, shares, now);
    pruneExpired(service, now);

    std::map<BackendVersion, Share> weights = shares.shares();
    if (!isFreshKey) {
        for (const auto &[version, entry] : service.banned)
            weights.emplace(version, entry.first);
    }
    const std::uint64_t hash = XXH3_64bits(key.value().data(), key.value().size());
    std::map<BackendVersion, const Member *> topByVersion; // member with the highest score
    for (const auto &[instance, member] : service.members) {
        if (!weights.contains(member.endpoint.version) || (isFreshKey && !member.isPresent)
            || std::ranges::find(refusedBy, instance) != refusedBy.end())
            continue;
        const Member *&topMember = topByVersion[member.endpoint.version];
        if (topMember == nullptr
            || rendezvousRank(instance.value(), hash)
                > rendezvousRank(topMember->endpoint.instance.value(), hash))
            topMember = &member;
    }
    const Member *owner = nullptr;
    double minTime = 0.0;
    for (const auto &[version, topMember] : topByVersion) {
        // Weighted rendezvous hashing: an exponentially distributed time with the weight as rate;
        // the minimum time wins.
        constexpr double hashRange = 18446744073709551616.0; // 2^64
        const double u
            = (static_cast<double>(rendezvousRank(version.value(), hash)) + 1.0) / hashRange;
        const double time = -std::log(std::min(u, 1.0)) / weights.at(version).fraction();
        if (owner == nullptr || time < minTime) {
            owner = topMember;
            minTime = time;
        }
    }
    if (owner == nullptr)
        return {};
    if (!isFreshKey && (owner->lostUntil || service.banned.contains(owner->endpoint.version)))
        return { Owner::Kind::Lost, nullptr };
    return { Owner::Kind::Present, &owner->endpoint };
}

} // namespace camphorreach
