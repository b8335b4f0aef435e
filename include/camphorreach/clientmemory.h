// Memory that clients make a process hold.
#pragma once

#include <camphorreach/strong.h>
#include <camphorreach/units.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace camphorreach {

/// Id of a connection of a client, assigned by the server; never reused by a process.
using ClientId = Strong<struct ClientIdTag, std::uint64_t>;

/// Decides which connections of clients may make the process hold more memory. The owner reports
/// what each connection holds, as allocated and not as used, and asks before it reads more. Load
/// pattern: hundreds of clients that send large bodies and stop short of their end, beside ordinary
/// clients with small requests.
class ClientMemory
{
public:
    struct Limits
    {
        ByteCount total { 64 * 1024 * 1024 };
        /// Part of the total that only small connections may use.
        ByteCount reserve { 16 * 1024 * 1024 };
        /// A connection that holds at most this is small. It is above a header of 16 KiB in its
        /// buffer.
        ByteCount small { 48 * 1024 };
        /// Held in large bodies, beside the total. While there are any, up to half of the total is
        /// given up for them, so that both together stay within the memory of the machine.
        ByteCount large { 72 * 1024 * 1024 };
        std::size_t connections = 2048;
        /// What the system may hold of the responses of a connection; zero leaves it to the system.
        ByteCount sendBuffer {};
        /// A connection that received less than `progress` within this time does not move. It may
        /// be closed in favour of others when there is no room.
        Duration stallTime = std::chrono::milliseconds(500);
        ByteCount progress { 16 * 1024 };
        /// The same for a connection with a large body, for which others have to wait.
        ByteCount largeProgress { 128 * 1024 };
        /// Longest wait for room. The request is refused afterwards.
        Duration maxWait = std::chrono::seconds(1);
        /// Connections that may wait at the same time, as the system holds what they send.
        std::size_t waiting = 16;
    };

    /// What a connection is doing. Only the first may be closed to make room for requests. The
    /// order is that in which connections without progress are closed to admit another connection;
    /// the last one never is.
    enum class Activity : std::uint8_t {
        Receiving, ///< A part of a request has arrived.
        Closing, ///< The last response has been sent, and what still arrives is discarded.
        Idle, ///< Between requests.
        Sending, ///< All requests have run, and a response is being sent.
        Running, ///< A request may be running.
    };

    enum class Answer : std::uint8_t {
        Read,
        Wait, ///< Ask again soon.
        Refuse, ///< No room within the maximum wait.
    };

    struct Decision
    {
        Answer answer = Answer::Read;
        /// Connections to be closed before reading. Each holds a part of a request, of which
        /// nothing runs.
        std::vector<ClientId> closed {};
    };

    explicit ClientMemory(const Limits &limits) : m_limits(limits) { }

    /// Limits for a process whose machine has \a machineMemory.
    [[nodiscard]] static Limits limitsFor(ByteCount machineMemory, std::size_t connections);

    void open(ClientId client, TimePoint now);
    void close(ClientId client);
    /// Sets what a connection holds for requests, and for the response that is being sent, and adds
    /// \a received bytes to its progress. Responses may hold as much again as the total; only what
    /// is beyond that leaves less room for requests.
    /// \a large is reserved or held, beside \a held, for a large body that is being received.
    void update(ClientId client, ByteCount held, ByteCount sending, Activity activity,
                ByteCount received, TimePoint now, ByteCount large = {});
    /// The client has taken bytes of a response.
    void onSent(ClientId client, TimePoint now);
    /// Sets what the system holds of a response that the client has not acknowledged. A change
    /// since the last call shows that the client has taken bytes.
    void observeUnsent(ClientId client, ByteCount unsent, TimePoint now);
    /// Sets what the large bodies hold that have been received, and the large responses, until
    /// nothing refers to them.
    void setLargeUnderWay(ByteCount bytes) noexcept { m_largeUnderWay = bytes.value(); }
    /// Asks whether the connection may go on to hold \a wanted bytes in total, and \a large beside
    /// them for a large body.
    [[nodiscard]] Decision ask(ClientId client, ByteCount wanted, TimePoint now,
                               ByteCount large = {});

    /// Whether ask() would answer Read without closing a connection.
    [[nodiscard]] bool hasRoom(ClientId client, ByteCount wanted, ByteCount large = {}) const;

    /// Connections to be closed because more are open than the limit.
    [[nodiscard]] std::vector<ClientId> excessConnections(TimePoint now) const;
    /// The connection that is closed first to free a descriptor; empty when none may be.
    [[nodiscard]] std::vector<ClientId> leastActive(std::size_t count, TimePoint now) const;

    [[nodiscard]] ByteCount held() const noexcept { return ByteCount(m_held); }
    [[nodiscard]] ByteCount sending() const noexcept { return ByteCount(m_sending); }
    /// In large bodies that are being received, or reserved for them.
    [[nodiscard]] ByteCount receivingLarge() const noexcept { return ByteCount(m_large); }
    /// In large bodies: reserved, being received, or under way.
    [[nodiscard]] ByteCount large() const noexcept { return ByteCount(m_large + m_largeUnderWay); }
    [[nodiscard]] std::size_t connections() const noexcept { return m_clients.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting; }
    [[nodiscard]] const Limits &limits() const noexcept { return m_limits; }

private:
    struct Client
    {
        std::uint64_t held = 0;
        std::uint64_t large = 0;
        std::uint64_t sending = 0;
        Activity activity = Activity::Idle;
        std::uint64_t receivedSinceMove = 0; // below m_limits.progress
        std::uint64_t unsent = 0; // when last observed
        TimePoint movedAt {};
        bool isWaiting = false;
        TimePoint waitingSince {}; // while isWaiting
    };

    // What a connection asks for, and what others hold at that time.
    struct Demand
    {
        std::uint64_t wanted = 0;
        std::uint64_t large = 0;
        std::uint64_t others = 0; // not available to the connection
        std::uint64_t othersLarge = 0;
        bool isSmall = false;
    };

    [[nodiscard]] Demand demandOf(const Client &client, ByteCount wanted, ByteCount large) const;
    // Bytes that are missing in the total, and in the allowance for large bodies, if others hold so
    // much less.
    [[nodiscard]] std::uint64_t missing(const Demand &demand, std::uint64_t freed,
                                        std::uint64_t freedLarge) const;
    [[nodiscard]] std::uint64_t missingLarge(const Demand &demand, std::uint64_t freedLarge) const;
    [[nodiscard]] bool fits(const Demand &demand, std::uint64_t freed,
                            std::uint64_t freedLarge) const;
    [[nodiscard]] bool isStalled(const Client &client, TimePoint now) const;
    [[nodiscard]] std::vector<ClientId> victims(ClientId asking, const Demand &demand,
                                                TimePoint now);
    void endWait(Client &client);

    const Limits m_limits;
    std::unordered_map<ClientId, Client> m_clients; // at most one more than m_limits.connections
    std::uint64_t m_held = 0; // sum over m_clients
    std::uint64_t m_large = 0; // sum over m_clients
    std::uint64_t m_largeUnderWay = 0;
    std::uint64_t m_sending = 0; // sum over m_clients
    std::size_t m_waiting = 0; // number of clients that wait
    // No connection can be closed for a large one before this, so that a full table is not
    // searched at each read.
    TimePoint m_searchAt {};
};

} // namespace camphorreach
