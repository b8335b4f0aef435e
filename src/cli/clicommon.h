// Helpers shared by the subcommands: options, input files, settings trees and error output.
#pragma once

#include <camphorreach/netaddress.h>
#include <camphorreach/result.h>
#include <camphorreach/settingstree.h>

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <optional>
#include <string>
#include <vector>

namespace camphorreach::cli {

/// Parser of a subcommand's command line. Adds --help and --json, and collects positional arguments
/// in the option "arguments".
class CommandLine
{
public:
    CommandLine(const std::string &name, const std::string &summary, const std::string &positional);

    [[nodiscard]] cxxopts::Options &options() noexcept { return m_options; }
    /// Returns an exit code if the subcommand must not run: help was printed, or the command line
    /// is not valid.
    [[nodiscard]] std::optional<int> parse(int argc, char **argv, std::size_t minArguments,
                                           std::size_t maxArguments);

    [[nodiscard]] const std::vector<std::string> &arguments() const noexcept { return m_arguments; }
    [[nodiscard]] bool has(const std::string &name) const { return m_parsed.count(name) > 0; }
    [[nodiscard]] std::string text(const std::string &name) const;
    [[nodiscard]] bool isJson() const { return has("json"); }

private:
    cxxopts::Options m_options;
    cxxopts::ParseResult m_parsed;
    std::vector<std::string> m_arguments;
};

/// Exit code for an error.
[[nodiscard]] int exitCodeOf(ErrorCode code) noexcept;
/// Prints an error, as JSON to standard output or as text to standard error, and returns its exit
/// code.
[[nodiscard]] int report(const Error &error, bool isJson);

[[nodiscard]] boost::json::array toJson(const Findings &findings);
[[nodiscard]] boost::json::value toJson(const SettingValue &value);

/// Fails with InvalidInput when a file can't be read.
[[nodiscard]] Result<std::string> readTextFile(const std::string &path);
[[nodiscard]] Result<SettingsTree> readTreeFile(const std::string &path);
/// Reads the tree from \a file, or the accepted tree from the platform at address \a platform.
/// Fails with InvalidInput unless exactly one of the two is non-empty.
[[nodiscard]] Result<SettingsTree> loadTree(const std::string &file, const std::string &platform);

} // namespace camphorreach::cli
