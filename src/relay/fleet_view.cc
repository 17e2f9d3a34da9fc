#include "relay/fleet_view.h"

#include <algorithm>
#include <ctime>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace marigoldladder::relay {

namespace {

    // Longer than any network partition after which a node is expected back.
    constexpr auto peerRemovalTimeout = Milliseconds(20'000);
    constexpr auto directLivenessTimeout = Milliseconds(1'500); // Of peers that send summaries to this node.
    constexpr auto gatewayLivenessTimeout = Milliseconds(2'600); // Of peers known from digests.
    constexpr auto maxSmallFleetSize = std::size_t { 16 };
    constexpr auto minMemberReadInterval = Milliseconds(15'000);
    // Each node reads at this interval times the fleet's size, so the whole fleet reads once in two seconds.
    constexpr auto fleetMemberReadInterval = Milliseconds(2'000);
    // Several digests of a data centre are due in this time.
    constexpr auto remoteLoadsValidity = Milliseconds(2'000);
    constexpr auto minWatchers = std::size_t { 3 }; // Two may fail without an interruption.

    // Watchers send four summaries a second. Without one for this time another node takes over, as a change
    // in the store has to be in force within seconds.
    constexpr auto watcherTimeout = Milliseconds(1'000);

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

    auto isPreferredWatcher(const StoreWatcher& left, const StoreWatcher& right) -> bool
    {
        return std::pair(!left.m_storeReachable, left.m_vm) < std::pair(!right.m_storeReachable, right.m_vm);
    }

    auto rankAmongCandidates(const std::vector<StoreWatcher>& candidates, const StoreWatcher& self)
        -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(),
            [&](const StoreWatcher& candidate) { return isPreferredWatcher(candidate, self); }));
    }

    // Returns a node's rank in an order where the most preferred nodes of all data centres come before the
    // second most preferred ones, and so on; nodes that don't reach the store come last.
    auto rankAcrossDataCentres(std::vector<StoreWatcher> candidates, const StoreWatcher& self) -> std::size_t
    {
        std::sort(candidates.begin(), candidates.end(), isPreferredWatcher);
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

    auto dataCentreCount(const FleetView& fleet, const DataCentreName& local) -> std::size_t
    {
        auto dataCentres = std::set<DataCentreName> { local };
        for (const auto& [vm, peer] : fleet.m_peers)
            dataCentres.insert(peer.m_dataCentre);
        return dataCentres.size();
    }

    // How well a peer serves as a source of objects.
    struct PeerRank {
        bool m_isHere = false;
        std::uint64_t m_version = 0;
        StoreRevision m_revision;
        auto operator<=>(const PeerRank&) const = default; // NOLINT(modernize-use-nullptr): false positive.
    };

    // Peers that have the same configuration rank the same, whatever else the store has changed since, as
    // many nodes fetch a large one at once.
    auto rankAsSource(const Peer& peer, ObjectKind kind, const DataCentreName& here) -> PeerRank
    {
        const auto isHere = peer.m_dataCentre == here;
        if (kind == ObjectKind::Configuration)
            return { isHere, peer.m_configurationVersion, {} };
        return { isHere, 0, peer.m_revisions[static_cast<std::size_t>(kind)] };
    }

} // namespace

auto bootClockNow() -> BootClockTime
{
    auto time = timespec();
    (void)::clock_gettime(CLOCK_BOOTTIME, &time); // Fails only for unsupported clocks.
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
        report.m_inSums = !small && report.m_receivedAt + remoteLoadsValidity > now;
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
    return isInLocalDataCentre(fleet, peer) || isSmallFleet(fleet) ? directLivenessTimeout
                                                                   : gatewayLivenessTimeout;
}

auto localPeerCount(const FleetView& fleet) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return isInLocalDataCentre(fleet, entry.second); }));
}

auto isSmallFleet(const FleetView& fleet) -> bool
{
    return fleetSize(fleet) <= maxSmallFleetSize;
}

auto fleetSize(const FleetView& fleet) -> std::size_t
{
    return fleet.m_peers.size() + 1;
}

auto removeLostPeers(FleetView& fleet, MonotonicTime now) -> void
{
    std::erase_if(fleet.m_peers, [&](const auto& entry) {
        return std::max(entry.second.m_lastReceivedAt, entry.second.m_knownSince) + peerRemovalTimeout <= now;
    });
}

auto memberReadInterval(const FleetView& fleet, MonotonicTime now) -> Milliseconds
{
    const auto alive = static_cast<std::size_t>(std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return isAlive(entry.second, now); }));
    // In a large fleet, other nodes propagate the new address of a node that restarted elsewhere, as long as
    // this node receives from most of them.
    const auto expected = isSmallFleet(fleet) ? fleet.m_peers.size() : (fleet.m_peers.size() + 1) / 2;
    const auto receivesFromEnough = !fleet.m_peers.empty() && alive >= expected;
    return receivesFromEnough
        ? std::max<Milliseconds>(minMemberReadInterval, fleetMemberReadInterval * fleetSize(fleet))
        : minMemberReadInterval;
}

auto shouldWatchStore(const FleetView& fleet, const StoreWatcher& self, MonotonicTime now) -> bool
{
    const auto small = isSmallFleet(fleet);
    auto candidates = std::vector<StoreWatcher> { self };
    for (const auto& [vm, peer] : fleet.m_peers) {
        const auto isResponsive
            = peer.m_lastReceivedAt != MonotonicTime() && peer.m_lastReceivedAt + watcherTimeout > now;
        if (isResponsive && !peer.m_leaving && (small || peer.m_dataCentre == self.m_dataCentre))
            candidates.push_back({ vm, peer.m_dataCentre, peer.m_storeReachable });
    }
    if (!small) {
        // Each data centre has its own watchers, since a network partition may affect many nodes at once.
        const auto dataCentres = dataCentreCount(fleet, self.m_dataCentre);
        const auto localWatchers = (minWatchers + dataCentres - 1) / dataCentres;
        return rankAmongCandidates(candidates, self) < localWatchers;
    }
    return rankAcrossDataCentres(candidates, self) < minWatchers;
}

auto anyPeerReachesStore(const FleetView& fleet, MonotonicTime now) -> bool
{
    return std::any_of(fleet.m_peers.begin(), fleet.m_peers.end(),
        [&](const auto& entry) { return entry.second.m_storeReachable && isAlive(entry.second, now); });
}

auto peerWithNewerConfiguration(const FleetView& fleet, std::uint64_t version, MonotonicTime now)
    -> const Peer*
{
    const auto* best = static_cast<const Peer*>(nullptr);
    for (const auto& [vm, peer] : fleet.m_peers) {
        const auto newest = best ? best->m_configurationVersion : version;
        if (isAlive(peer, now) && peer.m_configurationVersion > newest)
            best = &peer;
    }
    return best;
}

auto peerWithNewerObjects(const FleetView& fleet, ObjectKind kind, StoreRevision revision,
    const DataCentreName& here, std::uint64_t draw, MonotonicTime now) -> const Peer*
{
    const auto index = static_cast<std::size_t>(kind);
    auto best = std::vector<const Peer*>();
    auto bestRank = PeerRank();
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (!isAlive(peer, now) || peer.m_revisions.size() <= index || peer.m_revisions[index] <= revision)
            continue;
        const auto rank = rankAsSource(peer, kind, here);
        if (best.empty() || rank > bestRank) {
            best.clear();
            bestRank = rank;
        }
        if (rank == bestRank)
            best.push_back(&peer);
    }
    return best.empty() ? nullptr : best[draw % best.size()];
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
