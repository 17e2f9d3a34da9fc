#include "core/log.h"

#include "core/bounded_writer.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

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

    // Others write names and reasons of any length, which would crowd out the other lines.
    constexpr auto maxFieldBytes = std::size_t { 8'192 };

    template <typename Fields> auto formatLine(std::string_view event, const Fields& fields) -> std::string
    {
        auto json = nlohmann::ordered_json { { "event", event }, { "vm", vmName() } };
        for (const auto& field : fields)
            json[std::string(field.m_name)] = field.m_value.substr(0, maxFieldBytes);
        return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    // About a thousand lines, for a reader that stops for a while.
    constexpr auto mostWaitingBytes = std::size_t { 262'144 };

    // Never waits for the reader of its output, so that logging stops nothing. The library calls `append`
    // with the appender's lock held.
    class BoundedAppender : public log4cplus::Appender {
    public:
        explicit BoundedAppender(int descriptor)
            : m_writer(descriptor, mostWaitingBytes)
        {
        }
        ~BoundedAppender() override { destructorImpl(); }
        BoundedAppender(const BoundedAppender&) = delete;
        auto operator=(const BoundedAppender&) -> BoundedAppender& = delete;

        auto close() -> void override
        {
            m_writer.flush();
            closed = true;
        }

    protected:
        auto append(const log4cplus::spi::InternalLoggingEvent& event) -> void override
        {
            m_writer.flush();
            if (m_writer.waitingBytes() == 0)
                tellDropped(event);
            (void)m_writer.write(format(event)); // The writer counts those it drops.
        }

    private:
        auto format(const log4cplus::spi::InternalLoggingEvent& event) -> std::string
        {
            auto text = std::ostringstream();
            layout->formatAndAppend(text, event);
            return text.str();
        }

        auto tellDropped(const log4cplus::spi::InternalLoggingEvent& event) -> void
        {
            const auto dropped = m_writer.takeDropped();
            if (dropped == 0)
                return;
            const auto fields = { LogField { "lines", std::to_string(dropped) } };
            (void)m_writer.write(format(log4cplus::spi::InternalLoggingEvent(event.getLoggerName(),
                log4cplus::WARN_LOG_LEVEL, formatLine("log_lines_dropped", fields), nullptr, 0)));
        }

        BoundedWriter m_writer;
    };

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
    const auto descriptor = target == LogTarget::StandardError ? STDERR_FILENO : STDOUT_FILENO;
    auto appender = log4cplus::SharedAppenderPtr(new BoundedAppender(descriptor));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
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
