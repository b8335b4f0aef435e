// The main function of a mesh node: arguments, settings, signals.
#pragma once

#include <camphorreach/impl/meshnode.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
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
/// Returns when the process is asked to stop. \a onChange runs when the settings file has changed,
/// with or without a signal.
void waitForStop(const std::string &path, const std::function<void()> &onChange);
/// Prints an error that ended the process, and returns its exit code.
[[nodiscard]] int reportFailure(const std::string &text);

template <PlatformDialect Dialect>
int sidecarMain(int argc, char **argv, const char *variable)
{
    try {
        const SidecarStart start = readArguments(argc, argv, variable);
        if (const int *code = std::get_if<int>(&start))
            return *code;
        const auto &path = std::get<std::string>(start);
        const auto settings = readSettings(path);
        if (!settings)
            return 2;
        setUpLogging(settings->logLevel);
        MeshNode<Dialect> node(*settings);
        node.start();
        waitForStop(path, [&] {
            if (const auto changed = readSettings(path))
                node.reload(*changed);
        });
        node.drainAndStop();
        return 0;
    } catch (const std::exception &exception) {
        return reportFailure(exception.what());
    }
}

} // namespace camphorreach::impl
