// The log of release notes on the platform: one object for each note, created at the next revision.
#pragma once

#include "marigoldladder/release_note.h"
#include "platform/platform_client.h"

#include <optional>

namespace marigoldladder {

// Reads and extends the log. Creation is conditional, so each revision is given out once.
class ReleaseLog {
public:
    explicit ReleaseLog(PlatformClient&);

    // Returns the note that made `revision`, or nothing when the log does not reach that far.
    auto read(Revision) -> Result<std::optional<ReleaseNote>>;

    // Records the note as `revision`; `Conflict` when that revision is another note's.
    auto append(const ReleaseNote&, Revision) -> Result<void>;

private:
    PlatformClient& m_platform;
};

} // namespace marigoldladder
