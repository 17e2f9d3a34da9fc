// Selects the gateways of a data centre: the nodes that, in a large fleet, send the state of its nodes to
// other data centres and forward the state received from these. Without them every node would send to every
// other, and the traffic between data centres would grow with the square of the fleet's size. No input or
// output.
#pragma once

#include "relay/fleet_view.h"

#include <optional>
#include <vector>

namespace marigoldladder::relay {

// Two gateways are active at a time, so that one may fail without an interruption.
inline constexpr auto gatewaysPerDataCentre = std::size_t { 2 };

// The properties of this node by which other nodes select it as a gateway.
struct GatewayCandidate {
    VmName m_vm;
    double m_processorShare = 0; // In cores.
    bool m_leaving = false;
};

// Returns this node's rank among the gateways of its data centre, from 0; `std::nullopt` when it is not one.
auto ownGatewayRank(const FleetView&, const GatewayCandidate& self, MonotonicTime now)
    -> std::optional<std::size_t>;

// Returns the gateways of another data centre, ordered by rank. While none of its nodes is alive, returns one
// of its known nodes; `draw`, a random or counted number, selects which one.
auto gatewaysOf(const FleetView&, const DataCentreName&, MonotonicTime now, std::size_t draw)
    -> std::vector<const Peer*>;

// Returns the names of the other data centres that have known nodes.
auto remoteDataCentres(const FleetView&) -> std::vector<DataCentreName>;

} // namespace marigoldladder::relay
