// The main function of a mesh node: command line, settings and process events.
#pragma once

#include <camphorreach/impl/meshnode.h>
#include <camphorreach/impl/processevents.h>

#include <optional>
#include <string>
#include <variant>

namespace camphorreach::impl {

/// The result of parsing the command line: the path of the settings file, or an exit code when the
/// process is to end.
using ParsedArguments = std::variant<std::string, int>;

/// Parses the command line; prints help and errors. \a variable is the name of the environment
/// variable with the path of the settings file, which is used when no argument gives it.
[[nodiscard]] ParsedArguments readArguments(int argc, char **argv, const char *variable);
/// Reads the settings. Prints all findings when the settings are not valid.
[[nodiscard]] std::optional<SidecarSettings> readSettings(const std::string &path);
/// Like readSettings(), but catches exceptions, so that a running node keeps serving with its
/// previous settings.
[[nodiscard]] std::optional<SidecarSettings> readChangedSettings(const std::string &path);
/// Prints the error that ends the process, and returns the exit code.
[[nodiscard]] int reportFailure(const std::string &text);

template <PlatformDialect Dialect>
int sidecarMain(int argc, char **argv, const char *variable)
{
    try {
        ProcessEvents events;
        const ParsedArguments parsed = readArguments(argc, argv, variable);
        if (const int *code = std::get_if<int>(&parsed))
            return *code;
        const auto &path = std::get<std::string>(parsed);
        events.watch(path);
        const auto settings = readSettings(path);
        if (!settings)
            return 2;
        setUpLogging(settings->logLevel);
        MeshNode<Dialect> node(*settings);
        node.start();
        events.start();
        while (events.next() == ProcessEvent::SettingsChanged) {
            if (const auto changed = readChangedSettings(path))
                node.reload(*changed);
        }
        node.drainAndStop();
        return 0;
    } catch (const std::exception &exception) {
        return reportFailure(exception.what());
    }
}

} // namespace camphorreach::impl
