// Blocking sockets and message framing.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

namespace review {
namespace {

// Each process has a block of its own below the ephemeral range, so that cases that start together
// do not pick the same ports.
constexpr int firstPort = 20'000;
constexpr int portsPerProcess = 500;
constexpr int blocks = 24;

::sockaddr_in loopback(std::uint16_t port)
{
    ::sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

int bindTo(std::uint16_t port, int type)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const ::sockaddr_in address = loopback(port);
    if (::bind(socket, reinterpret_cast<const ::sockaddr *>(&address), sizeof(address)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

Message parseHead(const std::string &head)
{
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.firstLine.empty()) {
            message.firstLine = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.push_back({ line.substr(0, colon), value });
    }
    return message;
}

} // namespace

std::string Message::header(std::string_view name) const
{
    for (const Header &header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

std::string Message::word(std::size_t index) const
{
    std::istringstream words(firstLine);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) {
        if (!(words >> word))
            return {};
    }
    return word;
}

int Message::status() const
{
    return std::atoi(word(1).c_str());
}

Connection::~Connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

std::optional<Connection> Connection::open(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const ::sockaddr_in address = loopback(port);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket, reinterpret_cast<const ::sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return std::nullopt;
    }
    return Connection(socket);
}

bool Connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ::ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

Connection::Fill Connection::fill(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    ::pollfd poll { m_socket, POLLIN, 0 };
    if (::poll(&poll, 1, static_cast<int>(std::max<long>(0, left))) <= 0)
        return Fill::TimedOut;
    std::array<char, 16384> bytes {};
    const ::ssize_t size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return Fill::Closed;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return Fill::Bytes;
}

ReadResult Connection::read(Millis timeout, bool isAnswerToHead)
{
    const Clock::time_point until = Clock::now() + timeout;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        const Fill result = fill(until);
        if (result == Fill::TimedOut)
            return { ReadEnd::TimedOut, {} };
        if (result == Fill::Closed)
            return { m_buffer.empty() ? ReadEnd::Closed : ReadEnd::NoMessage, {} };
    }
    Message message = parseHead(m_buffer.substr(0, end));
    const std::string first = message.word(0);
    if (!first.starts_with("HTTP/") && !message.word(2).starts_with("HTTP/"))
        return { ReadEnd::NoMessage, message };
    m_buffer.erase(0, end + 4);
    if (isAnswerToHead)
        return { ReadEnd::Complete, message };
    const ReadEnd bodyEnd = readBody(message, until);
    return { bodyEnd, std::move(message) };
}

ReadEnd Connection::readBody(Message &message, Clock::time_point until)
{
    const auto length
        = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    while (m_buffer.size() < length) {
        const Fill result = fill(until);
        if (result != Fill::Bytes)
            return result == Fill::TimedOut ? ReadEnd::TimedOut : ReadEnd::Closed;
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return ReadEnd::Complete;
}

bool Connection::hasBytes(Millis timeout)
{
    return !m_buffer.empty() || fill(Clock::now() + timeout) == Fill::Bytes;
}

std::string response(int status, const std::vector<Header> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const Header &header : headers)
        text += header.name + ": " + header.value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request(const std::string &method, const std::string &target,
                    const std::vector<Header> &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const Header &header : headers)
        text += header.name + ": " + header.value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

int listenOn(std::uint16_t port)
{
    const int socket = bindTo(port, SOCK_STREAM);
    if (socket >= 0)
        ::listen(socket, SOMAXCONN);
    return socket;
}

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::random_device random;
    const int first = firstPort + portsPerProcess * (::getpid() % blocks);
    std::uniform_int_distribution<int> distribution(first, first + portsPerProcess - 1);
    std::vector<std::uint16_t> ports;
    std::vector<int> held;
    while (ports.size() < count) {
        const auto port = static_cast<std::uint16_t>(distribution(random));
        const int stream = bindTo(port, SOCK_STREAM);
        const int datagram = bindTo(port, SOCK_DGRAM);
        held.insert(held.end(), { stream, datagram });
        if (stream >= 0 && datagram >= 0)
            ports.push_back(port);
    }
    for (const int socket : held) {
        if (socket >= 0)
            ::close(socket);
    }
    return ports;
}

void serve(int listener, const std::function<void(Connection)> &handler)
{
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([handler, socket] { handler(Connection(socket)); }).detach();
    }
}

} // namespace review
