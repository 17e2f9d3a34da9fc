// Divides a machine's memory and descriptors among what a node does for others, so that nothing that clients
// send takes what the node needs for everything else.
#pragma once

#include "relay/relay_settings.h"

#include <cstddef>

namespace marigoldladder::relay {

// What a connection may hold of a request and its answer without a share of the memory that all connections
// have together, in bytes. A small request finds room however much the others hold.
inline constexpr auto freeBytesOfConnection = std::size_t { 16 } << 10;

struct NodeCapacity {
    std::size_t m_callerConnections = 0; // At once.
    std::size_t m_callerBytes = 0; // Of requests and answers, beyond what is free for each connection.
    std::size_t m_otherPortBytes = 0; // Of heads, likewise, at each of the other ports for HTTP.
    std::size_t m_otherConnections = 0; // At once that wait for their client, at each of the other ports.
    std::size_t m_peerAnswerBytes = 0; // Of answers on their way to other nodes.
};

// Returns what of so many bytes needs a share of the common memory.
constexpr auto beyondFree(std::size_t bytes) -> std::size_t
{
    return bytes > freeBytesOfConnection ? bytes - freeBytesOfConnection : 0;
}

// Returns the shares of the machine that the settings describe.
auto capacityOf(const RelaySettings&) -> NodeCapacity;

} // namespace marigoldladder::relay
