#include "fleet/configuration_controller.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto watcherInterval = std::chrono::milliseconds(1000);
    constexpr auto followerInterval = std::chrono::milliseconds(20'000);
    constexpr auto longestWatcherInterval = std::chrono::milliseconds(4000);
    constexpr auto snapshotLookInterval = std::chrono::milliseconds(20'000);
    constexpr auto maxHistoryBytes = std::size_t { 4 } * 1024 * 1024;
    constexpr auto maxHistoryNotes = std::size_t { 256 };

    auto keepForPeers(NoteHistory& history, std::string text, Revision revision) -> void
    {
        const auto next = history.m_first + history.m_texts.size();
        if (revision < next)
            return;
        if (revision > next)
            history = { revision, {}, 0 };
        history.m_bytes += text.size();
        history.m_texts.push_back(std::move(text));
        while (history.m_bytes > maxHistoryBytes || history.m_texts.size() > maxHistoryNotes) {
            history.m_bytes -= history.m_texts.front().size();
            history.m_texts.pop_front();
            ++history.m_first;
        }
    }

    auto currentRevision(const Blackboard& blackboard) -> Revision
    {
        return blackboard.m_configuration.read([](const Configuration& value) { return value.m_revision; });
    }

    auto isComplete(const Blackboard& blackboard) -> bool
    {
        return blackboard.m_configuration.read([](const Configuration& value) { return value.m_complete; });
    }

    // Applies entries of the log to a configuration that is not in force yet, up to the log's end.
    auto readToEnd(ReleaseLog& log, Configuration& configuration) -> Result<void>
    {
        while (true) {
            const auto revision = configuration.m_revision + 1;
            const auto note = log.read(revision);
            if (!note)
                return note.error();
            if (!note.value())
                return boost::outcome_v2::success();
            applyReleaseNote(configuration, *note.value(), revision);
        }
    }

    auto loadWhole(Blackboard& blackboard, ReleaseLog& log) -> Result<void>
    {
        auto snapshot = log.readSnapshot();
        if (!snapshot)
            return snapshot.error();
        auto configuration = std::move(snapshot.value()).value_or(Configuration());
        const auto read = readToEnd(log, configuration);
        if (!read)
            return read.error();
        putConfigurationInForce(blackboard, std::move(configuration));
        return boost::outcome_v2::success();
    }

    // Takes over the platform's snapshot when it is ahead, as the entries in between may be gone.
    auto skipToSnapshot(Blackboard& blackboard, ReleaseLog& log) -> Result<void>
    {
        const auto head = log.readHead();
        if (!head)
            return head.error();
        if (head.value().m_snapshotRevision > currentRevision(blackboard))
            return loadWhole(blackboard, log);
        return boost::outcome_v2::success();
    }

    auto followEntries(Blackboard& blackboard, ReleaseLog& log) -> Result<void>
    {
        while (true) {
            const auto revision = currentRevision(blackboard) + 1;
            const auto note = log.read(revision);
            if (!note)
                return note.error();
            if (!note.value())
                return boost::outcome_v2::success();
            putNoteInForce(blackboard, *note.value(), revision);
        }
    }

    enum class NoteCheck {
        Full,
        None, // The note has been accepted and is in force.
    };

    // Where a note stands with respect to the configuration in force, seen in one look.
    struct Standing {
        Revision m_next = 0;
        std::optional<Revision> m_appliedIn;
        std::vector<FieldFault> m_faults;
    };

    auto standingOf(const Blackboard& blackboard, const ReleaseNote& note, NoteCheck check) -> Standing
    {
        return blackboard.m_configuration.read([&](const Configuration& value) {
            auto standing = Standing { value.m_revision + 1, std::nullopt, {} };
            const auto applied = value.m_appliedNotes.find(note.m_id);
            if (applied != value.m_appliedNotes.end())
                standing.m_appliedIn = applied->second;
            else if (check == NoteCheck::Full)
                standing.m_faults = checkReleaseNote(value, note);
            return standing;
        });
    }

    // Whether an entry still counts: a writer that was paused may create one that a snapshot has passed.
    auto entryCounts(ReleaseLog& log, Revision revision) -> Result<bool>
    {
        const auto head = log.readHead();
        if (!head)
            return mayHaveRun(FailureType::Unavailable, "the note's place in the log can't be confirmed");
        return revision >= head.value().m_firstKept;
    }

    auto isFirstAlive(const Membership& membership, const VmName& self) -> bool
    {
        for (const auto& [vm, member] : membership.m_members) {
            if (vm == self)
                return true;
            if (member.m_state == MemberState::Alive)
                return false;
        }
        return true;
    }

    auto failedOutcome(const Failure& failure) -> RecordOutcome
    {
        return { std::nullopt, {}, failure, false };
    }

    // Brings the configuration up to the log's end. As nothing has been written, a failure is `NotRun`.
    auto catchUp(Blackboard& blackboard, ReleaseLog& log) -> Result<void>
    {
        const auto followed = followReleaseLog(blackboard, log, FollowScope::Snapshot);
        if (!followed)
            return notRun(followed.error().m_type, followed.error().m_message);
        return boost::outcome_v2::success();
    }

    auto record(Blackboard& blackboard, ReleaseLog& log, const ReleaseNote& note, NoteCheck check)
        -> RecordOutcome
    {
        while (true) {
            const auto caughtUp = catchUp(blackboard, log);
            if (!caughtUp)
                return failedOutcome(caughtUp.error());
            auto standing = standingOf(blackboard, note, check);
            if (standing.m_appliedIn)
                return { standing.m_appliedIn, {}, std::nullopt, true };
            if (!standing.m_faults.empty())
                return { std::nullopt, std::move(standing.m_faults), std::nullopt, false };
            const auto appended = log.append(note, standing.m_next);
            if (!appended && appended.error().m_type == FailureType::Conflict)
                continue;
            if (!appended)
                return failedOutcome(appended.error());
            const auto counts = entryCounts(log, standing.m_next);
            if (!counts)
                return failedOutcome(counts.error());
            if (!counts.value())
                continue;
            putNoteInForce(blackboard, note, standing.m_next);
            return { standing.m_next, {}, std::nullopt, false };
        }
    }

} // namespace

auto putNoteInForce(Blackboard& blackboard, const ReleaseNote& note, Revision revision) -> bool
{
    const auto applied = blackboard.m_configuration.write([&](Configuration& configuration) {
        if (!configuration.m_complete || configuration.m_revision + 1 != revision)
            return false;
        applyReleaseNote(configuration, note, revision);
        return true;
    });
    if (!applied)
        return false;
    blackboard.m_metrics.add(Counter::NotesApplied);
    auto text = formatReleaseNote(note);
    blackboard.m_noteHistory.write(
        [&](NoteHistory& history) { keepForPeers(history, std::move(text), revision); });
    return true;
}

auto putConfigurationInForce(Blackboard& blackboard, Configuration configuration) -> bool
{
    return blackboard.m_configuration.write(
        [&](Configuration& value) { return replaceConfiguration(value, std::move(configuration)); });
}

auto followReleaseLog(Blackboard& blackboard, ReleaseLog& log, FollowScope scope) -> Result<void>
{
    if (!isComplete(blackboard))
        return loadWhole(blackboard, log);
    if (scope == FollowScope::Snapshot) {
        const auto skipped = skipToSnapshot(blackboard, log);
        if (!skipped)
            return skipped.error();
    }
    return followEntries(blackboard, log);
}

auto recordPendingNotes(Blackboard& blackboard, ReleaseLog& log) -> Result<void>
{
    const auto pending
        = blackboard.m_configuration.read([](const Configuration& value) { return value.m_pending; });
    for (const auto& [id, note] : pending) {
        const auto outcome = record(blackboard, log, *note, NoteCheck::None);
        if (outcome.m_failure)
            return *outcome.m_failure;
    }
    return boost::outcome_v2::success();
}

auto recordReleaseNote(Blackboard& blackboard, ReleaseLog& log, const ReleaseNote& note) -> RecordOutcome
{
    const auto pending = recordPendingNotes(blackboard, log);
    if (!pending)
        return failedOutcome(notRun(pending.error().m_type, pending.error().m_message));
    return record(blackboard, log, note, NoteCheck::Full);
}

auto isLogWatcher(const Membership& membership, const VmName& self, const DataCentreName& dataCentre) -> bool
{
    auto before = std::size_t { 0 };
    for (const auto& [vm, member] : membership.m_members) {
        if (vm >= self)
            break;
        if (member.m_dataCentre == dataCentre && member.m_state == MemberState::Alive)
            ++before;
    }
    return before < watchersPerDataCentre;
}

auto pollInterval(bool watcher, unsigned failuresInARow, double jitter) -> std::chrono::milliseconds
{
    constexpr auto leastFactor = 0.75;
    constexpr auto jitterFactor = 0.5;
    constexpr auto mostDoublings = 4U;
    auto interval = watcher ? watcherInterval : followerInterval;
    for (auto i = 0U; i < std::min(failuresInARow, mostDoublings) && interval < longestWatcherInterval; ++i)
        interval = std::min(interval * 2, longestWatcherInterval);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        interval * (leastFactor + jitterFactor * jitter));
}

ConfigurationController::ConfigurationController(
    Blackboard& blackboard, ReleaseLog& log, VmName self, DataCentreName dataCentre)
    : m_blackboard(blackboard)
    , m_log(log)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

auto ConfigurationController::step() -> std::optional<bool>
{
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextPoll)
        return std::nullopt;
    const auto polled = poll();
    m_failuresInARow = polled ? 0 : m_failuresInARow + 1;
    const auto watcher = m_blackboard.m_membership.read(
        [&](const Membership& value) { return isLogWatcher(value, m_self, m_dataCentre); });
    const auto often = watcher || !isComplete(m_blackboard);
    const auto jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_nextPoll = now + pollInterval(often, m_failuresInARow, jitter);
    if (polled && watcher)
        compactWhenDue();
    return polled.has_value();
}

auto ConfigurationController::poll() -> Result<void>
{
    const auto now = std::chrono::steady_clock::now();
    const auto scope = now >= m_nextSnapshotLook ? FollowScope::Snapshot : FollowScope::NextNotes;
    const auto followed = followReleaseLog(m_blackboard, m_log, scope);
    if (!followed)
        return followed.error();
    if (scope == FollowScope::Snapshot)
        m_nextSnapshotLook = now + snapshotLookInterval;
    return recordPendingNotes(m_blackboard, m_log);
}

auto ConfigurationController::compactWhenDue() -> void
{
    const auto first = m_blackboard.m_membership.read(
        [&](const Membership& value) { return isFirstAlive(value, m_self); });
    const auto grace
        = first ? Revision { 0 } : notesPerSnapshot; // The others step in when the first is late.
    if (currentRevision(m_blackboard) < m_nextCompaction + grace)
        return;
    const auto configuration = m_blackboard.m_configuration.copy();
    if (!configuration.m_pending.empty() || !m_log.compact(configuration))
        return;
    m_nextCompaction = configuration.m_revision + notesPerSnapshot;
}

} // namespace marigoldladder
