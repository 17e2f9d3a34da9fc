// Which nodes may own shards of the fleet's bounds, as a node that may be paused sees it.
#pragma once

#include "relay/allowance_shards.h"

#include <vector>

namespace marigoldladder::relay {

struct ShardOwnership {
    std::vector<VmName> m_candidates; // For owners.
    double m_fleetShare = 0; // That this node reaches.
    BootClockTime m_updatedAt {};
};

// Whether this process was paused since the last update, so that other nodes may have owned its shards.
auto wasPaused(const ShardOwnership&) -> bool;

// Determines the candidates and the share of the fleet anew. To be called several times a second.
auto updateOwnership(ShardOwnership&, const FleetView&, const ShardCandidate& self, MonotonicTime now)
    -> void;

} // namespace marigoldladder::relay
