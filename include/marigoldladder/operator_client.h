// The operators' side of a node's operator port: hand over release notes, read the log and the state.
//
// Several nodes may be named; each call tries them in turn until one gives a definite answer. A note may
// be handed to the next node after a lost answer, because its id lets it take effect only once.
#pragma once

#include "marigoldladder/release_note.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldladder {

// How a command ended; the values are marigoldctl's exit codes.
enum class CommandResult {
    Done = 0,
    Refused = 1, // Nothing changed.
    Usage = 2,
    OutcomeUnknown = 3, // It may or may not be in force; the same command may be given again.
    InForceUnrecorded = 4, // In force, and recorded when the platform is back.
};

inline constexpr auto commandResultNames = std::array {
    EnumName<CommandResult> { CommandResult::Done, "done" },
    EnumName<CommandResult> { CommandResult::Refused, "refused" },
    EnumName<CommandResult> { CommandResult::Usage, "usage" },
    EnumName<CommandResult> { CommandResult::OutcomeUnknown, "outcome_unknown" },
    EnumName<CommandResult> { CommandResult::InForceUnrecorded, "in_force_unrecorded" },
};

// A fault of a note, with the line of the file that it stands in.
struct LocatedFault {
    std::size_t m_line = 0; // From 1; 0 when it is not known.
    FieldFault m_fault;
};

// Which live nodes have a revision in force, as far as the node asked has heard.
struct Coverage {
    std::size_t m_nodesInForce = 0;
    std::size_t m_liveNodes = 0;
    std::chrono::milliseconds m_after {}; // From the command's start until this was seen.
};

struct ApplyReport {
    CommandResult m_result = CommandResult::OutcomeUnknown;
    Revision m_revision = 0; // 0: not recorded.
    bool m_recordedBefore = false; // By an earlier try of the same note.
    std::size_t m_peersTold = 0; // Peers that hold a note which is not recorded yet.
    Coverage m_coverage;
    std::vector<LocatedFault> m_faults;
    std::string m_message; // Of a failure.
};

// What a call that only reads returned.
struct ReadReport {
    CommandResult m_result = CommandResult::OutcomeUnknown;
    std::string m_json; // The node's answer.
    std::string m_message; // Of a failure.
};

// Checks a note by itself and returns every fault with its line; empty: none.
auto checkNoteText(std::string_view text) -> std::vector<LocatedFault>;

class OperatorClient {
public:
    // The credential is NAME.CREDENTIAL.
    OperatorClient(std::vector<Address> nodes, std::string credential);

    // Hands over a note as operators write it, and waits until it is in force on every live node, or as
    // long as that may take at most.
    auto apply(std::string_view text) -> ApplyReport;

    // Takes a data centre or a VM out of service, or back in. Taking it back in is refused when somebody
    // has taken it out again meanwhile.
    auto setDrain(DrainScope, const std::string& name, bool out) -> ApplyReport;

    // Returns the entries of the log after a revision, `{"notes": [...]}`.
    auto log(Revision after) -> ReadReport;

    // Returns what each of the nodes knows of a request, `{"nodes": [...]}`. Every node is asked; those that
    // can't be are named in the message.
    auto explain(const RequestId&) -> ReadReport;

    // Returns what a node says of itself and of the fleet.
    auto status() -> ReadReport;

private:
    struct Answer;

    auto call(const char* method, const std::string& target, const std::string& body) -> Answer;
    auto applyNote(const ReleaseNote&) -> ApplyReport;
    auto waitForCoverage(Revision, std::chrono::steady_clock::time_point begun) -> Coverage;

    std::vector<Address> m_nodes;
    std::string m_credential;
};

} // namespace marigoldladder
