// The member table of one node, and the updates that it still has to gossip.
#pragma once

#include <camphorreach/membershipmessage.h>
#include <camphorreach/random.h>
#include <camphorreach/units.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorreach {

/// Upper bound of the encoded size of an update, in bytes.
[[nodiscard]] std::size_t encodedSizeBound(const MemberUpdate &update) noexcept;

/// The table of members other than the node itself. Used by the filter `Membership`.
class MemberList
{
public:
    static constexpr std::size_t maxRecords = 4096;
    static constexpr std::size_t bucketCount = 128;
    using Digests = std::array<std::uint32_t, bucketCount>;

    struct Record
    {
        Endpoint endpoint;
        MemberHealth health = MemberHealth::Alive;
        TimePoint since {}; // start of the current health
        std::optional<unsigned> transmissions; // of the queued update; empty when none is queued
        std::size_t liveIndex = 0; // index in m_live, unless gone
    };

    enum class Effect {
        Applied,
        Known,
        Outdated, ///< The local record is newer and should be sent to the sender.
        Refused ///< The table is full.
    };

    /// Applies an update unless the local record is at least as new or the table is full. Queues an
    /// applied update for gossip if \a shouldGossip is set.
    Effect apply(const MemberUpdate &update, TimePoint now, bool shouldGossip = true);
    /// Declares a member suspect or gone, as detected by this node. Never improves its health.
    void declare(const InstanceId &instance, MemberHealth health, TimePoint now);

    [[nodiscard]] const Record *find(const InstanceId &instance) const;
    /// Members that are not gone, in no particular order.
    [[nodiscard]] const std::vector<const Record *> &live() const noexcept { return m_live; }
    [[nodiscard]] const Record *randomLive(RandomSource &random) const;
    /// Addresses of the members that have stopped in an orderly way.
    [[nodiscard]] std::vector<NetAddress> stopped() const;
    /// A random member that was declared gone and may have returned, or nullptr.
    [[nodiscard]] const Record *randomGone(RandomSource &random) const;

    /// Appends updates to piggyback on a datagram, those with the fewest transmissions first, up to
    /// \a budget bytes.
    void takeUpdates(std::size_t budget, std::vector<MemberUpdate> &updates);
    [[nodiscard]] bool hasUpdates() const noexcept { return !m_queue.empty(); }

    [[nodiscard]] const Digests &digests() const noexcept { return m_digests; }
    /// The digests of all members including the node itself; equal on nodes with equal tables.
    [[nodiscard]] Digests digestsWith(const Endpoint &self) const;
    [[nodiscard]] static std::size_t bucketOf(const InstanceId &instance) noexcept;
    [[nodiscard]] std::vector<MemberUpdate> membersOf(const std::set<std::uint8_t> &buckets) const;

    /// Declares suspects gone after the suspicion timeout, and removes the records of members that
    /// have been gone for the retention time.
    void expire(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;
    /// Extends all suspicion timeouts by \a pause, after this process was paused.
    void extendSuspicions(Duration pause);

    [[nodiscard]] bool takeChanged() noexcept { return std::exchange(m_hasChanged, false); }
    [[nodiscard]] bool hasChanged() const noexcept { return m_hasChanged; }

private:
    void store(Record &record, const MemberUpdate &update, TimePoint now, bool shouldGossip);
    void setHealth(Record &record, MemberHealth health, TimePoint now);
    void enqueue(Record &record);
    void dequeue(Record &record);
    void toggleDigest(const Record &record);
    void resolveAddressConflict(const Record &record, TimePoint now);
    [[nodiscard]] unsigned maxTransmissions() const noexcept;

    std::unordered_map<InstanceId, Record> m_records; // at most maxRecords
    std::vector<const Record *> m_live; // into m_records
    std::unordered_map<NetAddress, InstanceId> m_byAddress; // of live records
    std::set<std::pair<unsigned, InstanceId>>
        m_queue; // (Record::transmissions, instance); at most maxQueued
    std::set<std::pair<TimePoint, InstanceId>> m_suspects; // (Record::since, instance)
    std::set<std::pair<TimePoint, InstanceId>> m_gone; // (Record::since, instance)
    Digests m_digests {}; // by bucket: XOR over its live records
    bool m_hasChanged = true; // whether live endpoints changed since takeChanged()
};

} // namespace camphorreach
