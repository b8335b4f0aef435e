// One connection of an HTTP server.
#pragma once

#include "httpserverimpl.h"

#include <camphorreach/impl/httpencoding.h>
#include <camphorreach/impl/requestparser.h>
#include <camphorreach/responseorder.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

namespace camphorreach::impl {

namespace beast = boost::beast;

// A response that waits for those to earlier requests.
struct WaitingResponse
{
    HttpResponse response;
    bool isToHead = false;
};

// One connection. It is read all the time, except for a short wait for memory, so that its end is
// noticed whatever the client has sent ahead. Requests are reported as they arrive, and their
// responses are written in order. Only the response to the last request that was read closes the
// connection; what follows it is not read.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Impl> server, ClientId id);
    ~Session();

    [[nodiscard]] ClientId id() const noexcept { return m_id; }

    void start();

    // Continues after a wait for memory.
    void retry();

    // Refuses the request of which a part has arrived, and releases the memory.
    void refuseForRoom();
    void respond(ExchangeId exchange, WaitingResponse waiting);

    // Reports how much of the response the client has not acknowledged.
    void observeUnsent();

    // Closes the connection and reports the requests under way as abandoned by the client.
    void disconnect();
    void close();

    // The same as disconnect(), and the system drops what it still holds of the responses.
    void reset();

    // Cancels the pending read, which closes the connection. When bytes have already been read,
    // their completion handler is queued and still runs, so the request is answered.
    void cancelRead() { m_stream.cancel(); }

    [[nodiscard]] bool isIdle() const noexcept { return m_order.isEmpty() && !m_response; }
    [[nodiscard]] bool hasPartialRequest() const;

private:
    // Size of the buffer that each connection has for its reads.
    static constexpr std::size_t firstReadBytes = 4096;
    // A request under way exists as the message of the client and as its copy for retries and
    // links.
    static constexpr std::uint64_t copiesUnderWay = 2;

    // What the connection waits for. Each phase has its own time limit, but Busy has none.
    enum class Phase : std::uint8_t { None, Idle, Header, Body, Busy, Linger };

    void read();

    // Bytes that may be read without exceeding the limits of the connection.
    [[nodiscard]] std::size_t readRoom() const;

    // Parses what has been read into m_first, once there is memory for it.
    void takeUnread();

    // Reads more of a large body, into the buffer that all sessions share.
    void readBody();
    void feed(const char *data, std::size_t size);

    // Asks for memory, and arranges the repetition when the session must wait.
    [[nodiscard]] ClientMemory::Answer ask(std::uint64_t wanted, std::uint64_t large);

    // Memory of this connection as allocated, without the response that is being sent.
    [[nodiscard]] std::uint64_t held() const;

    // The most that the connection may hold once `size` more bytes have been parsed. Buffers and
    // strings at least double when they grow.
    [[nodiscard]] std::uint64_t heldAfter(std::size_t size) const;

    // Memory that is held or reserved for a large body, once `size` more bytes have been parsed. A
    // body of announced size reserves it at once, so that two bodies cannot wait for each other.
    [[nodiscard]] std::uint64_t largeAfter(std::size_t size) const;

    // Whether a large body has been announced and there may be no room for it.
    [[nodiscard]] bool isLargeUnadmitted() const;

    // Asks for room for an announced body. Returns false when it waits.
    [[nodiscard]] bool admitLarge();
    void reportMemory(std::size_t received);
    void onReadEnd();

    // Reports the complete requests in the buffer, as many as may be under way.
    void parse();
    [[nodiscard]] bool isComplete() const { return m_parser && m_parser->is_done(); }

    // Memory of what the parser has stored, as allocated.
    [[nodiscard]] std::uint64_t parsedBytes() const;

    // Reports the complete request, once there is memory for it under way. Returns false when it
    // waits.
    [[nodiscard]] bool admit();

    // Size of the complete request.
    [[nodiscard]] std::uint64_t requestBytes() const;
    [[nodiscard]] bool mayParse() const;

    // Whether the client waits for "100 Continue" before it sends the body (RFC 9110, section
    // 10.1.1). Responses to earlier requests go first.
    [[nodiscard]] bool isContinueDue() const;
    void beginRequest();
    void onRequest();

    // Answers a request that cannot be read.
    void refuse(ErrorCodeType error);

    // Answers the request that is being read, after the responses to those before it, and ends
    // reading.
    void refuse(HttpResponse response);

    // No further request is read, and the response to the last one closes the connection.
    void endReading();
    void writeContinue();
    void writeNext();

    // Writes the next piece of a large body. One that cannot be completed ends the connection
    // inside the announced length.
    void writeLarge();

    // Closes the connection when its client does not read a large body: at once when others wait
    // for the memory, else after the time limit.
    void watchLarge();
    void onWritten(ErrorCodeType error);

    // Discards further data from the client until it closes its side or the timeout passes.
    void linger();
    [[nodiscard]] Phase currentPhase() const;
    [[nodiscard]] Duration timeLimit(Phase phase) const;

    // Restarts the timer when the connection has entered another phase.
    void updateTimer();
    void onTimeout(Phase phase);
    void updateBytesUnderWay();
    [[nodiscard]] std::size_t maxBufferedBytes() const;

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer; // at most maxBufferedBytes()
    std::array<char, firstReadBytes> m_first {}; // of the pending read
    std::size_t m_unread = 0; // bytes of m_first that have been read and not parsed
    std::shared_ptr<Impl> m_server;
    const ClientId m_id;
    asio::steady_timer m_timer; // of the phase
    asio::steady_timer m_writeTimer; // while a large body is being written
    Phase m_phase = Phase::None; // the one for which the timer was started
    std::optional<RequestParser> m_parser; // while a request is being read
    std::size_t m_receivedInWindow = 0; // since the timer was started
    std::size_t m_discarded = 0; // bytes read after m_isReadEnded
    bool m_isAwaitingRoom = false; // no memory for m_unread or for the complete request
    std::optional<EncodedResponse> m_response; // while it is being written
    std::shared_ptr<const LargeBody> m_large; // of m_response, if its body is large
    std::uint64_t m_largeWritten = 0; // bytes of m_large
    std::uint64_t m_largeWatched = 0; // m_largeWritten when its progress was checked last
    TimePoint m_largeMovedAt {}; // when m_largeWritten was seen to have grown
    bool m_isWritingContinue = false; // then no response is written
    bool m_hasWrittenContinue = false; // for the request that is being read
    bool m_isLargeAdmitted = false; // its large body has been reserved
    ResponseOrder<ExchangeId, WaitingResponse> m_order;
    std::uint64_t m_countedBytes = 0; // part of the server's m_bytesUnderWay
    bool m_isReading = false;
    bool m_isReadEnded = false; // what arrives now is discarded; never reset
    bool m_hasClientClosed = false; // during the write of the last response
    bool m_isLingering = false;
};

} // namespace camphorreach::impl
