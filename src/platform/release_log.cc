#include "platform/release_log.h"

#include <iomanip>
#include <sstream>

namespace marigoldladder {

namespace {

    constexpr auto noteKind = "releasenotes";
    constexpr auto revisionDigits = 12;

    // Names sort in the order of their revisions.
    auto noteName(Revision revision) -> std::string
    {
        auto name = std::ostringstream();
        name << "note-" << std::setw(revisionDigits) << std::setfill('0') << revision;
        return name.str();
    }

} // namespace

ReleaseLog::ReleaseLog(PlatformClient& platform)
    : m_platform(platform)
{
}

auto ReleaseLog::read(Revision revision) -> Result<std::optional<ReleaseNote>>
{
    const auto object = m_platform.get(noteKind, noteName(revision));
    if (!object)
        return object.error();
    if (!object.value())
        return std::optional<ReleaseNote>();
    auto note = parseReleaseNote(object.value()->m_spec.dump());
    if (!note)
        return notRun(FailureType::Internal, "release note " + std::to_string(revision) + " can't be read");
    return std::optional(std::move(note.value()));
}

auto ReleaseLog::append(const ReleaseNote& note, Revision revision) -> Result<void>
{
    const auto spec = nlohmann::json::parse(formatReleaseNote(note));
    const auto created = m_platform.create(noteKind, noteName(revision), spec);
    if (created)
        return boost::outcome_v2::success();
    if (created.error().m_verdict == Verdict::NotRun)
        return created.error();
    const auto found = read(revision); // The reply was lost: read back whose note took the place.
    if (!found)
        return created.error();
    if (found.value() && found.value()->m_id == note.m_id)
        return boost::outcome_v2::success();
    return notRun(FailureType::Conflict, "revision " + std::to_string(revision) + " is another note's");
}

} // namespace marigoldladder
