// The subcommands of the command-line tool, one function per source file.
#pragma once

namespace camphorreach::cli {

int runValidate(int argc, char **argv);
int runCheck(int argc, char **argv);
int runApply(int argc, char **argv);
int runDiff(int argc, char **argv);
int runShow(int argc, char **argv);
int runStatus(int argc, char **argv);
int runDump(int argc, char **argv);
int runMove(int argc, char **argv);
int runVersion(int argc, char **argv);

} // namespace camphorreach::cli
