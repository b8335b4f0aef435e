// Logging. The name of the component prefixes every line.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorreach {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Sets up logging to standard output; instances have no disk for log files. Call once, before the
/// first log line.
void setUpLogging(LogLevel level);

/// Logger of one component.
class Log
{
public:
    /// \a component is the prefix of every line, such as "router".
    explicit Log(std::string_view component) : m_prefix(std::string(component) + ": ") { }

    void debug(std::string_view text) const;
    void info(std::string_view text) const;
    void warning(std::string_view text) const;
    void error(std::string_view text) const;

private:
    std::string m_prefix;
};

} // namespace camphorreach
