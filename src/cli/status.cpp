// Subcommand "status".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include <camphorreach/operatorcalls.h>

#include <iostream>

namespace camphorreach::cli {
namespace {

namespace json = boost::json;

struct Status
{
    std::uint64_t version = 0;
    std::uint64_t nodesAtVersion = 0;
    std::uint64_t nodesBehind = 0;
    json::array refusals; // objects with "instance", "version" and "findings"
    json::array unknownDomains; // names of failure domains without a recent status

    [[nodiscard]] bool isInForceEverywhere() const
    {
        return version != 0 && nodesBehind == 0 && refusals.empty() && unknownDomains.empty();
    }
};

Result<Status> parseStatus(const std::string &text)
{
    try {
        const json::value document = json::parse(text);
        Status status;
        status.version = document.at("version").to_number<std::uint64_t>();
        status.nodesAtVersion = document.at("nodes_at_version").to_number<std::uint64_t>();
        status.nodesBehind = document.at("nodes_behind").to_number<std::uint64_t>();
        status.refusals = document.at("refusals").as_array();
        status.unknownDomains = document.at("unknown_domains").as_array();
        return status;
    } catch (const std::exception &exception) {
        return Error { ErrorCode::Malformed,
                       std::string("the node's status can't be read: ") + exception.what() };
    }
}

std::string toPlainText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

void printText(const Status &status)
{
    std::cout << "version " << status.version << ": in force on " << status.nodesAtVersion
              << " nodes, " << status.nodesBehind << " behind, " << status.refusals.size()
              << " refusing\n";
    for (const json::value &refusal : status.refusals) {
        const json::object *entry = refusal.if_object();
        const json::value *instance = entry != nullptr ? entry->if_contains("instance") : nullptr;
        const json::value *findings = entry != nullptr ? entry->if_contains("findings") : nullptr;
        std::cout << "refusing: " << (instance != nullptr ? toPlainText(*instance) : "unnamed")
                  << ": " << toPlainText(findings != nullptr ? *findings : refusal) << "\n";
    }
    for (const json::value &domain : status.unknownDomains)
        std::cout << "unknown: failure domain " << toPlainText(domain) << " can't be reached\n";
}

} // namespace

int runStatus(int argc, char **argv)
{
    CommandLine line("status", "Checks whether a version is in force everywhere.", "");
    line.options().add_options()("node", "address of a node's admin port",
                                 cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv, 0, 0))
        return *code;
    const auto node = parseNetAddress(line.text("node"));
    if (!isOk(node))
        return report({ ErrorCode::InvalidInput, "--node: " + errorOf(node).text }, line.isJson());
    const auto text = fetch(valueOf(node), "/status");
    if (!isOk(text))
        return report(errorOf(text), line.isJson());
    const auto status = parseStatus(valueOf(text));
    if (!isOk(status))
        return report(errorOf(status), line.isJson());
    if (line.isJson())
        std::cout << valueOf(text);
    else
        printText(valueOf(status));
    if (!valueOf(status).unknownDomains.empty())
        return app::Unknown;
    return valueOf(status).isInForceEverywhere() ? app::Success : app::Failure;
}

} // namespace camphorreach::cli
