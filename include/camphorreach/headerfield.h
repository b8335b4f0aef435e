// HTTP header fields of requests and responses.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace camphorreach {

/// An HTTP header field, as received.
struct HeaderField
{
    std::string name;
    std::string value;

    friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

using HeaderFields = std::vector<HeaderField>;

/// Compares ASCII text case-insensitively, as is required for the names of header fields.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

/// Value of the first field with this name (case-insensitive), or an empty view if there is none.
[[nodiscard]] std::string_view valueOf(const HeaderFields &fields, std::string_view name) noexcept;

} // namespace camphorreach
