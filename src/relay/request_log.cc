#include "relay/request_log.h"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto linesPerSecond = 20.0; // At 200 bytes a line, 4 kB a second.
    constexpr auto burstLines = 100.0;
    constexpr auto sampledOutOf = std::uint64_t { 64 };
    constexpr auto reportInterval = std::chrono::seconds(5);

} // namespace

auto tryAcquireLine(LogLineBudget& allowance, MonotonicTime now) -> bool
{
    if (allowance.m_refilledAt == MonotonicTime()) {
        allowance.m_lines = burstLines;
    } else {
        const auto seconds = std::chrono::duration<double>(now - allowance.m_refilledAt).count();
        allowance.m_lines = std::min(burstLines, allowance.m_lines + seconds * linesPerSecond);
    }
    allowance.m_refilledAt = now;
    if (allowance.m_lines < 1) {
        ++allowance.m_suppressed;
        return false;
    }
    allowance.m_lines -= 1;
    return true;
}

auto isSampled(std::string_view requestId) -> bool
{
    return XXH3_64bits(requestId.data(), requestId.size()) % sampledOutOf == 0;
}

auto RequestLog::write(
    std::string_view event, std::string_view requestId, std::initializer_list<LogField> fields) -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (!tryAcquireLine(m_allowance, now))
        return;
    if (m_allowance.m_suppressed > 0 && m_allowance.m_reportedAt + reportInterval <= now) {
        logChange("lines_left_out", { { "lines", std::to_string(m_allowance.m_suppressed) } });
        m_allowance.m_suppressed = 0;
        m_allowance.m_reportedAt = now;
    }
    auto all = std::vector<LogField> { { "request", std::string(requestId) } };
    all.insert(all.end(), fields);
    logChange(event, all);
}

} // namespace marigoldladder::relay
