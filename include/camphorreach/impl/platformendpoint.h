// Platform endpoint: HTTP towards the platform's store, rings to and from filters.
#pragma once

#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/metrics.h>
#include <camphorreach/platform.h>

#include <concepts>
#include <functional>
#include <utility>

namespace camphorreach::impl {

/// How calls to a store and their answers look in HTTP.
template <typename C>
concept PlatformCodec
    = requires(const C &codec, const typename C::Call &call, const HttpResult &result)
{
    typename C::User;
    {
        codec.toHttp(call)
        } -> std::same_as<HttpRequest>;
    {
        codec.toReply(call, result)
        } -> std::same_as<typename C::Reply>;
    {
        codec.timeoutOf(call)
        } -> std::same_as<Duration>;
};

/// The HTTP request of one platform call.
[[nodiscard]] HttpRequest toHttp(const PlatformOperation &operation);
/// What an HTTP result means for the operation that led to it.
[[nodiscard]] PlatformResult toPlatformResult(const PlatformOperation &operation,
                                              const HttpResult &result);
/// How long to wait for the answer to an operation.
[[nodiscard]] Duration timeoutOf(const PlatformOperation &operation);

/// The filters that use the platform. Call ids are unique for each of them.
enum class PlatformUser : std::uint8_t { Configuration, Moves };

/// The project's own interface to a store of single objects.
class ObjectCodec
{
public:
    using Call = PlatformCall;
    using Reply = PlatformReply;
    using User = PlatformUser;

    [[nodiscard]] HttpRequest toHttp(const Call &call) const
    {
        return impl::toHttp(call.operation);
    }
    [[nodiscard]] Reply toReply(const Call &call, const HttpResult &result) const
    {
        return { call.id, toPlatformResult(call.operation, result) };
    }
    [[nodiscard]] Duration timeoutOf(const Call &call) const
    {
        return impl::timeoutOf(call.operation);
    }
};

template <PlatformCodec Codec>
class BasicPlatformEndpoint
{
public:
    using User = typename Codec::User;
    using Call = typename Codec::Call;
    using Reply = typename Codec::Reply;
    struct Command
    {
        User user {};
        Call call;
    };
    /// Takes the reply to a call of a user.
    using Sink = std::function<void(User, Reply &&)>;

    BasicPlatformEndpoint(const NetAddress &platform, Sink sink, MetricsRegistry &metrics,
                          Codec codec = {})
        : m_codec(std::move(codec)), m_sink(std::move(sink)),
          m_calls(metrics.counter("platform.calls")),
          m_client(m_thread.io(), platform, maxConnections),
          m_inlet(m_thread.io(), ringCapacity,
                  [this](Command &&command) { onCommand(std::move(command)); })
    { }

    [[nodiscard]] Ring<Command> &ring() noexcept { return m_inlet.ring(); }

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

private:
    static constexpr std::size_t ringCapacity = 1024;
    // The watches, a lease renewal, and a few reads and writes at a time.
    static constexpr std::size_t maxConnections = 8;

    void onCommand(Command &&command)
    {
        m_calls.add();
        HttpRequest request = m_codec.toHttp(command.call);
        const Duration timeout = m_codec.timeoutOf(command.call);
        m_client.send(std::move(request), timeout,
                      [this, command = std::move(command)](HttpResult &&result) {
                          m_sink(command.user, m_codec.toReply(command.call, result));
                      });
    }

    const Codec m_codec;
    IoThread m_thread;
    Sink m_sink;
    Counter &m_calls;
    HttpClient m_client;
    Inlet<Command> m_inlet;
};

using PlatformEndpoint = BasicPlatformEndpoint<ObjectCodec>;

} // namespace camphorreach::impl
