// Shows what other nodes have in flight, and which upstreams refuse them, at the upstreams themselves.
#pragma once

#include "relay/relay_board.h"

#include <vector>

namespace marigoldladder::relay::messages {
struct UpstreamLoad;
}

namespace marigoldladder::relay {

// Replaces what a peer or a data centre has in flight.
auto replacePeerLoads(RelayBoard&, LoadReport&, const std::vector<messages::UpstreamLoad>&, MonotonicTime now)
    -> void;

// Adds all loads up anew, without those of nodes that fell silent.
auto recomputePeerLoads(RelayBoard&, MonotonicTime now) -> void;

// Enters that an upstream refused a connection of this peer.
auto applyUnreachableReport(RelayBoard&, const VmName& peer, std::uint32_t upstreamId, MonotonicTime now)
    -> void;

} // namespace marigoldladder::relay
