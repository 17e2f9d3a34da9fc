// Keeps the configuration on the blackboard up to date with the log of release notes.
#pragma once

#include "core/blackboard.h"
#include "platform/release_log.h"

namespace marigoldladder {

// Reads the log from the next revision on and puts each note in force. Returns the first failure.
auto followReleaseLog(Blackboard&, ReleaseLog&) -> Result<void>;

// Checks the note against the configuration, records it as the next revision and puts it in force.
// Returns the revision; `BadRequest` names every fault of the note in its message.
auto recordReleaseNote(Blackboard&, ReleaseLog&, const ReleaseNote&) -> Result<Revision>;

} // namespace marigoldladder
