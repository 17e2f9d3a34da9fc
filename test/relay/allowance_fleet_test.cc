#include "relay/allowance_fleet.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    constexpr auto slackTokens = 17'000.0; // Permitted beyond the excess share.
    constexpr auto windowBound = 1.1 * (windowSeconds * rate + burst) + slackTokens;
    constexpr auto nodesOfLargeFleet = std::size_t { 195 };

    TEST(AllowanceShardsTest, RequestsWithinTheRateAreGrantedAtAllNodesOfALargeFleet)
    {
        auto fleet = AllowanceFleet(nodesOfLargeFleet);
        fleet.advance(10);
        fleet.setDemand(0.9 * rate);
        fleet.advance(10);
        EXPECT_GE(fleet.granted(), 0.99 * 0.9 * rate * 10);
    }

    TEST(AllowanceShardsTest, AnOrganisationMaySpendItsWholeBurstAtOnce)
    {
        auto fleet = AllowanceFleet(nodesOfLargeFleet);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        fleet.advance(1);
        EXPECT_GE(fleet.granted(), 0.97 * (burst + rate));
    }

    TEST(AllowanceShardsTest, SeveralTimesTheRateIsHeldToTheLimit)
    {
        auto fleet = AllowanceFleet(nodesOfLargeFleet);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        fleet.advance(10);
        EXPECT_LE(fleet.maxGrantedInWindow(), windowBound);
        EXPECT_GE(fleet.granted(), 0.95 * (0.6 * rate * 8 + burst + rate * 10))
            << "less than 95 % of what the limit permits was granted";
    }

    // Guards against granting too much when all processes are killed at once while an organisation sends five
    // times its usual load, which happened at a site.
    TEST(AllowanceShardsTest, ALargeFleetThatRestartsAtOnceHoldsTheLimit)
    {
        auto fleet = AllowanceFleet(nodesOfLargeFleet);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        fleet.setDemand(3 * rate);
        fleet.advance(4);
        for (auto node = std::size_t { 0 }; node < nodesOfLargeFleet; ++node)
            fleet.restart(node);
        fleet.advance(10);
        EXPECT_LE(fleet.maxGrantedInWindow(), windowBound);
    }

    TEST(AllowanceShardsTest, TwoRestartsOfAllNodesInAWindowHoldTheLimit)
    {
        for (const auto nodes : { std::size_t { 8 }, std::size_t { 61 }, nodesOfLargeFleet }) {
            auto fleet = AllowanceFleet(nodes);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            for (auto restart = 0; restart < 2; ++restart) {
                fleet.advance(2.5);
                for (auto node = std::size_t { 0 }; node < nodes; ++node)
                    fleet.restart(node);
            }
            fleet.advance(8);
            EXPECT_LE(fleet.maxGrantedInWindow(), windowBound) << nodes << " nodes";
        }
    }

    TEST(AllowanceShardsTest, NodesPausedInTurnHoldTheLimitWhenTheyResume)
    {
        auto fleet = AllowanceFleet(8);
        fleet.advance(10);
        fleet.setDemand(5 * rate);
        for (auto node = std::size_t { 0 }; node < 8; ++node) {
            fleet.setPaused(node, true);
            fleet.advance(4);
            fleet.setPaused(node, false);
        }
        EXPECT_LE(fleet.maxGrantedInWindow(), windowBound);
    }

    TEST(AllowanceShardsTest, BothSidesOfANetworkPartitionHoldTheLimitTogether)
    {
        for (const auto group : { std::size_t { 1 }, std::size_t { 60 }, std::size_t { 98 } }) {
            auto fleet = AllowanceFleet(nodesOfLargeFleet);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            fleet.advance(4);
            fleet.partition(group);
            fleet.advance(12);
            fleet.partition(0);
            fleet.advance(8);
            EXPECT_LE(fleet.maxGrantedInWindow(), windowBound) << "size of the first group: " << group;
        }
    }

    TEST(AllowanceShardsTest, NodesThatAreAllIsolatedHoldTheLimitTogether)
    {
        for (const auto nodes : { std::size_t { 8 }, nodesOfLargeFleet }) {
            auto fleet = AllowanceFleet(nodes);
            fleet.advance(10);
            fleet.setDemand(5 * rate);
            fleet.advance(2);
            fleet.isolate();
            fleet.advance(12);
            EXPECT_LE(fleet.maxGrantedInWindow(), windowBound) << nodes << " nodes";
        }
    }

    TEST(AllowanceShardsTest, RequestsWithinTheRateAreGrantedWhereverTheyArrive)
    {
        auto fleet = AllowanceFleet(8);
        fleet.advance(10);
        fleet.sendRequestsTo(5);
        fleet.setDemand(0.6 * rate);
        fleet.advance(8);
        EXPECT_GE(fleet.granted(), 0.98 * 0.6 * rate * 8) << "all requests arrive at one of 8 nodes";
    }

    TEST(AllowanceShardsTest, TheLossOfANodeCostsAtMostItsShareOfTheRate)
    {
        auto fleet = AllowanceFleet(8);
        fleet.setDemand(0.6 * rate);
        fleet.advance(10);
        const auto before = fleet.granted();
        fleet.setPaused(3, true);
        fleet.advance(5);
        EXPECT_GE(fleet.granted() - before, 0.6 * rate * 5 * 7 / 8 * 0.97)
            << "requests that arrive at the seven running nodes of eight";
    }

    TEST(AllowanceShardsTest, EachShardHasOneOwner)
    {
        auto fleet = AllowanceFleet(61);
        fleet.advance(5);
        EXPECT_EQ(fleet.ownersOfFirstShard(), 1U);
    }

} // namespace
} // namespace marigoldladder::relay
