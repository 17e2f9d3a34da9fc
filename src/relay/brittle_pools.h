// Pools whose upstreams say that they fall over when they refuse too many requests in a second.
//
// While a pool is brittle, each request to one of its upstreams needs a grant of room: see `room_grants.h`.
#pragma once

#include "relay/upstream.h"

#include <optional>

namespace marigoldladder::relay {

// Records what an answer said of its pool, as of `saidAt`: the refusals a second that its upstreams bear, or
// that they bear any number. The brittle time ends once none has said so for a second. Returns whether it
// begins or ends.
auto recordBrittleness(
    UpstreamTable&, const PoolName&, std::optional<double> refusalsPerSecond, MonotonicTime saidAt) -> bool;

// Returns what the upstreams of a pool said last; null if they aren't brittle, as far as is known.
auto brittlenessOf(const UpstreamTable&, const PoolName&) -> const Brittleness*;

// Returns how many slots of an upstream may be in use while its pool is brittle, by the nodes that see
// `fleetShare` of the fleet: the two sides of a network partition share its room.
auto usedSlots(const Upstream&, double fleetShare) -> std::size_t;

// Returns the time between two requests that an upstream may refuse, at least, over all nodes.
auto refusalInterval(const Brittleness&) -> Milliseconds;

} // namespace marigoldladder::relay
