// Platform endpoint: HTTP client of the platform's store, connected to the filters by rings.
#pragma once

#include <camphorreach/impl/httpclient.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/metrics.h>
#include <camphorreach/platform.h>

#include <concepts>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

namespace camphorreach::impl {

/// Limits on the replies of a store.
struct PlatformLimits
{
    std::size_t replyBytes = maxBodyBytes;
    /// Time for the rest of a reply after its beginning, for calls whose beginning is reported.
    std::optional<Duration> bodyTimeout {};
};

/// Maps calls to a store to HTTP requests, and HTTP results to replies. toBegun() returns the reply
/// that reports the beginning of a response, or nothing for calls without such a report.
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
        codec.toBegun(call)
        } -> std::same_as<std::optional<typename C::Reply>>;
    {
        codec.timeoutOf(call)
        } -> std::same_as<Duration>;
    {
        codec.limits()
        } -> std::same_as<PlatformLimits>;
};

/// Encodes an operation as an HTTP request.
[[nodiscard]] HttpRequest toHttp(const PlatformOperation &operation);
/// Decodes the HTTP result of an operation.
[[nodiscard]] PlatformResult toPlatformResult(const PlatformOperation &operation,
                                              const HttpResult &result);
/// Timeout of an operation. That of a watch includes its waiting time.
[[nodiscard]] Duration timeoutOf(const PlatformOperation &operation);

/// The filters that call the platform. Call ids are unique within a filter.
enum class PlatformUser : std::uint8_t { Configuration, Moves };

/// The native HTTP interface to a store that is read, watched and written object by object.
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
    [[nodiscard]] std::optional<Reply> toBegun(const Call &) const { return std::nullopt; }
    [[nodiscard]] PlatformLimits limits() const { return {}; }
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
    /// Receives the replies, with the filter that made the call.
    using Sink = std::function<void(User, Reply &&)>;

    BasicPlatformEndpoint(const NetAddress &platform, Sink sink, MetricsRegistry &metrics,
                          Codec codec = {})
        : m_codec(std::move(codec)), m_sink(std::move(sink)),
          m_calls(metrics.counter("platform.calls")),
          m_client(m_thread.io(), platform, maxConnections, clientOptions(m_codec)),
          m_input(m_thread.io(), ringCapacity,
                  [this](Command &&command) { onCommand(std::move(command)); })
    { }

    [[nodiscard]] Ring<Command> &ring() noexcept { return m_input.ring(); }

    void start() { m_thread.start(); }
    void stop() { m_thread.stop(); }

private:
    static constexpr std::size_t ringCapacity = 1024;
    // Enough for the watches, a lease renewal, a few concurrent reads and writes, and the calls
    // that a store has taken without responding.
    static constexpr std::size_t maxConnections = 16;

    [[nodiscard]] static HttpClient::Options clientOptions(const Codec &codec)
    {
        const PlatformLimits limits = codec.limits();
        HttpClient::Options options;
        options.bodyBytes = limits.replyBytes;
        options.bodyTimeout = limits.bodyTimeout;
        return options;
    }

    void onCommand(Command &&command)
    {
        m_calls.add();
        HttpRequest request = m_codec.toHttp(command.call);
        const Duration timeout = m_codec.timeoutOf(command.call);
        HttpClient::HeadReceived headReceived;
        if (auto begun = m_codec.toBegun(command.call)) {
            headReceived = [this, user = command.user, begun = std::move(*begun)] {
                m_sink(user, Reply(begun));
            };
        }
        m_client.send(
            std::move(request), timeout,
            [this, command = std::move(command)](HttpResult &&result) {
                m_sink(command.user, m_codec.toReply(command.call, result));
            },
            std::move(headReceived));
    }

    const Codec m_codec;
    IoThread m_thread;
    Sink m_sink;
    Counter &m_calls;
    HttpClient m_client;
    InputRing<Command> m_input;
};

using PlatformEndpoint = BasicPlatformEndpoint<ObjectCodec>;

} // namespace camphorreach::impl
