// Several nodes' allowances in one process, with a clock and a network of the test.
#include "limits/allowance.h"

#include "limits/charge_log.h"
#include "limits/fake_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto rate = 1000.0;
    constexpr auto burst = 2000.0;

    TEST(AllowanceTest, StartsEmptyAndFillsAtItsPart)
    {
        auto fleet = FakeFleet(1, rate, burst);
        EXPECT_FALSE(fleet.admit(0, 1)) << "expected nothing to spend at the start";
        fleet.pass(1.0);
        EXPECT_TRUE(fleet.admit(0, 999));
        EXPECT_FALSE(fleet.admit(0, 2));
    }

    TEST(AllowanceTest, TakesFromPeersWhatItLacks)
    {
        auto fleet = FakeFleet(4, rate, burst);
        fleet.pass(10);
        EXPECT_TRUE(fleet.admit(0, burst)) << "expected the whole burst at one node";
        EXPECT_FALSE(fleet.admit(1, 1)) << "expected the others to be empty after it";
    }

    TEST(AllowanceTest, ServesWithoutAPartOfItsOwn)
    {
        auto fleet = FakeFleet(4, rate, burst);
        fleet.pass(10);
        fleet.reassign(0, 1);
        EXPECT_TRUE(fleet.admit(0, 100));
    }

    TEST(AllowanceTest, ReturnsToPeersWhatARequestDidNotUse)
    {
        auto fleet = FakeFleet(4, rate, burst);
        fleet.pass(10);
        ASSERT_TRUE(fleet.admit(0, burst));
        fleet.settleNewest(0, 500);
        EXPECT_TRUE(fleet.admit(1, 1400)) << "expected the unused 1500 tokens back at their nodes";
    }

    TEST(AllowanceTest, GivesBackEverythingWhenAPeerDoesNotAnswer)
    {
        auto fleet = FakeFleet(2, rate, burst);
        fleet.pass(10);
        fleet.setNetwork(Network::Cut);
        EXPECT_FALSE(fleet.admit(0, 1500));
        EXPECT_TRUE(fleet.admit(0, 1000)) << "expected the node's own half untouched";
    }

    TEST(AllowanceTest, SpendsWhatItsOwnPartGainedWhileItAskedPeersInVain)
    {
        auto fleet = FakeFleet(2, rate, burst);
        fleet.setNetwork(Network::Slow);
        EXPECT_TRUE(fleet.admit(0, 40)) << "expected the 45 tokens of 90 ms to pay";
    }

    TEST(AllowanceTest, DebitsADoubledTransferOnce)
    {
        auto fleet = FakeFleet(2, rate, burst);
        fleet.pass(10);
        const auto transfer = TokenTransfer { FakeFleet::organisation(), TransferId("t1"), 300 };
        EXPECT_EQ(fleet.node(1).give(transfer).m_tokens, 300);
        EXPECT_EQ(fleet.node(1).give(transfer).m_left, 700);
        fleet.node(1).takeBack(transfer);
        fleet.node(1).takeBack(transfer);
        EXPECT_FALSE(fleet.admit(1, burst + 1));
        EXPECT_EQ(fleet.node(1).give({ FakeFleet::organisation(), TransferId("t2"), burst }).m_tokens, 1000)
            << "expected one return of the doubled transfer";
    }

    TEST(AllowanceTest, LoweredRateAppliesAtOnce)
    {
        auto fleet = FakeFleet(1, rate, burst);
        fleet.pass(10);
        fleet.changeRate(10, 50);
        EXPECT_FALSE(fleet.admit(0, 51)) << "expected no more than the lowered burst";
        EXPECT_TRUE(fleet.admit(0, 50));
        fleet.pass(1);
        EXPECT_FALSE(fleet.admit(0, 11)) << "expected no more than the lowered rate";
    }

    TEST(AllowanceTest, ATakenOverPartStartsEmpty)
    {
        auto fleet = FakeFleet(2, rate, burst);
        fleet.pass(10);
        ASSERT_TRUE(fleet.admit(0, 1000));
        fleet.reassign(0, 1);
        EXPECT_FALSE(fleet.admit(1, 1001)) << "expected the other node's part to come empty";
    }

    TEST(AllowanceTest, APartThatWentAwayComesBackEmpty)
    {
        auto fleet = FakeFleet(2, rate, burst);
        fleet.pass(10);
        ASSERT_TRUE(fleet.admit(0, 1));
        fleet.reassign(0, 1);
        fleet.pass(10);
        ASSERT_TRUE(fleet.admit(1, burst));
        fleet.reassign(1, 0);
        EXPECT_FALSE(fleet.admit(0, 1)) << "expected nothing kept over the time without the part";
    }

    // One step of a random schedule.
    struct Step {
        std::uint8_t m_action;
        std::uint8_t m_node;
        std::uint8_t m_amount;
        std::uint8_t m_wait;
    };

    auto run(FakeFleet& fleet, const Step& step) -> void
    {
        constexpr auto actions = 10;
        fleet.pass(step.m_wait / 256.0);
        switch (step.m_action % actions) {
        case 0:
            fleet.settleAny(step.m_node, step.m_amount);
            break;
        case 1:
            fleet.setNetwork(static_cast<Network>(step.m_amount % networkCount));
            break;
        case 2:
            fleet.restart(step.m_node);
            break;
        case 3:
            fleet.reassign(step.m_node, step.m_amount);
            break;
        case 4:
            fleet.pass(step.m_amount / 16.0);
            break;
        default:
            fleet.admit(step.m_node, 10.0 * step.m_amount);
        }
    }

    RC_GTEST_PROP(AllowanceTest, NoWindowSeesMoreThanBurstAndRate, ())
    {
        const auto steps = *rc::gen::container<std::vector<Step>>(
            rc::gen::construct<Step>(rc::gen::arbitrary<std::uint8_t>(), rc::gen::arbitrary<std::uint8_t>(),
                rc::gen::arbitrary<std::uint8_t>(), rc::gen::arbitrary<std::uint8_t>()));
        auto fleet = FakeFleet(4, rate, burst);
        fleet.pass(3);
        for (const auto& step : steps)
            run(fleet, step);
        const auto excess = fleet.excess();
        RC_LOG() << "excess over burst + rate * window: " << excess << " tokens";
        RC_ASSERT(excess <= 1e-6);
    }

} // namespace
} // namespace marigoldladder
