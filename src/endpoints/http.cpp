// Case-insensitive lookup of header fields.
#include <camphorreach/impl/http.h>

#include <algorithm>
#include <cctype>

namespace camphorreach {

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view valueOf(const HeaderFields &fields, std::string_view name) noexcept
{
    for (const HeaderField &field : fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

namespace impl {

std::string_view HttpRequest::header(std::string_view name) const noexcept
{
    return valueOf(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const noexcept
{
    return valueOf(headers, name);
}

} // namespace impl
} // namespace camphorreach
