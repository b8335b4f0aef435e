// Subcommand "validate".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include <iostream>

namespace camphorreach::cli {

int runValidate(int argc, char **argv)
{
    CommandLine line("validate", "Checks a settings tree and prints all findings.", "FILE");
    if (const auto code = line.parse(argc, argv, 1, 1))
        return *code;
    const auto tree = readTreeFile(line.arguments()[0]);
    if (!isOk(tree))
        return report(errorOf(tree), line.isJson());
    const auto snapshot = resolve(valueOf(tree), ConfigVersion());
    if (!isOk(snapshot))
        return report(errorOf(snapshot), line.isJson());
    if (line.isJson())
        std::cout << boost::json::object { { "valid", true } } << "\n";
    else
        std::cout << line.arguments()[0] << ": the settings tree is valid\n";
    return app::Success;
}

} // namespace camphorreach::cli
