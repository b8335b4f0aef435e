// Real nodes on loopback in one process, with stand-ins for the platform and the backend servers.
#pragma once

#include <camphorreach/impl/httpserver.h>
#include <camphorreach/impl/iothread.h>
#include <camphorreach/node.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace camphorreach {

/// Distinct free addresses, with ports below the ephemeral range of the system: an outgoing
/// connection could take an ephemeral port between this check and the start of the node.
[[nodiscard]] std::vector<NetAddress> freeAddresses(std::size_t count);

/// An HTTP server with its own thread, on a free port.
class LoopbackServer
{
public:
    using Handler = std::function<void(LoopbackServer &, impl::ExchangeId, impl::HttpRequest &&)>;

    explicit LoopbackServer(Handler handler);
    ~LoopbackServer();

    [[nodiscard]] NetAddress address() const { return { "127.0.0.1", m_server->port() }; }
    void respond(impl::ExchangeId exchange, impl::HttpResponse response)
    {
        m_server->respond(exchange, std::move(response));
    }
    /// Responds after \a delay. Must be called on the server's thread.
    void respondLater(impl::ExchangeId exchange, impl::HttpResponse response, Duration delay);

private:
    impl::IoThread m_thread;
    std::unique_ptr<impl::HttpServer> m_server;
};

/// Counts how often each request body was run, across all backend servers.
class RunCounts
{
public:
    void record(const std::string &body);
    [[nodiscard]] std::map<std::string, int> all() const;

private:
    mutable std::mutex m_mutex; // guards m_counts
    std::map<std::string, int> m_counts;
};

/// A response as received by a client; status 0 when the connection ended before it was complete.
struct OrderResponse
{
    int status = 0;
    std::string outcome;
    std::string body;
    bool isClosing = false; ///< The server announced that it will close the connection.
};

/// A keep-alive connection of a client.
class ClientConnection
{
public:
    explicit ClientConnection(const NetAddress &address);
    ~ClientConnection();

    [[nodiscard]] bool isOpen() const;
    /// Sends a run-once order and waits for its response.
    OrderResponse order(const std::string &id);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

class NodeFixture
{
protected:
    explicit NodeFixture(std::size_t count = 4);

    /// Waits until every node has the configuration and all members. Returns false after a timeout.
    [[nodiscard]] bool waitUntilReady() const;

    RunCounts runs;
    LoopbackServer platform;
    std::vector<std::unique_ptr<LoopbackServer>> backends;
    std::vector<NodeSettings> settings;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace camphorreach
