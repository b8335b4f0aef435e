// The record of this node in the platform's store.
#pragma once

#include <camphorreach/departedrun.h>
#include <camphorreach/netaddress.h>
#include <camphorreach/random.h>
#include <camphorreach/store.h>

#include <optional>
#include <variant>
#include <vector>

namespace camphorreach {

/// Decides when the record is written, and whether it is created or replaced. The record holds the
/// departures that this node has acknowledged, and those that its earlier processes left there.
class NodeRegistration
{
public:
    using Event = std::variant<DeparturesRestored, DeparturesStored>;

    struct Effect
    {
        std::vector<Event> events; ///< In the order in which they are to be published.
        bool hasFailed = false; ///< The call had no effect, and is repeated later.
    };

    NodeRegistration(InstanceId node, NetAddress peer, RandomSource &random);

    /// The record is to hold these \a departures as well.
    void add(const DepartedRuns &departures, TimePoint now);

    [[nodiscard]] bool isDue(TimePoint now) const;
    /// Begins the call that writes the record. None may be pending.
    [[nodiscard]] StoreOperation start(StoreCallId id);
    [[nodiscard]] bool isPending(StoreCallId id) const { return m_call == id; }
    [[nodiscard]] Effect onReply(const StoreResult &result, TimePoint now);

    /// Whether the record is stored with all departures.
    [[nodiscard]] bool isComplete() const noexcept { return !m_call && !m_nextCall; }
    /// When the record is written next; empty while a call is pending and once it is complete.
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

private:
    [[nodiscard]] Effect onWritten(ObjectVersion version, TimePoint now);
    [[nodiscard]] Effect onConflict(const StoreRefusal &refusal, TimePoint now);
    void restore(Effect &effect);

    const InstanceId m_node;
    const NetAddress m_peer;
    RandomSource &m_random;
    std::optional<StoreCallId> m_call; // pending
    // Empty while the call is pending and once the record is stored.
    std::optional<TimePoint> m_nextCall = TimePoint {};
    bool m_hasRecord = false; // the record should exist, so it is replaced rather than created
    std::optional<ObjectVersion> m_recordVersion; // of the existing record, if it is known
    DepartedRuns m_departures; // of this process, and of earlier ones once they are restored
    DepartedRuns m_written; // by the last call
    bool m_isRestored = false; // never reset
};

} // namespace camphorreach
