#include "relay/data_centre_gateways.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto now = 10.0; // Seconds.

    auto addPeer(FleetView& fleet, const std::string& name, double processorShare) -> Peer&
    {
        auto& peer = fleet.m_peers[VmName(name)];
        peer.m_vm = VmName(name);
        peer.m_dataCentre = DataCentreName(name.substr(0, 1));
        peer.m_processorShare = processorShare;
        peer.m_lastReceivedAt = at(now - 0.1);
        return peer;
    }

    // The view of a node of "a" on three data centres, each with `nodes` small nodes and two larger ones.
    auto fleetOf(int nodes) -> FleetView
    {
        auto fleet = FleetView();
        fleet.m_localDataCentre = DataCentreName("a");
        for (const auto* dataCentre : { "a", "b", "c" }) {
            for (auto number = 0; number < nodes; ++number)
                addPeer(fleet, dataCentre + std::to_string(number), 0.12);
            addPeer(fleet, std::string(dataCentre) + "-large-1", 0.5);
            addPeer(fleet, std::string(dataCentre) + "-large-2", 0.5);
        }
        return fleet;
    }

    auto rankOf(FleetView fleet, const std::string& name) -> std::optional<std::size_t>
    {
        const auto share = fleet.m_peers.at(VmName(name)).m_processorShare;
        fleet.m_peers.erase(VmName(name));
        return ownGatewayRank(fleet, { VmName(name), share, false }, at(now));
    }

    TEST(DataCentreGatewaysTest, NodesWithMostProcessorTimeAreGateways)
    {
        const auto fleet = fleetOf(20);
        EXPECT_EQ(rankOf(fleet, "a-large-2"), 0U);
        EXPECT_EQ(rankOf(fleet, "a-large-1"), 1U);
        EXPECT_EQ(rankOf(fleet, "a0"), std::nullopt);
    }

    TEST(DataCentreGatewaysTest, AllNodesSelectTheSameGateways)
    {
        const auto fleet = fleetOf(20);
        const auto gateways = gatewaysOf(fleet, DataCentreName("b"), at(now), 0);
        ASSERT_EQ(gateways.size(), gatewaysPerDataCentre);
        auto viewOfB = fleet;
        viewOfB.m_localDataCentre = DataCentreName("b");
        EXPECT_EQ(rankOf(viewOfB, gateways[0]->m_vm.value()), 0U);
        EXPECT_EQ(rankOf(viewOfB, gateways[1]->m_vm.value()), 1U);
    }

    TEST(DataCentreGatewaysTest, AnotherNodeReplacesAnUnresponsiveOrLeavingGateway)
    {
        auto fleet = fleetOf(20);
        fleet.m_peers.at(VmName("a-large-1")).m_lastReceivedAt = at(0);
        fleet.m_peers.at(VmName("a-large-2")).m_leaving = true;
        EXPECT_EQ(rankOf(fleet, "a9"), 0U);
        EXPECT_EQ(rankOf(fleet, "a8"), 1U);
    }

    // When all nodes start at once, none has received a message from another data centre yet.
    TEST(DataCentreGatewaysTest, AnyKnownNodeIsTriedWhileNoneOfItsDataCentreIsAlive)
    {
        auto fleet = fleetOf(5);
        for (auto& [vm, peer] : fleet.m_peers)
            peer.m_lastReceivedAt = {};
        const auto first = gatewaysOf(fleet, DataCentreName("b"), at(now), 0);
        const auto second = gatewaysOf(fleet, DataCentreName("b"), at(now), 1);
        ASSERT_EQ(first.size(), 1U);
        ASSERT_EQ(second.size(), 1U);
        EXPECT_NE(first[0]->m_vm, second[0]->m_vm) << "expected different nodes, as one may have stopped";
    }

    // Each gateway sends to one gateway of each other data centre, however many nodes these have.
    TEST(DataCentreGatewaysTest, MessagesBetweenDataCentresDoNotGrowWithTheirNodes)
    {
        for (const auto nodes : { 10, 100 }) {
            const auto fleet = fleetOf(nodes);
            auto messages = std::size_t { 0 };
            for (const auto& [vm, peer] : fleet.m_peers) {
                if (isInLocalDataCentre(fleet, peer) && rankOf(fleet, vm.value()))
                    messages += remoteDataCentres(fleet).size();
            }
            EXPECT_EQ(messages, gatewaysPerDataCentre * 2) << nodes << " nodes in each data centre";
        }
    }

} // namespace
} // namespace marigoldladder::relay
