// The log of release notes on the platform.
//
// Each note is one object, created under the name of its revision, so that the platform gives each revision
// out once. A note too large for one value keeps its text in shards, and its object names them. Now and
// then a snapshot takes the place of old entries: the head object names it, and the entries it covers move
// into archives that `history` reads.
#pragma once

#include "marigoldladder/release_note.h"
#include "objects/snapshot_shards.h"

#include <optional>
#include <vector>

namespace marigoldladder {

// Notes after which a new snapshot is due.
inline constexpr auto notesPerSnapshot = Revision { 128 };

// What the head object says of the log.
struct LogHead {
    ObjectVersion m_version = 0; // 0: there is no head object yet.
    Revision m_snapshotRevision = 0; // 0: there is no snapshot yet.
    Revision m_firstKept = 1; // The first revision with an entry of its own; older ones are in archives.
    Revision m_removedBelow = 1; // Entries before this one are certainly removed.
    ShardedText m_snapshot;
    ShardedText m_previousSnapshot; // Kept until the next snapshot, for readers under way.
};

// One line of the audit trail.
struct LogEntry {
    Revision m_revision = 0;
    ReleaseNote m_note;
};

// Reads and extends the log. Thread-safe.
class ReleaseLog {
public:
    explicit ReleaseLog(PlatformClient&);

    // Returns the note that made `revision`, or nothing when there is no such entry: the log ends before
    // it, or the entry has moved into an archive.
    auto read(Revision) -> Result<std::optional<ReleaseNote>>;

    // Records the note as `revision`; `Conflict` when that revision is another note's. A lost reply is
    // resolved by reading back; `MayHaveRun` when that fails too.
    auto append(const ReleaseNote&, Revision) -> Result<void>;

    auto readHead() -> Result<LogHead>;

    // Returns the snapshot that the head names, or nothing when there is none.
    auto readSnapshot() -> Result<std::optional<Configuration>>;

    // Writes a snapshot and archives and removes the entries that it makes needless, when one is due.
    // Safe to be run by several nodes at once and to be cut off anywhere. The configuration must hold
    // nothing that is not in the log.
    auto compact(const Configuration&) -> Result<void>;

    // Returns up to `most` entries after a revision, oldest first.
    auto history(Revision after, std::size_t most) -> Result<std::vector<LogEntry>>;

private:
    auto noteOf(const PlatformObject&, Revision) -> Result<ReleaseNote>;
    auto removeEntry(Revision) -> Result<void>;
    auto removeBefore(const LogHead&) -> Result<void>;
    auto archive(Revision first) -> Result<void>;
    auto readArchive(Revision first) -> Result<std::vector<LogEntry>>;
    auto removeLostSnapshot(const ShardedText&) -> Result<void>;
    auto writeHead(const LogHead&) -> Result<void>;

    PlatformClient& m_platform;
};

} // namespace marigoldladder
