// Subcommand "diff".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include <camphorreach/treedelta.h>

#include <iostream>

namespace camphorreach::cli {
namespace {

void printText(const SettingsTree &from, const TreeDelta &delta)
{
    for (const std::string &path : changedPaths(delta)) {
        const auto old = from.settings.find(path);
        if (old != from.settings.end())
            std::cout << "- " << path << " = " << toToml(old->second.value) << "\n";
        const auto changed = delta.set.find(path);
        if (changed != delta.set.end())
            std::cout << "+ " << path << " = " << toToml(changed->second) << "\n";
    }
}

void printJson(const TreeDelta &delta)
{
    boost::json::object set;
    for (const auto &[path, value] : delta.set)
        set[path] = toJson(value);
    boost::json::array removed;
    for (const std::string &path : delta.removed)
        removed.emplace_back(path);
    std::cout << boost::json::object { { "set", std::move(set) },
                                       { "removed", std::move(removed) } }
              << "\n";
}

} // namespace

int runDiff(int argc, char **argv)
{
    CommandLine line("diff", "Compares two trees, or the accepted tree with a file.", "[FROM] TO");
    line.options().add_options()("platform", "address of the platform, instead of FROM",
                                 cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv, 1, 2))
        return *code;
    const bool hasFrom = line.arguments().size() == 2;
    const auto from = loadTree(hasFrom ? line.arguments()[0] : "", line.text("platform"));
    if (!isOk(from))
        return report(errorOf(from), line.isJson());
    const auto to = readTreeFile(line.arguments().back());
    if (!isOk(to))
        return report(errorOf(to), line.isJson());
    const TreeDelta delta = diff(valueOf(from), valueOf(to));
    if (line.isJson())
        printJson(delta);
    else
        printText(valueOf(from), delta);
    return app::Success;
}

} // namespace camphorreach::cli
