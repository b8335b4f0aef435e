// Stand-in of an upstream: heartbeats, slots, seals, and answers that follow
// from the path.
#pragma once

#include <string>
#include <vector>

namespace review {

/// Runs an upstream until the process is killed. Arguments: port, control port,
/// id, service, zone, slots, record file, delay of the first heartbeat in ms,
/// Unix time of the start in ms, interval of heartbeats in ms. After SIGUSR1 it
/// sends no more heartbeats. Path segments say what a request costs: "w120" is
/// 120 ms of work, and "poison" ends this process at once when it begins to run
/// it.
int runUpstream(const std::vector<std::string> &arguments);

/// The body of the answer to a request.
[[nodiscard]] std::string bodyOf(const std::string &id);

} // namespace review
