// Finds what crashes upstreams: a part that prompts share, or a single request that callers repeat.
//
// A crash counts against every suspect whose request was at the upstream. What crashes upstreams before they
// answer and what crashes them while they answer are different suspects: an answer that begins clears the
// former ones of its request, and only an answer that ends in the run that began it clears the latter: the
// end of a resumed run says nothing of the part before. A suspect with enough crashes at different upstreams
// and no such answer since is convicted: its requests are refused, but for a trial from time to time. Once a
// prompt part is convicted, its crashes no longer count against the other suspects of the same requests.
//
// Long answers meet crashes that have another cause, so a suspect during answers is convicted only if it met
// more of them than by chance: upstreams that crash together are one event, which an answer meets by chance
// with the share of the upstreams that crashed in it.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/enum_names.h"
#include "relay/report_source.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

enum class SuspectKind : std::uint8_t {
    PromptPart, // Known by its id.
    Request, // Known by a hash of path, organisation and body.
    PromptPartDuringAnswer, // The same while an upstream answers.
    RequestDuringAnswer,
};

inline constexpr auto suspectKindNames = std::array {
    EnumName<SuspectKind> { SuspectKind::PromptPart, "prompt part" },
    EnumName<SuspectKind> { SuspectKind::Request, "request" },
    EnumName<SuspectKind> { SuspectKind::PromptPartDuringAnswer, "prompt part during an answer" },
    EnumName<SuspectKind> { SuspectKind::RequestDuringAnswer, "request during its answer" },
};

// What a request has that may crash upstreams.
struct Suspect {
    SuspectKind m_kind = SuspectKind::PromptPart;
    std::uint64_t m_id = 0;
    auto operator<=>(const Suspect&) const = default; // NOLINT(modernize-use-nullptr): false positive.
};

struct SuspectHash {
    auto operator()(const Suspect& suspect) const noexcept -> std::size_t
    {
        return suspect.m_id ^ static_cast<std::size_t>(suspect.m_kind);
    }
};

// Returns the suspects while an upstream answers, given those before it does.
auto suspectsDuringAnswer(std::vector<Suspect>) -> std::vector<Suspect>;

// Identifies one run of an upstream, from its start to its end.
using UpstreamRunId = std::uint32_t;

// A crash of an upstream's run while a request with a suspect was there.
struct CrashNotice {
    Suspect m_suspect;
    UpstreamRunId m_run = 0;
    MonotonicTime m_crashedAt {};
    std::uint8_t m_position = 0; // Of the suspect in its request; higher ones are shared by fewer requests.
    ReportSource m_source = ReportSource::Self;
};

// An answer to a request with a suspect, begun, or ended in one run for one during answers, after crashes.
struct AnswerNotice {
    Suspect m_suspect;
    MonotonicTime m_begunAt {};
    ReportSource m_source = ReportSource::Self;
};

struct Conviction {
    MonotonicTime m_since {}; // The conviction, or the latest trial.
    std::uint32_t m_trials = 0; // Begun so far, by any node.
};

struct SuspectRecord {
    std::map<UpstreamRunId, MonotonicTime> m_crashes; // When each run crashed; none from before an answer.
    std::uint8_t m_position = 0;
    std::optional<Conviction> m_conviction;
};

// Answers begun lately, by suspect, in two generations so that old ones can be dropped together.
struct AnswerMemory {
    std::unordered_map<Suspect, MonotonicTime, SuspectHash> m_recent;
    std::unordered_map<Suspect, MonotonicTime, SuspectHash> m_older;
};

struct CrashEvidence {
    std::unordered_map<Suspect, SuspectRecord, SuspectHash> m_records;
    std::map<UpstreamRunId, MonotonicTime> m_explainedRuns; // Crashed under a convicted prompt part.
    std::map<UpstreamRunId, MonotonicTime> m_crashedRuns; // All known ones.
    AnswerMemory m_answers;
    std::deque<CrashNotice> m_crashNotices; // Recent ones, to be reported to other nodes; oldest first.
    std::deque<AnswerNotice> m_answerNotices; // Likewise.
    std::size_t m_convictions = 0; // Records with a conviction.
};

// Bounds of what is stored, whatever callers send.
inline constexpr auto maxSuspectRecords = std::size_t { 1'024 };
inline constexpr auto maxSuspectsPerCrash = std::size_t { 32 }; // Of one node's requests.

inline constexpr auto crashesUntilConvicted = std::size_t { 3 };
// From this many crashes on, a request isn't repeated after it was at a crashing upstream.
inline constexpr auto crashesUntilNotRepeated = std::size_t { 2 };
// Upstreams that crash together have another cause in common, so they count once.
inline constexpr auto minCrashSpacing = std::chrono::milliseconds(100);
// Time for answers at other nodes to become known here before a suspect is convicted.
inline constexpr auto convictionDelay = std::chrono::milliseconds(300);
// Until the first trial; doubles with each trial.
inline constexpr auto firstTrialDelay = std::chrono::milliseconds(10'000);
inline constexpr auto noticeRetention = std::chrono::milliseconds(3'000);

// Records a crash. One that is known, or is older than an answer to such a request, changes nothing.
auto recordCrash(CrashEvidence&, const CrashNotice&, MonotonicTime now) -> void;

// Records that an answer to a request of this node with these suspects began, or for suspects during answers
// ran from its beginning to its end. Returns whether that cleared any of them.
auto recordAnswer(CrashEvidence&, const std::vector<Suspect>&, MonotonicTime now) -> bool;

// Apply what another node reports.
auto mergeAnswer(CrashEvidence&, const AnswerNotice&, MonotonicTime now) -> void;
auto mergeConviction(CrashEvidence&, const Suspect&, const Conviction&, MonotonicTime now) -> void;

// Convicts the suspects whose evidence suffices; returns them. The ones least recently answered come first.
// `upstreams`: how many there are, over which crashes that others caused are spread.
auto convictSuspects(CrashEvidence&, std::size_t upstreams, MonotonicTime now) -> std::vector<Suspect>;

// Returns the first of the suspects that is convicted.
auto findConvicted(const CrashEvidence&, const std::vector<Suspect>&) -> std::optional<Suspect>;

// Returns whether any of the suspects has so many crashes that its requests aren't repeated.
auto isLikelyCause(const CrashEvidence&, const std::vector<Suspect>&) -> bool;

// Returns when a node may begin the next trial of a convicted suspect. `wait` keeps nodes from beginning it
// at the same time.
auto trialDueAt(const CrashEvidence&, const Suspect&, std::chrono::milliseconds wait) -> MonotonicTime;

// Begins a trial if it is due: one request with the convicted suspect may be sent.
auto tryBeginTrial(CrashEvidence&, const Suspect&, std::chrono::milliseconds wait, MonotonicTime now) -> bool;

// Drops notices, crashes and convictions that have become too old.
auto dropOldEvidence(CrashEvidence&, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
