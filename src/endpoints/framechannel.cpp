// Framing of messages between nodes, and the schedule of long frames.
#include <camphorreach/impl/framechannel.h>

#include <camphorreach/clock.h>
#include <camphorreach/result.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

LongFrameScheduler::LongFrameScheduler(asio::io_context &io, ByteRate rate, OnBacklog onBacklog)
    : m_pacer(rate), m_timer(io), m_onBacklog(std::move(onBacklog))
{ }

void LongFrameScheduler::add(FrameChannel &channel, FrameClass frameClass, ByteCount size)
{
    m_queues.at(static_cast<std::size_t>(frameClass)).push_back(&channel);
    m_waitingBytes += size.value();
    reportBacklog();
}

void LongFrameScheduler::removeLast(const FrameChannel &channel, FrameClass frameClass,
                                    ByteCount size)
{
    Queue &queue = m_queues.at(static_cast<std::size_t>(frameClass));
    const auto last = std::find(queue.rbegin(), queue.rend(), &channel);
    if (last == queue.rend())
        return;
    queue.erase(std::next(last).base());
    m_waitingBytes -= size.value();
    reportBacklog();
}

void LongFrameScheduler::removeAll(const FrameChannel &channel, ByteCount size)
{
    std::size_t removed = 0;
    for (Queue &queue : m_queues)
        removed += std::erase(queue, &channel);
    m_waitingBytes -= size.value();
    if (removed > 0)
        reportBacklog();
}

void LongFrameScheduler::onWritten(ByteCount bytes)
{
    m_pacer.onWritten(bytes, SteadyClock().now());
}

Duration LongFrameScheduler::drainTime(ByteCount more) const
{
    return m_pacer.drainTime(ByteCount(m_waitingBytes + more.value()), SteadyClock().now());
}

void LongFrameScheduler::run()
{
    while (!m_queues[0].empty() || !m_queues[1].empty()) {
        const TimePoint now = SteadyClock().now();
        if (m_pacer.nextPiece() > now)
            return waitForPacer(now);
        if (!writePiece(m_queues[0], FrameClass::Control)
            && !writePiece(m_queues[1], FrameClass::Request))
            return; // the end of a pending write calls again
    }
}

// Writes a piece of the first frame whose connection can take one. Returns false when none can.
bool LongFrameScheduler::writePiece(Queue &queue, FrameClass frameClass)
{
    const auto entry = std::ranges::find_if(
        queue, [](const FrameChannel *channel) { return channel->canWritePiece(); });
    if (entry == queue.end())
        return false;
    const auto piece = (*entry)->writePiece(frameClass, m_pacer.pieceSize());
    m_waitingBytes -= piece.size.value();
    if (piece.isLast) {
        queue.erase(entry);
        reportBacklog();
    }
    return true;
}

void LongFrameScheduler::waitForPacer(TimePoint now)
{
    if (std::exchange(m_isTimerSet, true))
        return;
    m_timer.expires_after(m_pacer.nextPiece() - now);
    m_timer.async_wait([this](ErrorCodeType error) {
        m_isTimerSet = false;
        if (!error)
            run();
    });
}

void LongFrameScheduler::reportBacklog()
{
    m_onBacklog({ m_pacer.drainTime(ByteCount(m_waitingBytes), SteadyClock().now()) });
}

FrameChannel::FrameChannel(tcp::socket socket, LongFrameScheduler &scheduler, Counter &bytesSent)
    : m_socket(std::move(socket)), m_scheduler(scheduler), m_bytesSent(bytesSent)
{ }

FrameChannel::~FrameChannel()
{
    close();
}

void FrameChannel::start(std::weak_ptr<void> owner, Handlers handlers)
{
    m_owner = std::move(owner);
    m_handlers = std::move(handlers);
    m_isStarted = true;
    read();
    write();
    m_scheduler.run();
}

void FrameChannel::enqueue(std::string payload, FrameClass frameClass, RequestId request)
{
    if (payload.size() >= longMessageSize.value()) {
        enqueueLong(std::move(payload), frameClass, request);
        return;
    }
    m_shortBytes += payload.size();
    m_short.push_back({ encodeFrame(payload), request });
    write();
}

void FrameChannel::enqueueBehind(std::string payload, RequestId request)
{
    const LongFrames &frames = longFrames(FrameClass::Request);
    if (std::ranges::find(frames, request, &LongFrame::request) != frames.end())
        enqueueLong(std::move(payload), FrameClass::Request, RequestId());
    else
        enqueue(std::move(payload), FrameClass::Request);
}

void FrameChannel::enqueueLong(std::string payload, FrameClass frameClass, RequestId request)
{
    const ByteCount size(payload.size());
    m_longBytes += payload.size();
    longFrames(frameClass).push_back({ std::move(payload), request });
    m_scheduler.add(*this, frameClass, size);
    m_scheduler.run();
}

bool FrameChannel::removeQueued(RequestId request)
{
    const auto queued = std::ranges::find(m_short, request, &ShortFrame::request);
    if (queued != m_short.end()) {
        m_shortBytes -= queued->bytes.size() - frameHeaderBytes;
        m_short.erase(queued);
        return true;
    }
    LongFrames &frames = longFrames(FrameClass::Request);
    const auto found = std::ranges::find(frames, request, &LongFrame::request);
    if (found == frames.end() || found->written > 0)
        return false;
    const ByteCount size(found->payload.size());
    m_longBytes -= found->payload.size();
    frames.erase(found);
    m_scheduler.removeLast(*this, FrameClass::Request, size);
    return true;
}

std::vector<RequestId> FrameChannel::unsentRequests() const
{
    std::vector<RequestId> requests;
    for (const ShortFrame &frame : m_short) {
        if (frame.request != RequestId())
            requests.push_back(frame.request);
    }
    for (const LongFrames &frames : m_long) {
        for (const LongFrame &frame : frames) {
            if (frame.request != RequestId() && frame.written == 0)
                requests.push_back(frame.request);
        }
    }
    return requests;
}

void FrameChannel::shutdownAfterWrites(std::function<void()> onFlushed)
{
    m_onFlushed = std::move(onFlushed);
    write();
}

void FrameChannel::close()
{
    ErrorCodeType ignored;
    m_socket.close(ignored);
    m_isStarted = false;
    m_scheduler.removeAll(*this, ByteCount(std::exchange(m_longBytes, 0)));
}

bool FrameChannel::canWritePiece() const noexcept
{
    return m_isStarted && !m_isWriting && m_short.empty();
}

FrameChannel::WrittenPiece FrameChannel::writePiece(FrameClass frameClass, ByteCount maxSize)
{
    LongFrames &frames = longFrames(frameClass);
    LongFrame &frame = frames.front();
    if (frame.written == 0)
        notifyStarted(frame.request);
    const std::size_t unwritten = frame.payload.size() - frame.written;
    const std::size_t size = std::min<std::size_t>(unwritten, maxSize.value());
    const bool isLast = size == unwritten;
    m_writeBuffer = encodePiece(std::string_view(frame.payload).substr(frame.written, size),
                                frameClass, isLast);
    frame.written += size;
    m_longBytes -= size;
    if (isLast)
        frames.pop_front();
    writeBuffer();
    return { ByteCount(size), isLast };
}

// Writes all short frames as one buffer.
void FrameChannel::write()
{
    if (!m_isStarted || m_isWriting)
        return;
    if (m_short.empty()) {
        if (m_longBytes == 0 && m_onFlushed) {
            ErrorCodeType ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            std::exchange(m_onFlushed, {})();
        }
        return;
    }
    m_writeBuffer.clear();
    for (const ShortFrame &frame : m_short) {
        m_writeBuffer += frame.bytes;
        notifyStarted(frame.request);
    }
    m_short.clear();
    m_shortBytes = 0;
    writeBuffer();
}

void FrameChannel::writeBuffer()
{
    m_isWriting = true;
    m_scheduler.onWritten(ByteCount(m_writeBuffer.size()));
    asio::async_write(m_socket, asio::buffer(m_writeBuffer),
                      [this, owner = m_owner.lock()](ErrorCodeType error, std::size_t size) {
                          m_isWriting = false;
                          m_bytesSent.add(size);
                          if (error)
                              return m_handlers.onWriteEnd();
                          write();
                          m_scheduler.run();
                      });
}

void FrameChannel::notifyStarted(RequestId request)
{
    if (request != RequestId() && m_handlers.onStarted)
        m_handlers.onStarted(request);
}

void FrameChannel::read()
{
    asio::async_read(m_socket, asio::buffer(m_header),
                     [this, owner = m_owner.lock()](ErrorCodeType error, std::size_t) {
                         const auto header = decodeFrameHeader(
                             std::string_view(m_header.data(), m_header.size()));
                         if (error || !isOk(header))
                             m_handlers.onReadEnd();
                         else
                             readPayload(valueOf(header));
                     });
}

void FrameChannel::readPayload(const FrameHeader &header)
{
    m_payload.resize(header.length);
    asio::async_read(m_socket, asio::buffer(m_payload),
                     [this, header, owner = m_owner.lock()](ErrorCodeType error, std::size_t) {
                         if (error || !onPayload(header))
                             m_handlers.onReadEnd();
                         else
                             read();
                     });
}

bool FrameChannel::onPayload(const FrameHeader &header)
{
    if (!header.isPiece)
        return m_handlers.onFrame(m_payload);
    std::string &received = m_received.at(static_cast<std::size_t>(header.frameClass));
    if (received.size() + m_payload.size() > maxFrameBytes)
        return false;
    received += m_payload;
    return !header.isLastPiece || m_handlers.onFrame(std::exchange(received, {}));
}

} // namespace camphorreach::impl
