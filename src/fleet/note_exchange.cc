#include "fleet/note_exchange.h"

#include "core/log.h"
#include "fleet/configuration_controller.h"
#include "objects/snapshot.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto maxNotesBytes = std::size_t { 2 } * 1024 * 1024;

    auto encodePending(const Blackboard& blackboard) -> std::vector<std::unique_ptr<wire::PendingNoteT>>
    {
        const auto pending
            = blackboard.m_configuration.read([](const Configuration& value) { return value.m_pending; });
        auto encoded = std::vector<std::unique_ptr<wire::PendingNoteT>>();
        for (const auto& [id, note] : pending) {
            auto told = std::make_unique<wire::PendingNoteT>();
            told->note_id = id.value();
            told->json = formatReleaseNote(*note);
            encoded.push_back(std::move(told));
        }
        return encoded;
    }

    // Fills in the notes from `first` on; false when this node no longer keeps the first of them.
    auto addNotes(const Blackboard& blackboard, Revision first, wire::NotesAnswerT& answer) -> bool
    {
        return blackboard.m_noteHistory.read([&](const NoteHistory& history) {
            if (first < history.m_first || first >= history.m_first + history.m_texts.size())
                return false;
            answer.first = first;
            auto bytes = std::size_t { 0 };
            for (auto i = first - history.m_first; i < history.m_texts.size(); ++i) {
                const auto& text = history.m_texts[i];
                bytes += text.size();
                if (bytes > maxNotesBytes && !answer.notes.empty())
                    break;
                answer.notes.push_back(text);
            }
            return true;
        });
    }

    auto takeNotes(Blackboard& blackboard, const wire::NotesAnswerT& answer) -> bool
    {
        auto revision = answer.first;
        auto taken = false;
        for (const auto& text : answer.notes) {
            const auto note = parseReleaseNote(text);
            if (!note) {
                logWarning("peer_note_unreadable", { { "revision", std::to_string(revision) } });
                break;
            }
            taken = putNoteInForce(blackboard, note.value(), revision++) || taken;
        }
        return taken;
    }

    auto takeSnapshot(Blackboard& blackboard, const std::string& text) -> bool
    {
        auto configuration = parseSnapshot(text);
        if (!configuration) {
            logWarning("peer_snapshot_unreadable");
            return false;
        }
        return putConfigurationInForce(blackboard, std::move(configuration.value()));
    }

} // namespace

auto makeNotesRequest(const Blackboard& blackboard) -> wire::NotesRequestT
{
    auto request = wire::NotesRequestT();
    request.pending = encodePending(blackboard);
    blackboard.m_configuration.read([&](const Configuration& value) {
        request.after = value.m_revision;
        request.complete = value.m_complete;
    });
    return request;
}

auto makeNotesAnswer(const Blackboard& blackboard, const wire::NotesRequestT& request) -> wire::NotesAnswerT
{
    auto answer = wire::NotesAnswerT();
    answer.pending = encodePending(blackboard);
    blackboard.m_configuration.read([&](const Configuration& value) {
        answer.revision = value.m_revision;
        answer.complete = value.m_complete;
    });
    const auto behind = !request.complete || request.after < answer.revision;
    if (!answer.complete || !behind)
        return answer;
    if (request.complete && addNotes(blackboard, request.after + 1, answer))
        return answer;
    answer.snapshot = formatSnapshot(blackboard.m_configuration.copy());
    answer.snapshot_revision = answer.revision;
    return answer;
}

auto takePendingNotes(Blackboard& blackboard, const std::vector<std::unique_ptr<wire::PendingNoteT>>& pending)
    -> bool
{
    auto taken = false;
    for (const auto& told : pending) {
        const auto note = parseReleaseNote(told->json);
        if (!note || !isRestriction(note.value()))
            continue;
        const auto added = blackboard.m_configuration.write(
            [&](Configuration& value) { return addPendingRestriction(value, note.value()); });
        if (added)
            logWarning("restriction_in_force_unrecorded", { { "note_id", told->note_id } });
        taken = taken || added;
    }
    return taken;
}

auto takeNotesAnswer(Blackboard& blackboard, const wire::NotesAnswerT& answer) -> bool
{
    const auto restricted = takePendingNotes(blackboard, answer.pending);
    const auto replaced = !answer.snapshot.empty() && takeSnapshot(blackboard, answer.snapshot);
    const auto applied = takeNotes(blackboard, answer);
    return restricted || replaced || applied;
}

} // namespace marigoldladder
