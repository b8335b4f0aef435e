// Socket address: IP address and port.
#pragma once

#include <camphorreach/result.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace camphorreach {

struct NetAddress
{
    std::string host; ///< IPv4 or IPv6 address in text form; never a host name.
    std::uint16_t port = 0;

    friend auto operator<=>(const NetAddress &, const NetAddress &) = default;
    friend bool operator==(const NetAddress &, const NetAddress &) = default;
};

/// Formats as "127.0.0.1:8080"; an IPv6 address is put in brackets.
[[nodiscard]] std::string toText(const NetAddress &address);

/// Parses the format of toText(). Fails with InvalidInput for host names and invalid ports.
[[nodiscard]] Result<NetAddress> parseNetAddress(std::string_view text);

} // namespace camphorreach

template <>
struct std::hash<camphorreach::NetAddress>
{
    std::size_t operator()(const camphorreach::NetAddress &address) const noexcept
    {
        return std::hash<std::string> {}(address.host) * 31 + address.port;
    }
};
