// Canonical text and digest of a settings tree.
#include <camphorreach/settingstree.h>

#include <array>
#include <charconv>
#include <xxhash.h>

namespace camphorreach {
namespace {

// The shortest text that parses to the same number.
std::string realText(double value)
{
    std::array<char, 32> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    std::string text(buffer.data(), end);
    // A TOML float has a point or an exponent; without either it would be read as an integer.
    if (text.find_first_of(".en") == std::string::npos)
        text += ".0";
    return text;
}

std::string quoted(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            result += '\\';
            result += c;
        } else if (byte < 0x20 || byte == 0x7f) {
            result += "\\u00";
            result += digits[byte >> 4U];
            result += digits[byte & 0xfU];
        } else {
            result += c;
        }
    }
    return result + "\"";
}

// The length prefix keeps the form unambiguous if a value contains the text of another entry.
void appendField(std::string &canonical, std::string_view field)
{
    canonical += std::to_string(field.size());
    canonical += ':';
    canonical += field;
}

} // namespace

std::string toToml(const SettingValue &value)
{
    return std::visit(Overloaded {
                          [](const std::string &text) { return quoted(text); },
                          [](bool flag) { return std::string(flag ? "true" : "false"); },
                          [](std::int64_t integer) { return std::to_string(integer); },
                          [](double real) { return realText(real); },
                      },
                      value);
}

std::string toToml(const SettingsTree &tree)
{
    std::map<std::string_view, std::string> tables; // text by path of the table
    for (const auto &[path, setting] : tree.settings) {
        const std::size_t dot = path.rfind('.');
        const bool isRoot = dot == std::string::npos;
        const std::string_view table = isRoot ? "" : std::string_view(path).substr(0, dot);
        tables[table]
            += (isRoot ? path : path.substr(dot + 1)) + " = " + toToml(setting.value) + "\n";
    }
    std::string text;
    for (const auto &[path, lines] : tables) {
        if (!text.empty())
            text += "\n";
        if (!path.empty())
            text += "[" + std::string(path) + "]\n";
        text += lines;
    }
    return text;
}

Digest digestOf(const SettingsTree &tree)
{
    std::string canonical;
    for (const auto &[path, setting] : tree.settings) {
        appendField(canonical, path);
        appendField(canonical, toToml(setting.value));
    }
    return Digest(XXH3_64bits(canonical.data(), canonical.size()));
}

} // namespace camphorreach
