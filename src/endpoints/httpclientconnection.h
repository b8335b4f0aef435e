// One connection of an HTTP client.
#pragma once

#include "httpclientimpl.h"

#include <camphorreach/impl/httpencoding.h>
#include <camphorreach/responsetransfer.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>

namespace camphorreach::impl {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Carries one call at a time. What it receives between two calls makes it unusable.
class HttpClient::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(const std::shared_ptr<Impl> &client);

    // Frees capacity, so a queued call may open another connection.
    ~Connection();

    void connect(std::function<void(ErrorCodeType)> done);

    void run(CallHandle handle);

    // More bytes of the body of the call have been added.
    void onFed();

    // Bytes of the large response to the call are taken up to \a end.
    void onGranted(ByteCount end);

    // Detaches the call, so that completions still pending are ignored, and closes the socket.
    void abandon();

    void close();

    [[nodiscard]] const NetAddress &server() const noexcept { return m_server; }

    // Nothing may be readable on an idle connection: data or an end of stream makes it unusable.
    [[nodiscard]] bool isUsable();

    // Closes an idle connection when the server sends data before the next call or closes it.
    void watchIdle();

private:
    // Capacity of the read buffer. It must hold a complete head, and limits what the parser does
    // not: the size line of a chunk with its extensions.
    static constexpr std::size_t maxBufferBytes = 64 * 1024;

    void write();

    // Writes the next part of a large body. The response is awaited meanwhile, because a server may
    // send it before it has read the body. For the same reason the end of writing is no failure: a
    // response may have arrived, and if not, reading ends as well.
    void writeBody();

    void onBodyWritten(std::size_t size);

    // Posted, because the caller of send() must get its handle first.
    void postFailure(HttpFailure::Kind kind);

    // Ends a call that cannot be encoded. Nothing has been written, so the connection stays open.
    void refuse();

    void read();

    void onHead();

    void readBody();

    // Reads the next bytes of a body that is or may become large.
    void readPart();

    void onBodyBytes();

    // Returns whether the body is passed on from now on; the call has failed otherwise.
    [[nodiscard]] bool beginLarge(Impl &client);

    // Passes on the parts that have been granted.
    void passParts();

    void complete();

    // Status and fields of the response that is being read.
    [[nodiscard]] HttpResponse head() const;

    // Returns the connection to the pool of idle connections.
    void makeIdle(Impl &client, const HttpResponse &response);

    [[nodiscard]] ResponseMatch matchResponse(const Impl &client,
                                              const HttpResponse &response) const;

    void failInvalid();

    void fail(HttpFailure::Kind kind, ErrorCodeType error);

    std::weak_ptr<Impl> m_client;
    const NetAddress m_server; // that of the client when the connection was opened
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer { maxBufferBytes };
    EncodedRequest m_request;
    std::optional<http::response_parser<ReceivedBody>> m_parser;
    std::optional<ResponseRelay> m_relay; // while a large response is being read
    bool m_isReadingPart = false;
    CallHandle m_handle = 0; // zero while no call uses the connection
    unsigned m_unmatchedResponses = 0; // at most maxUnmatchedResponses
    unsigned m_interimResponses = 0; // of the current call; at most maxInterimResponses
    bool m_hasReceivedResponse = false; // a complete final response, matched or not; never reset
    std::uint64_t m_idlePeriods = 0; // how often the connection has become idle
    TimePoint m_idleUntil = TimePoint::max(); // not reused from then on
    bool m_isConnected = false;
    std::uint64_t m_bodySize = 0; // of the current call, if its body is large
    std::uint64_t m_bodyWritten = 0; // at most m_bodySize
    std::string m_part; // of the body, while it is being written
    bool m_isWritingBody = false;
    bool m_isHeadWritten = false; // of the current call
};

} // namespace camphorreach::impl
