// Runs the script on every connection.
#include "faultyserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace camphorreach {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCodeType = boost::system::error_code;

struct FaultyServer::Connection
{
    tcp::socket socket;
    std::string received {};
    std::size_t step = 0;
};

FaultyServer::FaultyServer(std::vector<Step> script)
    : m_script(std::move(script)),
      m_acceptor(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    accept();
    m_thread = std::thread([this] { m_io.run(); });
}

FaultyServer::~FaultyServer()
{
    m_io.stop();
    m_thread.join();
}

NetAddress FaultyServer::address() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void FaultyServer::accept()
{
    m_acceptor.async_accept([this](ErrorCodeType error, tcp::socket socket) {
        if (error)
            return;
        readRequest(std::make_shared<Connection>(Connection { std::move(socket) }));
        accept();
    });
}

void FaultyServer::readRequest(const std::shared_ptr<Connection> &connection)
{
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->received),
                           "\r\n\r\n", [this, connection](ErrorCodeType error, std::size_t size) {
                               if (error)
                                   return;
                               connection->received.erase(0, size);
                               respond(connection);
                           });
}

void FaultyServer::respond(const std::shared_ptr<Connection> &connection)
{
    if (connection->step == 0)
        ++m_connectionCount;
    asio::async_write(connection->socket, asio::buffer(m_script[connection->step].bytes),
                      [this, connection](ErrorCodeType error, std::size_t) {
                          if (error)
                              return;
                          if (!m_script[connection->step].endless.empty())
                              return writeEndless(connection);
                          if (++connection->step < m_script.size())
                              readRequest(connection);
                      });
}

void FaultyServer::writeEndless(const std::shared_ptr<Connection> &connection)
{
    asio::async_write(connection->socket, asio::buffer(m_script[connection->step].endless),
                      [this, connection](ErrorCodeType error, std::size_t size) {
                          m_bytesWritten += size;
                          if (error)
                              ++m_closedDuringEndless;
                          else
                              writeEndless(connection);
                      });
}

} // namespace camphorreach
