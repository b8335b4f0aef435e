// Monitors whether a server accepts connections.
#pragma once

#include <camphorreach/netaddress.h>

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace camphorreach::impl {

/// Keeps one idle connection open. When it ends, the server may have stopped, so the monitor
/// connects again; the server is unreachable when that fails. Not thread-safe: call all members on
/// the thread that runs the io_context.
class ReachabilityMonitor
{
public:
    /// Called after the first connection attempt, and then on every change.
    using Listener = std::function<void(bool isReachable)>;

    ReachabilityMonitor(boost::asio::io_context &io, NetAddress server, Listener listener);
    ~ReachabilityMonitor();

    void start();
    /// Monitors another server. Its state is reported like that after start().
    void setServer(NetAddress server);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace camphorreach::impl
