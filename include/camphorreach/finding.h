// Findings: problems of an input with their locations, collected and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace camphorreach {

/// Location in a file. Line and column count from one; zero means unknown.
struct SourceLocation
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    friend bool operator==(const SourceLocation &, const SourceLocation &) = default;
};

struct Finding
{
    SourceLocation location;
    std::string key; ///< Dotted path of the key; empty if the finding is not about a key.
    std::string text;

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

/// One line per finding: "file:line:column: key: text".
[[nodiscard]] std::string toText(const Findings &findings);

} // namespace camphorreach
