// Command line and settings of a mesh node.
#include <camphorreach/impl/settingsreader.h>
#include <camphorreach/impl/sidecarmain.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>

namespace camphorreach::impl {
namespace {

enum ExitCode { Success = 0, Failure = 1, BadInput = 2 };

} // namespace

ParsedArguments readArguments(int argc, char **argv, const char *variable)
{
    cxxopts::Options options("camphorreach-sidecar",
                             "Runs a node beside a backend server; reads routes and rollout orders "
                             "from the platform's store.");
    options.add_options()(
        "settings",
        std::string("TOML file with the settings (default: the path in ") + variable + ")",
        cxxopts::value<std::string>())("check", "only check the settings")("h,help",
                                                                           "print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return Success;
        }
        const char *fromEnvironment = std::getenv(variable);
        std::string path = fromEnvironment != nullptr ? fromEnvironment : "";
        if (arguments.count("settings") > 0)
            path = arguments["settings"].as<std::string>();
        if (path.empty()) {
            std::cerr << "--settings is missing; see --help\n";
            return BadInput;
        }
        if (arguments.count("check") == 0)
            return path;
        if (!readSettings(path))
            return BadInput;
        std::cout << path << ": the settings are valid\n";
        return Success;
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << "; see --help\n";
        return BadInput;
    }
}

std::optional<SidecarSettings> readSettings(const std::string &path)
{
    return readSettingsFile(path, &parseSidecarSettings);
}

std::optional<SidecarSettings> readChangedSettings(const std::string &path)
{
    try {
        return readSettings(path);
    } catch (const std::exception &exception) {
        std::cerr << path << ": " << exception.what() << "\n";
        return std::nullopt;
    }
}

int reportFailure(const std::string &text)
{
    std::cerr << "camphorreach-sidecar: " << text << "\n";
    return Failure;
}

} // namespace camphorreach::impl
