// Logging with easylogging++.
#include <camphorreach/log.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace camphorreach {

void setUpLogging(LogLevel level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime %level %msg");
    const auto disable = [&configuration](el::Level disabled) {
        configuration.set(disabled, el::ConfigurationType::Enabled, "false");
    };
    if (level > LogLevel::Debug)
        disable(el::Level::Debug);
    if (level > LogLevel::Info)
        disable(el::Level::Info);
    if (level > LogLevel::Warning)
        disable(el::Level::Warning);
    el::Loggers::reconfigureAllLoggers(configuration);
}

void Log::debug(std::string_view text) const
{
    LOG(DEBUG) << m_prefix << text;
}

void Log::info(std::string_view text) const
{
    LOG(INFO) << m_prefix << text;
}

void Log::warning(std::string_view text) const
{
    LOG(WARNING) << m_prefix << text;
}

void Log::error(std::string_view text) const
{
    LOG(ERROR) << m_prefix << text;
}

} // namespace camphorreach
