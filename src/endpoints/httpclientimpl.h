// Calls of an HTTP client, and its pool of connections.
#pragma once

#include <camphorreach/impl/httpclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorreach::impl {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &io, NetAddress server, std::size_t maxConnections, Options options)
        : m_io(io), m_server(std::move(server)), m_maxConnections(maxConnections),
          m_options(std::move(options))
    { }

    struct Handlers
    {
        Completion done;
        HeadReceived headReceived {}; // may be empty
        BodyTaken bodyTaken {}; // may be empty
    };

    CallHandle send(HttpRequest request, Duration timeout, Handlers handlers);
    void feed(CallHandle call, std::string bytes);
    void grant(CallHandle call, ByteCount end);
    void cancel(CallHandle call);
    void warmUp(std::size_t count);
    void setServer(NetAddress server);
    void stop();

    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connectionCount; }

private:
    class Connection;

    struct Call
    {
        HttpRequest request;
        Handlers handlers;
        std::unique_ptr<asio::steady_timer> timer;
        std::shared_ptr<Connection> connection; // null while the call is queued
        bool isWriteStarted = false; // bytes of the request may have been sent
        std::deque<std::string> parts {}; // of a large body, not yet written

        [[nodiscard]] bool isFed() const
        {
            return request.large.size > ByteCount() && !request.large.data;
        }
    };

    void dispatch();
    void startTimer(CallHandle handle, Call &call, Duration timeout);
    void onHead(CallHandle handle);
    void finish(CallHandle handle, HttpResult result);
    void fail(CallHandle handle, HttpFailure::Kind kind, const std::string &text);
    void end(CallHandle handle, HttpFailure::Kind kind);

    asio::io_context &m_io;
    NetAddress m_server;
    const std::size_t m_maxConnections;
    const Options m_options;
    std::map<CallHandle, Call> m_calls;
    std::deque<CallHandle> m_queue; // calls that wait for a connection, in order
    std::vector<std::shared_ptr<Connection>> m_idle; // connected, not used by a call
    std::size_t m_connectionCount = 0; // at most m_maxConnections
    CallHandle m_nextCall = 1;
    bool m_isStopped = false;
};

} // namespace camphorreach::impl
