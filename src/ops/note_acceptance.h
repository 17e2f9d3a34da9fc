// Takes release notes from operators: the log when the platform answers, and for restrictions that can't
// wait the peers when it does not.
#pragma once

#include "fleet/configuration_controller.h"
#include "fleet/note_spreader.h"

namespace marigoldladder {

enum class NoteResult {
    Recorded, // In the log and in force here.
    RecordedBefore, // An earlier try of the same note is in the log; nothing changed.
    InForceUnrecorded, // In force here and on peers; goes into the log when the platform is back.
    Refused, // Nothing changed; the faults say why.
    Failed, // The failure's verdict says whether the note may be in force.
};

inline constexpr auto noteResultNames = std::array {
    EnumName<NoteResult> { NoteResult::Recorded, "recorded" },
    EnumName<NoteResult> { NoteResult::RecordedBefore, "recorded_before" },
    EnumName<NoteResult> { NoteResult::InForceUnrecorded, "in_force_unrecorded" },
    EnumName<NoteResult> { NoteResult::Refused, "refused" },
    EnumName<NoteResult> { NoteResult::Failed, "failed" },
};

struct NoteReceipt {
    NoteResult m_result = NoteResult::Failed;
    Revision m_revision = 0; // Of the record, where there is one.
    std::size_t m_peersTold = 0; // Peers that confirmed an unrecorded note.
    std::vector<FieldFault> m_faults;
    Failure m_failure;
};

// Thread-safe.
class NoteAcceptance {
public:
    NoteAcceptance(Blackboard&, ReleaseLog&, NoteSpreader&);

    // Puts the note in force, or says why not. The note names its author, office and time.
    auto accept(const ReleaseNote&) -> NoteReceipt;

private:
    auto restrictAtOnce(const ReleaseNote&) -> bool;
    auto receiptOfPending(const Failure&) -> NoteReceipt;

    Blackboard& m_blackboard;
    ReleaseLog& m_log;
    NoteSpreader& m_spreader;
};

} // namespace marigoldladder
