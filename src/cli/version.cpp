// Subcommand "version".
#include "clicommands.h"

#include <iostream>

namespace camphorreach::cli {

int runVersion(int, char **)
{
    std::cout << "camphorreach " << CAMPHORREACH_VERSION << "\n";
    return 0;
}

} // namespace camphorreach::cli
