// The cases that run real sidecars. Each returns 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
#pragma once

#include "mesh.h"

namespace review {

/// All sidecars are killed and started again after machines have been replaced.
/// Without \a isReplaced, none has been replaced.
[[nodiscard]] int runRecover(Mesh &mesh, bool hasTrouble, bool isReplaced);
/// HEAD on a kept connection, for a route that the configuration has just removed.
[[nodiscard]] int runHead(Mesh &mesh, bool hasTrouble);
/// A machine's upstream is replaced by one of another service, whose first
/// heartbeat is late.
[[nodiscard]] int runCaller(Mesh &mesh, bool hasTrouble);
/// A departure that is acknowledged, a kill of the node, and a late heartbeat.
[[nodiscard]] int runDrain(Mesh &mesh, bool hasTrouble);
/// A request that crashes upstreams comes again while the sidecars are
/// restarted in turn.
[[nodiscard]] int runPoison(Mesh &mesh, bool hasTrouble);

} // namespace review
