// Header fields that travel with a request or an answer.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace camphorreach {

/// One HTTP header field, as it was received.
struct HeaderField
{
    std::string name;
    std::string value;

    friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

using HeaderFields = std::vector<HeaderField>;

/// Compares ASCII text without regard to case, as names of header fields are compared.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

/// Value of the first field with this name, without regard to case, or an empty view.
[[nodiscard]] std::string_view valueOf(const HeaderFields &fields, std::string_view name) noexcept;

} // namespace camphorreach
