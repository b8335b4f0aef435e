// Outlier ejection of one target: its conditions, its duration and the return by probing.
#pragma once

#include <camphorreach/random.h>
#include <camphorreach/units.h>

#include <cstdint>
#include <optional>

namespace camphorreach {

/// Counts consecutive failures of a target. The caller decides whether the target may be ejected,
/// because only the caller knows how many other targets would remain.
class Ejection
{
public:
    enum class State : std::uint8_t {
        Active,
        Ejected, ///< Receives no requests until the ejection ends.
        Probing, ///< Receives one request at a time until `successesToReturn` have succeeded.
    };

    static constexpr std::uint32_t failuresToEject = 5;
    static constexpr std::uint32_t successesToReturn = 3;
    /// Length of the first ejection, before jitter; doubles with every further one.
    static constexpr Duration baseTime = std::chrono::seconds(1);
    static constexpr Duration maxTime = std::chrono::seconds(60);
    /// An ejection this long after the end of the previous one starts again at `baseTime`.
    static constexpr Duration backoffResetTime = std::chrono::minutes(5);

    [[nodiscard]] State state(TimePoint now) const noexcept;
    /// The end of the current ejection; empty in other states.
    [[nodiscard]] std::optional<TimePoint> ejectedUntil(TimePoint now) const noexcept;
    [[nodiscard]] bool isFailing() const noexcept { return m_failures >= failuresToEject; }

    /// Records a success. Returns true when it ends the probing.
    bool onSuccess(TimePoint now);
    /// Records a failure. Returns true when the target should be ejected, provided that enough
    /// others remain.
    [[nodiscard]] bool onFailure(TimePoint now);
    /// Ejects the target for a time that doubles with every ejection, with jitter.
    void eject(TimePoint now, RandomSource &random);

private:
    std::uint32_t m_failures = 0; // consecutive
    std::uint32_t m_successes = 0; // consecutive, while probing
    std::uint32_t m_ejections = 0; // exponent of the backoff; at most maxDoublings
    std::optional<TimePoint> m_ejectedUntil; // end of the latest ejection
};

} // namespace camphorreach
