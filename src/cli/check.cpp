// Subcommand "check".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include "../../platform/config.h"

#include <camphorreach/configcheck.h>
#include <camphorreach/operatorcalls.h>

#include <iostream>
#include <utility>
#include <variant>

namespace camphorreach::cli {
namespace {

using platform::DecodedConfig;
using Configuration = std::variant<DecodedConfig, SettingsTree>;

// What is printed: findings, and the changes if there is a version to compare with.
struct CheckResult
{
    ConfigReport report;
    std::optional<std::vector<ConfigChange>> changes {};
};

Result<Configuration> readConfiguration(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!isOk(text))
        return errorOf(text);
    const std::size_t first = valueOf(text).find_first_not_of(" \t\r\n");
    if (first != std::string::npos && valueOf(text)[first] == '{') {
        auto decoded = platform::decodeConfigText(valueOf(text), path);
        if (!isOk(decoded))
            return errorOf(decoded);
        return Configuration(valueOf(std::move(decoded)));
    }
    auto tree = parseTree(valueOf(text), path);
    if (!isOk(tree))
        return errorOf(tree);
    return Configuration(valueOf(std::move(tree)));
}

CheckResult check(const Configuration &candidate)
{
    return { std::visit(Overloaded {
                            [](const DecodedConfig &decoded) {
                                ConfigReport report = checkConfig(decoded.config);
                                report.errors.insert(report.errors.end(), decoded.findings.begin(),
                                                     decoded.findings.end());
                                return report;
                            },
                            [](const SettingsTree &tree) { return checkConfig(tree); },
                        },
                        candidate) };
}

// What a node shows has no keys of organisations, so both sides are compared without them.
void removeKeys(Configuration &configuration)
{
    if (auto *decoded = std::get_if<DecodedConfig>(&configuration)) {
        for (Organisation &organisation : decoded->config.organisations)
            organisation.keys.clear();
    }
}

Result<Configuration> readFromNode(const std::string &node)
{
    const auto address = parseNetAddress(node);
    if (!isOk(address))
        return errorOf(address);
    const auto text = fetch(valueOf(address), "/configuration");
    if (!isOk(text))
        return errorOf(text);
    auto decoded = platform::decodeConfigText(valueOf(text), node);
    if (!isOk(decoded))
        return errorOf(decoded);
    return Configuration(valueOf(std::move(decoded)));
}

Result<Configuration> readInForce(const CommandLine &line)
{
    if (line.has("against"))
        return readConfiguration(line.text("against"));
    if (line.has("node"))
        return readFromNode(line.text("node"));
    auto tree = loadTree("", line.text("platform"));
    if (!isOk(tree))
        return errorOf(tree);
    return Configuration(valueOf(std::move(tree)));
}

// Returns false if the two are of different kinds.
bool compare(const Configuration &inForce, const Configuration &candidate, CheckResult &result)
{
    if (inForce.index() != candidate.index())
        return false;
    if (const auto *decoded = std::get_if<DecodedConfig>(&candidate)) {
        const MeshConfig &before = std::get<DecodedConfig>(inForce).config;
        result.changes = changesBetween(before, decoded->config);
        const Findings findings = checkSuccession(before, decoded->config);
        result.report.errors.insert(result.report.errors.end(), findings.begin(), findings.end());
    } else {
        result.changes
            = changesBetween(std::get<SettingsTree>(inForce), std::get<SettingsTree>(candidate));
    }
    return true;
}

const char *nameOf(ConfigChange::Kind kind)
{
    switch (kind) {
    case ConfigChange::Kind::Added:
        return "added";
    case ConfigChange::Kind::Removed:
        return "removed";
    case ConfigChange::Kind::Changed:
        break;
    }
    return "changed";
}

void printFindings(const char *severity, const Findings &findings)
{
    for (const Finding &finding : findings)
        std::cout << severity << ": " << toText(Findings { finding });
}

void printChanges(const std::vector<ConfigChange> &changes)
{
    for (const ConfigChange &change : changes) {
        if (change.kind != ConfigChange::Kind::Added)
            std::cout << "- " << change.key << " = " << change.before << "\n";
        if (change.kind != ConfigChange::Kind::Removed)
            std::cout << "+ " << change.key << " = " << change.after << "\n";
    }
}

void printJson(const CheckResult &result)
{
    boost::json::object output { { "errors", toJson(result.report.errors) },
                                 { "warnings", toJson(result.report.warnings) } };
    if (result.changes) {
        boost::json::array changes;
        for (const ConfigChange &change : *result.changes)
            changes.push_back(boost::json::object { { "change", nameOf(change.kind) },
                                                    { "key", change.key },
                                                    { "before", change.before },
                                                    { "after", change.after } });
        output["changes"] = std::move(changes);
    }
    std::cout << output << "\n";
}

int print(const CheckResult &result, bool isJson)
{
    if (isJson) {
        printJson(result);
    } else {
        printFindings("error", result.report.errors);
        printFindings("warning", result.report.warnings);
        if (result.changes)
            printChanges(*result.changes);
        std::cout << result.report.errors.size() << " errors, " << result.report.warnings.size()
                  << " warnings";
        if (result.changes)
            std::cout << ", " << result.changes->size() << " changes";
        std::cout << "\n";
    }
    return result.report.errors.empty() ? app::Success : app::Failure;
}

// The findings of a file that cannot be parsed are errors of the configuration. A file that cannot
// be read is bad usage.
int reportUnreadable(const Error &error, bool isJson)
{
    if (error.findings.empty())
        return report(error, isJson);
    return print({ { error.findings, {} } }, isJson);
}

} // namespace

int runCheck(int argc, char **argv)
{
    CommandLine line("check", "Checks a configuration before it is sent.", "FILE");
    line.options().add_options()("against", "file with the version in force",
                                 cxxopts::value<std::string>())(
        "node", "ready address of a sidecar, for the mesh configuration in force",
        cxxopts::value<std::string>())("platform", "address of the platform, for the accepted tree",
                                       cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv, 1, 1))
        return *code;
    const auto sources = static_cast<int>(line.has("against")) + static_cast<int>(line.has("node"))
        + static_cast<int>(line.has("platform"));
    if (sources > 1)
        return report(
            { ErrorCode::InvalidInput, "only one of --against, --node and --platform can be used" },
            line.isJson());
    auto candidate = readConfiguration(line.arguments()[0]);
    if (!isOk(candidate))
        return reportUnreadable(errorOf(candidate), line.isJson());
    CheckResult result = check(valueOf(candidate));
    if (sources > 0) {
        const auto inForce = readInForce(line);
        if (!isOk(inForce))
            return report(errorOf(inForce), line.isJson());
        Configuration compared = valueOf(std::move(candidate));
        if (line.has("node"))
            removeKeys(compared);
        if (!compare(valueOf(inForce), compared, result))
            return report({ ErrorCode::InvalidInput,
                            "a mesh configuration cannot be compared with a settings tree" },
                          line.isJson());
    }
    return print(result, line.isJson());
}

} // namespace camphorreach::cli
