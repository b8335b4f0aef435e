// Blocking HTTP/1.1 over loopback for the stand-ins of the review.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Millis = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

struct Header
{
    std::string name;
    std::string value;
};

/// A request or a response. The first line is without its line end.
struct Message
{
    std::string firstLine;
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
    /// The words of the first line: method, target and version, or version,
    /// status and reason.
    [[nodiscard]] std::string word(std::size_t index) const;
    [[nodiscard]] int status() const;
};

/// What the end of a message looks like to its reader.
enum class ReadEnd : std::uint8_t { Complete, Closed, TimedOut, NoMessage };

struct ReadResult
{
    ReadEnd end = ReadEnd::NoMessage;
    Message message;
};

/// One end of a connection on loopback. Closes it when destroyed.
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket) { }
    ~Connection();
    Connection(Connection &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1)), m_buffer(std::move(other.m_buffer))
    { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] static std::optional<Connection> open(std::uint16_t port);

    bool send(std::string_view bytes) const;
    /// Reads one message. A response to HEAD has no body, whatever its headers
    /// say.
    [[nodiscard]] ReadResult read(Millis timeout, bool isAnswerToHead = false);
    /// Whether bytes arrive within the timeout that no message has consumed.
    [[nodiscard]] bool hasBytes(Millis timeout);
    [[nodiscard]] const std::string &unread() const noexcept { return m_buffer; }

private:
    enum class Fill : std::uint8_t { Bytes, Closed, TimedOut };
    [[nodiscard]] Fill fill(Clock::time_point until);
    [[nodiscard]] ReadEnd readBody(Message &message, Clock::time_point until);

    int m_socket;
    std::string m_buffer;
};

/// Formats a response with a length.
[[nodiscard]] std::string response(int status, const std::vector<Header> &headers,
                                   const std::string &body);
/// Formats a request with a length if it has a body or is a POST or PUT.
[[nodiscard]] std::string request(const std::string &method, const std::string &target,
                                  const std::vector<Header> &headers, const std::string &body);

/// Listens on a loopback port; 0 picks a free one below the ephemeral range.
/// Returns the socket.
[[nodiscard]] int listenOn(std::uint16_t port);
/// Distinct free loopback ports below the ephemeral range.
[[nodiscard]] std::vector<std::uint16_t> freePorts(std::size_t count);
/// Accepts connections for ever, each on a thread of its own.
void serve(int listener, const std::function<void(Connection)> &handler);

} // namespace review
