#include "relay/request_limit_report.h"

#include "relay/generated/peer_messages_generated.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto maxLimitReports = std::size_t { 96 };
    constexpr auto noLimit = -1.0F;

} // namespace

auto makeLimitReports(const UpstreamTable& table, ReportScope scope, MonotonicTime now)
    -> std::vector<messages::LimitReport>
{
    auto reports = std::vector<messages::LimitReport>();
    for (const auto& [id, upstream] : table.m_byShortId) {
        const auto& limit = upstream->m_requestLimit.m_limit;
        const auto isRecent = limit.m_namedAt != MonotonicTime() && limit.m_namedAt + limitReportTime > now;
        if (!isRecent || !isInScope(limit.m_source, scope) || reports.size() >= maxLimitReports)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.m_namedAt);
        const auto rate = static_cast<float>(limit.m_requestsPerSecond.value_or(noLimit));
        reports.emplace_back(id, rate, static_cast<std::uint16_t>(age.count()));
    }
    return reports;
}

auto applyLimitReports(RelayBoard& board, const std::vector<messages::LimitReport>& reports,
    ReportSource source, MonotonicTime now) -> void
{
    for (const auto& report : reports) {
        const auto found = board.m_upstreams.m_byShortId.find(report.upstream());
        if (found == board.m_upstreams.m_byShortId.end())
            continue;
        auto limit = NamedLimit { std::nullopt, now - std::chrono::milliseconds(report.age_ms()), source };
        if (report.requests_per_second() >= 0)
            limit.m_requestsPerSecond = report.requests_per_second();
        if (recordLimit(found->second->m_requestLimit, limit))
            board.m_requestLimitChanged(*found->second);
    }
}

} // namespace marigoldladder::relay
