// JSON encoding of the moves that a node knows, for operators.
#pragma once

#include <camphorreach/moves.h>

#include <string>
#include <vector>

namespace camphorreach::impl {

[[nodiscard]] std::string movesJson(const std::vector<Moves::Status> &statuses);

} // namespace camphorreach::impl
