#include "routing/poison.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    auto crashesOf(const PoisonEntry& entry) -> std::uint32_t
    {
        auto crashes = std::uint32_t { 0 };
        for (const auto& [reporter, report] : entry.m_reports)
            crashes += report.m_crashes;
        return crashes;
    }

    auto extend(const PoisonTable& table, PoisonEntry& entry, MonotonicTime now) -> void
    {
        const auto refused = crashesOf(entry) >= table.m_crashesUntilRefused;
        entry.m_expiresAt = now + (refused ? table.m_refusalTime : suspectTime);
    }

    auto makeRoom(PoisonTable& table, MonotonicTime now) -> void
    {
        if (table.m_entries.size() < maxPoisonEntries)
            return;
        std::erase_if(table.m_entries, [&](const auto& row) { return row.second.m_expiresAt <= now; });
        if (table.m_entries.size() < maxPoisonEntries)
            return;
        table.m_entries.erase(std::min_element(
            table.m_entries.begin(), table.m_entries.end(), [](const auto& left, const auto& right) {
                return left.second.m_expiresAt < right.second.m_expiresAt;
            }));
    }

    auto entryOf(PoisonTable& table, std::uint64_t fingerprint, MonotonicTime now) -> PoisonEntry&
    {
        const auto found = table.m_entries.find(fingerprint);
        if (found == table.m_entries.end()) {
            makeRoom(table, now);
            return table.m_entries[fingerprint];
        }
        if (found->second.m_expiresAt <= now)
            found->second = PoisonEntry();
        return found->second;
    }

} // namespace

auto poisonState(const PoisonTable& table, std::uint64_t fingerprint, MonotonicTime now) -> PoisonState
{
    const auto found = table.m_entries.find(fingerprint);
    if (found == table.m_entries.end() || found->second.m_expiresAt <= now)
        return PoisonState::Clean;
    const auto crashes = crashesOf(found->second);
    if (crashes >= table.m_crashesUntilRefused)
        return PoisonState::Refused;
    return crashes > 0 ? PoisonState::Suspect : PoisonState::Clean;
}

auto clearingProgress(const PoisonTable& table, std::uint64_t fingerprint) -> std::uint32_t
{
    const auto found = table.m_entries.find(fingerprint);
    auto progress = std::uint32_t { 0 };
    if (found != table.m_entries.end()) {
        for (const auto& [reporter, report] : found->second.m_reports)
            progress = std::max(progress, report.m_progress);
    }
    return progress + clearingMargin;
}

auto noteCrash(PoisonTable& table, const VmName& self, std::uint64_t fingerprint, std::uint32_t progress,
    MonotonicTime now) -> CrashReport
{
    auto& entry = entryOf(table, fingerprint, now);
    auto& report = entry.m_reports[self];
    ++report.m_crashes;
    report.m_progress = std::max(report.m_progress, progress);
    extend(table, entry, now);
    return report;
}

auto mergeReport(PoisonTable& table, const VmName& reporter, std::uint64_t fingerprint,
    const CrashReport& told, MonotonicTime now) -> void
{
    if (told.m_crashes == 0) {
        (void)clearSuspect(table, fingerprint, now);
        return;
    }
    auto& entry = entryOf(table, fingerprint, now);
    auto& report = entry.m_reports[reporter];
    if (told.m_crashes > report.m_crashes)
        report = told;
    extend(table, entry, now);
}

auto clearSuspect(PoisonTable& table, std::uint64_t fingerprint, MonotonicTime now) -> bool
{
    if (poisonState(table, fingerprint, now) != PoisonState::Suspect)
        return false;
    table.m_entries.erase(fingerprint);
    return true;
}

} // namespace marigoldladder
