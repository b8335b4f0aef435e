// Reads typed keys from a TOML table and collects findings about them.
#pragma once

#include <camphorreach/finding.h>
#include <camphorreach/log.h>
#include <camphorreach/netaddress.h>

#include <camphorreach/impl/toml.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorreach::impl {

[[nodiscard]] SourceLocation locationOf(const toml::source_region &source, const std::string &file);

/// One table of a document. reportUnknown() reports the keys that were never read.
class TomlReader
{
public:
    TomlReader(const toml::table &table, std::string path, std::string file, Findings &findings);

    [[nodiscard]] std::string text(std::string_view key, bool isRequired = true);
    [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max,
                                       std::int64_t defaultValue);
    /// An integer or a floating-point number.
    [[nodiscard]] double number(std::string_view key, double min, double max, double defaultValue);
    [[nodiscard]] NetAddress address(std::string_view key);
    [[nodiscard]] std::vector<NetAddress> addresses(std::string_view key);
    [[nodiscard]] bool contains(std::string_view key) const { return m_table.contains(key); }
    /// The sub-table, or an empty one and a finding if it is missing or no table.
    [[nodiscard]] TomlReader table(std::string_view key);

    void reportUnknown();
    void report(std::string_view key, const std::string &text);

private:
    [[nodiscard]] const toml::node *find(std::string_view key);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    void reportAt(const toml::node &node, std::string_view key, const std::string &text);

    const toml::table &m_table;
    std::string m_path;
    std::string m_file;
    Findings &m_findings;
    std::set<std::string, std::less<>> m_requestedKeys;
};

/// The key "level" of the log table: debug, info, warning or error; info if it is missing.
[[nodiscard]] LogLevel readLogLevel(TomlReader &reader);

} // namespace camphorreach::impl
