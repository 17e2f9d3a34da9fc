// Keeps the configuration on the blackboard up to date with the log of release notes, and extends the log.
//
// A configuration only ever moves to a higher revision, whichever way the newer one came: from the platform
// or from a peer.
#pragma once

#include "core/blackboard.h"
#include "objects/release_log.h"

#include <optional>
#include <random>

namespace marigoldladder {

// How far `followReleaseLog` looks.
enum class FollowScope {
    NextNotes, // The entries after the revision in force.
    Snapshot, // Also whether a snapshot is ahead of the revision in force.
};

// Puts the note in force if it is the next one; another thread may have done so before.
auto putNoteInForce(Blackboard&, const ReleaseNote&, Revision) -> bool;

// Takes over a whole configuration unless the one in force is as new.
auto putConfigurationInForce(Blackboard&, Configuration) -> bool;

// Reads the log from the next revision on and puts each note in force; a node without a configuration
// reads to the end before any of it is in force. Returns the first failure.
auto followReleaseLog(Blackboard&, ReleaseLog&, FollowScope) -> Result<void>;

// What became of a release note that was to be recorded: one of the three is set.
struct RecordOutcome {
    std::optional<Revision> m_revision;
    std::vector<FieldFault> m_faults;
    std::optional<Failure> m_failure;
    bool m_recordedBefore = false; // The revision is from an earlier try of the same note.
};

// Checks the note against the configuration, records it as the next revision and puts it in force.
// Pending restrictions go into the log before it.
auto recordReleaseNote(Blackboard&, ReleaseLog&, const ReleaseNote&) -> RecordOutcome;

// Enters every restriction that is in force but not yet recorded into the log. Returns the first failure.
auto recordPendingNotes(Blackboard&, ReleaseLog&) -> Result<void>;

// Nodes that watch the log in each data centre; the others learn of notes from them.
inline constexpr auto watchersPerDataCentre = std::size_t { 2 };

// Whether this node is among those that watch the log for its data centre: the first by name that live.
auto isLogWatcher(const Membership&, const VmName& self, const DataCentreName&) -> bool;

// Returns how long to wait before the platform is asked again, given failures in a row. `jitter` is within
// 0 and 1 and keeps nodes from asking together.
auto pollInterval(bool watcher, unsigned failuresInARow, double jitter) -> std::chrono::milliseconds;

// Polls the log as often as this node's part in it asks for. Its step is run by one thread.
class ConfigurationController {
public:
    ConfigurationController(Blackboard&, ReleaseLog&, VmName self, DataCentreName);

    // Asks the platform when it is time to. Returns whether the platform answered, or nothing when it was
    // not asked.
    auto step() -> std::optional<bool>;

private:
    auto poll() -> Result<void>;
    auto compactWhenDue() -> void;

    Blackboard& m_blackboard;
    ReleaseLog& m_log;
    VmName m_self;
    DataCentreName m_dataCentre;
    std::mt19937_64 m_random { std::random_device()() };
    MonotonicTime m_nextPoll {};
    MonotonicTime m_nextSnapshotLook {};
    Revision m_nextCompaction = notesPerSnapshot;
    unsigned m_failuresInARow = 0;
};

} // namespace marigoldladder
