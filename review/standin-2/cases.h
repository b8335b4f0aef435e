// The cases that the program plays.
#pragma once

#include <string>

namespace review {

struct CaseOptions
{
    std::string self;
    std::string sidecar;
    std::string folder;
    std::string record;
    bool hasTrouble = true;
};

enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// A request that crashes each upstream comes again from several machines (rule BUDGET).
[[nodiscard]] Verdict playCrashingRequest(const CaseOptions &options);
/// The same with a caller that stays, while all sidecars are killed twice (rule BUDGET).
[[nodiscard]] Verdict playCrashesAroundKills(const CaseOptions &options);
/// A server leaves, its node is killed, and the store answers the POST of an object that exists
/// with 409 alone (rule DRAIN).
[[nodiscard]] Verdict playLeavingServer(const CaseOptions &options);
/// A server leaves, its node is killed, and the store is silent while the node starts (rule DRAIN).
[[nodiscard]] Verdict playSilentStoreAtRestart(const CaseOptions &options);

/// A body with a transfer coding that is not "chunked" holds the text of a request (rule UNASKED).
[[nodiscard]] Verdict playHiddenRequest(const CaseOptions &options);

} // namespace review
