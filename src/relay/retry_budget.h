// Limits retries, so that all nodes together stay within the fleet's bound.
#pragma once

#include "relay/relay_settings.h"
#include "relay/upstream.h"

#include <array>
#include <map>

namespace marigoldladder::relay {

// Requests and retries within one interval of the window.
struct RetryCounts {
    std::int64_t m_interval = -1; // Number of the interval since the clock's epoch; -1: none yet.
    double m_requests = 0;
    double m_retries = 0;
};

inline constexpr auto retryWindowIntervals = std::size_t { 10 };

// A sliding window over one pool's requests. It moves on by one interval at a time.
struct RetryWindow {
    std::array<RetryCounts, retryWindowIntervals> m_intervals {};
};

// The retry budgets of all pools.
struct RetryBudget {
    std::map<PoolName, RetryWindow> m_windows;
};

// Counts a request of a caller.
auto recordRequest(RetryBudget&, const PoolName&, const FleetBounds&, MonotonicTime now) -> void;

// Whether `tryAcquireRetry` would return true.
auto allowsRetry(RetryBudget&, const PoolName&, const FleetBounds&, std::size_t nodes, MonotonicTime now)
    -> bool;

// Counts a retry and returns true if this node's share of the bound allows one more. The bound is
// `m_retryRatio` times the requests of the window plus this node's share of `m_retryExtra`.
auto tryAcquireRetry(RetryBudget&, const PoolName&, const FleetBounds&, std::size_t nodes, MonotonicTime now)
    -> bool;

// Takes back a retry that was counted at `countedAt` and then not sent.
auto returnRetry(RetryBudget&, const PoolName&, const FleetBounds&, MonotonicTime countedAt) -> void;

} // namespace marigoldladder::relay
