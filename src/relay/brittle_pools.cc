#include "relay/brittle_pools.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    // The reserve is for connections being opened, and for requests of nodes that don't reach the owner.
    constexpr auto usedShareOfSlots = 0.75;
    constexpr auto usedShareOfRefusals = 0.8; // The rest is for the same nodes.
    constexpr auto minRefusalInterval = Milliseconds(40);
    constexpr auto maxRefusalInterval = Milliseconds(5'000);
    // Not all upstreams of a pool begin to say so at once.
    constexpr auto endDelay = Milliseconds(1'000);

} // namespace

auto recordBrittleness(UpstreamTable& table, const PoolName& pool, std::optional<double> refusalsPerSecond,
    MonotonicTime saidAt) -> bool
{
    const auto found = table.m_brittle.find(pool);
    if (!refusalsPerSecond) {
        if (found == table.m_brittle.end() || saidAt <= found->second.m_saidAt + endDelay)
            return false;
        table.m_brittle.erase(found);
        return true;
    }
    if (found != table.m_brittle.end() && saidAt < found->second.m_saidAt)
        return false;
    table.m_brittle[pool] = { *refusalsPerSecond, saidAt };
    return found == table.m_brittle.end();
}

auto brittlenessOf(const UpstreamTable& table, const PoolName& pool) -> const Brittleness*
{
    const auto found = table.m_brittle.find(pool);
    return found == table.m_brittle.end() ? nullptr : &found->second;
}

auto usedSlots(const Upstream& upstream, double fleetShare) -> std::size_t
{
    const auto used = static_cast<double>(upstream.m_record.m_slots) * usedShareOfSlots * fleetShare;
    return std::max<std::size_t>(static_cast<std::size_t>(used), 1);
}

auto refusalInterval(const Brittleness& brittleness) -> Milliseconds
{
    constexpr auto millisecondsPerSecond = 1'000.0;
    const auto refusals = brittleness.m_refusalsPerSecond * usedShareOfRefusals;
    if (!(refusals > 0))
        return maxRefusalInterval;
    const auto time = std::ceil(millisecondsPerSecond / refusals);
    const auto bounded = std::min(time, static_cast<double>(maxRefusalInterval.count()));
    return std::max(minRefusalInterval, Milliseconds(static_cast<std::int64_t>(bounded)));
}

} // namespace marigoldladder::relay
