#include "relay/shard_ownership.h"

namespace marigoldladder::relay {

namespace {

    constexpr auto maxUpdateGap = Milliseconds(1'200); // Several updates are due in it.

} // namespace

auto wasPaused(const ShardOwnership& ownership) -> bool
{
    return ownership.m_updatedAt + maxUpdateGap < bootClockNow();
}

auto updateOwnership(
    ShardOwnership& ownership, const FleetView& fleet, const ShardCandidate& self, MonotonicTime now) -> void
{
    ownership.m_updatedAt = bootClockNow();
    ownership.m_candidates = shardCandidates(fleet, self, now);
    ownership.m_fleetShare = reachableShare(fleet, now);
}

} // namespace marigoldladder::relay
