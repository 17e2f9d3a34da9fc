#include "relay/brittle_pools.h"

#include <algorithm>
#include <cmath>

namespace marigoldladder::relay {

namespace {

    // The reserve is for connections being opened, and for nodes that count other nodes or upstreams.
    constexpr auto usedShareOfSlots = 0.75;
    constexpr auto unknownRequests = std::size_t { 3 }; // Of each other node, since it was last heard.
    constexpr auto minPause = Milliseconds(40);
    constexpr auto maxPause = Milliseconds(5'000);

    // Between two requests of this node that the upstream may refuse.
    auto refusalInterval(const Brittleness& brittleness, std::size_t nodes) -> Milliseconds
    {
        constexpr auto millisecondsPerSecond = 1'000.0;
        if (brittleness.m_refusalsPerSecond <= 0)
            return maxPause;
        const auto time
            = millisecondsPerSecond * static_cast<double>(nodes) / brittleness.m_refusalsPerSecond;
        const auto bounded = std::min(std::ceil(time), static_cast<double>(maxPause.count()));
        return std::max(minPause, Milliseconds(static_cast<std::int64_t>(bounded)));
    }

    // Returns how many of the slots that begin with number `first` are this node's.
    auto ownedSlots(std::size_t first, std::size_t count, const FleetPlace& place) -> std::size_t
    {
        const auto ownedBelow
            = [&](std::size_t slot) { return (slot + place.m_nodes - 1 - place.m_rank) / place.m_nodes; };
        return ownedBelow(first + count) - ownedBelow(first);
    }

} // namespace

auto recordBrittleness(UpstreamTable& table, const PoolName& pool, std::optional<double> refusalsPerSecond,
    MonotonicTime saidAt) -> bool
{
    const auto found = table.m_brittle.find(pool);
    if (!refusalsPerSecond) {
        if (found == table.m_brittle.end() || saidAt <= found->second.m_saidAt)
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

auto usedSlots(const Upstream& upstream) -> std::size_t
{
    const auto used = static_cast<double>(upstream.m_record.m_slots) * usedShareOfSlots;
    return std::max<std::size_t>(static_cast<std::size_t>(used), 1);
}

auto hasBrittleRoom(const Upstream& upstream, const Brittleness& brittleness, const FleetPlace& place,
    const PoolSlots& slots, MonotonicTime now) -> bool
{
    const auto used = usedSlots(upstream);
    const auto mayTryMore = now >= upstream.m_room.m_triedAt + refusalInterval(brittleness, place.m_nodes);
    if (upstream.m_inFlight >= upstream.m_room.m_taken + (mayTryMore ? 1 : 0))
        return false;
    const auto known = upstream.m_inFlight + upstream.m_peersInFlight;
    if (slots.m_all < place.m_nodes)
        return upstream.m_inFlight == 0 && known < used;
    if (upstream.m_inFlight < ownedSlots(slots.m_first, used, place))
        return true;
    return known + unknownRequests * (place.m_nodes - 1) < used;
}

auto recordRoomTried(Upstream& upstream, MonotonicTime now) -> void
{
    if (upstream.m_inFlight > upstream.m_room.m_taken)
        upstream.m_room.m_triedAt = now;
}

auto recordRoomTaken(Upstream& upstream, std::size_t inFlight) -> void
{
    const auto atOnce = std::min(inFlight, upstream.m_inFlight);
    upstream.m_room.m_taken = std::max(upstream.m_room.m_taken, atOnce);
}

auto recordRoomRefused(Upstream& upstream) -> void
{
    const auto others = std::max<std::size_t>(upstream.m_inFlight, 1) - 1;
    upstream.m_room.m_taken = std::min(upstream.m_room.m_taken, others);
}

auto pauseAfterRefusal(const Brittleness& brittleness, std::size_t nodes) -> Milliseconds
{
    return refusalInterval(brittleness, nodes);
}

} // namespace marigoldladder::relay
