// Dispatch of subcommands.
#include "subcommands.h"

#include <algorithm>
#include <exception>
#include <iostream>

namespace camphorreach::app {
namespace {

void printHelp(std::ostream &stream, std::string_view program, std::span<const Command> commands)
{
    std::size_t width = 0;
    for (const Command &command : commands)
        width = std::max(width, command.name.size());
    stream << program << " SUBCOMMAND [OPTIONS]\n\n";
    for (const Command &command : commands) {
        const std::string padding(width - command.name.size() + 2, ' ');
        stream << "  " << command.name << padding << command.summary << "\n";
    }
    stream << "\nEach subcommand has --help.\n";
}

} // namespace

int runProgram(std::string_view program, std::span<const Command> commands, int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        printHelp(std::cout, program, commands);
        return Success;
    }
    const auto found = std::ranges::find(commands, name, &Command::name);
    if (found == commands.end()) {
        std::cerr << program << ": unknown subcommand \"" << name << "\"\n";
        printHelp(std::cerr, program, commands);
        return BadInput;
    }
    try {
        return found->run(argc - 1, argv + 1);
    } catch (const std::exception &exception) {
        std::cerr << program << " " << name << ": " << exception.what() << "\n";
        return Failure;
    }
}

} // namespace camphorreach::app
