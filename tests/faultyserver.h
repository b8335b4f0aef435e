// A backend server that writes scripted bytes: whole, cut, repeated or without end.
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

/// Answers the requests of each connection with the steps of one script, in order, and closes the
/// connection after the last one. Requests have no bodies.
class FaultyServer
{
public:
    struct Step
    {
        std::string bytes;
        std::string endless {}; ///< Written again and again until the caller closes.
    };

    explicit FaultyServer(std::vector<Step> script);
    ~FaultyServer();

    [[nodiscard]] NetAddress address() const;
    /// Connections on which a request has come.
    [[nodiscard]] int connectionCount() const { return m_connectionCount; }
    [[nodiscard]] std::size_t bytesWritten() const { return m_bytesWritten; }
    /// Connections that the caller closed under an endless step.
    [[nodiscard]] int closedUnderEndless() const { return m_closedUnderEndless; }

private:
    struct Connection;

    void accept();
    void readRequest(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection);
    void writeEndless(const std::shared_ptr<Connection> &connection);

    const std::vector<Step> m_script;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_connectionCount { 0 };
    std::atomic<std::size_t> m_bytesWritten { 0 };
    std::atomic<int> m_closedUnderEndless { 0 };
    std::thread m_thread;
};

} // namespace camphorreach
