#include "relay/fleet_view.h"

#include <algorithm>
#include <ctime>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    constexpr auto lostTime = Milliseconds(20'000); // Beyond any cut after which a node is expected back.
    constexpr auto nearSilence = Milliseconds(1'500);
    constexpr auto farSilence = Milliseconds(2'600);
    constexpr auto mostNodesOfSmallFleet = std::size_t { 16 };
    constexpr auto minMemberReadInterval = Milliseconds(15'000);
    constexpr auto memberReadTimeANode = Milliseconds(2'000); // So that the fleet reads once in two seconds.
    // Digests of a data centre come several times in this time.
    constexpr auto farLoadsMemory = Milliseconds(2'000);
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

    auto subtractLoads(FleetView& fleet, const std::unordered_map<std::uint32_t, PeerLoad>& loads) -> void
    {
        for (const auto& [upstream, load] : loads) {
            auto& sum = fleet.m_loadSums[upstream];
            sum.m_inFlight -= std::min(sum.m_inFlight, load.m_inFlight);
            sum.m_tokens -= std::min(sum.m_tokens, load.m_tokens);
        }
    }

    auto watchesRather(const StoreWatcher& left, const StoreWatcher& right) -> bool
    {
        return std::pair(!left.m_storeReachable, left.m_vm) < std::pair(!right.m_storeReachable, right.m_vm);
    }

    auto placesBefore(const std::vector<StoreWatcher>& candidates, const StoreWatcher& self) -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(),
            [&](const StoreWatcher& candidate) { return watchesRather(candidate, self); }));
    }

    // Returns a node's place where the first of each data centre come before the second ones.
    auto rankOverDataCentres(std::vector<StoreWatcher> candidates, const StoreWatcher& self) -> std::size_t
    {
        std::sort(candidates.begin(), candidates.end(), watchesRather);
        auto rankInDataCentre = std::map<std::pair<DataCentreName, bool>, std::size_t>();
        auto ranks = std::vector<std::tuple<bool, std::size_t, VmName>>();
        for (const auto& candidate : candidates) {
            auto& rank = rankInDataCentre[{ candidate.m_dataCentre, candidate.m_storeReachable }];
            ranks.emplace_back(!candidate.m_storeReachable, rank++, candidate.m_vm);
        }
        std::sort(ranks.begin(), ranks.end());
        const auto own = std::find_if(ranks.begin(), ranks.end(),
            [&](const auto& rank) { return std::get<VmName>(rank) == self.m_vm; });
        return static_cast<std::size_t>(own - ranks.begin());
    }

    auto dataCentresOf(const FleetView& fleet, const DataCentreName& here) -> std::size_t
    {
        auto dataCentres = std::set<DataCentreName> { here };
        for (const auto& [vm, peer] : fleet.m_peers)
            dataCentres.insert(peer.m_dataCentre);
        return dataCentres.size();
    }

} // namespace

auto bootClockNow() -> BootClockTime
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
    return peer.m_lastReceivedAt != MonotonicTime() && peer.m_lastReceivedAt + peer.m_livenessTimeout > now;
}

auto sumLoads(FleetView& fleet, MonotonicTime now) -> void
{
    fleet.m_loadSums.clear();
    const auto small = isSmallFleet(fleet);
    for (auto& [vm, peer] : fleet.m_peers) {
        peer.m_loads.m_inSums = isAlive(peer, now) && (small || isInLocalDataCentre(fleet, peer));
        if (peer.m_loads.m_inSums)
            addLoads(fleet, peer.m_loads.m_loads);
    }
    for (auto& [dataCentre, report] : fleet.m_remoteLoads) {
        report.m_inSums = !small && report.m_receivedAt + farLoadsMemory > now;
        if (report.m_inSums)
            addLoads(fleet, report.m_loads);
    }
}

auto replaceLoads(FleetView& fleet, LoadReport& report, std::unordered_map<std::uint32_t, PeerLoad> loads,
    MonotonicTime now) -> void
{
    if (report.m_inSums)
        subtractLoads(fleet, report.m_loads);
    report.m_loads = std::move(loads);
    report.m_receivedAt = now;
    report.m_inSums = true;
    addLoads(fleet, report.m_loads);
}

auto isInLocalDataCentre(const FleetView& fleet, const Peer& peer) -> bool
{
    return peer.m_dataCentre == fleet.m_localDataCentre;
}

auto livenessTimeoutOf(const FleetView& fleet, const Peer& peer) -> Milliseconds
{
    return isInLocalDataCentre(fleet, peer) || isSmallFleet(fleet) ? nearSilence : farSilence;
}

auto localPeerCount(const FleetView& fleet) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return isInLocalDataCentre(fleet, entry.second); }));
}

auto isSmallFleet(const FleetView& fleet) -> bool
{
    return fleetSize(fleet) <= mostNodesOfSmallFleet;
}

auto fleetSize(const FleetView& fleet) -> std::size_t
{
    return fleet.m_peers.size() + 1;
}

auto removeLostPeers(FleetView& fleet, MonotonicTime now) -> void
{
    std::erase_if(fleet.m_peers, [&](const auto& entry) {
        return std::max(entry.second.m_lastReceivedAt, entry.second.m_knownSince) + lostTime <= now;
    });
}

auto memberReadInterval(const FleetView& fleet, MonotonicTime now) -> Milliseconds
{
    const auto alive = static_cast<std::size_t>(std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return isAlive(entry.second, now); }));
    // In a large fleet others tell of a node that starts again elsewhere, while this one hears most of them.
    const auto expected = isSmallFleet(fleet) ? fleet.m_peers.size() : (fleet.m_peers.size() + 1) / 2;
    const auto hearsEnough = !fleet.m_peers.empty() && alive >= expected;
    return hearsEnough ? std::max<Milliseconds>(minMemberReadInterval, memberReadTimeANode * fleetSize(fleet))
                       : minMemberReadInterval;
}

auto shouldWatchStore(const FleetView& fleet, const StoreWatcher& self, MonotonicTime now) -> bool
{
    const auto small = isSmallFleet(fleet);
    auto candidates = std::vector<StoreWatcher> { self };
    for (const auto& [vm, peer] : fleet.m_peers) {
        const auto heard
            = peer.m_lastReceivedAt != MonotonicTime() && peer.m_lastReceivedAt + watcherSilence > now;
        if (heard && !peer.m_leaving && (small || peer.m_dataCentre == self.m_dataCentre))
            candidates.push_back({ vm, peer.m_dataCentre, peer.m_storeReachable });
    }
    if (!small) {
        // Every data centre has its own, since a cut may hit many nodes at a time.
        const auto dataCentres = dataCentresOf(fleet, self.m_dataCentre);
        const auto here = (fewestWatchers + dataCentres - 1) / dataCentres;
        return placesBefore(candidates, self) < here;
    }
    return rankOverDataCentres(candidates, self) < fewestWatchers;
}

auto anyPeerReachesStore(const FleetView& fleet, MonotonicTime now) -> bool
{
    return std::any_of(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return entry.second.m_storeReachable && isAlive(entry.second, now); });
}

auto peerWithNewerObjects(const FleetView& fleet, std::size_t kind, std::uint64_t revision,
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
