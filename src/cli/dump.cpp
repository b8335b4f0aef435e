// Subcommand "dump".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include <camphorreach/operatorcalls.h>

#include <iostream>

namespace camphorreach::cli {
namespace {

int dumpHead(const ConfigHead &head, bool isJson)
{
    if (!isJson) {
        std::cout << head.tree;
        return app::Success;
    }
    boost::json::array operations;
    for (const OperationId &operation : head.operations)
        operations.emplace_back(operation.value());
    std::cout << boost::json::object { { "version", head.version.value() },
                                       { "operations", std::move(operations) },
                                       { "tree", head.tree } }
              << "\n";
    return app::Success;
}

} // namespace

int runDump(int argc, char **argv)
{
    CommandLine line("dump", "Prints the accepted tree, or the state of one node as JSON.", "");
    line.options().add_options()("platform", "address of the platform",
                                 cxxopts::value<std::string>())(
        "node", "address of a node's admin port", cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv, 0, 0))
        return *code;
    if (line.has("platform") == line.has("node"))
        return report({ ErrorCode::InvalidInput, "either --platform or --node is needed" },
                      line.isJson());
    const auto address = parseNetAddress(line.text(line.has("node") ? "node" : "platform"));
    if (!isOk(address))
        return report(errorOf(address), line.isJson());
    if (line.has("platform")) {
        const auto head = readHead(valueOf(address));
        return isOk(head) ? dumpHead(valueOf(head), line.isJson())
                          : report(errorOf(head), line.isJson());
    }
    const auto state = fetch(valueOf(address), "/dump");
    if (!isOk(state))
        return report(errorOf(state), line.isJson());
    std::cout << valueOf(state);
    return app::Success;
}

} // namespace camphorreach::cli
