// How a node leaves without cutting a request.
#pragma once

#include <chrono>
#include <cstddef>

namespace marigoldladder {

// What a leaving node sees of itself.
struct DrainObservation {
    std::chrono::milliseconds m_elapsed {}; // Since it began to leave.
    std::chrono::milliseconds m_quiet {}; // Since it last served anything.
    std::size_t m_openRequests = 0; // Of callers.
    std::size_t m_ownerCalls = 0; // Of peers and this node, at its upstreams.
};

// How long the news that a node leaves may take to reach all who name it.
inline constexpr auto drainNewsBound = std::chrono::milliseconds(2000);

// How long nothing may have been served before the node ends. It covers calls that peers have just sent.
inline constexpr auto drainQuietTime = std::chrono::milliseconds(500);

// Whether the node may end: callers come as long as answers given before the news got round are valid, which
// is `timeToLive` after that; then nothing must be left to serve. The listener stays open until then, as one
// that comes late is better served than refused.
auto mayLeave(const DrainObservation&, std::chrono::milliseconds timeToLive) -> bool;

} // namespace marigoldladder
