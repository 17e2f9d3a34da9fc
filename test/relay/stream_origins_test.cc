#include "relay/stream_origins.h"

#include "relay/relay_fixtures.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace marigoldladder::relay {
namespace {

    constexpr auto old = SoftwareId { 1 };
    constexpr auto newer = SoftwareId { 2 };

    struct JudgementCase {
        const char* m_name;
        OriginKnowledge m_local;
        std::vector<OriginKnowledge> m_others;
        std::optional<SoftwareId> m_judgement;
    };

    class OriginJudgementTest : public testing::TestWithParam<JudgementCase> { };

    TEST_P(OriginJudgementTest, IsByWhatTheNodesKnow)
    {
        EXPECT_EQ(judgeOrigin(GetParam().m_local, GetParam().m_others).m_software, GetParam().m_judgement);
    }

    INSTANTIATE_TEST_SUITE_P(AllCases, OriginJudgementTest,
        testing::Values(JudgementCase { "KnownHere", { old, { old, newer }, true }, {}, old },
            JudgementCase { "KnownElsewhere", { {}, { newer } }, { { {}, { newer } }, { old, {} } }, old },
            JudgementCase { "OneVersion", { {}, { old }, true }, { { {}, { old }, true } }, old },
            JudgementCase { "OneVersionAndNobodyToAsk", { {}, { old }, true }, {}, old },
            JudgementCase { "OneVersionByANodeThatKnowsAll", { {}, {} }, { { {}, { old }, true } }, old },
            JudgementCase {
                "OneVersionByNodesThatKnowNothing", { {}, { old } }, { { {}, { old } } }, std::nullopt },
            JudgementCase { "OneVersionByANewNodeAlone", { {}, { old } }, {}, std::nullopt },
            JudgementCase { "SeveralVersions", { {}, { old, newer }, true }, {}, std::nullopt },
            JudgementCase { "AnotherVersionThatOnlyAnotherNodeSaw", { {}, { newer }, true },
                { { {}, { old, newer } } }, std::nullopt },
            JudgementCase { "NoVersion", { {}, {}, true }, {}, std::nullopt }),
        [](const auto& info) { return std::string(info.param.m_name); });

    TEST(StreamOriginsTest, KeepAStreamForItsLifetime)
    {
        auto origins = StreamOrigins();
        recordOrigin(origins, 7, { old, at(0), true });
        EXPECT_EQ(findOrigin(origins, 7, at(29)), old);
        EXPECT_EQ(findOrigin(origins, 8, at(29)), std::nullopt);
        EXPECT_EQ(findOrigin(origins, 7, at(30)), std::nullopt);
        recordOrigin(origins, 8, { newer, at(31), false });
        EXPECT_EQ(origins.m_byKey.size(), 1U);
        EXPECT_EQ(origins.m_oldestFirst.size(), 1U);
    }

    TEST(StreamOriginsTest, TheFirstOriginOfAStreamHolds)
    {
        auto origins = StreamOrigins();
        recordOrigin(origins, 7, { old, at(0), true });
        recordOrigin(origins, 7, { newer, at(1), false });
        EXPECT_EQ(findOrigin(origins, 7, at(2)), old);
    }

    TEST(StreamOriginsTest, AreBoundedInNumber)
    {
        constexpr auto most = std::size_t { 100'000 };
        auto origins = StreamOrigins();
        for (auto stream = StreamKey { 0 }; stream < most + 10; ++stream)
            recordOrigin(origins, stream, { old, at(0), true });
        EXPECT_EQ(origins.m_byKey.size(), most);
        EXPECT_EQ(findOrigin(origins, 0, at(0)), std::nullopt);
        EXPECT_EQ(findOrigin(origins, most + 9, at(0)), old);
    }

    TEST(StreamOriginsTest, AnOrganisationsIdsDoNotNameStreamsOfAnother)
    {
        EXPECT_EQ(streamKeyOf(OrganisationName("a"), "r1"), streamKeyOf(OrganisationName("a"), "r1"));
        EXPECT_NE(streamKeyOf(OrganisationName("a"), "r1"), streamKeyOf(OrganisationName("b"), "r1"));
    }

    auto softwareOf(const UpstreamTable& table, MonotonicTime now) -> std::set<SoftwareId>
    {
        auto software = softwareInUse(table);
        addFormerSoftware(software, table, now);
        return software[PoolName("engines")];
    }

    auto recordOf(const std::string& name, SoftwareId software) -> UpstreamRecord
    {
        auto record = engineRecord(name);
        record.m_software = software;
        return record;
    }

    // A stream may have begun at an upstream that has left since.
    TEST(StreamOriginsTest, SoftwareThatHasLeftCountsUntilItsStreamsHaveEnded)
    {
        auto table = UpstreamTable();
        applyUpstreamRecord(table, recordOf("i-1", old), at(0));
        applyUpstreamRecord(table, recordOf("i-2", newer), at(0));
        removeUpstream(table, UpstreamName("i-1"), at(10));
        EXPECT_EQ(softwareOf(table, at(39)).size(), 2U);
        EXPECT_EQ(softwareOf(table, at(40)), std::set<SoftwareId> { newer });
    }

    // Its entry is that of another run, or the same run states other software.
    TEST(StreamOriginsTest, SoftwareThatWasReplacedUnderItsNameCountsUntilItsStreamsHaveEnded)
    {
        for (const auto startedAt : { 0, 5 }) {
            auto table = UpstreamTable();
            applyUpstreamRecord(table, recordOf("i-1", old), at(0));
            auto record = recordOf("i-1", newer);
            record.m_startedAt = startedAt;
            applyUpstreamRecord(table, record, at(10));
            EXPECT_EQ(softwareOf(table, at(39)).size(), 2U);
            EXPECT_EQ(softwareOf(table, at(40)), std::set<SoftwareId> { newer });
        }
    }

    // A node looks at the list of upstreams again when the counter grows.
    TEST(StreamOriginsTest, EachChangeOfTheSoftwareInUseIsCounted)
    {
        auto table = UpstreamTable();
        auto seen = std::vector<std::uint64_t> { table.m_softwareChanges };
        const auto record = recordOf("i-1", old);
        applyUpstreamRecord(table, record, at(0));
        seen.push_back(table.m_softwareChanges);
        removeUpstream(table, record.m_name, at(1));
        seen.push_back(table.m_softwareChanges);
        applyUpstreamRecord(table, record, at(2)); // The same run's entry returns.
        seen.push_back(table.m_softwareChanges);
        applyUpstreamRecord(table, recordOf("i-1", newer), at(3));
        seen.push_back(table.m_softwareChanges);
        for (auto change = std::size_t { 1 }; change < seen.size(); ++change)
            EXPECT_GT(seen[change], seen[change - 1]) << "change " << change;
        applyUpstreamRecord(table, recordOf("i-1", newer), at(4));
        EXPECT_EQ(table.m_softwareChanges, seen.back());
    }

    auto fleetOf(int nodes) -> FleetView
    {
        auto fleet = FleetView();
        for (auto number = 0; number < nodes; ++number) {
            auto& peer = fleet.m_peers[VmName("node-" + std::to_string(number))];
            peer.m_vm = VmName("node-" + std::to_string(number));
            peer.m_dataCentre = DataCentreName("dc-" + std::to_string(number % 4));
            peer.m_peerAddress = Address { "127.0.0.1", 1'000 + number };
            peer.m_lastReceivedAt = at(0);
        }
        return fleet;
    }

    auto contains(const std::vector<Address>& addresses, const Address& address) -> bool
    {
        return std::any_of(addresses.begin(), addresses.end(),
            [&](const auto& other) { return other.m_port == address.m_port; });
    }

    TEST(OriginKeepersTest, AreInDifferentDataCentres)
    {
        for (auto stream = StreamKey { 1 }; stream < 100; ++stream) {
            auto dataCentres = std::vector<int>();
            for (const auto& keeper : originKeepers(fleetOf(12), stream, 4, at(0)))
                dataCentres.push_back(keeper.m_port % 4);
            std::sort(dataCentres.begin(), dataCentres.end());
            EXPECT_EQ(dataCentres, (std::vector<int> { 0, 1, 2, 3 }));
        }
    }

    // The node that forwards a stream isn't among its own peers, nor the node that asks among its; up to two
    // nodes were lost since.
    RC_GTEST_PROP(OriginKeepersTest, ANodeThatAsksReachesOneThatKeepsTheOrigin, (StreamKey stream))
    {
        constexpr auto nodes = 9;
        auto kept = fleetOf(nodes);
        auto asking = fleetOf(nodes);
        const auto forwarder = *rc::gen::inRange(0, nodes);
        const auto asker = (forwarder + *rc::gen::inRange(1, nodes)) % nodes;
        const auto lost = (forwarder + *rc::gen::inRange(1, nodes)) % nodes;
        kept.m_peers.erase(VmName("node-" + std::to_string(forwarder)));
        for (const auto gone : { forwarder, asker, lost })
            asking.m_peers.erase(VmName("node-" + std::to_string(gone)));
        const auto keepers = originKeepers(kept, stream, 3, at(0));
        const auto asked = originKeepers(asking, stream, 5, at(0));
        const auto reached = std::any_of(keepers.begin(), keepers.end(),
            [&](const auto& keeper) { return keeper.m_port == 1'000 + asker || contains(asked, keeper); });
        RC_ASSERT(reached);
    }

} // namespace
} // namespace marigoldladder::relay
