// Identification of the organisation of a request by its API key.
#pragma once

#include <camphorreach/configproof.h>
#include <camphorreach/outcome.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>
#include <variant>

namespace camphorreach {

/// Part of the router: decides once for every request, at its entry node, on whose behalf it runs.
class Identification
{
public:
    struct Counts
    {
        std::uint64_t identified = 0;
        std::uint64_t unknownKey = 0;
        std::uint64_t keyUnproven = 0;
    };
    /// The organisation, inside the snapshot, or null when the request needs no key; or why the
    /// request is refused.
    using Result = std::variant<const Organisation *, NotRunReason>;

    /// With \a revocation, a request with a key is refused unless the configuration is proved to
    /// have been the newest one within a part of this time.
    explicit Identification(std::optional<Duration> revocation) : m_revocation(revocation) { }

    void update(const ConfigurationProven &proof);
    void update(const NewerConfigurationKnown &known, TimePoint now);
    /// Erases \a key. \a now must not be earlier than the arrival of the request.
    [[nodiscard]] Result identify(const Snapshot &snapshot, const RoutePolicy &route, ApiKey &key,
                                  TimePoint now);

    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    /// Start of the time that the current proof does not cover; empty without a proof.
    [[nodiscard]] std::optional<TimePoint> provenAsOf() const noexcept;

private:
    [[nodiscard]] Result decide(const Snapshot &snapshot, const RoutePolicy &route,
                                const ApiKey &key, TimePoint now) const;
    [[nodiscard]] bool isProven(ConfigVersion version, TimePoint now) const;

    const std::optional<Duration> m_revocation;
    std::optional<ConfigurationProven> m_proof;
    ConfigVersion m_newerVersion; // named by another node
    TimePoint m_newerUntil {}; // after this time it is taken for an error of that node
    Counts m_counts;
};

} // namespace camphorreach
