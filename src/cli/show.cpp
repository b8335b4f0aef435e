// Subcommand "show".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include <camphorreach/settingschema.h>

#include <iostream>

namespace camphorreach::cli {
namespace {

// Prints the settings that the tree sets at or below a path, without inheritance or defaults.
int showRaw(const SettingsTree &tree, const std::string &path, bool isJson)
{
    boost::json::object settings;
    for (const auto &[key, setting] : tree.settings) {
        if (!path.empty() && key != path && !key.starts_with(path + "."))
            continue;
        if (isJson)
            settings[key] = toJson(setting.value);
        else
            std::cout << key << " = " << toToml(setting.value) << "\n";
    }
    if (isJson)
        std::cout << settings << "\n";
    return app::Success;
}

void printEffective(const std::vector<EffectiveSetting> &settings)
{
    for (const EffectiveSetting &setting : settings) {
        std::cout << setting.key << " = " << (setting.value ? toToml(*setting.value) : "none")
                  << "  # " << setting.origin;
        if (setting.location.line != 0)
            std::cout << ", line " << setting.location.line;
        std::cout << "\n";
    }
}

void printEffectiveJson(const std::vector<EffectiveSetting> &settings)
{
    boost::json::array list;
    for (const EffectiveSetting &setting : settings) {
        list.push_back(boost::json::object {
            { "key", setting.key },
            { "value", setting.value ? toJson(*setting.value) : boost::json::value() },
            { "origin", setting.origin },
            { "line", setting.location.line } });
    }
    std::cout << list << "\n";
}

} // namespace

int runShow(int argc, char **argv)
{
    CommandLine line("show", "Prints the settings that apply at a path and where each is set.",
                     "[PATH]");
    line.options().add_options()("tree", "file with the tree", cxxopts::value<std::string>())(
        "platform", "address of the platform, for the accepted tree",
        cxxopts::value<std::string>())("raw", "only what the tree itself sets")(
        "keys", "print the table of all keys");
    if (const auto code = line.parse(argc, argv, 0, 1))
        return *code;
    if (line.has("keys")) {
        std::cout << schemaTable();
        return app::Success;
    }
    const std::string path = line.arguments().empty() ? "" : line.arguments()[0];
    const auto tree = loadTree(line.text("tree"), line.text("platform"));
    if (!isOk(tree))
        return report(errorOf(tree), line.isJson());
    if (line.has("raw"))
        return showRaw(valueOf(tree), path, line.isJson());
    const auto snapshot = resolve(valueOf(tree), ConfigVersion());
    if (!isOk(snapshot))
        return report(errorOf(snapshot), line.isJson());
    const auto settings = effectiveSettings(valueOf(tree), path);
    if (!isOk(settings))
        return report(errorOf(settings), line.isJson());
    if (line.isJson())
        printEffectiveJson(valueOf(settings));
    else
        printEffective(valueOf(settings));
    return app::Success;
}

} // namespace camphorreach::cli
