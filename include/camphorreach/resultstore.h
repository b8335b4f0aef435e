// Stored outcomes of run-once requests by idempotency key.
#pragma once

#include <camphorreach/gatequeue.h>
#include <camphorreach/outcome.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphorreach {

/// Stores the outcomes of run-once requests with an idempotency key for a limited time, so that a
/// retry never runs a second time. docs/notes/idempotency.md states the exact limits.
class ResultStore
{
public:
    struct Limits
    {
        Duration retention = std::chrono::seconds(300);
        std::size_t keys = 16'384;
        std::size_t bytes = std::size_t { 16 } * 1024 * 1024;
        std::size_t waiters = 16; ///< Retries that may wait for one running request.
        /// Whether an earlier process at this address may have run requests whose keys are not in
        /// this store.
        bool mayFollowRestart = true;
    };

    struct Admitted
    { };
    /// A request with the same key is running; complete() returns this one as a waiter.
    struct Joined
    { };
    using Decision = std::variant<Admitted, Joined, Outcome>;

    explicit ResultStore(Limits limits) : m_limits(limits) { }

    /// Whether outcomes of \a request are stored: it is run-once and has an idempotency key.
    [[nodiscard]] static bool appliesTo(const ForwardRequest &request)
    {
        return !request.isIdempotent && !request.key.value().empty();
    }

    /// Marks all keys as in doubt for one retention time, if Limits::mayFollowRestart is set. Only
    /// the first call has an effect.
    void start(TimePoint now);

    /// Decides whether a run-once request with a key may run. Moves from \a work only when it
    /// returns Joined.
    [[nodiscard]] Decision admit(GateWork &work, TimePoint now);
    /// Stores the outcome of the running request of \a key and returns the retries that wait for
    /// it. A NotRun outcome is not stored, so that a retry may run.
    [[nodiscard]] std::vector<GateWork> complete(const IdempotencyKey &key, const Outcome &outcome,
                                                 TimePoint now);
    /// Drops the waiting retries of \a link, or only request \a id on it.
    void dropWaiters(LinkId link, std::optional<RequestId> id);

    void expire(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

    [[nodiscard]] std::size_t size() const noexcept { return m_finished.size(); }
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::uint64_t evictions() const noexcept { return m_evictions; }

private:
    struct Running // admitted and not yet completed
    {
        Digest fingerprint;
        std::vector<GateWork> waiters; // at most m_limits.waiters
    };
    struct Finished
    {
        Digest fingerprint;
        Outcome outcome; // never NotRun
        TimePoint expires {};
    };

    // Keys are grouped by hash, so that an evicted result puts only the keys of its group in doubt.
    static constexpr std::size_t groupCount = 1024;
    [[nodiscard]] TimePoint &inDoubtUntil(const IdempotencyKey &key);
    void evict();
    void eraseOldest();
    static std::size_t sizeOfEntry(const IdempotencyKey &key, const Finished &entry) noexcept;

    const Limits m_limits;
    std::unordered_map<IdempotencyKey, Running> m_running; // bounded by the queues and slots
    std::unordered_map<IdempotencyKey, Finished> m_finished; // at most m_limits.keys
    std::deque<IdempotencyKey> m_expiryOrder; // keys of m_finished, earliest expiry first
    std::size_t m_bytes = 0; // used by m_finished; at most m_limits.bytes
    // By group: until this time, a request whose key has no entry may have run before.
    std::array<TimePoint, groupCount> m_inDoubtUntil {};
    bool m_isStarted = false;
    std::uint64_t m_evictions = 0;
};

} // namespace camphorreach
