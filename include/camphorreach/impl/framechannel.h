// Connections between nodes: framing, with long frames in pieces that share the bandwidth.
#pragma once

#include <camphorreach/egresspacer.h>
#include <camphorreach/impl/wire.h>
#include <camphorreach/metrics.h>
#include <camphorreach/request.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach::impl {

class FrameChannel;

/// Orders the pieces of the long frames of all connections: control before requests, then in the
/// order in which the frames were queued, at the pace of EgressPacer. A connection whose peer does
/// not read holds up no other one. Not thread-safe.
class LongFrameScheduler
{
public:
    using OnBacklog = std::function<void(EgressBacklogChanged)>;

    /// \a onBacklog is called when a long frame was queued, and when one has been written or
    /// dropped.
    LongFrameScheduler(boost::asio::io_context &io, ByteRate rate, OnBacklog onBacklog);
    LongFrameScheduler(const LongFrameScheduler &) = delete;
    LongFrameScheduler &operator=(const LongFrameScheduler &) = delete;

    /// Adds a frame of \a size to the end of the queue of its class. The channels must call
    /// removeAll() before they are destroyed.
    void add(FrameChannel &channel, FrameClass frameClass, ByteCount size);
    /// Removes the last frame of this class of the channel, of which \a size is unwritten.
    void removeLast(const FrameChannel &channel, FrameClass frameClass, ByteCount size);
    void removeAll(const FrameChannel &channel, ByteCount size);
    /// Accounts for bytes that were handed to the network.
    void onWritten(ByteCount bytes);
    /// Writes the pieces that may be written now.
    void run();
    /// Expected time until \a more bytes, and those that wait before them, have been sent.
    [[nodiscard]] Duration drainTime(ByteCount more) const;

private:
    // One entry for each long frame. The frames of a channel and class are written in order.
    using Queue = std::deque<FrameChannel *>;

    [[nodiscard]] bool writePiece(Queue &queue, FrameClass frameClass);
    void waitForPacer(TimePoint now);
    void reportBacklog();

    EgressPacer m_pacer;
    boost::asio::steady_timer m_timer;
    OnBacklog m_onBacklog;
    std::array<Queue, frameClassCount> m_queues;
    std::uint64_t m_waitingBytes = 0; // unwritten bytes of all queued frames
    bool m_isTimerSet = false;
};

/// Reads frames from a socket, and writes queued frames: short ones in order and at once, long ones
/// in pieces when the scheduler says so.
class FrameChannel
{
public:
    struct Handlers
    {
        /// Receives the payload of a complete frame. Returns false to end the connection.
        std::function<bool(std::string_view)> onFrame;
        /// Nothing more can be read.
        std::function<void()> onReadEnd;
        /// Nothing more can be written.
        std::function<void()> onWriteEnd;
        /// The first byte of a request is about to be written. May be empty.
        std::function<void(RequestId)> onStarted {};
    };

    FrameChannel(boost::asio::ip::tcp::socket socket, LongFrameScheduler &scheduler,
                 Counter &bytesSent);
    ~FrameChannel();
    FrameChannel(const FrameChannel &) = delete;
    FrameChannel &operator=(const FrameChannel &) = delete;

    [[nodiscard]] boost::asio::ip::tcp::socket &socket() noexcept { return m_socket; }

    /// Starts to read and to write. \a owner is kept alive while an operation is pending.
    void start(std::weak_ptr<void> owner, Handlers handlers);
    /// Queues a frame. \a request is zero unless the frame carries a request or its response.
    void enqueue(std::string payload, FrameClass frameClass, RequestId request = {});
    /// Queues a frame behind the long frames of its class, even if it is short.
    void enqueueInOrder(std::string payload, FrameClass frameClass)
    {
        enqueueLong(std::move(payload), frameClass, RequestId());
    }
    /// Queues a frame about \a request, behind the frame of the request itself.
    void enqueueBehind(std::string payload, RequestId request);
    /// Removes the frame of a request of which nothing has been written. Returns false when there
    /// is none.
    bool removeQueued(RequestId request);
    /// Shuts down the sending side once all frames are written, and then calls \a onFlushed.
    void shutdownAfterWrites(std::function<void()> onFlushed);
    void close();

    /// Unwritten bytes of all queued frames.
    [[nodiscard]] std::size_t queuedBytes() const noexcept { return m_shortBytes + m_longBytes; }
    /// Requests of which nothing has been written.
    [[nodiscard]] std::vector<RequestId> unsentRequests() const;

    // For the scheduler.
    [[nodiscard]] bool canWritePiece() const noexcept;
    /// Writes at most \a maxSize bytes of the first long frame of the class. Returns their number,
    /// and whether they end the frame.
    struct WrittenPiece
    {
        ByteCount size;
        bool isLast = false;
    };
    WrittenPiece writePiece(FrameClass frameClass, ByteCount maxSize);

private:
    struct ShortFrame
    {
        std::string bytes; // with the frame header
        RequestId request;
    };
    struct LongFrame
    {
        std::string payload;
        RequestId request;
        std::size_t written = 0;
    };
    using LongFrames = std::deque<LongFrame>;

    void enqueueLong(std::string payload, FrameClass frameClass, RequestId request);
    void write();
    void writeBuffer();
    void notifyStarted(RequestId request);
    void read();
    void readPayload(const FrameHeader &header);
    [[nodiscard]] bool onPayload(const FrameHeader &header);
    [[nodiscard]] LongFrames &longFrames(FrameClass frameClass)
    {
        return m_long.at(static_cast<std::size_t>(frameClass));
    }

    boost::asio::ip::tcp::socket m_socket;
    LongFrameScheduler &m_scheduler;
    Counter &m_bytesSent;
    std::weak_ptr<void> m_owner; // unset before start()
    Handlers m_handlers;
    std::deque<ShortFrame> m_short; // frames of which no byte has been written
    std::array<LongFrames, frameClassCount>
        m_long; // only the first one of each may be partly written
    std::size_t m_shortBytes = 0; // sum over m_short
    std::size_t m_longBytes = 0; // unwritten bytes of m_long
    std::string m_writeBuffer;
    bool m_isStarted = false;
    bool m_isWriting = false;
    std::function<void()> m_onFlushed; // set while the sending side is to be shut down
    std::array<char, frameHeaderBytes> m_header {};
    std::string m_payload;
    std::array<std::string, frameClassCount> m_received; // pieces; at most maxFrameBytes each
};

} // namespace camphorreach::impl
