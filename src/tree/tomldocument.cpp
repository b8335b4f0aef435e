// Parsing of TOML text, after a scan for input that the TOML library can't handle.
#include <camphorreach/impl/tomldocument.h>
#include <camphorreach/impl/tomlreader.h>

#include <algorithm>
#include <cstdint>

namespace camphorreach::impl {
namespace {

struct Problem
{
    std::uint32_t line = 0; // counted from one
    const char *text = "";
};

// Finds input that must not reach the parser: it recurses for every dot of a key, and its behaviour
// is undefined for some non-ASCII characters outside strings and comments, where TOML allows none.
// The scan of strings and comments is exact only for valid TOML. The parser stops at the first
// invalid text, so a wrong result after that point does no harm.
class DocumentScanner
{
public:
    explicit DocumentScanner(std::string_view text) : m_text(text)
    {
        constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
        if (m_text.starts_with(byteOrderMark))
            m_at = byteOrderMark.size();
    }

    std::optional<Problem> run()
    {
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (c == '"' || c == '\'')
                skipString(c);
            else if (c == '#')
                skipComment();
            else if (static_cast<unsigned char>(c) > maxAscii)
                return Problem { m_line, "only strings and comments may hold non-ASCII text" };
            else if (!consume(c))
                return Problem { m_line, "the line has too many dots" };
        }
        return std::nullopt;
    }

private:
    static constexpr unsigned char maxAscii = 0x7f;

    bool consume(char c)
    {
        ++m_at;
        if (c == '\n') {
            ++m_line;
            m_dots = 0;
        }
        return c != '.' || ++m_dots <= maxDotsPerLine;
    }

    void skipComment() { m_at = std::min(m_text.find('\n', m_at), m_text.size()); }

    void skipString(char quote)
    {
        const std::string triple(3, quote);
        const bool isMultiLine = m_text.substr(m_at).starts_with(triple);
        const std::string_view end
            = isMultiLine ? std::string_view(triple) : std::string_view(triple).substr(2);
        m_at += end.size();
        while (m_at < m_text.size() && !m_text.substr(m_at).starts_with(end)) {
            if (m_text[m_at] == '\n') {
                if (!isMultiLine)
                    return; // not valid TOML
                ++m_line;
            }
            m_at += quote == '"' && m_text[m_at] == '\\' ? 2 : 1;
        }
        m_at += end.size();
        // A multi-line string may end with one or two quotes of its own before the delimiter.
        for (int i = 0; isMultiLine && i < 2 && m_at < m_text.size() && m_text[m_at] == quote; ++i)
            ++m_at;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
    std::size_t m_dots = 0; // on the current line
    std::uint32_t m_line = 1;
};

} // namespace

std::optional<toml::table> parseDocument(std::string_view text, const std::string &file,
                                         Findings &findings)
{
    if (const auto problem = DocumentScanner(text).run()) {
        findings.push_back({ { file, problem->line, 1 }, "", problem->text });
        return std::nullopt;
    }
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        findings.push_back(
            { locationOf(error.source(), file), "", std::string(error.description()) });
        return std::nullopt;
    }
}

} // namespace camphorreach::impl
