// Strong types: values with a tag type, so that ids and units do not convert into each other.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace camphorreach {

/// A value of type \a Rep that can only be compared with and assigned from values of the same
/// \a Tag.
template <typename Tag, typename Rep>
class Strong
{
public:
    using rep = Rep;

    constexpr Strong() = default;
    constexpr explicit Strong(Rep value) : m_value(std::move(value)) { }

    /// The underlying value, for codecs, logs and arithmetic.
    [[nodiscard]] constexpr const Rep &value() const noexcept { return m_value; }

    friend constexpr auto operator<=>(const Strong &, const Strong &) = default;
    friend constexpr bool operator==(const Strong &, const Strong &) = default;

private:
    Rep m_value {};
};

/// The successor of a number that counts, such as a version or a sequence number.
template <typename Tag, typename Rep>
[[nodiscard]] constexpr Strong<Tag, Rep> next(const Strong<Tag, Rep> &current)
{
    return Strong<Tag, Rep>(current.value() + 1);
}

} // namespace camphorreach

template <typename Tag, typename Rep>
struct std::hash<camphorreach::Strong<Tag, Rep>>
{
    std::size_t operator()(const camphorreach::Strong<Tag, Rep> &strong) const noexcept
    {
        return std::hash<Rep> {}(strong.value());
    }
};
