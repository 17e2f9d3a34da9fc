// Logs one line for each decision on a request, rate-limited so that the log stays small under load.
//
// Refused, failed, interrupted and retried requests are logged up to a rate. Of successful requests a sample
// is logged, selected by request id so that all nodes log the same ones. Suppressed lines are counted.
#pragma once

#include "core/blackboard.h"
#include "core/log.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

// A token bucket of log lines.
struct LogLineBudget {
    double m_lines = 0;
    MonotonicTime m_refilledAt {};
    std::uint64_t m_suppressed = 0; // Lines since the last report of their number.
    MonotonicTime m_reportedAt {};
};

// Takes one line from the budget; if none is left, counts it as suppressed and returns false.
auto tryAcquireLine(LogLineBudget&, MonotonicTime now) -> bool;

// Whether a successful request with this id belongs to the logged sample.
auto isSampled(std::string_view requestId) -> bool;

// Returns the time in milliseconds, as a log field has it.
auto millisecondsBetween(MonotonicTime from, MonotonicTime until) -> std::string;

class RequestLog {
public:
    // Writes a line about a request, unless the budget is used up.
    auto write(std::string_view event, std::string_view requestId, std::initializer_list<LogField>) -> void;

private:
    LogLineBudget m_budget;
};

} // namespace marigoldladder::relay
