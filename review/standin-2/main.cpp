// Plays a case, or is one of its upstreams.
#include "cases.h"
#include "upstream.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int notRun = static_cast<int>(review::Verdict::NotRun);
constexpr std::size_t upstreamWords = 12;
constexpr std::size_t caseWords = 6;

int runUpstream(const std::vector<std::string> &words)
{
    if (words.size() != upstreamWords)
        return notRun;
    review::UpstreamOptions options;
    options.listen = review::parseAddress(words[2]);
    options.control = review::parseAddress(words[3]);
    options.id = words[4];
    options.service = words[5];
    options.zone = words[6];
    options.events = words[7];
    options.workMs = std::strtol(words[8].c_str(), nullptr, 10);
    options.beatMs = std::strtol(words[9].c_str(), nullptr, 10);
    if (words[10] != "-")
        options.crashPath = words[10];
    options.crashAfterMs = std::strtol(words[11].c_str(), nullptr, 10);
    review::runUpstream(options);
    return 0;
}

int runCase(const std::vector<std::string> &words)
{
    if (words.size() != caseWords) {
        std::cerr << "usage: standin-2 CASE SIDECAR FOLDER RECORD TROUBLE\n";
        return notRun;
    }
    const review::CaseOptions options { words[0], words[2], words[3], words[4], words[5] != "0" };
    if (words[1] == "crashing-request")
        return static_cast<int>(review::playCrashingRequest(options));
    if (words[1] == "crashes-around-kills")
        return static_cast<int>(review::playCrashesAroundKills(options));
    if (words[1] == "leaving-server")
        return static_cast<int>(review::playLeavingServer(options));
    if (words[1] == "silent-store")
        return static_cast<int>(review::playSilentStoreAtRestart(options));
    if (words[1] == "hidden-request")
        return static_cast<int>(review::playHiddenRequest(options));
    std::cerr << "standin-2: no case '" << words[1] << "'\n";
    return notRun;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> words(argv, argv + argc);
    try {
        if (argc > 1 && words[1] == "upstream")
            return runUpstream(words);
        return runCase(words);
    } catch (const std::exception &exception) {
        std::cerr << "standin-2: " << exception.what() << "\n";
        return notRun;
    }
}
