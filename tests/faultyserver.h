// Backend server for tests that sends scripted bytes: complete, truncated, repeated or endless.
#pragma once

#include <camphorreach/netaddress.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace camphorreach {

/// Responds to the requests of every connection with the steps of one script, in order, and closes
/// the connection after the last step. Supports only requests without a body.
class FaultyServer
{
public:
    struct Step
    {
        std::string bytes;
        std::string endless {}; ///< Written repeatedly until the client closes the connection.
    };

    explicit FaultyServer(std::vector<Step> script);
    ~FaultyServer();

    [[nodiscard]] NetAddress address() const;
    /// Number of connections that have received a request.
    [[nodiscard]] int connectionCount() const { return m_connectionCount; }
    [[nodiscard]] std::size_t bytesWritten() const { return m_bytesWritten; }
    /// Number of connections that the client closed during an endless step.
    [[nodiscard]] int closedDuringEndless() const { return m_closedDuringEndless; }

private:
    struct Connection;

    void accept();
    void readRequest(const std::shared_ptr<Connection> &connection);
    void respond(const std::shared_ptr<Connection> &connection);
    void writeEndless(const std::shared_ptr<Connection> &connection);

    const std::vector<Step> m_script;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_connectionCount { 0 };
    std::atomic<std::size_t> m_bytesWritten { 0 };
    std::atomic<int> m_closedDuringEndless { 0 };
    std::thread m_thread;
};

} // namespace camphorreach
