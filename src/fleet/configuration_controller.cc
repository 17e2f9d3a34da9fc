#include "fleet/configuration_controller.h"

namespace marigoldladder {

namespace {

    // Puts the note in force if it is the next one; another thread may have done so before.
    auto putInForce(Blackboard& blackboard, const ReleaseNote& note, Revision revision) -> void
    {
        blackboard.m_configuration.write([&](Configuration& configuration) {
            if (configuration.m_revision + 1 != revision)
                return;
            applyReleaseNote(configuration, note, revision);
            blackboard.m_metrics.add(Counter::NotesApplied);
        });
    }

    auto currentRevision(const Blackboard& blackboard) -> Revision
    {
        return blackboard.m_configuration.read([](const Configuration& value) { return value.m_revision; });
    }

    auto describeFaults(const std::vector<FieldFault>& faults) -> std::string
    {
        auto text = std::string();
        for (const auto& fault : faults)
            text += (text.empty() ? "" : "; ") + fault.m_path + " " + fault.m_message;
        return text;
    }

} // namespace

auto followReleaseLog(Blackboard& blackboard, ReleaseLog& log) -> Result<void>
{
    while (true) {
        const auto revision = currentRevision(blackboard) + 1;
        const auto note = log.read(revision);
        if (!note)
            return note.error();
        if (!note.value())
            return boost::outcome_v2::success();
        putInForce(blackboard, *note.value(), revision);
    }
}

auto recordReleaseNote(Blackboard& blackboard, ReleaseLog& log, const ReleaseNote& note) -> Result<Revision>
{
    while (true) {
        const auto caughtUp = followReleaseLog(blackboard, log);
        if (!caughtUp)
            return caughtUp.error();
        const auto alreadyApplied = blackboard.m_configuration.read(
            [&](const Configuration& value) { return value.m_appliedNotes.contains(note.m_id); });
        if (alreadyApplied)
            return currentRevision(blackboard);
        const auto faults = blackboard.m_configuration.read(
            [&](const Configuration& value) { return checkReleaseNote(value, note); });
        if (!faults.empty())
            return notRun(FailureType::BadRequest, describeFaults(faults));
        const auto revision = currentRevision(blackboard) + 1;
        const auto appended = log.append(note, revision);
        if (appended) {
            putInForce(blackboard, note, revision);
            return revision;
        }
        if (appended.error().m_type != FailureType::Conflict)
            return appended.error();
    }
}

} // namespace marigoldladder
