#include "relay/retry_budget.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // The share of its budget that this node uses. The rest covers requests that arrive in a later window
    // than the one they are counted in.
    constexpr auto usableShare = 0.8;

    auto intervalAt(const RetryWindow& window, const FleetBounds& bounds, MonotonicTime now) -> std::int64_t
    {
        const auto length = bounds.m_retryWindow / static_cast<int>(window.m_intervals.size());
        return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch())
            / std::max(length, Milliseconds(1));
    }

    auto currentInterval(RetryWindow& window, const FleetBounds& bounds, MonotonicTime now) -> RetryCounts&
    {
        const auto interval = intervalAt(window, bounds, now);
        auto& counts = window.m_intervals[static_cast<std::size_t>(interval) % window.m_intervals.size()];
        if (counts.m_interval != interval)
            counts = RetryCounts { interval, 0, 0 };
        return counts;
    }

} // namespace

auto recordRequest(RetryBudget& budget, const PoolName& pool, const FleetBounds& bounds, MonotonicTime now)
    -> void
{
    currentInterval(budget.m_windows[pool], bounds, now).m_requests += 1;
}

auto allowsRetry(RetryBudget& budget, const PoolName& pool, const FleetBounds& bounds, std::size_t nodes,
    MonotonicTime now) -> bool
{
    auto& window = budget.m_windows[pool];
    const auto& current = currentInterval(window, bounds, now);
    const auto oldest = current.m_interval - static_cast<std::int64_t>(window.m_intervals.size());
    auto requests = 0.0;
    auto retries = 0.0;
    for (const auto& counts : window.m_intervals) {
        if (counts.m_interval <= oldest)
            continue;
        requests += counts.m_requests;
        retries += counts.m_retries;
    }
    const auto extra = bounds.m_retryExtra / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return retries + 1 <= usableShare * (bounds.m_retryRatio * requests + extra);
}

auto tryAcquireRetry(RetryBudget& budget, const PoolName& pool, const FleetBounds& bounds, std::size_t nodes,
    MonotonicTime now) -> bool
{
    if (!allowsRetry(budget, pool, bounds, nodes, now))
        return false;
    currentInterval(budget.m_windows[pool], bounds, now).m_retries += 1;
    return true;
}

auto returnRetry(
    RetryBudget& budget, const PoolName& pool, const FleetBounds& bounds, MonotonicTime countedAt) -> void
{
    auto& window = budget.m_windows[pool];
    const auto interval = intervalAt(window, bounds, countedAt);
    for (auto& counts : window.m_intervals) {
        if (counts.m_interval == interval)
            counts.m_retries -= 1;
    }
}

} // namespace marigoldladder::relay
