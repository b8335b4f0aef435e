// Calls of an HTTP client: their queue, their timers and their connections.
#include "httpclientconnection.h"

#include <algorithm>
#include <utility>

namespace camphorreach::impl {

HttpClient::CallHandle HttpClient::Impl::send(HttpRequest request, Duration timeout,
                                              Handlers handlers)
{
    const CallHandle handle = m_nextCall++;
    Call call;
    call.request = std::move(request);
    call.handlers = std::move(handlers);
    call.timer = std::make_unique<asio::steady_timer>(m_io);
    startTimer(handle, call, timeout);
    m_calls.emplace(handle, std::move(call));
    m_queue.push_back(handle);
    dispatch();
    return handle;
}

void HttpClient::Impl::dispatch()
{
    while (!m_queue.empty()) {
        while (!m_idle.empty() && !m_idle.back()->isUsable()) {
            m_idle.back()->close();
            m_idle.pop_back();
        }
        std::shared_ptr<Connection> connection;
        if (!m_idle.empty()) {
            connection = std::move(m_idle.back());
            m_idle.pop_back();
        } else if (m_connectionCount < m_maxConnections) {
            connection = std::make_shared<Connection>(shared_from_this());
        } else {
            return;
        }
        const CallHandle handle = m_queue.front();
        m_queue.pop_front();
        m_calls.at(handle).connection = connection;
        connection->run(handle);
    }
}

void HttpClient::Impl::startTimer(CallHandle handle, Call &call, Duration timeout)
{
    call.timer->expires_after(timeout);
    call.timer->async_wait([weak = weak_from_this(), handle](ErrorCodeType error) {
        const auto self = weak.lock();
        if (!error && self)
            self->end(handle, HttpFailure::Kind::TimedOut);
    });
}

// Interim and unmatched responses do not extend the timeout again.
void HttpClient::Impl::onHead(CallHandle handle)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end() || !found->second.handlers.headReceived)
        return;
    Call &call = found->second;
    const HeadReceived headReceived = std::exchange(call.handlers.headReceived, {});
    if (m_options.bodyTimeout)
        startTimer(handle, call, *m_options.bodyTimeout);
    headReceived();
}

void HttpClient::Impl::finish(CallHandle handle, HttpResult result)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    const Completion done = std::move(found->second.handlers.done);
    m_calls.erase(found);
    done(std::move(result));
    if (!m_isStopped)
        dispatch();
}

void HttpClient::Impl::fail(CallHandle handle, HttpFailure::Kind kind, const std::string &text)
{
    finish(handle, HttpFailure { kind, text });
}

void HttpClient::Impl::feed(CallHandle handle, std::string bytes)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    found->second.parts.push_back(std::move(bytes));
    if (const auto connection = found->second.connection)
        connection->onFed();
}

void HttpClient::Impl::grant(CallHandle handle, ByteCount end)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    if (const auto connection = found->second.connection)
        connection->onGranted(end);
}

void HttpClient::Impl::cancel(CallHandle call)
{
    end(call, HttpFailure::Kind::Cancelled);
}

// A call that ends before anything is written is reported as NotSent, whatever the cause.
void HttpClient::Impl::end(CallHandle handle, HttpFailure::Kind kind)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end())
        return;
    Call &call = found->second;
    if (call.connection)
        call.connection->abandon();
    else
        std::erase(m_queue, handle);
    fail(handle, call.isWriteStarted ? kind : HttpFailure::Kind::NotSent,
         "the call timed out or was cancelled");
}

void HttpClient::Impl::warmUp(std::size_t count)
{
    while (m_connectionCount < std::min(count, m_maxConnections)) {
        const auto connection = std::make_shared<Connection>(shared_from_this());
        connection->connect([weak = weak_from_this(), connection](ErrorCodeType error) {
            const auto self = weak.lock();
            if (error || !self || connection->server() != self->m_server)
                return;
            self->m_idle.push_back(connection);
            connection->watchIdle();
            self->dispatch();
        });
    }
}

void HttpClient::Impl::setServer(NetAddress server)
{
    if (server == m_server)
        return;
    m_server = std::move(server);
    for (const std::shared_ptr<Connection> &connection : std::exchange(m_idle, {}))
        connection->close();
}

void HttpClient::Impl::stop()
{
    m_isStopped = true;
    m_idle.clear();
    std::vector<CallHandle> handles;
    handles.reserve(m_calls.size());
    for (const auto &[handle, call] : m_calls)
        handles.push_back(handle);
    for (const CallHandle handle : handles)
        cancel(handle);
}

HttpClient::HttpClient(asio::io_context &io, NetAddress server, std::size_t maxConnections,
                       Options options)
    : m_impl(std::make_shared<Impl>(io, std::move(server), maxConnections, std::move(options)))
{ }

HttpClient::~HttpClient()
{
    m_impl->stop();
}

HttpClient::CallHandle HttpClient::send(HttpRequest request, Duration timeout, Completion done,
                                        HeadReceived headReceived)
{
    return m_impl->send(std::move(request), timeout, { std::move(done), std::move(headReceived) });
}

HttpClient::CallHandle HttpClient::sendLarge(HttpRequest request, Duration timeout, Completion done,
                                             BodyTaken bodyTaken)
{
    return m_impl->send(std::move(request), timeout, { std::move(done), {}, std::move(bodyTaken) });
}

void HttpClient::feed(CallHandle call, std::string bytes)
{
    m_impl->feed(call, std::move(bytes));
}

void HttpClient::grant(CallHandle call, ByteCount end)
{
    m_impl->grant(call, end);
}

void HttpClient::cancel(CallHandle call)
{
    m_impl->cancel(call);
}

void HttpClient::warmUp(std::size_t count)
{
    m_impl->warmUp(count);
}

void HttpClient::setServer(NetAddress server)
{
    m_impl->setServer(std::move(server));
}

std::size_t HttpClient::connectionCount() const noexcept
{
    return m_impl->connectionCount();
}

} // namespace camphorreach::impl
