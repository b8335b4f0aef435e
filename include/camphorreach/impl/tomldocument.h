// Parses TOML text into a document and reports errors as findings.
#pragma once

#include <camphorreach/finding.h>

#include <camphorreach/impl/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace camphorreach::impl {

/// Maximum number of dots on a line outside strings and comments.
///
/// The TOML library recurses once for every segment of a dotted key, without a limit, so a long key
/// would exhaust the stack.
inline constexpr std::size_t maxDotsPerLine = 32;

/// Returns the document, or nothing after adding a finding.
[[nodiscard]] std::optional<toml::table> parseDocument(std::string_view text,
                                                       const std::string &file, Findings &findings);

} // namespace camphorreach::impl
