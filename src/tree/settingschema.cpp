// The schema and the validation of single values against it.
#include <camphorreach/settingschema.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace camphorreach {
namespace {

using std::string_literals::operator""s;

constexpr std::uint8_t levelBits(std::initializer_list<SettingLevel> levels)
{
    std::uint8_t result = 0;
    for (const SettingLevel level : levels)
        result = static_cast<std::uint8_t>(result | static_cast<std::uint8_t>(level));
    return result;
}

using enum SettingLevel;

constexpr std::uint8_t requestLevels = levelBits({ Root, Kind, Service, Route });
constexpr std::uint8_t serviceLevels = levelBits({ Root, Service });

constexpr double msPerSecond = 1'000;
constexpr double msPerMinute = 60 * msPerSecond;
constexpr double msPerHour = 60 * msPerMinute;

constexpr std::array allLevels { Root, Kind, Service, Route, Version };

std::vector<SettingSpec> makeSchema()
{
    using enum SettingType;
    return {
        { "deadline", Time, requestLevels, 1, 10 * msPerMinute, "duration", "1s"s,
          "deadline of a request whose client sends none" },
        { "attempts", Integer, requestLevels, 1, 10, "attempts", std::int64_t(3),
          "maximum number of attempts per request, including the first" },
        { "kind", Name, levelBits({ Root, Service, Route }), 0, 0, "kind", "default"s,
          "kind of the requests" },
        { "prefix", Prefix, levelBits({ Route }), 0, 0, "path", std::nullopt,
          "path prefix below the service; \"/\" and the route's name when it is not set" },
        { "retry-budget", Real, serviceLevels, 0, 1, "retries per first attempt", 0.1,
          "ratio of retries to first attempts, at each call depth" },
        { "queue-limit", Integer, levelBits({ Root, Service, Version }), 1, 100'000, "requests",
          std::int64_t(256), "maximum number of requests queued at one gate" },
        { "weight", Integer, levelBits({ Kind }), 1, 1'000, "", std::int64_t(1),
          "cost of a late or failed request of the kind, relative to other kinds" },
        { "semantics", Semantics, levelBits({ Kind }), 0, 0, "", "run-once"s,
          "\"idempotent\": may be repeated; \"run-once\": runs at most once" },
        { "weight", Real, levelBits({ Version }), 0, 100, "%", 0.0,
          "share of the service's requests; the versions of a service add up to 100" },
        { "fallback", Name, levelBits({ Version }), 0, 0, "version", std::nullopt,
          "version of the same service that is used when this one has no endpoint" },
        { "move.soak", Time, serviceLevels, 0, 24 * msPerHour, "duration", "60s"s,
          "time at the full share before a move is done" },
        { "move.false-alarm-rate", Real, serviceLevels, 1e-6, 0.5, "probability", 0.001,
          "probability of rolling back a good version" },
        { "move.miss-rate", Real, serviceLevels, 1e-6, 0.5, "probability", 0.01,
          "probability of promoting a bad version" },
        { "move.on-time-weight", Real, serviceLevels, 0, 1'000, "", 1.0,
          "weight of promoting good versions in time" },
        { "move.rollback-weight", Real, serviceLevels, 0, 1'000, "", 1.0,
          "weight of rolling back bad versions" },
    };
}

std::string numberText(double value)
{
    std::array<char, 32> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                                   std::chars_format::general)
                         .ptr;
    return { buffer.data(), end };
}

std::string durationText(double ms)
{
    for (const auto &[factor, unit] :
         { std::pair(msPerHour, "h"), std::pair(msPerMinute, "m"), std::pair(msPerSecond, "s") }) {
        if (ms >= factor)
            return numberText(ms / factor) + unit;
    }
    return numberText(ms) + "ms";
}

std::string rangeText(const SettingSpec &spec)
{
    const auto text = spec.type == SettingType::Time ? durationText : numberText;
    return text(spec.min) + " to " + text(spec.max);
}

std::string rangeViolation(const SettingSpec &spec, double value)
{
    if (value >= spec.min && value <= spec.max)
        return {};
    return "must be from " + rangeText(spec);
}

std::string durationViolation(const SettingSpec &spec, const std::string *text)
{
    const auto duration = text != nullptr ? parseDuration(*text) : std::nullopt;
    if (!duration)
        return "must be a duration such as \"250ms\", \"10s\", \"5m\" or \"2h\"";
    return rangeViolation(spec, std::chrono::duration<double, std::milli>(*duration).count());
}

std::string prefixViolation(const std::string *text)
{
    const bool isPlain = text != nullptr && text->starts_with("/")
        && std::ranges::all_of(*text,
                               [](char c) { return c > ' ' && c != '?' && c != '#' && c < 127; });
    if (!isPlain)
        return "must be a path that starts with \"/\", without blanks, \"?\" and \"#\"";
    if (text->size() > 1 && text->ends_with("/"))
        return "must not end with \"/\"";
    return {};
}

std::string semanticsViolation(const std::string *text)
{
    if (text != nullptr && (*text == "idempotent" || *text == "run-once"))
        return {};
    return "must be \"idempotent\" or \"run-once\"";
}

std::string levelsText(const SettingSpec &spec)
{
    std::string text;
    for (const SettingLevel level : allLevels) {
        if (spec.isAllowedAt(level))
            text += (text.empty() ? "" : ", ") + std::string(toText(level));
    }
    return text;
}

} // namespace

const std::vector<SettingSpec> &settingSchema()
{
    static const std::vector<SettingSpec> schema = makeSchema();
    return schema;
}

const SettingSpec *findSpec(std::string_view key, SettingLevel level) noexcept
{
    const auto &schema = settingSchema();
    const auto found = std::ranges::find_if(schema, [&](const SettingSpec &spec) {
        return spec.key == key && spec.isAllowedAt(level);
    });
    return found == schema.end() ? nullptr : &*found;
}

std::string violationOf(const SettingSpec &spec, const SettingValue &value)
{
    const auto *text = std::get_if<std::string>(&value);
    const auto *integer = std::get_if<std::int64_t>(&value);
    const auto *real = std::get_if<double>(&value);
    switch (spec.type) {
    case SettingType::Time:
        return durationViolation(spec, text);
    case SettingType::Integer:
        return integer == nullptr ? "must be an integer"
                                  : rangeViolation(spec, static_cast<double>(*integer));
    case SettingType::Real:
        if (integer == nullptr && real == nullptr)
            return "must be a number";
        return rangeViolation(spec, real != nullptr ? *real : static_cast<double>(*integer));
    case SettingType::Name:
        return text == nullptr || text->empty() ? "must be a name" : "";
    case SettingType::Prefix:
        return prefixViolation(text);
    case SettingType::Semantics:
        return semanticsViolation(text);
    }
    return "has no known type";
}

std::optional<Duration> parseDuration(std::string_view text) noexcept
{
    // Keeps a duration in hours within 64 bits of microseconds.
    constexpr std::int64_t maxCount = 1'000'000'000;
    std::int64_t count = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (code != std::errc() || count < 0 || count > maxCount || text.starts_with("-"))
        return std::nullopt;
    if (unit == "ms")
        return std::chrono::milliseconds(count);
    if (unit == "s")
        return std::chrono::seconds(count);
    if (unit == "m")
        return std::chrono::minutes(count);
    if (unit == "h")
        return std::chrono::hours(count);
    return std::nullopt;
}

const char *toText(SettingLevel level) noexcept
{
    switch (level) {
    case Root:
        return "root";
    case Kind:
        return "kind";
    case Service:
        return "service";
    case Route:
        return "route";
    case Version:
        return "version";
    }
    return "invalid";
}

std::string schemaTable()
{
    std::string table = "| key | levels | unit | range | default | meaning |\n"
                        "| --- | --- | --- | --- | --- | --- |\n";
    for (const SettingSpec &spec : settingSchema()) {
        const bool hasRange = spec.max > spec.min;
        table += "| `" + std::string(spec.key) + "` | " + levelsText(spec) + " | "
            + std::string(spec.unit) + " | " + (hasRange ? rangeText(spec) : "") + " | "
            + (spec.defaultValue ? "`" + toToml(*spec.defaultValue) + "`" : "none") + " | "
            + std::string(spec.meaning) + " |\n";
    }
    return table;
}

} // namespace camphorreach
