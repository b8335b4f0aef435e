// Parsing of a settings tree.
#include <camphorreach/impl/tomldocument.h>
#include <camphorreach/impl/tomlreader.h>
#include <camphorreach/settingstree.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace camphorreach {
namespace {

constexpr std::size_t maxNameLength = 64;

// Names are segments of dotted paths and bare TOML keys, so they need no quoting in either.
bool isValidName(std::string_view name)
{
    static constexpr std::string_view marks = "-_";
    return !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || marks.find(c) != std::string_view::npos;
    });
}

std::optional<SettingValue> valueOfNode(const toml::node &node)
{
    if (const auto flag = node.value_exact<bool>())
        return *flag;
    if (const auto integer = node.value_exact<std::int64_t>())
        return *integer;
    if (const auto text = node.value_exact<std::string>())
        return *text;
    const auto real = node.value_exact<double>();
    if (real && std::isfinite(*real))
        return *real;
    return std::nullopt;
}

void flatten(const toml::table &table, const std::string &path, const std::string &file,
             SettingsTree &tree, Findings &findings)
{
    for (const auto &[key, node] : table) {
        const std::string name(key.str());
        const std::string fullPath = path.empty() ? name : path + "." + name;
        const SourceLocation location = impl::locationOf(key.source(), file);
        const toml::table *subtable = node.as_table();
        if (!isValidName(name))
            findings.push_back(
                { location, fullPath, "is not a name: letters, digits, - and _ only" });
        else if (subtable != nullptr && subtable->empty())
            findings.push_back({ location, fullPath, "is an empty table; set at least one key" });
        else if (subtable != nullptr)
            flatten(*subtable, fullPath, file, tree, findings);
        else if (const auto value = valueOfNode(node))
            tree.settings[fullPath] = { *value, location };
        else
            findings.push_back(
                { location, fullPath, "must be a finite number, a string, true or false" });
    }
}

} // namespace

Result<SettingsTree> parseTree(std::string_view text, const std::string &file)
{
    if (text.size() > maxTreeBytes)
        return Error { ErrorCode::TooLarge, "the settings tree is larger than 900000 bytes" };
    SettingsTree tree;
    Findings findings;
    if (const auto document = impl::parseDocument(text, file, findings))
        flatten(*document, "", file, tree, findings);
    if (!findings.empty())
        return Error { ErrorCode::InvalidInput, "the settings tree is not valid", findings };
    return tree;
}

} // namespace camphorreach
