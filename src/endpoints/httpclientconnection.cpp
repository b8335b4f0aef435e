// Life of a connection of an HTTP client, and the writing of requests on it.
#include "httpclientconnection.h"

#include <camphorreach/clock.h>
#include <camphorreach/impl/sockets.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <string_view>
#include <utility>

namespace camphorreach::impl {

namespace {

constexpr std::size_t maxBodyWriteBytes = 64 * 1024;

} // namespace

HttpClient::Impl::Connection::Connection(const std::shared_ptr<Impl> &client)
    : m_client(client), m_server(client->m_server), m_stream(client->m_io)
{
    ++client->m_connectionCount;
}

HttpClient::Impl::Connection::~Connection()
{
    const auto client = m_client.lock();
    if (!client)
        return;
    --client->m_connectionCount;
    asio::post(client->m_io, [weak = m_client] {
        if (const auto alive = weak.lock())
            alive->dispatch();
    });
}

void HttpClient::Impl::Connection::connect(std::function<void(ErrorCodeType)> done)
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_server.host), m_server.port);
    m_stream.async_connect(
        endpoint, [self = shared_from_this(), done = std::move(done)](ErrorCodeType error) {
            if (!error) {
                setTcpOptions(self->m_stream.socket());
                self->m_isConnected = true;
            }
            done(error);
        });
}

void HttpClient::Impl::Connection::run(CallHandle handle)
{
    m_handle = handle;
    if (m_isConnected) {
        write();
        return;
    }
    connect([self = shared_from_this(), handle](ErrorCodeType error) {
        if (self->m_handle != handle)
            return;
        if (error)
            self->fail(HttpFailure::Kind::NotSent, error);
        else
            self->write();
    });
}

void HttpClient::Impl::Connection::onFed()
{
    const auto client = m_client.lock();
    if (!client || !m_isConnected)
        return;
    if (!client->m_calls.at(m_handle).isWriteStarted)
        write();
    else if (m_isHeadWritten)
        writeBody();
}

void HttpClient::Impl::Connection::abandon()
{
    m_handle = 0;
    close();
}

void HttpClient::Impl::Connection::close()
{
    ErrorCodeType ignored;
    m_stream.socket().close(ignored);
}

bool HttpClient::Impl::Connection::isUsable()
{
    if (SteadyClock().now() >= m_idleUntil)
        return false;
    ErrorCodeType error;
    m_stream.socket().non_blocking(true, error);
    char byte = 0;
    m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

void HttpClient::Impl::Connection::watchIdle()
{
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this(), idlePeriod = ++m_idlePeriods](ErrorCodeType error) {
            const auto self = weak.lock();
            if (error || !self || self->m_handle != 0 || self->m_idlePeriods != idlePeriod)
                return;
            self->close();
            if (const auto alive = self->m_client.lock())
                std::erase(alive->m_idle, self);
        });
}

void HttpClient::Impl::Connection::write()
{
    const auto client = m_client.lock();
    if (!client)
        return;
    Call &call = client->m_calls.at(m_handle);
    if (call.isFed() && call.parts.empty())
        return; // onFed() starts the write
    if (call.isFed() && !isUsable()) {
        // The server has closed the connection while the body was awaited.
        return postFailure(HttpFailure::Kind::NotSent);
    }
    auto encoded = encode(call.request, toText(m_server));
    if (!encoded) {
        // Posted, because the caller of send() must get its handle first.
        asio::post(client->m_io, [self = shared_from_this(), handle = m_handle] {
            if (self->m_handle == handle)
                self->refuse();
        });
        return;
    }
    call.isWriteStarted = true;
    m_isHeadWritten = false;
    m_bodyWritten = 0;
    m_bodySize = call.request.large.size.value();
    m_request = std::move(*encoded);
    http::async_write(
        m_stream, m_request,
        [self = shared_from_this(), handle = m_handle](ErrorCodeType error, std::size_t) {
            if (self->m_handle != handle)
                return;
            if (error)
                return self->fail(HttpFailure::Kind::ConnectionLost, error);
            self->m_isHeadWritten = true;
            self->read();
            if (self->m_bodySize > 0)
                self->writeBody();
        });
}

void HttpClient::Impl::Connection::writeBody()
{
    const auto client = m_client.lock();
    if (!client || m_isWritingBody || m_bodyWritten == m_bodySize)
        return;
    Call &call = client->m_calls.at(m_handle);
    const std::shared_ptr<const LargeBody> body = call.request.large.data;
    std::string_view next;
    if (body) {
        next = body->at(m_bodyWritten, maxBodyWriteBytes);
    } else if (!call.parts.empty()) {
        m_part = std::move(call.parts.front());
        call.parts.pop_front();
        next = std::string_view(m_part).substr(0,
                                               static_cast<std::size_t>(std::min<std::uint64_t>(
                                                   m_part.size(), m_bodySize - m_bodyWritten)));
    }
    if (next.empty())
        return;
    m_isWritingBody = true;
    asio::async_write(m_stream, asio::buffer(next),
                      [self = shared_from_this(), body, handle = m_handle](ErrorCodeType error,
                                                                           std::size_t size) {
                          self->m_isWritingBody = false;
                          if (!error && self->m_handle == handle)
                              self->onBodyWritten(size);
                      });
}

void HttpClient::Impl::Connection::onBodyWritten(std::size_t size)
{
    m_bodyWritten += size;
    const auto client = m_client.lock();
    if (!client)
        return;
    // The handler may end the call.
    const BodyTaken bodyTaken = client->m_calls.at(m_handle).handlers.bodyTaken;
    const CallHandle handle = m_handle;
    if (bodyTaken)
        bodyTaken(ByteCount(size));
    if (m_handle == handle)
        writeBody();
}

void HttpClient::Impl::Connection::postFailure(HttpFailure::Kind kind)
{
    const auto client = m_client.lock();
    if (!client)
        return;
    asio::post(client->m_io, [self = shared_from_this(), handle = m_handle, kind] {
        if (self->m_handle == handle)
            self->fail(kind, asio::error::connection_reset);
    });
}

void HttpClient::Impl::Connection::refuse()
{
    const CallHandle handle = std::exchange(m_handle, 0);
    const auto client = m_client.lock();
    if (!client)
        return;
    if (m_server == client->m_server) {
        client->m_idle.push_back(shared_from_this());
        watchIdle();
    }
    client->fail(handle, HttpFailure::Kind::InvalidRequest, "HTTP/1.1 does not allow the request");
}

} // namespace camphorreach::impl
