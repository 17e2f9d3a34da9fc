#include "ops/note_acceptance.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto peerTimeout = std::chrono::milliseconds(1000);

} // namespace

NoteAcceptance::NoteAcceptance(Blackboard& blackboard, ReleaseLog& log, NoteSpreader& spreader)
    : m_blackboard(blackboard)
    , m_log(log)
    , m_spreader(spreader)
{
}

auto NoteAcceptance::accept(const ReleaseNote& note) -> NoteReceipt
{
    const auto restricted = restrictAtOnce(note);
    auto outcome = recordReleaseNote(m_blackboard, m_log, note);
    m_spreader.noteNews();
    if (outcome.m_failure && restricted)
        return receiptOfPending(*outcome.m_failure);
    if (outcome.m_failure)
        return { NoteResult::Failed, 0, 0, {}, *outcome.m_failure };
    if (!outcome.m_faults.empty())
        return { NoteResult::Refused, 0, 0, std::move(outcome.m_faults), {} };
    const auto before = outcome.m_recordedBefore && !restricted;
    return { before ? NoteResult::RecordedBefore : NoteResult::Recorded, *outcome.m_revision, 0, {}, {} };
}

// Puts a restriction in force here ahead of its record, if nothing known here stands against it.
auto NoteAcceptance::restrictAtOnce(const ReleaseNote& note) -> bool
{
    if (!isRestriction(note))
        return false;
    const auto restricted = m_blackboard.m_configuration.write([&](Configuration& configuration) {
        if (configuration.m_pending.contains(note.m_id))
            return true; // An earlier try of the same note.
        const auto sound = configuration.m_complete && checkReleaseNote(configuration, note).empty();
        return sound && addPendingRestriction(configuration, note);
    });
    if (restricted)
        m_spreader.noteNews();
    return restricted;
}

// With no other node that holds the note, its end would lose it: then the outcome is left open.
auto NoteAcceptance::receiptOfPending(const Failure& failure) -> NoteReceipt
{
    const auto told = m_spreader.spreadPending(peerTimeout);
    const auto members = m_blackboard.m_membership.read([](const Membership& value) {
        return std::count_if(value.m_members.begin(), value.m_members.end(),
            [](const auto& member) { return member.second.m_state != MemberState::Gone; });
    });
    if (told == 0 && members > 1)
        return { NoteResult::Failed, 0, 0, {},
            mayHaveRun(failure.m_type, "in force on this node only: " + failure.m_message) };
    return { NoteResult::InForceUnrecorded, 0, told, {}, {} };
}

} // namespace marigoldladder
