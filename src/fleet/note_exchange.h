// What two nodes say to each other about release notes: the requests and answers as messages.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/release_note.h"
#include "wire/generated/messages_generated.h"

namespace marigoldladder {

// Asks for the notes after the revision in force here, and tells which restrictions are pending.
auto makeNotesRequest(const Blackboard&) -> wire::NotesRequestT;

// Answers with the notes after the revision asked about, as far as this node keeps them and they fit in one
// message, or else with a snapshot. A node without a configuration answers with neither.
auto makeNotesAnswer(const Blackboard&, const wire::NotesRequestT&) -> wire::NotesAnswerT;

// Puts the pending restrictions that a peer told in force. Returns whether any of them is new here.
auto takePendingNotes(Blackboard&, const std::vector<std::unique_ptr<wire::PendingNoteT>>&) -> bool;

// Puts what a peer answered in force. Returns whether any of it is new here.
auto takeNotesAnswer(Blackboard&, const wire::NotesAnswerT&) -> bool;

} // namespace marigoldladder
