// Bounds how often requests are sent once more, so that all nodes together keep the fleet's bound.
#pragma once

#include "relay/relay_settings.h"
#include "relay/upstream.h"

#include <array>
#include <map>

namespace marigoldladder::relay {

// Requests and repeats in one part of the window.
struct RetryCounts {
    std::int64_t m_interval = -1; // Which part of the clock this is.
    double m_requests = 0;
    double m_retries = 0;
};

// The latest window of one pool. The parts are as many as to forget gradually.
struct RetryWindow {
    std::array<RetryCounts, 10> m_intervals {};
};

struct RetryBudget {
    std::map<PoolName, RetryWindow> m_windows;
};

// Counts a caller's attempt.
auto recordRequest(RetryBudget&, const PoolName&, const FleetBounds&, MonotonicTime now) -> void;

// Counts a repeat if this node's part of the bound allows one more.
auto tryAcquireRetry(RetryBudget&, const PoolName&, const FleetBounds&, std::size_t nodes, MonotonicTime now)
    -> bool;

} // namespace marigoldladder::relay
