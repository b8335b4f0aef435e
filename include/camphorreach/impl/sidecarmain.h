// The main function of a mesh node: arguments, settings, events of the process.
#pragma once

#include <camphorreach/impl/meshnode.h>
#include <camphorreach/impl/processevents.h>

#include <optional>
#include <string>
#include <variant>

namespace camphorreach::impl {

/// What the arguments ask for: a path of settings to run with, or an exit code.
using SidecarStart = std::variant<std::string, int>;

/// Reads the arguments; prints help and errors. \a variable names the environment variable that
/// holds the path of the settings when no argument does.
[[nodiscard]] SidecarStart readArguments(int argc, char **argv, const char *variable);
/// Reads the settings. Prints all findings when they are not valid.
[[nodiscard]] std::optional<SidecarSettings> readSettings(const std::string &path);
/// As readSettings(), but no exception ends the node that still serves with the old ones.
[[nodiscard]] std::optional<SidecarSettings> readChangedSettings(const std::string &path);
/// Prints an error that ended the process, and returns its exit code.
[[nodiscard]] int reportFailure(const std::string &text);

template <PlatformDialect Dialect>
int sidecarMain(int argc, char **argv, const char *variable)
{
    try {
        ProcessEvents events;
        const SidecarStart start = readArguments(argc, argv, variable);
        if (const int *code = std::get_if<int>(&start))
            return *code;
        const auto &path = std::get<std::string>(start);
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
