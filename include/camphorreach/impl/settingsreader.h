// Reading of settings files: the tables that every node process has, and the parsing of text to
// validated settings.
#pragma once

#include <camphorreach/impl/tomldocument.h>
#include <camphorreach/impl/tomlreader.h>
#include <camphorreach/processsettings.h>
#include <camphorreach/result.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace camphorreach::impl {

/// Reads the instance's name, failure domain and region. Other keys of \a instance are left to the
/// caller.
void readIdentity(ProcessSettings &settings, TomlReader &instance);
/// Reads the tables "platform", "peers" and "log", and "random-seed".
void readShared(ProcessSettings &settings, TomlReader &root);

/// Parses a document and passes its root table to \a read, which adds findings. Fails with all
/// findings, including those for unknown keys.
template <typename Settings, typename Read>
Result<Settings> parseSettings(std::string_view text, const std::string &file, Read read)
{
    Findings findings;
    Settings settings;
    if (const auto document = parseDocument(text, file, findings)) {
        TomlReader root(*document, "", file, findings);
        read(settings, root);
        root.reportUnknown();
    }
    if (!findings.empty())
        return Error { ErrorCode::InvalidInput, "the settings are not valid", findings };
    return settings;
}

/// Reads a settings file. If it is not valid, prints all findings to the standard error stream.
template <typename Settings>
std::optional<Settings> readSettingsFile(const std::string &path,
                                         Result<Settings> (*parse)(std::string_view,
                                                                   const std::string &))
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto settings = parse(text.str(), path);
    if (isOk(settings))
        return valueOf(std::move(settings));
    std::cerr << toText(errorOf(settings).findings);
    return std::nullopt;
}

} // namespace camphorreach::impl
