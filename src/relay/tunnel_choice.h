// Chooses the nodes that may connect to an upstream for this one.
#pragma once

#include "relay/fleet_view.h"
#include "relay/relay_settings.h"
#include "relay/upstream.h"

#include <cstdint>
#include <vector>

namespace marigoldladder::relay {

struct TunnelPeer {
    VmName m_vm;
    Address m_address; // Its port for peers.
};

// Whether this peer may carry connections to upstreams for this node.
auto mayCarryTunnels(const Peer&, MonotonicTime now) -> bool;

// Returns the peers to ask, the best first and at most three, of different data centres as far as there are,
// since one data centre may have lost its links as a whole. Those in the upstream's data centre come first,
// as the bytes leave the data centre once then; requests never pass another region than this node's and the
// upstream's. `draw` spreads them over peers that are equally good.
auto tunnelPeersFor(const Upstream&, const FleetView&, const RelaySettings&, std::uint64_t draw,
    MonotonicTime now) -> std::vector<TunnelPeer>;

} // namespace marigoldladder::relay
