#include "relay/fleet_view.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <set>

namespace marigoldladder::relay {
namespace {

    auto peer(const std::string& name, double lastReceivedAt) -> Peer
    {
        auto result = Peer();
        result.m_vm = VmName(name);
        result.m_lastReceivedAt = at(lastReceivedAt);
        result.m_knownSince = at(-100);
        result.m_ready = true;
        result.m_callerAddress = Address { "10.0.0.1", 80 };
        return result;
    }

    auto fleetOf(const std::vector<Peer>& peers) -> FleetView
    {
        auto fleet = FleetView();
        for (const auto& entry : peers)
            fleet.m_peers[entry.m_vm] = entry;
        return fleet;
    }

    TEST(FleetViewTest, ReadyAddressesContainOnlyLiveAndReadyNodes)
    {
        auto leaving = peer("leaving", 10);
        leaving.m_leaving = true;
        auto fleet = fleetOf({ peer("ready", 10), peer("unresponsive", 5), leaving });
        const auto addresses = readyAddresses(fleet, Address { "10.0.0.9", 80 }, at(10.1));
        EXPECT_EQ(addresses.size(), 2U) << "expected this node and \"ready\"";
    }

    TEST(FleetViewTest, RemovesANodeThatIsUnresponsiveForLong)
    {
        auto fleet = fleetOf({ peer("lost", 0) });
        removeLostPeers(fleet, at(5));
        EXPECT_EQ(fleetSize(fleet), 2U);
        removeLostPeers(fleet, at(60));
        EXPECT_EQ(fleetSize(fleet), 1U);
    }

    // Ten nodes in each of four data centres; their names start with the data centre's.
    auto largeFleet(double lastReceivedAt) -> FleetView
    {
        auto fleet = FleetView();
        for (const auto* dataCentre : { "a", "b", "c", "d" }) {
            for (auto number = 0; number < 10; ++number) {
                auto entry = peer(std::string(dataCentre) + std::to_string(number), lastReceivedAt);
                entry.m_dataCentre = DataCentreName(dataCentre);
                entry.m_storeReachable = true;
                fleet.m_peers[entry.m_vm] = entry;
            }
        }
        return fleet;
    }

    constexpr auto engine = std::uint32_t { 8 };

    TEST(FleetViewTest, ANewSummaryReplacesThePeersLoadsInTheSums)
    {
        auto fleet = fleetOf({ peer("one", 9.9), peer("two", 9.9) });
        replaceLoads(fleet, fleet.m_peers.at(VmName("one")).m_loads, { { engine, { 3, 300 } } }, at(10));
        replaceLoads(fleet, fleet.m_peers.at(VmName("two")).m_loads, { { engine, { 2, 200 } } }, at(10));
        replaceLoads(fleet, fleet.m_peers.at(VmName("one")).m_loads, { { engine, { 1, 100 } } }, at(10));
        EXPECT_EQ(fleet.m_loadSums.at(engine).m_inFlight, 3U);
        EXPECT_NEAR(fleet.m_loadSums.at(engine).m_tokens, 300, 1e-9);
    }

    TEST(FleetViewTest, SumsExcludeAnUnresponsivePeersLoadsUntilItsNextSummary)
    {
        auto fleet = fleetOf({ peer("one", 0), peer("two", 9.9) });
        replaceLoads(fleet, fleet.m_peers.at(VmName("one")).m_loads, { { engine, { 3, 300 } } }, at(10));
        replaceLoads(fleet, fleet.m_peers.at(VmName("two")).m_loads, { { engine, { 2, 200 } } }, at(10));
        sumLoads(fleet, at(10));
        EXPECT_EQ(fleet.m_loadSums.at(engine).m_inFlight, 2U)
            << "expected only the loads of \"two\", as \"one\" has been unresponsive for 10 s";
        replaceLoads(fleet, fleet.m_peers.at(VmName("one")).m_loads, { { engine, { 4, 400 } } }, at(10));
        EXPECT_EQ(fleet.m_loadSums.at(engine).m_inFlight, 6U);
    }

    TEST(FleetViewTest, ALargeFleetCountsRemoteNodesByTheirDataCentresDigest)
    {
        auto fleet = largeFleet(9.9);
        fleet.m_localDataCentre = DataCentreName("a");
        replaceLoads(fleet, fleet.m_peers.at(VmName("a1")).m_loads, { { engine, { 1, 100 } } }, at(9.9));
        replaceLoads(fleet, fleet.m_peers.at(VmName("b1")).m_loads, { { engine, { 2, 200 } } }, at(9.9));
        replaceLoads(fleet, fleet.m_remoteLoads[DataCentreName("b")], { { engine, { 4, 400 } } }, at(9.9));
        sumLoads(fleet, at(10));
        EXPECT_EQ(fleet.m_loadSums.at(engine).m_inFlight, 5U)
            << "expected 1 of a1 and 4 of data centre b, which include b1's";
        sumLoads(fleet, at(13));
        EXPECT_EQ(fleet.m_loadSums[engine].m_inFlight, 0U)
            << "expected none, as all nodes have been unresponsive for 3 s";
    }

    TEST(FleetViewTest, ReadsTheListOfNodesOftenOnlyWhileTooManyAreUnresponsive)
    {
        auto peers = std::vector<Peer>();
        for (auto index = 0; index < 60; ++index)
            peers.push_back(peer("vm-" + std::to_string(index), 9.9));
        auto fleet = fleetOf(peers);
        EXPECT_GE(memberReadInterval(fleet, at(10)), std::chrono::seconds(61))
            << "expected 61 nodes to read at most once a second in total";
        fleet.m_peers.at(VmName("vm-7")).m_lastReceivedAt = at(0);
        EXPECT_GE(memberReadInterval(fleet, at(10)), std::chrono::seconds(61))
            << "expected no more reads, as others propagate vm-7's new address when it restarts elsewhere";
        for (auto index = 0; index < 31; ++index)
            fleet.m_peers.at(VmName("vm-" + std::to_string(index))).m_lastReceivedAt = at(0);
        EXPECT_LE(memberReadInterval(fleet, at(10)), std::chrono::seconds(15))
            << "expected frequent reads, as 31 of 60 peers are unresponsive";
        auto small = fleetOf({ peer("one", 9.9), peer("two", 9.9), peer("unresponsive", 0) });
        EXPECT_LE(memberReadInterval(small, at(10)), std::chrono::seconds(15));
    }

    auto isWatcher(FleetView fleet, const std::string& name) -> bool
    {
        const auto self = StoreWatcher { VmName(name), DataCentreName(name.substr(0, 1)), true };
        fleet.m_peers.erase(self.m_vm);
        fleet.m_localDataCentre = self.m_dataCentre;
        return shouldWatchStore(fleet, self, at(10));
    }

    // Review 5: all nodes of a data centre fetched a large configuration from the same one at once.
    TEST(FleetViewTest, SourcesOfAConfigurationAreDrawnAmongThosePeersHereThatHaveTheNewest)
    {
        auto fleet = largeFleet(10);
        auto revision = std::uint64_t { 20 };
        for (auto& [vm, peer] : fleet.m_peers) {
            peer.m_revisions = { StoreRevision { 1, ++revision } };
            peer.m_configurationVersion = vm == VmName("a0") ? 4 : 5;
        }
        const auto sourceOf = [&](std::uint64_t draw) {
            return peerWithNewerObjects(
                fleet, ObjectKind::Configuration, { 1, 10 }, DataCentreName("a"), draw, at(10))
                ->m_vm;
        };
        auto sources = std::set<VmName>();
        for (auto draw = std::uint64_t { 0 }; draw < 100; ++draw)
            sources.insert(sourceOf(draw));
        EXPECT_EQ(sources.size(), 9U);
        EXPECT_FALSE(sources.contains(VmName("a0")));
        EXPECT_FALSE(sources.contains(VmName("b0")));
        EXPECT_FALSE(peerWithNewerObjects(
            fleet, ObjectKind::Configuration, { 1, 100 }, DataCentreName("a"), 0, at(10)));
    }

    TEST(FleetViewTest, OtherObjectsComeFromThePeerWithTheLatestRevision)
    {
        auto fleet = largeFleet(10);
        for (auto& [vm, peer] : fleet.m_peers)
            peer.m_revisions = { {}, StoreRevision { 1, vm == VmName("a3") ? 30U : 20U } };
        const auto* source
            = peerWithNewerObjects(fleet, ObjectKind::Upstreams, { 1, 10 }, DataCentreName("a"), 5, at(10));
        ASSERT_TRUE(source);
        EXPECT_EQ(source->m_vm, VmName("a3"));
    }

    TEST(FleetViewTest, OneNodeOfEachDataCentreWatchesTheStore)
    {
        const auto fleet = largeFleet(9.9);
        for (const auto* name : { "a0", "b0", "c0", "d0" })
            EXPECT_TRUE(isWatcher(fleet, name)) << name;
        EXPECT_FALSE(isWatcher(fleet, "a1")) << "a partition of one data centre must not affect all watchers";
        EXPECT_FALSE(isWatcher(fleet, "d9"));
    }

    // Guards against a slow takeover: a network partition once hit all watchers at the same time, and it took
    // 2.6 s until other nodes watched the store.
    TEST(FleetViewTest, AnotherNodeWatchesASecondAfterAWatcherBecameUnresponsive)
    {
        auto fleet = largeFleet(9.9);
        fleet.m_peers.at(VmName("b0")).m_lastReceivedAt = at(8.9);
        EXPECT_TRUE(isWatcher(fleet, "b1"));
    }

    TEST(FleetViewTest, AnUnresponsivePeerDoesNotCountAsReachingTheStore)
    {
        auto fleet = fleetOf({ peer("alive", 9.9), peer("unresponsive", 0) });
        fleet.m_peers.at(VmName("unresponsive")).m_storeReachable = true;
        EXPECT_FALSE(anyPeerReachesStore(fleet, at(10)));
        fleet.m_peers.at(VmName("alive")).m_storeReachable = true;
        EXPECT_TRUE(anyPeerReachesStore(fleet, at(10)));
    }

} // namespace
} // namespace marigoldladder::relay
