#include "relay/fleet_view.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto organisation = std::uint32_t { 5 };

    auto peer(const std::string& name, double heardAt, double demand) -> Peer
    {
        auto result = Peer();
        result.m_vm = VmName(name);
        result.m_heardAt = at(heardAt);
        result.m_knownSince = at(-100);
        result.m_ready = true;
        result.m_callerAddress = Address { "10.0.0.1", 80 };
        result.m_organisationDemand[organisation] = demand;
        return result;
    }

    auto fleetOf(const std::vector<Peer>& peers) -> FleetView
    {
        auto fleet = FleetView();
        for (const auto& entry : peers)
            fleet.m_peers[entry.m_vm] = entry;
        return fleet;
    }

    TEST(FleetViewTest, PartsOfAllNodesSumToOneAtMost)
    {
        const auto demands = std::array { 10.0, 200.0, 0.0 };
        auto sum = 0.0;
        for (auto self = std::size_t { 0 }; self < demands.size(); ++self) {
            auto peers = std::vector<Peer>();
            for (auto other = std::size_t { 0 }; other < demands.size(); ++other) {
                if (other != self)
                    peers.push_back(peer("vm-" + std::to_string(other), 0, demands[other]));
            }
            sum += organisationParts(fleetOf(peers), organisation, demands[self], at(0.1)).m_own;
        }
        EXPECT_NEAR(sum, 1.0, 1e-9);
    }

    TEST(FleetViewTest, ASilentNodesPartStaysReserved)
    {
        const auto fleet = fleetOf({ peer("heard", 9.9, 100), peer("silent", 0, 100) });
        const auto parts = organisationParts(fleet, organisation, 100, at(10));
        EXPECT_NEAR(parts.m_heard, 2.0 / 3, 1e-9);
        EXPECT_TRUE(parts.m_hearsOthers);
    }

    TEST(FleetViewTest, ANodeThatHearsNobodyKeepsAnEvenPart)
    {
        const auto fleet = fleetOf({ peer("one", 0, 100), peer("two", 0, 100), peer("three", 0, 0) });
        const auto parts = organisationParts(fleet, organisation, 1'000, at(10));
        EXPECT_NEAR(parts.m_own, 0.25, 1e-9);
        EXPECT_FALSE(parts.m_hearsOthers);
    }

    TEST(FleetViewTest, NamesOnlyNodesThatAreHeardAndReady)
    {
        auto leaving = peer("leaving", 10, 0);
        leaving.m_leaving = true;
        auto fleet = fleetOf({ peer("ready", 10, 0), peer("silent", 5, 0), leaving });
        const auto addresses = readyAddresses(fleet, Address { "10.0.0.9", 80 }, at(10.1));
        EXPECT_EQ(addresses.size(), 2U) << "itself and the one that is ready";
    }

    TEST(FleetViewTest, ForgetsANodeThatWasSilentForLong)
    {
        auto fleet = fleetOf({ peer("lost", 0, 0) });
        forgetLostPeers(fleet, at(5));
        EXPECT_EQ(sharingNodes(fleet), 2U);
        forgetLostPeers(fleet, at(60));
        EXPECT_EQ(sharingNodes(fleet), 1U);
    }

} // namespace
} // namespace marigoldladder::relay
