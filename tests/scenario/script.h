// The scenario language: one step per line, executed on a World.
//
//   seed N
//   node DOMAIN SERVICE VERSION SLOTS [xCOUNT]
//   accept PATH=VALUE ...
//   accept-bad PATH=VALUE ...
//   run TIME
//   send COUNT SERVICE PATH via NODE|any over TIME [run-once] [deadline TIME]
//   resend-lost via NODE
//   kill|start|drain|freeze|thaw NODE
//   cut DOMAIN DOMAIN|platform
//   cut-one-way DOMAIN DOMAIN|platform
//   heal
//   loss PROBABILITY
//   platform up|down|slow TIME|lose-answers|keep-answers
//   backend NODE crash|fail RATIO|latency TIME|crash-on TEXT
//   reset
//   expect version good on all|NODE|DOMAIN within TIME
//   expect answered|failed|not-run|unknown|lost|runs-VERSION ==|<=|>= NUMBER[%]
//
// "#" starts a comment. A failure is reported with the line of its step.
#pragma once

#include "world.h"

#include <string>
#include <vector>

namespace camphorreach::scenario {

/// Failures of a script: failed steps and expectations with their line, and the oracle's
/// violations.
struct ScriptResult
{
    std::vector<std::string> failures;
};

/// Runs a script. \a name is its file name in failure messages.
[[nodiscard]] ScriptResult runScript(const std::string &text, const std::string &name);

} // namespace camphorreach::scenario
