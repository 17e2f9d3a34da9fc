// What marigoldctl prints: reports as sentences for people, or as one JSON object for programs.
#pragma once

#include "marigoldladder/operator_client.h"

namespace marigoldladder {

enum class OutputStyle {
    Text,
    Json,
};

// Returns one line for each fault, `FILE:LINE: PATH MESSAGE`.
auto formatFaults(const std::string& file, const std::vector<LocatedFault>&) -> std::string;

// Returns what became of a note that was read from `file`.
auto formatReport(const std::string& file, const ApplyReport&, OutputStyle) -> std::string;

// Returns the node's answer in JSON, or a table of the log's entries or of the fleet's members.
auto formatLog(const ReadReport&, OutputStyle) -> std::string;
auto formatStatus(const ReadReport&, OutputStyle) -> std::string;

// Returns what each node knows of a request, one line for each record.
auto formatExplanation(const ReadReport&, OutputStyle) -> std::string;

} // namespace marigoldladder
