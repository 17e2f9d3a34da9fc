// One line for each decision that touches a request, bounded so that load never drowns the log.
//
// Refusals, failures, cut and repeated requests are written up to a rate; of requests that went well a sample
// is written, chosen by their id, so that all nodes choose the same ones. What was left out is counted.
#pragma once

#include "core/blackboard.h"
#include "core/log.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace marigoldladder::relay {

// How many lines may be written.
struct LogLineBudget {
    double m_lines = 0;
    MonotonicTime m_refilledAt {};
    std::uint64_t m_suppressed = 0; // Since the last line that told so.
    MonotonicTime m_reportedAt {};
};

// Takes one line from the allowance; false when it is spent.
auto tryAcquireLine(LogLineBudget&, MonotonicTime now) -> bool;

// Whether requests with this id belong to the sample that is written although they went well.
auto isSampled(std::string_view requestId) -> bool;

class RequestLog {
public:
    // Writes a line about a request, unless the allowance is spent.
    auto write(std::string_view event, std::string_view requestId, std::initializer_list<LogField>) -> void;

private:
    LogLineBudget m_allowance;
};

} // namespace marigoldladder::relay
