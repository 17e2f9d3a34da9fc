// Chooses the upstreams for a request from tables made once for each change of the pool.
//
// An adapter's home replicas are the first in rank by rendezvous hashing, as many as its popularity asks
// for, so that all entries agree on them without a word. Large pools are hashed in two steps, group and
// then member, which keeps the cost low and still moves only the keys of a replica that is lost.
#pragma once

#include "core/blackboard.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

namespace marigoldladder {

struct PlacementTarget {
    UpstreamName m_name;
    std::uint64_t m_hash = 0;
    double m_load = 0; // Recent dispatches from this entry, decayed.
    MonotonicTime m_loadAt {};
};

// One pool's upstreams in service.
struct PlacementPool {
    std::vector<PlacementTarget> m_targets;
    std::vector<std::vector<std::uint32_t>> m_groups; // Positions in `m_targets`.
    bool m_hasEngines = false;
};

inline constexpr auto maxAttemptsOffered = std::size_t { 3 };

// Makes the pool's table. Upstreams that are leaving, or whose data centre or VM is out, are left out.
auto makePlacementPool(const UpstreamTable&, const Configuration&, const PoolName&) -> PlacementPool;

// Returns the hash under which a target or an adapter is ranked.
auto placementHash(std::string_view) -> std::uint64_t;

// Returns the positions of the first `count` targets in rank for the key, best first.
auto rankTargets(const PlacementPool&, std::uint64_t keyHash, std::size_t count)
    -> std::vector<std::uint32_t>;

// Returns targets to try in this order, at most three: the less loaded of two home replicas drawn at
// random, then the other home replicas, then the next in rank. When even the first is much busier than
// the next in rank, that one goes first, at the cost of a load there.
auto chooseTargets(const PlacementPool&, std::uint64_t keyHash, std::uint32_t homeReplicas, std::mt19937_64&,
    MonotonicTime now) -> std::vector<std::uint32_t>;

// Counts a dispatch to the target.
auto noteDispatch(PlacementTarget&, MonotonicTime now) -> void;

} // namespace marigoldladder
