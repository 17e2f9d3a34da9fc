#include "relay/crash_evidence_report.h"

#include "relay/generated/peer_messages_generated.h"

#include <algorithm>
#include <limits>

namespace marigoldladder::relay {

namespace {

    // Bounds of one report, so that it fits into a datagram.
    constexpr auto maxCrashReports = std::size_t { 48 };
    constexpr auto maxAnswerReports = std::size_t { 32 };
    constexpr auto maxConvictionReports = std::size_t { 32 };

    template <typename Number> auto ageOf(MonotonicTime at, MonotonicTime now) -> Number
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
        const auto most = static_cast<std::int64_t>(std::numeric_limits<Number>::max());
        return static_cast<Number>(std::clamp<std::int64_t>(age, 0, most));
    }

    // Returns nothing if this version doesn't know the kind.
    auto readSuspect(std::uint8_t kind, std::uint64_t id) -> std::optional<Suspect>
    {
        if (kind >= suspectKindNames.size())
            return std::nullopt;
        return Suspect { static_cast<SuspectKind>(kind), id };
    }

    auto kindOf(const Suspect& suspect) -> std::uint8_t
    {
        return static_cast<std::uint8_t>(suspect.m_kind);
    }

} // namespace

auto makeEvidenceReport(const CrashEvidence& evidence, ReportScope scope, MonotonicTime now)
    -> std::unique_ptr<messages::CrashEvidenceReportT>
{
    auto report = std::make_unique<messages::CrashEvidenceReportT>();
    const auto& crashes = evidence.m_crashNotices;
    for (auto at = crashes.rbegin(); at != crashes.rend() && report->crashes.size() < maxCrashReports; ++at) {
        if (isInScope(at->m_source, scope) && at->m_crashedAt + noticeRetention > now)
            report->crashes.emplace_back(at->m_suspect.m_id, at->m_run,
                ageOf<std::uint16_t>(at->m_crashedAt, now), kindOf(at->m_suspect), at->m_position);
    }
    const auto& answers = evidence.m_answerNotices;
    for (auto at = answers.rbegin(); at != answers.rend() && report->answers.size() < maxAnswerReports;
         ++at) {
        if (isInScope(at->m_source, scope) && at->m_begunAt + noticeRetention > now)
            report->answers.emplace_back(
                at->m_suspect.m_id, ageOf<std::uint16_t>(at->m_begunAt, now), kindOf(at->m_suspect));
    }
    if (evidence.m_convictions > 0) {
        for (const auto& [suspect, record] : evidence.m_records) {
            if (!record.m_conviction || report->convictions.size() >= maxConvictionReports)
                continue;
            const auto& conviction = *record.m_conviction;
            report->convictions.emplace_back(suspect.m_id, ageOf<std::uint32_t>(conviction.m_since, now),
                static_cast<std::uint16_t>(conviction.m_trials), kindOf(suspect));
        }
    }
    const auto empty = report->crashes.empty() && report->answers.empty() && report->convictions.empty();
    return empty ? nullptr : std::move(report);
}

auto applyEvidenceReport(CrashEvidence& evidence, const messages::CrashEvidenceReportT& report,
    ReportSource source, MonotonicTime now) -> void
{
    for (const auto& answer : report.answers) {
        const auto begunAt = now - std::chrono::milliseconds(answer.age_ms());
        if (const auto suspect = readSuspect(answer.kind(), answer.suspect()))
            mergeAnswer(evidence, AnswerNotice { *suspect, begunAt, source }, now);
    }
    for (const auto& conviction : report.convictions) {
        const auto since = now - std::chrono::milliseconds(conviction.age_ms());
        if (const auto suspect = readSuspect(conviction.kind(), conviction.suspect()))
            mergeConviction(evidence, *suspect, Conviction { since, conviction.trials() }, now);
    }
    for (const auto& crash : report.crashes) {
        const auto crashedAt = now - std::chrono::milliseconds(crash.age_ms());
        if (const auto suspect = readSuspect(crash.kind(), crash.suspect()))
            recordCrash(
                evidence, CrashNotice { *suspect, crash.run(), crashedAt, crash.position(), source }, now);
    }
}

} // namespace marigoldladder::relay
