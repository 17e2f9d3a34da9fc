#include "objects/release_log.h"

#include "core/json_fields.h"
#include "core/secret_digest.h"
#include "objects/snapshot.h"

#include <iomanip>
#include <sstream>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto noteKind = "releasenotes";
    constexpr auto headKind = "releaseheads";
    constexpr auto archiveKind = "releasearchives";
    constexpr auto headName = "head";
    constexpr auto revisionDigits = 12;

    // Names sort in the order of their revisions.
    auto revisionName(const char* prefix, Revision revision) -> std::string
    {
        auto name = std::ostringstream();
        name << prefix << "-" << std::setw(revisionDigits) << std::setfill('0') << revision;
        return name.str();
    }

    auto noteName(Revision revision) -> std::string
    {
        return revisionName("note", revision);
    }

    // Returns the first revision of the archive that `revision` belongs to.
    auto archiveStart(Revision revision) -> Revision
    {
        return (revision - 1) / notesPerSnapshot * notesPerSnapshot + 1;
    }

    auto parseNote(const std::string& text, Revision revision) -> Result<ReleaseNote>
    {
        auto note = parseReleaseNote(text);
        if (!note)
            return notRun(
                FailureType::Internal, "release note " + std::to_string(revision) + " can't be read");
        return std::move(note.value());
    }

    // Whether the head's counts are such, where it states them. A default in place of another would bring
    // notes back that were removed.
    auto isHead(const nlohmann::json& spec) -> bool
    {
        const auto isCount = [&spec](const char* field) {
            const auto* value = member(spec, field);
            return !value || value->is_number_unsigned();
        };
        return isCount("snapshot_revision") && isCount("first_kept") && isCount("removed_below");
    }

    auto readHeadObject(const PlatformObject& object) -> LogHead
    {
        auto head = LogHead();
        head.m_version = object.m_version;
        head.m_snapshotRevision = countOr(object.m_spec, "snapshot_revision", 0);
        head.m_firstKept = countOr(object.m_spec, "first_kept", 1);
        head.m_removedBelow = countOr(object.m_spec, "removed_below", 1);
        head.m_snapshot = parseShardedText(objectIn(object.m_spec, "snapshot"));
        head.m_previousSnapshot = parseShardedText(objectIn(object.m_spec, "previous_snapshot"));
        return head;
    }

    auto formatHead(const LogHead& head) -> nlohmann::json
    {
        return {
            { "snapshot_revision", head.m_snapshotRevision },
            { "first_kept", head.m_firstKept },
            { "removed_below", head.m_removedBelow },
            { "snapshot", formatShardedText(head.m_snapshot) },
            { "previous_snapshot", formatShardedText(head.m_previousSnapshot) },
        };
    }

} // namespace

ReleaseLog::ReleaseLog(PlatformClient& platform)
    : m_platform(platform)
{
}

auto ReleaseLog::noteOf(const PlatformObject& object, Revision revision) -> Result<ReleaseNote>
{
    const auto shards = object.m_spec.find("shards");
    if (shards == object.m_spec.end())
        return parseNote(object.m_spec.dump(), revision);
    const auto text = readShards(m_platform, parseShardedText(*shards));
    if (!text)
        return text.error();
    return parseNote(text.value(), revision);
}

auto ReleaseLog::read(Revision revision) -> Result<std::optional<ReleaseNote>>
{
    const auto object = m_platform.get(noteKind, noteName(revision));
    if (!object)
        return object.error();
    if (!object.value())
        return std::optional<ReleaseNote>();
    auto note = noteOf(*object.value(), revision);
    if (!note)
        return note.error();
    return std::optional(std::move(note.value()));
}

auto ReleaseLog::append(const ReleaseNote& note, Revision revision) -> Result<void>
{
    const auto text = formatReleaseNote(note);
    auto spec = nlohmann::json();
    if (text.size() <= shardBytes) {
        spec = nlohmann::json::parse(text);
    } else {
        const auto shards = writeShards(m_platform, "note-" + saltedDigest("", text), text);
        if (!shards)
            return notRun(shards.error().m_type, shards.error().m_message); // The entry itself decides.
        spec = { { "note_id", note.m_id.value() }, { "shards", formatShardedText(shards.value()) } };
    }
    const auto created = m_platform.create(noteKind, noteName(revision), spec);
    if (created)
        return boost::outcome_v2::success();
    if (created.error().m_verdict == Verdict::NotRun)
        return created.error();
    const auto found = m_platform.get(noteKind, noteName(revision));
    if (!found || !found.value()) // A write without a reply may still be on its way.
        return created.error();
    if (textOr(found.value()->m_spec, "note_id", "") == note.m_id.value())
        return boost::outcome_v2::success();
    return notRun(FailureType::Conflict, "revision " + std::to_string(revision) + " is another note's");
}

auto ReleaseLog::readHead() -> Result<LogHead>
{
    const auto object = m_platform.get(headKind, headName);
    if (!object)
        return object.error();
    if (!object.value())
        return LogHead();
    if (!isHead(object.value()->m_spec))
        return notRun(FailureType::Internal, "the head of the release log can't be read");
    return readHeadObject(*object.value());
}

auto ReleaseLog::readSnapshot() -> Result<std::optional<Configuration>>
{
    constexpr auto attempts = 3; // A newer snapshot may take this one's place while it is read.
    auto failure = notRun(FailureType::Unavailable, "the snapshot can't be read");
    for (auto i = 0; i < attempts; ++i) {
        const auto head = readHead();
        if (!head)
            return head.error();
        if (head.value().m_snapshotRevision == 0)
            return std::optional<Configuration>();
        const auto text = readShards(m_platform, head.value().m_snapshot);
        if (text) {
            auto configuration = parseSnapshot(text.value());
            if (!configuration)
                return notRun(FailureType::Internal, "the snapshot is damaged");
            return std::optional(std::move(configuration.value()));
        }
        failure = text.error();
        if (failure.m_type != FailureType::NotFound)
            break;
    }
    return failure;
}

auto ReleaseLog::removeEntry(Revision revision) -> Result<void>
{
    const auto object = m_platform.get(noteKind, noteName(revision));
    if (!object)
        return object.error();
    if (!object.value())
        return boost::outcome_v2::success();
    const auto shards = object.value()->m_spec.find("shards");
    if (shards != object.value()->m_spec.end()) {
        const auto removed = removeShards(m_platform, parseShardedText(*shards));
        if (!removed)
            return removed.error();
    }
    return m_platform.remove(noteKind, noteName(revision));
}

auto ReleaseLog::removeBefore(const LogHead& head) -> Result<void>
{
    for (auto revision = head.m_removedBelow; revision < head.m_firstKept; ++revision) {
        const auto removed = removeEntry(revision);
        if (!removed)
            return removed.error();
    }
    return removeShards(m_platform, head.m_previousSnapshot);
}

auto ReleaseLog::archive(Revision first) -> Result<void>
{
    auto entries = nlohmann::json::array();
    for (auto revision = first; revision < first + notesPerSnapshot; ++revision) {
        const auto note = read(revision);
        if (!note)
            return note.error();
        if (!note.value())
            return notRun(FailureType::Conflict, "another node has archived these entries");
        entries.push_back(nlohmann::json::parse(formatReleaseNote(*note.value())));
    }
    const auto shards = writeShards(m_platform, revisionName("archive", first), entries.dump(-1, ' ', true));
    if (!shards)
        return shards.error();
    const auto created
        = m_platform.create(archiveKind, revisionName("archive", first), formatShardedText(shards.value()));
    if (created || created.error().m_type == FailureType::Conflict)
        return boost::outcome_v2::success();
    return created.error();
}

auto ReleaseLog::writeHead(const LogHead& head) -> Result<void>
{
    const auto written = head.m_version == 0
        ? m_platform.create(headKind, headName, formatHead(head))
        : m_platform.update(headKind, { headName, head.m_version, formatHead(head) });
    if (!written)
        return written.error();
    return boost::outcome_v2::success();
}

auto ReleaseLog::compact(const Configuration& configuration) -> Result<void>
{
    const auto found = readHead();
    if (!found)
        return found.error();
    const auto& old = found.value();
    if (configuration.m_revision < old.m_snapshotRevision + notesPerSnapshot)
        return boost::outcome_v2::success();
    const auto removed = removeBefore(old);
    if (!removed)
        return removed.error();
    auto head = LogHead();
    head.m_version = old.m_version;
    head.m_firstKept = archiveStart(old.m_snapshotRevision + 1);
    head.m_removedBelow = old.m_firstKept;
    for (auto first = old.m_firstKept; first < head.m_firstKept; first += notesPerSnapshot) {
        const auto archived = archive(first);
        if (!archived)
            return archived.error();
    }
    const auto revision = configuration.m_revision;
    const auto snapshot
        = writeShards(m_platform, revisionName("snapshot", revision), formatSnapshot(configuration));
    if (!snapshot)
        return snapshot.error();
    head.m_snapshotRevision = revision;
    head.m_snapshot = snapshot.value();
    head.m_previousSnapshot = old.m_snapshot;
    auto written = writeHead(head);
    if (!written && written.error().m_type == FailureType::Conflict)
        (void)removeLostSnapshot(snapshot.value());
    return written;
}

// Removes the snapshot of a node that was overtaken by another, unless it is the same one.
auto ReleaseLog::removeLostSnapshot(const ShardedText& lost) -> Result<void>
{
    const auto head = readHead();
    if (!head)
        return head.error();
    if (head.value().m_snapshot.m_prefix == lost.m_prefix)
        return boost::outcome_v2::success();
    return removeShards(m_platform, lost);
}

auto ReleaseLog::readArchive(Revision first) -> Result<std::vector<LogEntry>>
{
    const auto object = m_platform.get(archiveKind, revisionName("archive", first));
    if (!object)
        return object.error();
    if (!object.value())
        return notRun(FailureType::NotFound, "the archive from revision " + std::to_string(first));
    const auto text = readShards(m_platform, parseShardedText(object.value()->m_spec));
    if (!text)
        return text.error();
    auto entries = std::vector<LogEntry>();
    for (const auto& json : nlohmann::json::parse(text.value(), nullptr, false)) {
        const auto revision = first + entries.size();
        auto note = parseNote(json.dump(), revision);
        if (!note)
            return note.error();
        entries.push_back({ revision, std::move(note.value()) });
    }
    return entries;
}

auto ReleaseLog::history(Revision after, std::size_t most) -> Result<std::vector<LogEntry>>
{
    const auto head = readHead();
    if (!head)
        return head.error();
    auto entries = std::vector<LogEntry>();
    auto next = after + 1;
    while (next < head.value().m_firstKept && entries.size() < most) {
        auto archived = readArchive(archiveStart(next));
        if (!archived)
            return archived.error();
        for (auto& entry : archived.value()) {
            if (entry.m_revision == next && entries.size() < most) {
                entries.push_back(std::move(entry));
                ++next;
            }
        }
    }
    while (entries.size() < most) {
        auto note = read(next);
        if (!note)
            return note.error();
        if (!note.value())
            break;
        entries.push_back({ next++, std::move(*note.value()) });
    }
    return entries;
}

} // namespace marigoldladder
