// Blocking HTTP/1.1 over TCP, as much of it as the cases need.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// A loopback address, written "127.0.0.1:PORT".
struct Address
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

[[nodiscard]] Address parseAddress(const std::string &text);

/// Milliseconds of a clock that all processes of the machine share.
[[nodiscard]] std::int64_t nowMs();
/// Milliseconds since 1970.
[[nodiscard]] std::int64_t wallMs();
void sleepMs(std::int64_t milliseconds);

/// Names of fields are in lower case.
struct Message
{
    std::string start; ///< The request line or the status line, without its end.
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const; ///< Zero when it is no status line.
};

/// One connection. Closed by the destructor.
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects within \a timeoutMs. Not open when that fails.
    static Connection open(const Address &to, std::int64_t timeoutMs);
    Connection(Connection &&other) noexcept : m_socket(std::exchange(other.m_socket, -1)) { }

    [[nodiscard]] bool isOpen() const { return m_socket >= 0; }
    /// The next message, or nothing when the connection ends or \a timeoutMs passes first.
    [[nodiscard]] std::optional<Message> read(std::int64_t timeoutMs);
    bool write(const std::string &bytes);

private:
    bool fill(std::int64_t until);

    int m_socket;
    std::string m_buffer;
};

/// A listening socket. One thread serves each connection until the process ends.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    /// Port 0 takes a free one.
    explicit Listener(const Address &address);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] Address address() const { return m_address; }
    void serve(const Handler &handler) const; ///< Does not return.

private:
    int m_socket;
    Address m_address;
};

/// A port that is free now.
[[nodiscard]] Address freeAddress();

[[nodiscard]] std::string
requestText(const std::string &method, const std::string &target,
            const std::vector<std::pair<std::string, std::string>> &fields,
            const std::string &body);
[[nodiscard]] std::string
responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
             const std::string &body);

/// Sends one request on a connection of its own. Nothing when there is no whole answer.
[[nodiscard]] std::optional<Message> callOnce(const Address &to, const std::string &request,
                                              std::int64_t timeoutMs);

} // namespace review
