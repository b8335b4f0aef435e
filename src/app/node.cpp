// camphorreach-node: the process that runs beside a backend server.
#include <camphorreach/impl/processevents.h>
#include <camphorreach/impl/settingsreader.h>
#include <camphorreach/node.h>

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

namespace {

enum ExitCode { Success = 0, Failure = 1, BadInput = 2 };

constexpr auto drainTimeout = std::chrono::seconds(20);

int run(int argc, char **argv)
{
    camphorreach::impl::ProcessEvents events;
    cxxopts::Options options("camphorreach-node", "Runs a node beside a backend server.");
    options.add_options()("settings", "TOML file with the settings", cxxopts::value<std::string>())(
        "check", "only check the settings")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return Success;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "--settings is missing; see --help\n";
        return BadInput;
    }
    const auto path = arguments["settings"].as<std::string>();
    const auto settings
        = camphorreach::impl::readSettingsFile(path, &camphorreach::parseNodeSettings);
    if (!settings)
        return BadInput;
    if (arguments.count("check") > 0) {
        std::cout << path << ": the settings are valid\n";
        return Success;
    }
    camphorreach::setUpLogging(settings->logLevel);
    camphorreach::Node node(*settings);
    node.start();
    events.start();
    // Other events are ignored: this program does not reload its settings.
    while (events.next() != camphorreach::impl::ProcessEvent::StopRequested) { }
    node.drainAndStop(drainTimeout);
    return Success;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << "; see --help\n";
        return BadInput;
    } catch (const std::exception &exception) {
        std::cerr << "camphorreach-node: " << exception.what() << "\n";
        return Failure;
    }
}
