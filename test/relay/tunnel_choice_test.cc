#include "relay/tunnel_choice.h"

#include "relay/relay_fixtures.h"

#include <gtest/gtest.h>
#include <set>

namespace marigoldladder::relay {
namespace {

    // A node in `here`, an upstream in `there`, both in one region.
    class TunnelChoiceTest : public testing::Test {
    protected:
        TunnelChoiceTest()
        {
            m_settings.m_vm = VmName("self");
            m_settings.m_dataCentre = DataCentreName("here");
            for (const auto* name : { "here", "there", "elsewhere" })
                m_settings.m_regions[DataCentreName(name)] = "r";
            m_settings.m_regions[DataCentreName("abroad")] = "other";
            m_upstream.m_record = engineRecord("i-1");
            m_upstream.m_record.m_dataCentre = DataCentreName("there");
        }

        auto addPeer(const std::string& name, const std::string& dataCentre) -> Peer&
        {
            auto& peer = m_fleet.m_peers[VmName(name)];
            peer.m_vm = VmName(name);
            peer.m_dataCentre = DataCentreName(dataCentre);
            peer.m_ready = true;
            peer.m_lastReceivedAt = at(1);
            return peer;
        }

        auto choose(std::uint64_t draw = 0) const -> std::vector<std::string>
        {
            auto names = std::vector<std::string>();
            for (const auto& peer : tunnelPeersFor(m_upstream, m_fleet, m_settings, draw, at(1)))
                names.push_back(peer.m_vm.value());
            return names;
        }

        RelaySettings m_settings;
        FleetView m_fleet;
        Upstream m_upstream;
    };

    TEST_F(TunnelChoiceTest, PrefersTheUpstreamsDataCentreAndThenItsOwn)
    {
        addPeer("far", "elsewhere");
        addPeer("near", "here");
        addPeer("best", "there");
        EXPECT_EQ(choose(), (std::vector<std::string> { "best", "near", "far" }));
    }

    // A whole data centre may have lost its links.
    TEST_F(TunnelChoiceTest, AsksDataCentresInTurnBeforeASecondPeerOfOne)
    {
        for (const auto* name : { "one", "two", "three" })
            addPeer(name, "there");
        addPeer("near", "here");
        const auto names = choose();
        ASSERT_EQ(names.size(), 3U);
        EXPECT_EQ(names[1], "near");
    }

    TEST_F(TunnelChoiceTest, LeavesOutPeersThatCannotCarryATunnel)
    {
        addPeer("stranded", "there").m_stranded = true;
        addPeer("leaving", "there").m_leaving = true;
        addPeer("starting", "there").m_ready = false;
        addPeer("silent", "there").m_lastReceivedAt = at(-1);
        EXPECT_TRUE(choose().empty());
    }

    // The body of a request must not pass a region that is neither its home nor its caller's.
    TEST_F(TunnelChoiceTest, LeavesOutOtherRegions)
    {
        addPeer("far", "abroad");
        EXPECT_TRUE(choose().empty());
    }

    TEST_F(TunnelChoiceTest, SpreadsTunnelsOverEqualPeers)
    {
        for (const auto* name : { "one", "two", "three" })
            addPeer(name, "there");
        auto first = std::set<std::string>();
        for (auto draw = std::uint64_t { 0 }; draw < 64; ++draw)
            first.insert(choose(draw).front());
        EXPECT_EQ(first.size(), 3U);
    }

} // namespace
} // namespace marigoldladder::relay
