#include "relay/peer_loads.h"

#include "relay/blackboard_updates.h"
#include "relay/generated/peer_messages_generated.h"
#include "relay/upstream_health.h"

namespace marigoldladder::relay {

namespace {

    auto copySumToUpstream(RelayBoard& board, std::uint32_t upstreamId) -> void
    {
        const auto found = board.m_upstreams.m_byShortId.find(upstreamId);
        if (found == board.m_upstreams.m_byShortId.end())
            return;
        const auto& sum = board.m_fleet.m_loadSums[upstreamId];
        found->second->m_peersInFlight = sum.m_inFlight;
        found->second->m_peersTokensInFlight = sum.m_tokens;
    }

} // namespace

auto replacePeerLoads(RelayBoard& board, LoadReport& report,
    const std::vector<messages::UpstreamLoad>& reported, MonotonicTime now) -> void
{
    auto loads = std::unordered_map<std::uint32_t, PeerLoad>();
    for (const auto& load : reported)
        loads[load.upstream()] = PeerLoad { load.in_flight(), static_cast<double>(load.tokens()) };
    const auto before = report.m_loads;
    replaceLoads(board.m_fleet, report, std::move(loads), now);
    for (const auto& [id, load] : before)
        copySumToUpstream(board, id);
    for (const auto& [id, load] : report.m_loads)
        copySumToUpstream(board, id);
}

auto recomputePeerLoads(RelayBoard& board, MonotonicTime now) -> void
{
    sumLoads(board.m_fleet, now);
    for (const auto& [id, upstream] : board.m_upstreams.m_byShortId)
        copySumToUpstream(board, id);
}

auto applyUnreachableReport(
    RelayBoard& board, const VmName& peer, std::uint32_t upstreamId, MonotonicTime now) -> void
{
    const auto found = board.m_upstreams.m_byShortId.find(upstreamId);
    if (found == board.m_upstreams.m_byShortId.end())
        return;
    auto& reachability = found->second->m_reachability;
    const auto wasKnown = isUnreachable(reachability, now);
    reachability.m_refusedPeers[peer] = now;
    if (isUnreachable(reachability, now))
        recordNobodyListens(*found->second, now);
    if (!wasKnown && isUnreachable(reachability, now) && board.m_orders.m_holdsLease)
        board.m_adapterWanted();
}

auto applyUnreachableReports(RelayBoard& board, const VmName& peer,
    const std::vector<std::uint32_t>& upstreamIds, MonotonicTime now) -> void
{
    for (const auto id : upstreamIds)
        applyUnreachableReport(board, peer, id, now);
}

auto dropUnreachableReports(RelayBoard& board, const VmName& peer) -> void
{
    for (const auto& [name, upstream] : board.m_upstreams.m_upstreams)
        upstream->m_reachability.m_refusedPeers.erase(peer);
}

} // namespace marigoldladder::relay
