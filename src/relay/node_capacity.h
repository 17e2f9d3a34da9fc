// Divides a machine's memory and descriptors among what a node does for others, so that nothing that clients
// send takes what the node needs for everything else.
#pragma once

#include "core/connection_room.h"
#include "relay/relay_settings.h"

#include <cstddef>

namespace marigoldladder::relay {

struct NodeCapacity {
    ConnectionBounds m_callers;
    std::size_t m_otherPortBytes = 0; // Of heads, likewise, at each of the other ports for HTTP.
    std::size_t m_otherConnections = 0; // At once that wait for their client, at each of the other ports.
    std::size_t m_peerAnswerBytes = 0; // Of answers on their way to other nodes.
};

// Returns the shares of the machine that the settings describe.
auto capacityOf(const RelaySettings&) -> NodeCapacity;

} // namespace marigoldladder::relay
