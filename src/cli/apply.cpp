// Subcommand "apply".
#include "clicommands.h"
#include "clicommon.h"
#include "subcommands.h"

#include <camphorreach/operatorcalls.h>
#include <camphorreach/settingschema.h>

#include <iostream>
#include <random>
#include <sstream>

namespace camphorreach::cli {
namespace {

std::string randomOperationId()
{
    std::random_device device;
    std::stringstream text;
    text << "op-" << std::hex << device() << device();
    return text.str();
}

Result<Edit> readEdit(const CommandLine &line)
{
    const std::string &file = line.arguments()[0];
    auto text = readTextFile(file);
    if (!isOk(text))
        return errorOf(text);
    Edit edit { OperationId(line.has("operation") ? line.text("operation") : randomOperationId()),
                valueOf(std::move(text)), file, std::nullopt, line.has("merge") };
    if (line.has("base")) {
        auto base = readTreeFile(line.text("base"));
        if (!isOk(base))
            return errorOf(base);
        edit.base = valueOf(std::move(base));
    }
    return edit;
}

const char *toText(EditAccepted::Kind kind)
{
    switch (kind) {
    case EditAccepted::Kind::Written:
        return "written";
    case EditAccepted::Kind::AlreadyWritten:
        return "written-before";
    case EditAccepted::Kind::Unchanged:
        return "unchanged";
    }
    return "invalid";
}

void print(const EditAccepted &accepted, const OperationId &operation, bool isJson)
{
    const std::uint64_t version = accepted.version.value();
    if (isJson) {
        boost::json::array changes;
        for (const std::string &path : accepted.changes)
            changes.emplace_back(path);
        std::cout << boost::json::object { { "result", toText(accepted.kind) },
                                           { "version", version },
                                           { "operation", operation.value() },
                                           { "merged", accepted.isMerged },
                                           { "changes", std::move(changes) } }
                  << "\n";
        return;
    }
    if (accepted.kind == EditAccepted::Kind::Unchanged)
        std::cout << "no change: version " << version << " already has these settings\n";
    else if (accepted.kind == EditAccepted::Kind::AlreadyWritten)
        std::cout << "the operation was already accepted as version " << version << "\n";
    else
        std::cout << "accepted as version " << version << (accepted.isMerged ? ", merged" : "")
                  << ", " << accepted.changes.size() << " keys changed\n";
}

} // namespace

int runApply(int argc, char **argv)
{
    CommandLine line("apply", "Makes a settings tree the next version of the configuration.",
                     "FILE");
    line.options().add_options()("platform", "address of the platform",
                                 cxxopts::value<std::string>())(
        "base", "file with the tree that was edited, as \"dump\" printed it",
        cxxopts::value<std::string>())("merge", "merge with other edits that do not conflict")(
        "operation", "id of the edit; repeating an edit with its id is harmless",
        cxxopts::value<std::string>())("time-limit",
                                       "time limit for the whole edit, such as \"15s\"",
                                       cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv, 1, 1))
        return *code;
    const auto platform = parseNetAddress(line.text("platform"));
    if (!isOk(platform))
        return report({ ErrorCode::InvalidInput, "--platform: " + errorOf(platform).text },
                      line.isJson());
    Acceptance::Limits limits;
    if (line.has("time-limit")) {
        const auto limit = parseDuration(line.text("time-limit"));
        if (!limit)
            return report({ ErrorCode::InvalidInput, "--time-limit: not a duration" },
                          line.isJson());
        limits.timeout = *limit;
    }
    const auto edit = readEdit(line);
    if (!isOk(edit))
        return report(errorOf(edit), line.isJson());
    const auto accepted
        = runEdit(valueOf(platform), valueOf(edit), limits, std::random_device {}());
    if (!isOk(accepted))
        return report(errorOf(accepted), line.isJson());
    print(valueOf(accepted), valueOf(edit).operation, line.isJson());
    return app::Success;
}

} // namespace camphorreach::cli
