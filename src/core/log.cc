#include "core/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace marigoldladder {

namespace {

    auto vmName() -> std::string&
    {
        static auto name = std::string();
        return name;
    }

    auto initialised() -> bool&
    {
        static auto flag = false;
        return flag;
    }

    template <typename Fields> auto formatLine(std::string_view event, const Fields& fields) -> std::string
    {
        auto json = nlohmann::ordered_json { { "event", event }, { "vm", vmName() } };
        for (const auto& field : fields)
            json[std::string(field.m_name)] = field.m_value;
        return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    auto levelNamed(const std::string& level) -> log4cplus::LogLevel
    {
        if (level == "debug")
            return log4cplus::DEBUG_LOG_LEVEL;
        if (level == "warn")
            return log4cplus::WARN_LOG_LEVEL;
        if (level == "error")
            return log4cplus::ERROR_LOG_LEVEL;
        if (level == "off")
            return log4cplus::OFF_LOG_LEVEL;
        return log4cplus::INFO_LOG_LEVEL;
    }

} // namespace

auto initialiseLog(const std::string& level, const std::string& vm, LogTarget target) -> void
{
    log4cplus::initialize();
    vmName() = vm;
    auto appender = log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(target == LogTarget::StandardError, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(levelNamed(level));
    initialised() = true;
}

auto logChange(std::string_view event, std::initializer_list<LogField> fields) -> void
{
    if (initialised())
        LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), formatLine(event, fields));
}

auto logChange(std::string_view event, const std::vector<LogField>& fields) -> void
{
    if (initialised())
        LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), formatLine(event, fields));
}

auto logWarning(std::string_view event, std::initializer_list<LogField> fields) -> void
{
    if (initialised())
        LOG4CPLUS_WARN(log4cplus::Logger::getRoot(), formatLine(event, fields));
}

} // namespace marigoldladder
