// Pools whose upstreams say that they fall over when they refuse too many requests in a second.
//
// Nodes learn each other's requests late, so while a pool is brittle its slots, less a reserve, are divided
// among the nodes: each counts the slots of all of the pool's upstreams through and owns those whose number
// leaves its rank. Beyond these a node sends only where there would be room if all others did the same. Where
// there are more nodes than slots, each sends one request at a time where it knows of room. What
// an upstream has not been seen to take is tried at a bounded rate, and an upstream that refused a request
// is left alone for a while, so that all nodes together stay below the refusals that it bears.
#pragma once

#include "relay/upstream.h"

#include <optional>

namespace marigoldladder::relay {

// Records what an answer said of its pool, as of `saidAt`: the refusals a second that its upstreams bear, or
// that they bear any number. Returns whether the pool's brittle time begins or ends.
auto recordBrittleness(
    UpstreamTable&, const PoolName&, std::optional<double> refusalsPerSecond, MonotonicTime saidAt) -> bool;

// Returns what the upstreams of a pool said last; null if they aren't brittle, as far as is known.
auto brittlenessOf(const UpstreamTable&, const PoolName&) -> const Brittleness*;

// A node's place among all nodes, by name.
struct FleetPlace {
    std::size_t m_nodes = 1;
    std::size_t m_rank = 0;
};

// Returns how many slots of an upstream may be in use while its pool is brittle.
auto usedSlots(const Upstream&) -> std::size_t;

// The slots that may be in use at the upstreams of a brittle pool, counted through by the upstreams' names.
struct PoolSlots {
    std::size_t m_first = 0; // Those of the upstreams before the one that is looked at.
    std::size_t m_all = 0;
};

// Whether this node may send one more request to an upstream of a brittle pool.
auto hasBrittleRoom(
    const Upstream&, const Brittleness&, const FleetPlace&, const PoolSlots&, MonotonicTime now) -> bool;

// Records that a request, which counts as in flight, is sent.
auto recordRoomTried(Upstream&, MonotonicTime now) -> void;

// Records that the upstream took a request that was sent as one of `inFlight` of this node. Some of the
// others may have been refused meanwhile.
auto recordRoomTaken(Upstream&, std::size_t inFlight) -> void;

// Records that the upstream refused a request, which still counts as in flight, for want of room.
auto recordRoomRefused(Upstream&) -> void;

// Returns how long a node sends nothing to an upstream of a brittle pool that refused a request.
auto pauseAfterRefusal(const Brittleness&, std::size_t nodes) -> Milliseconds;

} // namespace marigoldladder::relay
