// Owners of idempotency keys, chosen by rendezvous hashing.
#pragma once

#include <camphorreach/endpointtable.h>
#include <camphorreach/ids.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>

namespace camphorreach {

class VersionShares;

/// The score of \a name for \a key in rendezvous hashing; the highest score wins.
[[nodiscard]] std::uint64_t rendezvousRank(const std::string &name, std::uint64_t key) noexcept;

/// Finds the owner of an idempotency key: the instance whose gate stores the result of the
/// request with that key. The version is selected by weighted rendezvous hashing with the shares,
/// then the instance by rendezvous hashing over all members of that version, ready or not. All
/// entry nodes with the same endpoint table and shares find the same instance.
///
/// The stored results are lost when a member leaves or restarts, or when its version is banned.
/// Such a member stays in the hash for `keyLifetime` and find() returns Lost for its keys: the
/// request may have run there, so it must not run elsewhere.
class KeyOwners
{
public:
    /// How long a lost member stays in the hash. Equal to the time for which gates store results.
    static constexpr Duration keyLifetime = std::chrono::minutes(5);
    /// Max members per service that are kept after they left.
    static constexpr std::size_t maxLostPerService = 256;

    struct Owner
    {
        enum class Kind : std::uint8_t {
            Present,
            Lost, ///< The request may have run at an instance whose results are lost.
            None, ///< The service has no eligible member.
        };

        Kind kind = Kind::None;
        const Endpoint *endpoint = nullptr; ///< Set for Present; valid until the next update.
    };

    void update(const std::shared_ptr<const EndpointTable> &table, TimePoint now);
    /// \a refusedBy lists draining members that proved "not run". They will not run the request
    /// later either, so the member with the next highest score may. A fresh key has not run
    /// anywhere, so lost results do not matter for it: find() never returns Lost then, and skips
    /// absent members and banned versions.
    [[nodiscard]] Owner find(const ServiceName &service, const IdempotencyKey &key,
                             const VersionShares &shares, std::span<const InstanceId> refusedBy,
                             bool isFreshKey, TimePoint now);

private:
    struct Member
    {
        Endpoint endpoint;
        bool isPresent = true;
        std::optional<TimePoint> lostUntil {}; // set while stored results may be missing
    };
    struct Service
    {
        std::map<InstanceId, Member> members; // present, or one of at most maxLostPerService lost
        std::map<BackendVersion, Share> shares; // of the last request, to detect bans
        std::map<BackendVersion, std::pair<Share, TimePoint>> banned; // earlier share, expiry
    };

    void pruneExpired(Service &service, TimePoint now);
    void recordBans(Service &service, const VersionShares &shares, TimePoint now);

    std::map<ServiceName, Service> m_services; // in the table, or with lost members
};

} // namespace camphorreach
