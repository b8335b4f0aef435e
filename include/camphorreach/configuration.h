// Configuration: the filter that receives accepted configuration versions and puts them in force.
#pragma once

#include <camphorreach/configpeers.h>
#include <camphorreach/configreader.h>
#include <camphorreach/configspread.h>
#include <camphorreach/domainstatus.h>
#include <camphorreach/filter.h>
#include <camphorreach/membership.h>
#include <camphorreach/peermessage.h>
#include <camphorreach/platform.h>
#include <camphorreach/random.h>
#include <camphorreach/snapshot.h>
#include <camphorreach/versionfloor.h>
#include <camphorreach/versionstore.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace camphorreach {

/// Receives accepted versions from the platform (if this node is a reader) and from peers, and
/// replaces the snapshot as a whole. The version in force never decreases and is never below the
/// version floor.
class Configuration
{
public:
    using Input = std::variant<PlatformReply, PeerReceived<ConfigMessage>, EndpointsChanged>;
    using Output = std::variant<PlatformCall, SnapshotChanged, PeerSend, JoinPeers>;
    using Refusal = ConfigRefusal;

    struct Options
    {
        std::size_t fanOut = 4; ///< Peers per push round.
    };

    Configuration(Endpoint self, Options options, RandomSource &random);
    Configuration(const Configuration &) = delete;
    Configuration &operator=(const Configuration &) = delete;

    void process(Input input, TimePoint now, Outbox<Output> &outbox);
    void advance(TimePoint now, Outbox<Output> &outbox);
    [[nodiscard]] std::optional<TimePoint> nextDeadline() const;

    /// The version in force; zero while the node must not serve.
    [[nodiscard]] ConfigVersion version() const noexcept;
    [[nodiscard]] const std::optional<Refusal> &refusal() const noexcept
    {
        return m_store.refusal();
    }
    /// As of the last input or timer.
    [[nodiscard]] ConfigStatus status() const { return m_status.status(m_now); }
    /// Why the node is not ready, as a sentence; empty if it is ready.
    [[nodiscard]] std::string unreadyReason() const;
    [[nodiscard]] bool isReader() const { return m_reader.isReader(m_now); }
    [[nodiscard]] std::uint64_t fullTransfers() const noexcept { return m_spread.fullTransfers(); }

private:
    using Sends = ConfigSpread::Sends;

    void onReply(const PlatformReply &reply, TimePoint now, Sends &sends);
    void onMessage(PeerReceived<ConfigMessage> &received, TimePoint now, Sends &sends);
    void onUpdate(const NetAddress &from, const ConfigUpdate &update, TimePoint now, Sends &sends);
    void onDigest(const NetAddress &from, const VersionDigest &theirs, TimePoint now, Sends &sends);
    void onAdvanced(TimePoint now, Sends &sends);
    void finish(TimePoint now, Sends &sends, Outbox<Output> &outbox);
    [[nodiscard]] VersionDigest ownDigest(TimePoint now);

    PlatformCallIds m_callIds;
    ConfigPeers m_peers;
    VersionStore m_store;
    PeerVersions m_peerVersions;
    VersionFloor m_floor;
    ConfigSpread m_spread;
    ConfigReader m_reader;
    DomainStatus m_status;
    std::shared_ptr<const Snapshot> m_inForce; // its version never decreases
    TimePoint m_now {};
};

static_assert(Filter<Configuration>);

} // namespace camphorreach
