// The requests that placement is measured with, and the bound that no placement can beat on them.
#pragma once

#include <cstddef>
#include <vector>

namespace marigoldladder {

inline constexpr auto adapters = std::size_t { 3000 };

struct TraceRequest {
    double m_at = 0; // Seconds.
    std::size_t m_adapter = 0;
};

// Poisson arrivals; every minute some adapters trade their places in the order of popularity.
auto makeTrace(unsigned seed) -> std::vector<TraceRequest>;

// Returns the share of requests that a clairvoyant with one pool of `places` for adapters has to load for.
auto clairvoyantStallShare(const std::vector<TraceRequest>&, std::size_t places) -> double;

} // namespace marigoldladder
