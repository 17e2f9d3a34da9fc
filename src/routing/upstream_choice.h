// The entry's choice of upstreams for each request.
#pragma once

#include "core/blackboard.h"
#include "routing/placement.h"
#include "routing/popularity.h"

#include <mutex>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldladder {

// Thread-safe. Keeps the placement tables of the pools, and makes them anew after a change of the
// upstreams or of the configuration.
class UpstreamChooser {
public:
    explicit UpstreamChooser(Blackboard&);

    // Returns the pool's upstreams to try for the affinity key (an adapter, or a request id where none
    // matters), best first; empty when none is in service. Counts the request for the adapter.
    auto choose(const PoolName&, std::string_view affinityKey) -> std::vector<UpstreamName>;

    // Returns upstreams for a further try, in rank and without counting the request; more of them the more
    // have failed already.
    auto rank(const PoolName&, std::string_view affinityKey, std::size_t failed) -> std::vector<UpstreamName>;

    // Notes that the upstream refused a request for the key without running it; for a while it is then
    // tried after others.
    auto noteRefusal(std::string_view affinityKey, const UpstreamName&) -> void;

private:
    // What a table was made from.
    struct TableVersion {
        std::uint64_t m_upstreams = 0;
        std::size_t m_upstreamCount = 0;
        Revision m_revision = 0;

        auto operator<=>(const TableVersion&) const = default;
    };

    struct KnownPool {
        PlacementPool m_pool;
        TableVersion m_version;
    };

    auto currentVersion() const -> TableVersion;
    auto putRefusedLast(const PlacementPool&, std::uint64_t keyHash, std::vector<std::uint32_t>& targets,
        MonotonicTime now) const -> void;
    auto poolOf(const PoolName&) -> PlacementPool&;

    Blackboard& m_blackboard;
    std::mutex m_mutex;
    std::unordered_map<PoolName, KnownPool> m_pools;
    PopularityTable m_popularity;
    std::unordered_map<std::uint64_t, MonotonicTime> m_refusedUntil; // By key and upstream.
    std::size_t m_entries = 1; // Live nodes when the last table was made.
    std::mt19937_64 m_random { std::random_device()() };
};

} // namespace marigoldladder
