#include "relay/retry_ledger.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // What this node uses of its part; the rest covers requests that reach a window later than counted.
    constexpr auto usedShare = 0.8;

    auto partOf(const RetryWindow& window, const FleetBounds& bounds, MonotonicTime now) -> std::int64_t
    {
        const auto length = bounds.m_retryWindow / static_cast<int>(window.m_parts.size());
        return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch())
            / std::max(length, Milliseconds(1));
    }

    auto currentPart(RetryWindow& window, const FleetBounds& bounds, MonotonicTime now) -> RetryCounts&
    {
        const auto part = partOf(window, bounds, now);
        auto& counts = window.m_parts[static_cast<std::size_t>(part) % window.m_parts.size()];
        if (counts.m_part != part)
            counts = RetryCounts { part, 0, 0 };
        return counts;
    }

} // namespace

auto noteRequest(RetryLedger& ledger, const PoolName& pool, const FleetBounds& bounds, MonotonicTime now)
    -> void
{
    currentPart(ledger.m_windows[pool], bounds, now).m_requests += 1;
}

auto takeRepeat(RetryLedger& ledger, const PoolName& pool, const FleetBounds& bounds, std::size_t nodes,
    MonotonicTime now) -> bool
{
    auto& window = ledger.m_windows[pool];
    auto& current = currentPart(window, bounds, now);
    const auto oldest = current.m_part - static_cast<std::int64_t>(window.m_parts.size());
    auto requests = 0.0;
    auto repeats = 0.0;
    for (const auto& counts : window.m_parts) {
        if (counts.m_part <= oldest)
            continue;
        requests += counts.m_requests;
        repeats += counts.m_repeats;
    }
    const auto extra = bounds.m_retryExtra / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (repeats + 1 > usedShare * (bounds.m_retryRatio * requests + extra))
        return false;
    current.m_repeats += 1;
    return true;
}

} // namespace marigoldladder::relay
