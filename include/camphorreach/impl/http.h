// HTTP messages as plain structs, so that only the HTTP client and server depend on the HTTP
// library.
#pragma once

#include <camphorreach/headerfield.h>
#include <camphorreach/request.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach::impl {

using HttpHeader = HeaderField;

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers {};
    std::string body {};
    LargeBodyRef large {}; ///< The body if it is above maxBodyBytes; `body` is then empty.

    /// Value of the first header with this name (case-insensitive), or an empty view.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

struct HttpResponse
{
    std::uint16_t status = 200;
    std::vector<HttpHeader> headers {};
    std::string body {};
    LargeBodyRef large {}; ///< The body if it is above maxBodyBytes; `body` is then empty.

    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

} // namespace camphorreach::impl
