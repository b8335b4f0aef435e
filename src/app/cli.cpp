// camphorreach: the command-line tool for operators.
#include "clicommands.h"
#include "subcommands.h"

#include <array>

namespace {

using camphorreach::app::Command;
namespace cli = camphorreach::cli;

constexpr std::array commands {
    Command { "validate", "check a settings tree", cli::runValidate },
    Command { "check", "check a configuration before it is sent", cli::runCheck },
    Command { "apply", "make a settings tree the next version", cli::runApply },
    Command { "diff", "compare two settings trees", cli::runDiff },
    Command { "show", "print the settings that apply at a path", cli::runShow },
    Command { "status", "check whether a version is in force everywhere", cli::runStatus },
    Command { "dump", "print the accepted tree or a node's state", cli::runDump },
    Command { "move", "start or cancel a move of traffic, or print its status", cli::runMove },
    Command { "version", "print the version of this program", cli::runVersion },
};

} // namespace

int main(int argc, char **argv)
{
    return camphorreach::app::runProgram("camphorreach", commands, argc, argv);
}
