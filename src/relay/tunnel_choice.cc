#include "relay/tunnel_choice.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto maxPeersAsked = std::size_t { 3 };

    // Returns the region of a data centre; that of one which isn't listed is its own.
    auto regionOf(const RelaySettings& settings, const DataCentreName& dataCentre) -> std::string
    {
        const auto found = settings.m_regions.find(dataCentre);
        return found == settings.m_regions.end() ? dataCentre.value() : found->second;
    }

    auto isOnTheWay(const Peer& peer, const Upstream& upstream, const RelaySettings& settings) -> bool
    {
        const auto region = regionOf(settings, peer.m_dataCentre);
        return region == regionOf(settings, settings.m_dataCentre)
            || region == regionOf(settings, upstream.m_record.m_dataCentre);
    }

} // namespace

auto mayCarryTunnels(const Peer& peer, MonotonicTime now) -> bool
{
    return isAlive(peer, now) && peer.m_ready && !peer.m_leaving && !peer.m_stranded;
}

auto tunnelPeersFor(const Upstream& upstream, const FleetView& fleet, const RelaySettings& settings,
    std::uint64_t draw, MonotonicTime now) -> std::vector<TunnelPeer>
{
    struct Candidate {
        std::tuple<bool, bool, std::uint64_t> m_rank;
        const Peer* m_peer;
    };
    auto candidates = std::vector<Candidate>();
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (!mayCarryTunnels(peer, now) || !isOnTheWay(peer, upstream, settings))
            continue;
        const auto isFar = peer.m_dataCentre != upstream.m_record.m_dataCentre;
        const auto isRemote = peer.m_dataCentre != settings.m_dataCentre;
        const auto drawn = XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), draw);
        candidates.push_back({ { isFar, isRemote, drawn }, &peer });
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const auto& left, const auto& right) { return left.m_rank < right.m_rank; });
    auto asked = std::set<DataCentreName>();
    std::stable_partition(candidates.begin(), candidates.end(),
        [&](const auto& candidate) { return asked.insert(candidate.m_peer->m_dataCentre).second; });
    auto peers = std::vector<TunnelPeer>();
    for (const auto& candidate : candidates) {
        if (peers.size() < maxPeersAsked)
            peers.push_back({ candidate.m_peer->m_vm, candidate.m_peer->m_peerAddress });
    }
    return peers;
}

} // namespace marigoldladder::relay
