// Converts the limits that upstreams name to and from the messages between nodes.
#pragma once

#include "relay/relay_board.h"

#include <vector>

namespace marigoldladder::relay::messages {
struct LimitReport;
} // namespace marigoldladder::relay::messages

namespace marigoldladder::relay {

// Returns the limits that were named, or ended, recently.
auto makeLimitReports(const UpstreamTable&, ReportScope, MonotonicTime now)
    -> std::vector<messages::LimitReport>;

auto applyLimitReports(
    RelayBoard&, const std::vector<messages::LimitReport>&, ReportSource, MonotonicTime now) -> void;

} // namespace marigoldladder::relay
