// Token bucket: refills at a constant rate up to a burst size.
#pragma once

#include <camphorreach/units.h>

#include <algorithm>
#include <chrono>

namespace camphorreach {

class TokenBucket
{
public:
    /// \a rate is in tokens per second. The bucket starts full.
    TokenBucket(double rate, double burst) : m_rate(rate), m_burst(burst), m_tokens(burst) { }

    /// Takes \a count tokens. When fewer are left, takes none and returns false.
    [[nodiscard]] bool take(double count, TimePoint now)
    {
        refill(now);
        if (m_tokens < count)
            return false;
        m_tokens -= count;
        return true;
    }

    [[nodiscard]] double available(TimePoint now)
    {
        refill(now);
        return m_tokens;
    }

private:
    void refill(TimePoint now)
    {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_tokens = std::clamp(m_tokens + elapsed.count() * m_rate, 0.0, m_burst);
        m_refilledAt = now;
    }

    double m_rate;
    double m_burst;
    double m_tokens; // between zero and m_burst
    TimePoint m_refilledAt {};
};

} // namespace camphorreach
