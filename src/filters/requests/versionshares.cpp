// Random selection of versions and their fallbacks.
#include <camphorreach/versionshares.h>

namespace camphorreach {
namespace {

constexpr std::uint32_t minFallbackMillionths = Share::whole / 2;

} // namespace

VersionShares::VersionShares(const ServicePolicy &service, const ServiceShares *move)
{
    const bool hasShares = move != nullptr && !move->shares.empty();
    for (const auto &[version, share] : hasShares ? move->shares : service.weights) {
        if (share != Share::none() && (move == nullptr || !move->banned.contains(version)))
            m_shares.emplace(version, share);
    }
    m_hasMove = hasShares;
    if (move != nullptr)
        m_banned = move->banned;
}

bool VersionShares::isAllowed(const BackendVersion &version) const
{
    return m_shares.contains(version);
}

bool VersionShares::isBanned(const BackendVersion &version) const
{
    return m_banned.contains(version);
}

std::optional<BackendVersion> VersionShares::draw(RandomSource &random) const
{
    std::uint64_t total = 0;
    for (const auto &[version, share] : m_shares)
        total += share.millionths();
    if (total == 0)
        return std::nullopt;
    std::uint64_t point = uniformBelow(random, total);
    for (const auto &[version, share] : m_shares) {
        if (point < share.millionths())
            return version;
        point -= share.millionths();
    }
    return std::nullopt;
}

std::optional<BackendVersion> VersionShares::fallback(const BackendVersion &missing,
                                                      const Predicate &isPresent) const
{
    std::uint64_t total = 0;
    for (const auto &[version, share] : m_shares)
        total += share.millionths();
    std::optional<BackendVersion> best;
    for (const auto &[version, share] : m_shares) {
        const bool hasAtLeastHalf
            = std::uint64_t { share.millionths() } * Share::whole >= total * minFallbackMillionths;
        if (version == missing || (m_hasMove && !hasAtLeastHalf) || !isPresent(version))
            continue;
        if (!best || m_shares.at(*best) < share)
            best = version;
    }
    return best;
}

} // namespace camphorreach
