#include "relay/fleet_view.h"

#include <algorithm>
#include <ctime>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto lostTime = Milliseconds(20'000); // Beyond any cut after which a node is expected back.
    constexpr auto mostNodesOfSmallFleet = std::size_t { 16 };
    constexpr auto memberReadInterval = Milliseconds(15'000);
    constexpr auto memberReadTimeANode = Milliseconds(2'000); // So that the fleet reads once in two seconds.
    constexpr auto fewestWatchers = std::size_t { 3 }; // So that the loss of two goes unnoticed.

    // Those that watch the store tell four times a second; silent for longer, another one takes their place,
    // as a change has to be in force within seconds.
    constexpr auto watcherSilence = Milliseconds(1'000);

    auto addLoads(FleetView& fleet, const std::unordered_map<std::uint32_t, PeerLoad>& loads) -> void
    {
        for (const auto& [upstream, load] : loads) {
            auto& sum = fleet.m_loadSums[upstream];
            sum.m_inFlight += load.m_inFlight;
            sum.m_tokens += load.m_tokens;
        }
    }

    auto takeLoads(FleetView& fleet, const std::unordered_map<std::uint32_t, PeerLoad>& loads) -> void
    {
        for (const auto& [upstream, load] : loads) {
            auto& sum = fleet.m_loadSums[upstream];
            sum.m_inFlight -= std::min(sum.m_inFlight, load.m_inFlight);
            sum.m_tokens -= std::min(sum.m_tokens, load.m_tokens);
        }
    }

    // A large fleet has one in each data centre, since a cut may hit many nodes at a time.
    auto storeWatchers(const FleetView& fleet) -> std::size_t
    {
        if (isSmallFleet(fleet))
            return fewestWatchers;
        auto dataCentres = std::set<DataCentreName>();
        for (const auto& [vm, peer] : fleet.m_peers)
            dataCentres.insert(peer.m_dataCentre);
        return std::max(fewestWatchers, dataCentres.size());
    }

} // namespace

auto uninterruptedNow() -> UninterruptedTime
{
    auto time = timespec();
    (void)::clock_gettime(CLOCK_BOOTTIME, &time); // Can't fail for a clock that exists.
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

auto shortId(std::string_view name) -> std::uint32_t
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

auto isAlive(const Peer& peer, MonotonicTime now) -> bool
{
    return peer.m_heardAt != MonotonicTime() && peer.m_heardAt + peer.m_silenceBound > now;
}

auto sumLoads(FleetView& fleet, MonotonicTime now) -> void
{
    fleet.m_loadSums.clear();
    for (auto& [vm, peer] : fleet.m_peers) {
        peer.m_loadsCounted = isAlive(peer, now);
        if (peer.m_loadsCounted)
            addLoads(fleet, peer.m_loads);
    }
}

auto replaceLoads(FleetView& fleet, Peer& peer, std::unordered_map<std::uint32_t, PeerLoad> loads) -> void
{
    if (peer.m_loadsCounted)
        takeLoads(fleet, peer.m_loads);
    peer.m_loads = std::move(loads);
    peer.m_loadsCounted = true;
    addLoads(fleet, peer.m_loads);
}

auto isSmallFleet(const FleetView& fleet) -> bool
{
    return sharingNodes(fleet) <= mostNodesOfSmallFleet;
}

auto sharingNodes(const FleetView& fleet) -> std::size_t
{
    return fleet.m_peers.size() + 1;
}

auto forgetLostPeers(FleetView& fleet, MonotonicTime now) -> void
{
    std::erase_if(fleet.m_peers, [&](const auto& entry) {
        return std::max(entry.second.m_heardAt, entry.second.m_knownSince) + lostTime <= now;
    });
}

auto memberReadPause(const FleetView& fleet, MonotonicTime now) -> Milliseconds
{
    const auto whole = !fleet.m_peers.empty()
        && std::all_of(fleet.m_peers.begin(), fleet.m_peers.end(),
            [&](const auto& entry) { return isAlive(entry.second, now); });
    return whole ? std::max<Milliseconds>(memberReadInterval, memberReadTimeANode * sharingNodes(fleet))
                 : memberReadInterval;
}

auto shouldWatchStore(const FleetView& fleet, const StoreWatcher& self, MonotonicTime now) -> bool
{
    auto candidates = std::vector<StoreWatcher> { self };
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (!peer.m_leaving && peer.m_heardAt != MonotonicTime() && peer.m_heardAt + watcherSilence > now)
            candidates.push_back({ vm, peer.m_dataCentre, peer.m_storeReachable });
    }
    std::sort(candidates.begin(), candidates.end(), [](const StoreWatcher& left, const StoreWatcher& right) {
        return std::pair(!left.m_storeReachable, left.m_vm) < std::pair(!right.m_storeReachable, right.m_vm);
    });
    auto rankInDataCentre = std::map<std::pair<DataCentreName, bool>, std::size_t>();
    auto ranks = std::vector<std::tuple<bool, std::size_t, VmName>>();
    for (const auto& candidate : candidates) {
        auto& rank = rankInDataCentre[{ candidate.m_dataCentre, candidate.m_storeReachable }];
        ranks.emplace_back(!candidate.m_storeReachable, rank++, candidate.m_vm);
    }
    std::sort(ranks.begin(), ranks.end());
    const auto own = std::find_if(
        ranks.begin(), ranks.end(), [&](const auto& rank) { return std::get<VmName>(rank) == self.m_vm; });
    return static_cast<std::size_t>(own - ranks.begin()) < storeWatchers(fleet);
}

auto anyReachesStore(const FleetView& fleet, MonotonicTime now) -> bool
{
    return std::any_of(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return entry.second.m_storeReachable && isAlive(entry.second, now); });
}

auto peerThatKnowsMore(const FleetView& fleet, std::size_t kind, std::uint64_t revision,
    const DataCentreName& here, MonotonicTime now) -> const Peer*
{
    const auto* best = static_cast<const Peer*>(nullptr);
    auto bestRank = std::pair(false, revision);
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (!isAlive(peer, now) || peer.m_revisions.size() <= kind || peer.m_revisions[kind] <= revision)
            continue;
        const auto rank = std::pair(peer.m_dataCentre == here, peer.m_revisions[kind]);
        if (!best || rank > bestRank) {
            best = &peer;
            bestRank = rank;
        }
    }
    return best;
}

auto readyAddresses(const FleetView& fleet, const std::optional<Address>& self, MonotonicTime now)
    -> std::vector<Address>
{
    auto addresses = std::vector<Address>();
    if (self)
        addresses.push_back(*self);
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (isAlive(peer, now) && peer.m_ready && !peer.m_leaving)
            addresses.push_back(peer.m_callerAddress);
    }
    return addresses;
}

} // namespace marigoldladder::relay
