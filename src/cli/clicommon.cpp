// Helpers shared by the subcommands.
#include "clicommon.h"
#include "subcommands.h"

#include <camphorreach/operatorcalls.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace camphorreach::cli {

namespace json = boost::json;

CommandLine::CommandLine(const std::string &name, const std::string &summary,
                         const std::string &positional)
    : m_options("camphorreach " + name, summary)
{
    m_options.add_options()("h,help", "print this help")("json", "print output for programs")(
        "arguments", "", cxxopts::value<std::vector<std::string>>());
    m_options.parse_positional({ "arguments" });
    m_options.positional_help(positional);
}

std::optional<int> CommandLine::parse(int argc, char **argv, std::size_t minArguments,
                                      std::size_t maxArguments)
{
    try {
        m_parsed = m_options.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << "; see --help\n";
        return app::BadInput;
    }
    if (has("help")) {
        std::cout << m_options.help();
        return app::Success;
    }
    if (has("arguments"))
        m_arguments = m_parsed["arguments"].as<std::vector<std::string>>();
    if (m_arguments.size() < minArguments || m_arguments.size() > maxArguments) {
        std::cerr << "wrong number of arguments; see --help\n";
        return app::BadInput;
    }
    return std::nullopt;
}

std::string CommandLine::text(const std::string &name) const
{
    return has(name) ? m_parsed[name].as<std::string>() : std::string();
}

int exitCodeOf(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::InvalidInput:
    case ErrorCode::TooLarge:
        return app::BadInput;
    case ErrorCode::Conflict:
        return app::Conflict;
    case ErrorCode::Unavailable:
    case ErrorCode::Timeout:
        return app::Unavailable;
    case ErrorCode::UnknownOutcome:
        return app::Unknown;
    case ErrorCode::NotFound:
    case ErrorCode::Malformed:
        return app::Failure;
    }
    return app::Failure;
}

int report(const Error &error, bool isJson)
{
    if (isJson) {
        std::cout << json::object { { "error", toText(error.code) },
                                    { "text", error.text },
                                    { "findings", toJson(error.findings) } }
                  << "\n";
    } else {
        std::cerr << toText(error.findings) << error.text << "\n";
    }
    return exitCodeOf(error.code);
}

json::array toJson(const Findings &findings)
{
    json::array list;
    for (const Finding &finding : findings) {
        list.push_back(json::object { { "file", finding.location.file },
                                      { "line", finding.location.line },
                                      { "column", finding.location.column },
                                      { "key", finding.key },
                                      { "text", finding.text } });
    }
    return list;
}

json::value toJson(const SettingValue &value)
{
    return std::visit([](const auto &alternative) { return json::value(alternative); }, value);
}

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return Error { ErrorCode::InvalidInput, path + ": can't be read" };
    return text.str();
}

Result<SettingsTree> readTreeFile(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!isOk(text))
        return errorOf(text);
    return parseTree(valueOf(text), path);
}

Result<SettingsTree> loadTree(const std::string &file, const std::string &platform)
{
    if (file.empty() == platform.empty())
        return Error { ErrorCode::InvalidInput, "either a tree file or --platform is needed" };
    if (!file.empty())
        return readTreeFile(file);
    const auto address = parseNetAddress(platform);
    if (!isOk(address))
        return errorOf(address);
    const auto head = readHead(valueOf(address));
    if (!isOk(head))
        return errorOf(head);
    return parseTree(valueOf(head).tree, "config/head");
}

} // namespace camphorreach::cli
