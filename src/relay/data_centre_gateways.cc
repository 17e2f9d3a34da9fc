#include "relay/data_centre_gateways.h"

#include <algorithm>
#include <set>

namespace marigoldladder::relay {

namespace {

    // Prefers nodes with more processor time, then those with the last name. The order lease holder is
    // selected by the first name, so that one node does not get both tasks.
    auto isPreferredGateway(double leftShare, const VmName& left, double rightShare, const VmName& right)
        -> bool
    {
        return std::pair(leftShare, left) > std::pair(rightShare, right);
    }

    auto canBeGateway(const Peer& peer, MonotonicTime now) -> bool
    {
        return isAlive(peer, now) && !peer.m_leaving;
    }

} // namespace

auto ownGatewayRank(const FleetView& fleet, const GatewayCandidate& self, MonotonicTime now)
    -> std::optional<std::size_t>
{
    if (self.m_leaving)
        return std::nullopt;
    const auto before = std::count_if(fleet.m_peers.begin(), fleet.m_peers.end(), [&](const auto& entry) {
        const auto& [vm, peer] = entry;
        return isInLocalDataCentre(fleet, peer) && canBeGateway(peer, now)
            && isPreferredGateway(peer.m_processorShare, vm, self.m_processorShare, self.m_vm);
    });
    const auto rank = static_cast<std::size_t>(before);
    return rank < gatewaysPerDataCentre ? std::optional(rank) : std::nullopt;
}

auto gatewaysOf(const FleetView& fleet, const DataCentreName& dataCentre, MonotonicTime now, std::size_t draw)
    -> std::vector<const Peer*>
{
    auto known = std::vector<const Peer*>();
    auto gateways = std::vector<const Peer*>();
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (peer.m_dataCentre != dataCentre)
            continue;
        known.push_back(&peer);
        if (canBeGateway(peer, now))
            gateways.push_back(&peer);
    }
    std::sort(gateways.begin(), gateways.end(), [](const Peer* left, const Peer* right) {
        return isPreferredGateway(left->m_processorShare, left->m_vm, right->m_processorShare, right->m_vm);
    });
    if (gateways.size() > gatewaysPerDataCentre)
        gateways.resize(gatewaysPerDataCentre);
    if (gateways.empty() && !known.empty())
        gateways.push_back(known[draw % known.size()]);
    return gateways;
}

auto remoteDataCentres(const FleetView& fleet) -> std::vector<DataCentreName>
{
    auto names = std::set<DataCentreName>();
    for (const auto& [vm, peer] : fleet.m_peers) {
        if (!isInLocalDataCentre(fleet, peer) && !peer.m_dataCentre.empty())
            names.insert(peer.m_dataCentre);
    }
    return { names.begin(), names.end() };
}

} // namespace marigoldladder::relay
