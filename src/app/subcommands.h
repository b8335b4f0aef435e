// Dispatch and exit codes of programs that consist of subcommands.
#pragma once

#include <span>
#include <string_view>

namespace camphorreach::app {

/// A subcommand of a program, implemented in a source file of its own.
struct Command
{
    std::string_view name;
    std::string_view summary;
    /// Parses the options, where argv[0] is the name of the subcommand. Returns the exit code.
    int (*run)(int argc, char **argv);
};

/// Exit codes of all programs.
enum ExitCode {
    Success = 0,
    Failure = 1, ///< The operation failed; the error message gives the details.
    BadInput = 2, ///< The command line, a settings file or a tree is not valid.
    Conflict = 3, ///< A conflicting change was accepted first or is in progress.
    Unavailable = 4, ///< A service could not be reached; nothing was changed.
    Unknown = 5, ///< A change may have taken effect, or the status of a failure domain is unknown.
};

/// Runs the subcommand named by the first argument; otherwise prints help or an error.
int runProgram(std::string_view program, std::span<const Command> commands, int argc, char **argv);

} // namespace camphorreach::app
