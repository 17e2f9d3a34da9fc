// Copies the peers' requests in flight, and the connections that upstreams refused them, to the relay board's
// upstreams.
#pragma once

#include "relay/relay_board.h"

#include <vector>

namespace marigoldladder::relay::messages {
struct UpstreamLoad;
}

namespace marigoldladder::relay {

// Replaces the loads of a peer or a data centre, and updates the upstreams that they concern.
auto replacePeerLoads(RelayBoard&, LoadReport&, const std::vector<messages::UpstreamLoad>&, MonotonicTime now)
    -> void;

// Recomputes all upstreams' sums of peer loads, which excludes the loads of unresponsive nodes.
auto recomputePeerLoads(RelayBoard&, MonotonicTime now) -> void;

// Records that an upstream refused a connection of this peer.
auto applyUnreachableReport(RelayBoard&, const VmName& peer, std::uint32_t upstreamId, MonotonicTime now)
    -> void;
auto applyUnreachableReports(RelayBoard&, const VmName& peer, const std::vector<std::uint32_t>& upstreamIds,
    MonotonicTime now) -> void;

// Forgets what the peer reported: it is stranded, so the refusals say nothing of the upstreams.
auto dropUnreachableReports(RelayBoard&, const VmName& peer) -> void;

} // namespace marigoldladder::relay
