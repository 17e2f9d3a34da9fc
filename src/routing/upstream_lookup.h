// Looks one upstream up in the table that the platform's list fills.
#pragma once

#include "core/blackboard.h"

#include <optional>

namespace marigoldladder {

// Returns a copy of the upstream as it is listed now; nothing when it is gone.
auto findUpstream(const Blackboard&, const UpstreamName&) -> std::optional<Upstream>;

} // namespace marigoldladder
