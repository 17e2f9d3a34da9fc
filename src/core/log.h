// Structured log lines, one for each change of state. No line may carry a key or another secret. Writing
// never waits for the reader of the output: what it doesn't take is kept up to a bound, then dropped and
// counted in a line `log_lines_dropped`.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder {

enum class LogTarget {
    StandardError,
    StandardOutput,
};

// Sets up logging in a daemon; a later call replaces the earlier one. `level` is as in the settings.
auto initialiseLog(const std::string& level, const std::string& vm, LogTarget = LogTarget::StandardError)
    -> void;

struct LogField {
    std::string_view m_name;
    std::string m_value;
};

// Writes one JSON line at level info: the event's name and its fields.
auto logChange(std::string_view event, std::initializer_list<LogField> = {}) -> void;
auto logChange(std::string_view event, const std::vector<LogField>&) -> void;

// The same at level warn, for changes an operator may have to act on.
auto logWarning(std::string_view event, std::initializer_list<LogField> = {}) -> void;

} // namespace marigoldladder
