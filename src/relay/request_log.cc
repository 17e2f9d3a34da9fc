#include "relay/request_log.h"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto linesPerSecond = 20.0; // At 200 bytes a line, 4 kB a second.
    constexpr auto burstLines = 100.0;
    constexpr auto sampleInterval = std::uint64_t { 64 }; // One request of so many is logged.
    constexpr auto reportInterval = std::chrono::seconds(5);

} // namespace

auto millisecondsBetween(MonotonicTime from, MonotonicTime until) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(until - from).count());
}

auto tryAcquireLine(LogLineBudget& budget, MonotonicTime now) -> bool
{
    if (budget.m_refilledAt == MonotonicTime()) {
        budget.m_lines = burstLines;
    } else {
        const auto seconds = std::chrono::duration<double>(now - budget.m_refilledAt).count();
        budget.m_lines = std::min(burstLines, budget.m_lines + seconds * linesPerSecond);
    }
    budget.m_refilledAt = now;
    if (budget.m_lines < 1) {
        ++budget.m_suppressed;
        return false;
    }
    budget.m_lines -= 1;
    return true;
}

auto isSampled(std::string_view requestId) -> bool
{
    return XXH3_64bits(requestId.data(), requestId.size()) % sampleInterval == 0;
}

auto RequestLog::write(
    std::string_view event, std::string_view requestId, std::initializer_list<LogField> fields) -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (!tryAcquireLine(m_budget, now))
        return;
    if (m_budget.m_suppressed > 0 && m_budget.m_reportedAt + reportInterval <= now) {
        logChange("lines_left_out", { { "lines", std::to_string(m_budget.m_suppressed) } });
        m_budget.m_suppressed = 0;
        m_budget.m_reportedAt = now;
    }
    auto allFields = std::vector<LogField> { { "request", std::string(requestId) } };
    allFields.insert(allFields.end(), fields);
    logChange(event, allFields);
}

} // namespace marigoldladder::relay
