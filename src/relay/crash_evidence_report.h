// Converts the evidence on crashes of upstreams to and from the messages between nodes.
#pragma once

#include "relay/crash_evidence.h"

#include <memory>

namespace marigoldladder::relay::messages {
struct CrashEvidenceReportT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

// Returns the recent evidence in this scope and all convictions, the newest if there is too much; null if
// there is none.
auto makeEvidenceReport(const CrashEvidence&, ReportScope, MonotonicTime now)
    -> std::unique_ptr<messages::CrashEvidenceReportT>;

auto applyEvidenceReport(
    CrashEvidence&, const messages::CrashEvidenceReportT&, ReportSource, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
