// Sockets, and the framing of HTTP messages.
#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

constexpr int listenBacklog = 256;
constexpr std::size_t readBytes = 65536;

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

bool waitFor(int socket, short events, std::int64_t until)
{
    const std::int64_t left = until - nowMs();
    pollfd entry { socket, events, 0 };
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string word(const std::string &line, int index)
{
    std::size_t begin = 0;
    for (int i = 0; i < index; ++i) {
        begin = line.find(' ', begin);
        if (begin == std::string::npos)
            return {};
        ++begin;
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

Message parseHead(const std::string &head)
{
    Message message;
    std::size_t end = head.find("\r\n");
    message.start = head.substr(0, end);
    while (end != std::string::npos && end + 2 < head.size()) {
        const std::size_t begin = end + 2;
        end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields[lowerCase(line.substr(0, colon))]
            = value == std::string::npos ? "" : line.substr(value);
    }
    return message;
}

} // namespace

Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return { text.substr(0, colon),
             static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)) };
}

std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string Message::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string Message::method() const
{
    return word(start, 0);
}

std::string Message::target() const
{
    return word(start, 1);
}

int Message::status() const
{
    return static_cast<int>(std::strtol(word(start, 1).c_str(), nullptr, 10));
}

Connection::~Connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

Connection Connection::open(const Address &to, std::int64_t timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = toSocketAddress(to);
    int result = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (result != 0 && errno == EINPROGRESS && waitFor(socket, POLLOUT, nowMs() + timeoutMs)) {
        socklen_t size = sizeof(result);
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &result, &size);
    }
    if (result != 0) {
        ::close(socket);
        return Connection(-1);
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return Connection(socket);
}

bool Connection::fill(std::int64_t until)
{
    if (!isOpen() || !waitFor(m_socket, POLLIN, until))
        return false;
    std::string bytes(readBytes, '\0');
    const ssize_t size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (size <= 0)
        return false;
    m_buffer.append(bytes, 0, static_cast<std::size_t>(size));
    return true;
}

std::optional<Message> Connection::read(std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
        end = m_buffer.find("\r\n\r\n");
    }
    Message message = parseHead(m_buffer.substr(0, end + 2));
    m_buffer.erase(0, end + 4);
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        if (!fill(until))
            return std::nullopt;
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return message;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (isOpen() && written < bytes.size()) {
        const ssize_t size
            = ::send(m_socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        written += static_cast<std::size_t>(size);
    }
    return isOpen();
}

Listener::Listener(const Address &address)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_address(address)
{
    const int one = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in bound = toSocketAddress(address);
    socklen_t size = sizeof(bound);
    if (::bind(m_socket, reinterpret_cast<sockaddr *>(&bound), size) != 0
        || ::listen(m_socket, listenBacklog) != 0
        || ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &size) != 0)
        throw std::runtime_error("cannot listen at " + address.text());
    m_address.port = ntohs(bound.sin_port);
}

void Listener::serve(const Handler &handler) const
{
    while (true) {
        const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int one = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([socket, handler] {
            Connection connection(socket);
            handler(connection);
        }).detach();
    }
}

Address freeAddress()
{
    // Below the ports that the system gives to outgoing connections.
    constexpr int firstPort = 12'000;
    constexpr int ports = 20'000;
    static int next = static_cast<int>(::getpid()) * 97;
    for (int attempt = 0; attempt < ports; ++attempt) {
        Address address { "127.0.0.1", static_cast<std::uint16_t>(firstPort + ++next % ports) };
        const sockaddr_in bound = toSocketAddress(address);
        bool isFree = true;
        for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
            const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) == 0
                && isFree;
            ::close(socket);
        }
        if (isFree)
            return address;
    }
    throw std::runtime_error("no port is free");
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::vector<std::pair<std::string, std::string>> &fields,
                        const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> callOnce(const Address &to, const std::string &request,
                                std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    Connection connection = Connection::open(to, timeoutMs);
    if (!connection.isOpen() || !connection.write(request))
        return std::nullopt;
    return connection.read(until - nowMs());
}

} // namespace review
