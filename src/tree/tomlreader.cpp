// Validated access to TOML tables.
#include <camphorreach/impl/tomlreader.h>

#include <sstream>
#include <utility>

namespace camphorreach::impl {

SourceLocation locationOf(const toml::source_region &source, const std::string &file)
{
    return { file, source.begin.line, source.begin.column };
}

TomlReader::TomlReader(const toml::table &table, std::string path, std::string file,
                       Findings &findings)
    : m_table(table), m_path(std::move(path)), m_file(std::move(file)), m_findings(findings)
{ }

std::string TomlReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void TomlReader::reportAt(const toml::node &node, std::string_view key, const std::string &text)
{
    m_findings.push_back({ locationOf(node.source(), m_file), pathOf(key), text });
}

void TomlReader::report(std::string_view key, const std::string &text)
{
    const toml::node *node = m_table.get(key);
    reportAt(node != nullptr ? *node : m_table, key, text);
}

const toml::node *TomlReader::find(std::string_view key)
{
    m_requestedKeys.emplace(key);
    return m_table.get(key);
}

std::string TomlReader::text(std::string_view key, bool isRequired)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        if (isRequired)
            report(key, "is missing");
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        report(key, "must be a string");
        return {};
    }
    if (isRequired && value->empty())
        report(key, "must not be empty");
    return *value;
}

std::int64_t TomlReader::integer(std::string_view key, std::int64_t min, std::int64_t max,
                                 std::int64_t defaultValue)
{
    const toml::node *node = find(key);
    if (node == nullptr)
        return defaultValue;
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        report(key, "must be an integer");
        return defaultValue;
    }
    if (*value < min || *value > max) {
        report(key,
               "must be from " + std::to_string(min) + " to " + std::to_string(max) + ", is "
                   + std::to_string(*value));
        return defaultValue;
    }
    return *value;
}

double TomlReader::number(std::string_view key, double min, double max, double defaultValue)
{
    const toml::node *node = find(key);
    if (node == nullptr)
        return defaultValue;
    const auto value = node->value<double>();
    if (!value || !node->is_number()) {
        report(key, "must be a number");
        return defaultValue;
    }
    if (!(*value >= min && *value <= max)) {
        std::ostringstream text;
        text << "must be from " << min << " to " << max << ", is " << *value;
        report(key, text.str());
        return defaultValue;
    }
    return *value;
}

NetAddress TomlReader::address(std::string_view key)
{
    const std::size_t before = m_findings.size();
    const std::string value = text(key);
    if (m_findings.size() != before)
        return {};
    auto parsed = parseNetAddress(value);
    if (isOk(parsed))
        return valueOf(std::move(parsed));
    report(key, errorOf(parsed).text);
    return {};
}

std::vector<NetAddress> TomlReader::addresses(std::string_view key)
{
    std::vector<NetAddress> result;
    const toml::node *node = find(key);
    if (node == nullptr)
        return result;
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        report(key, "must be an array of addresses");
        return result;
    }
    for (const toml::node &element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value) {
            reportAt(element, key, "must be an array of addresses");
            continue;
        }
        auto parsed = parseNetAddress(*value);
        if (isOk(parsed))
            result.push_back(valueOf(std::move(parsed)));
        else
            reportAt(element, key, errorOf(parsed).text);
    }
    return result;
}

TomlReader TomlReader::table(std::string_view key)
{
    static const toml::table empty;
    const toml::node *node = find(key);
    const toml::table *table = node != nullptr ? node->as_table() : nullptr;
    if (table == nullptr)
        report(key, node == nullptr ? "is missing" : "must be a table");
    return TomlReader(table != nullptr ? *table : empty, pathOf(key), m_file, m_findings);
}

LogLevel readLogLevel(TomlReader &reader)
{
    const std::string name = reader.text("level", false);
    if (name.empty() || name == "info")
        return LogLevel::Info;
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    reader.report("level", "must be debug, info, warning or error");
    return LogLevel::Info;
}

void TomlReader::reportUnknown()
{
    for (const auto &[key, node] : m_table) {
        if (!m_requestedKeys.contains(key.str()))
            reportAt(node, key.str(), "is not a known key");
    }
}

} // namespace camphorreach::impl
