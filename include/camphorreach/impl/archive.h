// cereal archives for messages between nodes, and serialisation of the core types.
#pragma once

#include <camphorreach/strong.h>
#include <camphorreach/units.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace camphorreach::impl {

/// Reads binary values in host byte order from a buffer. A length that exceeds the remaining bytes
/// throws cereal::Exception before memory is allocated for it.
class CheckedInputArchive : public cereal::InputArchive<CheckedInputArchive, 0>
{
public:
    explicit CheckedInputArchive(std::string_view data)
        : cereal::InputArchive<CheckedInputArchive, 0>(this), m_remaining(data)
    { }

    void loadBytes(void *target, std::size_t size)
    {
        if (size > m_remaining.size())
            throw cereal::Exception("the message is truncated");
        if (size == 0)
            return; // data() of an empty container may be null, which memcpy does not accept
        std::memcpy(target, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }

    [[nodiscard]] std::size_t remaining() const noexcept { return m_remaining.size(); }

private:
    std::string_view m_remaining;
};

/// Appends binary values in host byte order to a string.
class StringOutputArchive : public cereal::OutputArchive<StringOutputArchive, 0>
{
public:
    explicit StringOutputArchive(std::string &target)
        : cereal::OutputArchive<StringOutputArchive, 0>(this), m_target(target)
    { }

    void saveBytes(const void *source, std::size_t size)
    {
        m_target.append(static_cast<const char *>(source), size);
    }

private:
    std::string &m_target;
};

/// An unsigned integer that is encoded in groups of seven bits (LEB128), so that small values
/// occupy one byte.
template <typename T>
requires std::is_unsigned_v<T>
struct VarInt
{
    T &value;
};

// NOLINTBEGIN(readability-identifier-naming): cereal requires these function names.
template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(CheckedInputArchive &archive, T &value)
{
    archive.loadBytes(&value, sizeof(value));
}

// Copying any other byte than 0 and 1 into a bool is undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(CheckedInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive.loadBytes(&byte, sizeof(byte));
    if (byte > 1)
        throw cereal::Exception("a flag is neither 0 nor 1");
    value = byte == 1;
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &archive, const T &value)
{
    archive.saveBytes(&value, sizeof(value));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(CheckedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StringOutputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CheckedInputArchive &archive, VarInt<T> &number)
{
    std::uint64_t value = 0;
    unsigned shift = 0;
    std::uint8_t byte = 0;
    do {
        archive.loadBytes(&byte, sizeof(byte));
        const std::uint64_t group = byte & 0x7fU;
        if (shift > 63 || (shift == 63 && group > 1))
            throw cereal::Exception("an integer is out of range");
        value |= group << shift;
        shift += 7;
    } while ((byte & 0x80U) != 0);
    if (value > std::numeric_limits<T>::max())
        throw cereal::Exception("an integer is out of range");
    number.value = static_cast<T>(value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &archive, const VarInt<T> &number)
{
    std::uint64_t rest = number.value;
    do {
        const std::uint8_t more = rest > 0x7fU ? 0x80U : 0U;
        const auto byte = static_cast<std::uint8_t>((rest & 0x7fU) | more);
        archive.saveBytes(&byte, sizeof(byte));
        rest >>= 7U;
    } while (rest > 0);
}

// Every element occupies at least one byte, so a count above the remaining bytes is malformed.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CheckedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t size = 0;
    archive(VarInt<std::uint32_t> { size });
    if (size > archive.remaining())
        throw cereal::Exception("a length exceeds the message");
    tag.size = size;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    auto size = static_cast<std::uint32_t>(tag.size);
    archive(VarInt<std::uint32_t> { size });
}

template <typename Alternative, typename... Alternatives>
void loadAlternative(CheckedInputArchive &archive, std::variant<Alternatives...> &variant)
{
    Alternative value {};
    archive(value);
    variant = std::move(value);
}

// The index of the alternative occupies one byte; cereal's own encoding of variants uses four.
template <typename... Alternatives>
void CEREAL_LOAD_FUNCTION_NAME(CheckedInputArchive &archive, std::variant<Alternatives...> &variant)
{
    using Loader = void (*)(CheckedInputArchive &, std::variant<Alternatives...> &);
    constexpr std::array<Loader, sizeof...(Alternatives)> loaders {
        &loadAlternative<Alternatives, Alternatives...>...
    };
    std::uint8_t index = 0;
    archive(index);
    if (index >= loaders.size())
        throw cereal::Exception("the kind of a message is unknown");
    loaders[index](archive, variant);
}

template <typename... Alternatives>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &archive,
                               const std::variant<Alternatives...> &variant)
{
    static_assert(sizeof...(Alternatives) <= std::numeric_limits<std::uint8_t>::max());
    archive(static_cast<std::uint8_t>(variant.index()));
    std::visit([&archive](const auto &value) { archive(value); }, variant);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CheckedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.saveBytes(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

} // namespace camphorreach::impl

CEREAL_REGISTER_ARCHIVE(camphorreach::impl::CheckedInputArchive)
CEREAL_REGISTER_ARCHIVE(camphorreach::impl::StringOutputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(camphorreach::impl::CheckedInputArchive,
                            camphorreach::impl::StringOutputArchive)

namespace camphorreach {

template <typename Archive, typename Tag, typename Rep>
Rep save_minimal(const Archive &, const Strong<Tag, Rep> &strong) // NOLINT: cereal's name
{
    return strong.value();
}

template <typename Archive, typename Tag, typename Rep>
void load_minimal(const Archive &, Strong<Tag, Rep> &strong, // NOLINT: cereal's name
                  const typename Strong<Tag, Rep>::rep &value)
{
    strong = Strong<Tag, Rep>(value);
}

template <typename Archive>
std::uint32_t save_minimal(const Archive &, const Share &share) // NOLINT: cereal's name
{
    return share.millionths();
}

template <typename Archive>
void load_minimal(const Archive &, Share &share,
                  const std::uint32_t &value) // NOLINT: cereal's name
{
    share = Share::fromMillionths(value);
}

} // namespace camphorreach
