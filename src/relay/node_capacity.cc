#include "relay/node_capacity.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // Shares of the descriptors, as one in so many. What is left over is for connections to upstreams and to
    // the store, besides the share of tunnels.
    constexpr auto callerDescriptorShare = 3.0 / 8;
    constexpr auto otherDescriptorShare = 1.0 / 32;

    // Shares of the memory. The rest is for the program, the objects of the store and the state of peers.
    constexpr auto connectionMemoryShare = 1.0 / 6;
    constexpr auto callerMemoryShare = 1.0 / 4;
    constexpr auto otherPortMemoryShare = 1.0 / 64;
    constexpr auto peerAnswerMemoryShare = 1.0 / 16;

    constexpr auto sessionBytes = std::size_t { 8 } << 10; // Of a connection without what it has read.

    auto shareOf(std::size_t whole, double share) -> std::size_t
    {
        return static_cast<std::size_t>(static_cast<double>(whole) * share);
    }

} // namespace

auto capacityOf(const RelaySettings& settings) -> NodeCapacity
{
    const auto byMemory
        = shareOf(settings.m_memoryBytes, connectionMemoryShare) / (freeBytesOfConnection + sessionBytes);
    auto capacity = NodeCapacity();
    capacity.m_callers.m_connections
        = std::min(shareOf(settings.m_maxDescriptors, callerDescriptorShare), byMemory);
    capacity.m_callers.m_heldBytes = shareOf(settings.m_memoryBytes, callerMemoryShare);
    capacity.m_otherPortBytes = shareOf(settings.m_memoryBytes, otherPortMemoryShare);
    capacity.m_otherConnections = shareOf(settings.m_maxDescriptors, otherDescriptorShare);
    capacity.m_peerAnswerBytes = shareOf(settings.m_memoryBytes, peerAnswerMemoryShare);
    return capacity;
}

} // namespace marigoldladder::relay
