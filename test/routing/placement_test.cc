#include "routing/placement.h"
#include "routing/popularity.h"
#include "routing/upstream_choice.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace marigoldladder {
namespace {

    using namespace std::chrono_literals;

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    const auto poolName = PoolName("triage-models");

    auto tableOf(std::size_t count) -> UpstreamTable
    {
        auto table = UpstreamTable();
        for (auto i = std::size_t { 0 }; i < count; ++i) {
            auto upstream = Upstream();
            upstream.m_name = UpstreamName("triage-" + std::to_string(i));
            upstream.m_pool = poolName;
            table.m_upstreams[upstream.m_name] = upstream;
        }
        table.m_version = 1;
        return table;
    }

    auto homeOf(const PlacementPool& pool, std::uint64_t key) -> std::string
    {
        return pool.m_targets.at(rankTargets(pool, key, 1).at(0)).m_name.value();
    }

    class PlacementSizeTest : public ::testing::TestWithParam<std::size_t> { };

    TEST_P(PlacementSizeTest, LosingOneReplicaMovesOnlyItsAdapters)
    {
        auto table = tableOf(GetParam());
        const auto before = makePlacementPool(table, {}, poolName);
        table.m_upstreams.erase(UpstreamName("triage-3"));
        const auto after = makePlacementPool(table, {}, poolName);
        for (auto key = std::uint64_t { 0 }; key < 2000; ++key) {
            const auto hash = placementHash(std::to_string(key));
            const auto home = homeOf(before, hash);
            if (home != "triage-3") {
                EXPECT_EQ(homeOf(after, hash), home);
            }
        }
    }

    TEST_P(PlacementSizeTest, OffersThreeDifferentReplicas)
    {
        const auto pool = makePlacementPool(tableOf(GetParam()), {}, poolName);
        auto random = std::mt19937_64(1);
        const auto chosen = chooseTargets(pool, placementHash("damp@1"), 2, random, start);
        EXPECT_EQ(std::set(chosen.begin(), chosen.end()).size(), 3U);
    }

    INSTANTIATE_TEST_SUITE_P(Pools, PlacementSizeTest, ::testing::Values(12, 1000));

    TEST(PlacementTest, LeavesOutWhatIsLeavingOrOut)
    {
        auto table = tableOf(2);
        table.m_upstreams[UpstreamName("triage-0")].m_leaving = true;
        EXPECT_EQ(makePlacementPool(table, {}, poolName).m_targets.size(), 1U);
        auto configuration = Configuration();
        configuration.m_drains[drainKey(DrainScope::Vm, "triage-1")] = { DrainScope::Vm, "triage-1", 1 };
        EXPECT_TRUE(makePlacementPool(table, configuration, poolName).m_targets.empty());
    }

    TEST(PlacementTest, SpreadsAHotAdapterOverItsReplicasByLoad)
    {
        auto pool = makePlacementPool(tableOf(12), {}, poolName);
        auto random = std::mt19937_64(1);
        auto counts = std::map<std::uint32_t, int>();
        for (auto i = 0; i < 300; ++i) {
            const auto first = chooseTargets(pool, placementHash("hot@1"), 3, random, start).at(0);
            noteDispatch(pool.m_targets[first], start);
            ++counts[first];
        }
        EXPECT_GE(counts.size(), 3U);
        for (const auto& [target, count] : counts)
            EXPECT_LE(count, 150) << "expected no replica to take more than half";
    }

    TEST(PlacementTest, PassesOverASaturatedHome)
    {
        auto pool = makePlacementPool(tableOf(12), {}, poolName);
        auto random = std::mt19937_64(1);
        const auto hash = placementHash("damp@1");
        const auto home = chooseTargets(pool, hash, 1, random, start).at(0);
        pool.m_targets[home].m_load = 100;
        pool.m_targets[home].m_loadAt = start;
        EXPECT_NE(chooseTargets(pool, hash, 1, random, start).at(0), home);
        EXPECT_EQ(chooseTargets(pool, hash, 1, random, start).at(1), home);
    }

    TEST(PopularityTest, SpreadsAnAdapterAsItsRateGrowsAndGathersItLate)
    {
        auto table = PopularityTable();
        auto now = start;
        EXPECT_EQ(noteRequest(table, 7, 1, now), 1U);
        auto replicas = std::uint32_t { 1 };
        for (auto i = 0; i < 1000; ++i)
            replicas = noteRequest(table, 7, 1, now += 100ms); // 10 requests a second.
        EXPECT_GE(replicas, 3U);
        EXPECT_EQ(noteRequest(table, 7, 1, now + 10min), 1U);
    }

    TEST(PopularityTest, CountsForAllEntries)
    {
        auto table = PopularityTable();
        auto now = start;
        auto replicas = std::uint32_t { 1 };
        for (auto i = 0; i < 300; ++i)
            replicas = noteRequest(table, 7, 9, now += 1s); // One a second at each of nine entries.
        EXPECT_GE(replicas, 2U);
    }

    TEST(PopularityTest, StaysBounded)
    {
        auto table = PopularityTable();
        for (auto key = std::uint64_t { 0 }; key < 2 * maxDemands; ++key)
            (void)noteRequest(table, key, 1, start);
        EXPECT_LE(table.m_demands.size(), maxDemands);
    }

    TEST(UpstreamChooserTest, TriesAnUpstreamThatRefusedAfterOthers)
    {
        auto blackboard = Blackboard();
        auto chooser = UpstreamChooser(blackboard);
        blackboard.m_upstreams.write([](UpstreamTable& table) { table = tableOf(2); });
        const auto first = chooser.choose(poolName, "damp@1").at(0);
        chooser.noteRefusal("damp@1", first);
        EXPECT_EQ(chooser.choose(poolName, "damp@1").at(1), first);
    }

    TEST(UpstreamChooserTest, FollowsChangesOfUpstreamsAndConfiguration)
    {
        auto blackboard = Blackboard();
        auto chooser = UpstreamChooser(blackboard);
        EXPECT_TRUE(chooser.choose(poolName, "damp@1").empty());
        blackboard.m_upstreams.write([](UpstreamTable& table) { table = tableOf(2); });
        EXPECT_EQ(chooser.choose(poolName, "damp@1").size(), 2U);
        blackboard.m_configuration.write([](Configuration& configuration) {
            configuration.m_drains[drainKey(DrainScope::Vm, "triage-1")] = { DrainScope::Vm, "triage-1", 1 };
            configuration.m_revision = 1;
        });
        EXPECT_EQ(chooser.choose(poolName, "damp@1").size(), 1U);
    }

} // namespace
} // namespace marigoldladder
