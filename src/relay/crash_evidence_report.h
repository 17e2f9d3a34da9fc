// Converts the evidence on crashes of upstreams to and from the messages between nodes.
#pragma once

#include "relay/crash_evidence.h"

#include <memory>

namespace marigoldladder::relay::messages {
struct CrashEvidenceReportT;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

// Whose observations a report contains, besides all convictions.
enum class ReportScope {
    Self,
    DataCentre, // This node's and those of the other nodes in its data centre.
};

// Returns the recent evidence, the newest if there is too much; null if there is none.
auto makeEvidenceReport(const CrashEvidence&, ReportScope, MonotonicTime now)
    -> std::unique_ptr<messages::CrashEvidenceReportT>;

auto applyEvidenceReport(
    CrashEvidence&, const messages::CrashEvidenceReportT&, EvidenceSource, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
