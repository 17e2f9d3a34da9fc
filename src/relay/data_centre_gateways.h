// Chooses the relays of a data centre: the nodes that tell other data centres of its nodes in a large fleet,
// and pass on what those tell. Without them every node would tell every other, and bytes between data
// centres would grow with the square of the fleet. No input or output.
#pragma once

#include "relay/fleet_view.h"

#include <optional>
#include <vector>

namespace marigoldladder::relay {

// So many relays work side by side in each data centre, so that the loss of one goes unnoticed.
inline constexpr auto gatewaysPerDataCentre = std::size_t { 2 };

// This node as others may choose it as a relay.
struct GatewayCandidate {
    VmName m_vm;
    double m_processorShare = 0; // Cores that it may use.
    bool m_leaving = false;
};

// Returns this node's place among the relays of its data centre, from 0; nothing when it is none.
auto ownGatewayRank(const FleetView&, const GatewayCandidate& self, MonotonicTime now)
    -> std::optional<std::size_t>;

// Returns the relays of another data centre, the first one first. While none of its nodes is heard, any that
// are known to exist, others for other values of `draw`.
auto gatewaysOf(const FleetView&, const DataCentreName&, MonotonicTime now, std::size_t draw)
    -> std::vector<const Peer*>;

// Returns the other data centres in which nodes are known.
auto remoteDataCentres(const FleetView&) -> std::vector<DataCentreName>;

} // namespace marigoldladder::relay
