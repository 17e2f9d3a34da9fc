// How often each adapter was asked for lately, as one entry sees it.
#pragma once

#include "core/blackboard.h"

#include <cstdint>
#include <unordered_map>

namespace marigoldladder {

// Requests of one adapter, each counting less the longer it is ago.
struct DecayedCount {
    double m_count = 0;
    MonotonicTime m_at {};
};

// The time after which a request counts for 1/e.
inline constexpr auto popularityWindow = std::chrono::seconds(30);

// Returns the count at a later time, with `added` new requests.
auto decayedTo(const DecayedCount&, std::chrono::duration<double> window, double added, MonotonicTime now)
    -> DecayedCount;

// An adapter's recent rate and the replicas that it is spread over.
struct AdapterDemand {
    DecayedCount m_requests;
    std::uint32_t m_replicas = 1;
};

// Keyed by the adapter's hash. Bounded: adapters without recent requests are dropped when it is full.
struct PopularityTable {
    std::unordered_map<std::uint64_t, AdapterDemand> m_demands;
};

inline constexpr auto maxDemands = std::size_t { 32'768 };

// Counts a request and returns how many replicas the adapter should be spread over. `entries` is the number
// of entries that share the callers. Replicas are added at once, and given up late, since each costs a load.
auto noteRequest(PopularityTable&, std::uint64_t adapterHash, std::size_t entries, MonotonicTime now)
    -> std::uint32_t;

} // namespace marigoldladder
