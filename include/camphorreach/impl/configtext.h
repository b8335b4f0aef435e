// Text of values in the findings and changes of configurations.
#pragma once

#include <camphorreach/settingstree.h>
#include <camphorreach/units.h>

#include <string>

namespace camphorreach::impl {

[[nodiscard]] inline std::string numberText(double value)
{
    const std::string text = toToml(SettingValue(value));
    return text.ends_with(".0") ? text.substr(0, text.size() - 2) : text;
}

[[nodiscard]] inline std::string millisecondsText(Duration duration)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    return numberText(Milliseconds(duration).count()) + " ms";
}

} // namespace camphorreach::impl
