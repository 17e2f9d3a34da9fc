#include "load/load_summary.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace marigoldladder::fakes {

namespace {

    constexpr auto median = 0.5;
    constexpr auto high = 0.95;
    constexpr auto nameWidth = 22;
    constexpr auto countWidth = 9;
    constexpr auto timeWidth = 11;

    auto count(OrganisationSummary& summary, const LoadRecord& record) -> void
    {
        ++summary.m_sent;
        switch (record.m_outcome) {
        case Outcome::Served:
            ++summary.m_served;
            break;
        case Outcome::Refused:
            ++summary.m_refusedByVerdict[record.m_verdict];
            break;
        case Outcome::Cut:
            ++summary.m_cut;
            break;
        case Outcome::Lost:
            ++summary.m_lost;
            break;
        case Outcome::Unconnected:
            ++summary.m_unconnected;
            break;
        case Outcome::Wrong:
            ++summary.m_wrong;
            break;
        }
    }

    auto refused(const OrganisationSummary& summary, const char* verdict) -> std::size_t
    {
        const auto found = summary.m_refusedByVerdict.find(verdict);
        return found == summary.m_refusedByVerdict.end() ? 0 : found->second;
    }

} // namespace

auto quantileOf(const std::vector<double>& sorted, double share) -> double
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

auto summarise(const std::vector<LoadRecord>& records) -> std::map<OrganisationName, OrganisationSummary>
{
    auto summaries = std::map<OrganisationName, OrganisationSummary>();
    for (const auto& record : records) {
        auto& summary = summaries[record.m_organisation];
        count(summary, record);
        if (record.m_kind == RequestKind::Stream && record.m_outcome == Outcome::Served) {
            summary.m_firstTokenMs.push_back(record.m_firstTokenMs);
            summary.m_betweenTokensMs.insert(summary.m_betweenTokensMs.end(),
                record.m_betweenTokensMs.begin(), record.m_betweenTokensMs.end());
        }
    }
    for (auto& [name, summary] : summaries) {
        std::sort(summary.m_firstTokenMs.begin(), summary.m_firstTokenMs.end());
        std::sort(summary.m_betweenTokensMs.begin(), summary.m_betweenTokensMs.end());
    }
    return summaries;
}

auto printSummary(std::ostream& out, const std::map<OrganisationName, OrganisationSummary>& summaries) -> void
{
    out << std::left << std::setw(nameWidth) << "organisation" << std::right;
    for (const auto* heading : { "sent", "served", "not_run", "may_have", "ran", "cut", "lost", "wrong" })
        out << std::setw(countWidth) << heading;
    for (const auto* heading : { "first p50", "first p95", "gap p50", "gap p95" })
        out << std::setw(timeWidth) << heading;
    out << "\n" << std::fixed << std::setprecision(1);
    for (const auto& [name, summary] : summaries) {
        out << std::left << std::setw(nameWidth) << name.value() << std::right;
        for (const auto number :
            { summary.m_sent, summary.m_served, refused(summary, "not_run"), refused(summary, "may_have_run"),
                refused(summary, "ran"), summary.m_cut, summary.m_lost, summary.m_wrong })
            out << std::setw(countWidth) << number;
        for (const auto time :
            { quantileOf(summary.m_firstTokenMs, median), quantileOf(summary.m_firstTokenMs, high),
                quantileOf(summary.m_betweenTokensMs, median), quantileOf(summary.m_betweenTokensMs, high) })
            out << std::setw(timeWidth - 2) << time << "ms";
        out << "\n";
    }
}

} // namespace marigoldladder::fakes
