#include "relay/crash_evidence.h"

#include "relay/crash_chance.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto crashRetention = std::chrono::seconds(60); // Fewer crashes in it convict nothing.
    constexpr auto convictionLifetime = std::chrono::minutes(30); // Without a trial: no request came.
    constexpr auto maxTrialDoublings = std::uint32_t { 6 };
    constexpr auto maxCrashesPerSuspect = std::size_t { 16 };
    constexpr auto maxNotices = std::size_t { 256 };
    constexpr auto maxRememberedAnswers = std::size_t { 4'096 }; // In one generation.
    constexpr auto reportTolerance = std::chrono::milliseconds(100); // A report's age is this exact.
    constexpr auto maxCrashedRuns = std::size_t { 4'096 };

    auto isPart(SuspectKind kind) -> bool
    {
        return kind == SuspectKind::PromptPart || kind == SuspectKind::PromptPartDuringAnswer;
    }

    auto isDuringAnswer(SuspectKind kind) -> bool
    {
        return kind == SuspectKind::PromptPartDuringAnswer || kind == SuspectKind::RequestDuringAnswer;
    }

    auto lastAnswer(const AnswerMemory& answers, const Suspect& suspect) -> MonotonicTime
    {
        for (const auto* generation : { &answers.m_recent, &answers.m_older }) {
            const auto found = generation->find(suspect);
            if (found != generation->end())
                return found->second;
        }
        return {};
    }

    auto rememberAnswer(AnswerMemory& answers, const Suspect& suspect, MonotonicTime at) -> void
    {
        if (answers.m_recent.size() >= maxRememberedAnswers)
            answers.m_older = std::exchange(answers.m_recent, {});
        answers.m_recent[suspect] = std::max(at, lastAnswer(answers, suspect));
    }

    template <typename Notice> auto addNotice(std::deque<Notice>& notices, const Notice& notice) -> void
    {
        // Nodes in other data centres report theirs to all data centres themselves.
        if (notice.m_source == ReportSource::RemotePeer)
            return;
        if (notices.size() >= maxNotices)
            notices.pop_front();
        notices.push_back(notice);
    }

    // Removes the evidence from before an answer. Returns whether there was any.
    auto clearUntil(CrashEvidence& evidence, const Suspect& suspect, MonotonicTime answeredAt) -> bool
    {
        const auto found = evidence.m_records.find(suspect);
        if (found == evidence.m_records.end())
            return false;
        auto& record = found->second;
        auto cleared = std::erase_if(record.m_crashes, [&](const auto& crash) {
            return crash.second <= answeredAt;
        }) > 0;
        if (record.m_conviction && record.m_conviction->m_since <= answeredAt) {
            record.m_conviction.reset();
            --evidence.m_convictions;
            cleared = true;
        }
        if (record.m_crashes.empty() && !record.m_conviction)
            evidence.m_records.erase(found);
        return cleared;
    }

    // Counts crashes; those in quick succession count once.
    auto countCrashes(const SuspectRecord& record) -> std::size_t
    {
        auto times = std::vector<MonotonicTime>();
        for (const auto& [run, crashedAt] : record.m_crashes)
            times.push_back(crashedAt);
        std::sort(times.begin(), times.end());
        auto count = std::size_t { 0 };
        auto counted = MonotonicTime();
        for (const auto crashedAt : times) {
            if (count > 0 && crashedAt < counted + minCrashSpacing)
                continue;
            ++count;
            counted = crashedAt;
        }
        return count;
    }

    auto latestCrash(const SuspectRecord& record) -> MonotonicTime
    {
        auto latest = MonotonicTime();
        for (const auto& [run, crashedAt] : record.m_crashes)
            latest = std::max(latest, crashedAt);
        return latest;
    }

    auto makeRoom(CrashEvidence& evidence) -> void
    {
        auto& records = evidence.m_records;
        if (records.size() < maxSuspectRecords)
            return;
        const auto isOlder = [](const auto& left, const auto& right) {
            if (left.second.m_conviction.has_value() != right.second.m_conviction.has_value())
                return !left.second.m_conviction;
            return latestCrash(left.second) < latestCrash(right.second);
        };
        const auto oldest = std::min_element(records.begin(), records.end(), isOlder);
        evidence.m_convictions -= oldest->second.m_conviction ? 1 : 0;
        records.erase(oldest);
    }

    // Takes a crash off all suspects but the part that caused it.
    auto explainRun(CrashEvidence& evidence, UpstreamRunId run, const Suspect& cause, MonotonicTime crashedAt)
        -> void
    {
        evidence.m_explainedRuns[run] = crashedAt;
        for (auto& [suspect, record] : evidence.m_records) {
            if (suspect != cause)
                record.m_crashes.erase(run);
        }
    }

    // Takes a crash during the answer to a request off all other requests.
    auto explainRunByRequest(CrashEvidence& evidence, UpstreamRunId run, const Suspect& cause) -> void
    {
        for (auto& [suspect, record] : evidence.m_records) {
            if (suspect.m_kind == cause.m_kind && suspect != cause)
                record.m_crashes.erase(run);
        }
    }

    auto convict(CrashEvidence& evidence, const Suspect& suspect, const Conviction& conviction) -> void
    {
        auto& record = evidence.m_records[suspect];
        evidence.m_convictions += record.m_conviction ? 0 : 1;
        record.m_conviction = conviction;
        const auto crashes = record.m_crashes;
        // A request may crash upstreams by one of its parts, so its crashes stay with the parts.
        for (const auto& [run, crashedAt] : crashes) {
            if (isPart(suspect.m_kind))
                explainRun(evidence, run, suspect, crashedAt);
            else if (isDuringAnswer(suspect.m_kind))
                explainRunByRequest(evidence, run, suspect);
        }
    }

    auto countSuspectsDuringAnswers(const CrashEvidence& evidence) -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(evidence.m_records.begin(), evidence.m_records.end(),
            [](const auto& entry) { return isDuringAnswer(entry.first.m_kind); }));
    }

    auto hasEnoughEvidence(const CrashEvidence& evidence, const Suspect& suspect, std::size_t upstreams,
        MonotonicTime now) -> bool
    {
        const auto& record = evidence.m_records.at(suspect);
        if (record.m_conviction || record.m_crashes.size() < crashesUntilConvicted)
            return false;
        auto counted = SuspectRecord();
        for (const auto& [run, crashedAt] : record.m_crashes) {
            if (crashedAt + convictionDelay <= now)
                counted.m_crashes[run] = crashedAt;
        }
        if (countCrashes(counted) < crashesUntilConvicted)
            return false;
        return !isDuringAnswer(suspect.m_kind)
            || isBeyondChance(evidence, counted, countSuspectsDuringAnswers(evidence), upstreams);
    }

    // Whether `left` is the likelier cause: without answers for longer, with more crashes, in fewer requests.
    auto isLikelier(const CrashEvidence& evidence, const Suspect& left, const Suspect& right) -> bool
    {
        const auto leftAnswer = lastAnswer(evidence.m_answers, left);
        const auto rightAnswer = lastAnswer(evidence.m_answers, right);
        if (leftAnswer != rightAnswer)
            return leftAnswer < rightAnswer;
        const auto& leftRecord = evidence.m_records.at(left);
        const auto& rightRecord = evidence.m_records.at(right);
        if (leftRecord.m_crashes.size() != rightRecord.m_crashes.size())
            return leftRecord.m_crashes.size() > rightRecord.m_crashes.size();
        return leftRecord.m_position > rightRecord.m_position;
    }

} // namespace

auto suspectsDuringAnswer(std::vector<Suspect> suspects) -> std::vector<Suspect>
{
    for (auto& suspect : suspects)
        suspect.m_kind
            = isPart(suspect.m_kind) ? SuspectKind::PromptPartDuringAnswer : SuspectKind::RequestDuringAnswer;
    return suspects;
}

auto recordCrash(CrashEvidence& evidence, const CrashNotice& notice, MonotonicTime now) -> void
{
    const auto tooOld = notice.m_crashedAt + crashRetention <= now;
    if (tooOld)
        return;
    if (evidence.m_crashedRuns.size() < maxCrashedRuns)
        evidence.m_crashedRuns.emplace(notice.m_run, notice.m_crashedAt);
    if (notice.m_crashedAt <= lastAnswer(evidence.m_answers, notice.m_suspect))
        return;
    const auto found = evidence.m_records.find(notice.m_suspect);
    const auto isConvicted = found != evidence.m_records.end() && found->second.m_conviction;
    if (evidence.m_explainedRuns.contains(notice.m_run) && !isConvicted)
        return;
    if (found == evidence.m_records.end())
        makeRoom(evidence);
    auto& record = evidence.m_records[notice.m_suspect];
    record.m_position = std::max(record.m_position, notice.m_position);
    if (isConvicted && isPart(notice.m_suspect.m_kind))
        explainRun(evidence, notice.m_run, notice.m_suspect, notice.m_crashedAt);
    const auto isFull = record.m_crashes.size() >= maxCrashesPerSuspect;
    if (!isFull && record.m_crashes.emplace(notice.m_run, notice.m_crashedAt).second)
        addNotice(evidence.m_crashNotices, notice);
}

auto recordAnswer(CrashEvidence& evidence, const std::vector<Suspect>& suspects, MonotonicTime now) -> bool
{
    auto clearedAny = false;
    for (const auto& suspect : suspects) {
        const auto cleared = !evidence.m_records.empty() && clearUntil(evidence, suspect, now);
        // Requests are seldom repeated, so their answers are remembered only where they are evidence.
        if (cleared || isPart(suspect.m_kind))
            rememberAnswer(evidence.m_answers, suspect, now);
        if (cleared)
            addNotice(evidence.m_answerNotices, AnswerNotice { suspect, now, ReportSource::Self });
        clearedAny = clearedAny || cleared;
    }
    return clearedAny;
}

auto mergeAnswer(CrashEvidence& evidence, const AnswerNotice& notice, MonotonicTime now) -> void
{
    if (notice.m_begunAt + crashRetention <= now
        || notice.m_begunAt <= lastAnswer(evidence.m_answers, notice.m_suspect) + reportTolerance)
        return;
    (void)clearUntil(evidence, notice.m_suspect, notice.m_begunAt);
    rememberAnswer(evidence.m_answers, notice.m_suspect, notice.m_begunAt);
    addNotice(evidence.m_answerNotices, notice);
}

auto mergeConviction(
    CrashEvidence& evidence, const Suspect& suspect, const Conviction& conviction, MonotonicTime now) -> void
{
    const auto tooOld = conviction.m_since + convictionLifetime <= now;
    if (tooOld || conviction.m_since <= lastAnswer(evidence.m_answers, suspect) + reportTolerance)
        return;
    const auto found = evidence.m_records.find(suspect);
    if (found == evidence.m_records.end())
        makeRoom(evidence);
    else if (found->second.m_conviction && found->second.m_conviction->m_trials >= conviction.m_trials)
        return;
    convict(evidence, suspect, conviction);
}

auto convictSuspects(CrashEvidence& evidence, std::size_t upstreams, MonotonicTime now)
    -> std::vector<Suspect>
{
    auto convicted = std::vector<Suspect>();
    for (;;) {
        auto likeliest = std::optional<Suspect>();
        for (const auto& [suspect, record] : evidence.m_records) {
            if (hasEnoughEvidence(evidence, suspect, upstreams, now)
                && (!likeliest || isLikelier(evidence, suspect, *likeliest)))
                likeliest = suspect;
        }
        if (!likeliest)
            return convicted;
        convict(evidence, *likeliest, Conviction { now, 0 });
        convicted.push_back(*likeliest);
    }
}

auto findConvicted(const CrashEvidence& evidence, const std::vector<Suspect>& suspects)
    -> std::optional<Suspect>
{
    if (evidence.m_convictions == 0)
        return std::nullopt;
    for (const auto& suspect : suspects) {
        const auto found = evidence.m_records.find(suspect);
        if (found != evidence.m_records.end() && found->second.m_conviction)
            return suspect;
    }
    return std::nullopt;
}

auto isLikelyCause(const CrashEvidence& evidence, const std::vector<Suspect>& suspects) -> bool
{
    if (evidence.m_records.empty())
        return false;
    return std::any_of(suspects.begin(), suspects.end(), [&](const Suspect& suspect) {
        const auto found = evidence.m_records.find(suspect);
        return found != evidence.m_records.end()
            && (found->second.m_conviction || countCrashes(found->second) >= crashesUntilNotRepeated);
    });
}

auto trialDueAt(const CrashEvidence& evidence, const Suspect& suspect, std::chrono::milliseconds wait)
    -> MonotonicTime
{
    const auto found = evidence.m_records.find(suspect);
    if (found == evidence.m_records.end() || !found->second.m_conviction)
        return {};
    const auto& conviction = *found->second.m_conviction;
    return conviction.m_since + firstTrialDelay * (1 << std::min(conviction.m_trials, maxTrialDoublings))
        + wait;
}

auto tryBeginTrial(CrashEvidence& evidence, const Suspect& suspect, std::chrono::milliseconds wait,
    MonotonicTime now) -> bool
{
    const auto dueAt = trialDueAt(evidence, suspect, wait);
    if (dueAt == MonotonicTime() || dueAt > now)
        return false;
    auto& conviction = *evidence.m_records.at(suspect).m_conviction;
    conviction.m_since = now;
    ++conviction.m_trials;
    return true;
}

auto dropOldEvidence(CrashEvidence& evidence, MonotonicTime now) -> void
{
    const auto isOldCrash = [&](const auto& crash) { return crash.second + crashRetention <= now; };
    std::erase_if(evidence.m_crashNotices,
        [&](const auto& notice) { return notice.m_crashedAt + noticeRetention <= now; });
    std::erase_if(evidence.m_answerNotices,
        [&](const auto& notice) { return notice.m_begunAt + noticeRetention <= now; });
    std::erase_if(evidence.m_explainedRuns, isOldCrash);
    std::erase_if(evidence.m_crashedRuns, isOldCrash);
    for (auto& [suspect, record] : evidence.m_records) {
        std::erase_if(record.m_crashes, isOldCrash);
        if (record.m_conviction && record.m_conviction->m_since + convictionLifetime <= now) {
            record.m_conviction.reset();
            --evidence.m_convictions;
        }
    }
    std::erase_if(evidence.m_records,
        [](const auto& entry) { return entry.second.m_crashes.empty() && !entry.second.m_conviction; });
}

} // namespace marigoldladder::relay
