#include "relay/order_lease.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    auto seconds(double value) -> BootClockTime
    {
        return std::chrono::duration_cast<BootClockTime>(std::chrono::duration<double>(value));
    }

    class OrderLeaseTest : public testing::Test {
    protected:
        OrderLeaseTest()
        {
            m_context.m_self = VmName("self");
            m_context.m_eligible = true;
        }

        auto stepAt(double time) -> LeaseStep
        {
            m_context.m_now = seconds(time);
            return nextLeaseStep(m_state, m_context);
        }

        LeaseState m_state;
        LeaseContext m_context;
    };

    TEST_F(OrderLeaseTest, ReadsTheLeaseBeforeCreatingIt)
    {
        EXPECT_EQ(stepAt(10), LeaseStep::Read);
        applyLeaseRecord(m_state, LeaseRecord(), seconds(10));
        EXPECT_EQ(stepAt(11.6), LeaseStep::Create);
    }

    TEST_F(OrderLeaseTest, NodesOfLowerRankCreateTheFirstLease)
    {
        applyLeaseRecord(m_state, LeaseRecord(), seconds(10));
        EXPECT_EQ(stepAt(11.4), LeaseStep::Nothing) << "other nodes may have started and are not known yet";
        m_context.m_rank = 2;
        EXPECT_EQ(stepAt(12.0), LeaseStep::Nothing)
            << "two nodes precede this one, each with 0.3 s to create the lease";
        EXPECT_EQ(stepAt(12.2), LeaseStep::Create) << "the two preceding nodes did not create it in time";
    }

    TEST_F(OrderLeaseTest, TakesOverOnlyOneLeaseTimeAfterTheLastPossibleOrder)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 10, 77 }, seconds(10));
        EXPECT_EQ(stepAt(14.3), LeaseStep::Read)
            << "the holder may send orders until 11.3 s, and a lease lasts 3 s";
        EXPECT_EQ(stepAt(14.7), LeaseStep::TakeOver);
    }

    TEST_F(OrderLeaseTest, ARenewalRestartsTheTakeoverDelay)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 10, 77 }, seconds(10));
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 11, 78 }, seconds(13));
        EXPECT_EQ(stepAt(16), LeaseStep::Read);
    }

    TEST_F(OrderLeaseTest, DoesNotTakeOverWhileAnyNodeReceivesFromTheHolder)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 10, 77 }, seconds(10));
        m_context.m_holderLastSeenAt = seconds(19.5);
        EXPECT_EQ(stepAt(20), LeaseStep::Nothing);
    }

    TEST_F(OrderLeaseTest, ARestartedHolderTakesOverAtOnce)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("self"), 4, 10, 77 }, seconds(10));
        EXPECT_EQ(stepAt(10.1), LeaseStep::TakeOver);
    }

    TEST_F(OrderLeaseTest, AHolderThatWasFrozenMayNotSendOrders)
    {
        m_state.m_holding = true;
        m_state.m_renewedAt = seconds(10);
        EXPECT_TRUE(mayOrder(m_state, false, seconds(11)));
        EXPECT_FALSE(mayOrder(m_state, false, seconds(17)));
    }

    TEST_F(OrderLeaseTest, AHolderConfirmedByAllMaySendOrdersWhileTheStoreIsUnreachable)
    {
        m_state.m_holding = true;
        m_state.m_renewedAt = seconds(10);
        EXPECT_TRUE(mayOrder(m_state, true, seconds(17)));
    }

    // Guards against load on the store: without the limit, all 195 nodes of a site read the lease twice per
    // second while its holder was gone.
    TEST_F(OrderLeaseTest, FewNodesOfALargeFleetReadTheLeaseWhileTheHolderIsUnresponsive)
    {
        m_context.m_largeFleet = true;
        m_context.m_holderLastSeenAt = seconds(10);
        auto readers = 0;
        for (auto rank = std::size_t { 0 }; rank < 195; ++rank) {
            m_context.m_rank = rank;
            readers += stepAt(14.6) == LeaseStep::Read ? 1 : 0;
        }
        EXPECT_LE(readers, 5) << "at the time when the first of them takes over";
        EXPECT_GE(readers, 2);
    }

    TEST_F(OrderLeaseTest, NodesOfHigherRankReadTheLeaseLater)
    {
        m_context.m_largeFleet = true;
        m_context.m_holderLastSeenAt = seconds(10);
        m_context.m_rank = 12;
        EXPECT_EQ(stepAt(20), LeaseStep::Nothing);
        EXPECT_EQ(stepAt(23), LeaseStep::Read);
    }

    class RestoredLeaseTest : public OrderLeaseTest {
    protected:
        RestoredLeaseTest()
        {
            m_state.m_holding = true;
            m_state.m_renewedAt = seconds(10);
            m_state.m_lastRecord = LeaseRecord { VmName("self"), 7, 4, 77, 1 };
            m_state.m_heldEra = 1;
            m_context.m_storeEra = 2;
            m_context.m_highestFence = 7;
        }

        auto found(const char* vm, std::uint64_t fence, std::uint64_t era) -> LeaseRecord
        {
            return LeaseRecord { VmName(vm), fence, 1, 30, era };
        }
    };

    TEST_F(RestoredLeaseTest, TheHolderReadsTheLeaseOfTheNewEraBeforeItRenews)
    {
        EXPECT_EQ(stepAt(10.6), LeaseStep::Read);
        applyLeaseRecord(m_state, found("self", 7, 2), seconds(10.6));
        EXPECT_EQ(stepAt(10.7), LeaseStep::Renew);
    }

    TEST_F(RestoredLeaseTest, TheHolderCreatesItsLeaseAgainIfTheCopyLacksIt)
    {
        auto missing = LeaseRecord();
        missing.m_era = 2;
        applyLeaseRecord(m_state, missing, seconds(10.6));
        EXPECT_EQ(stepAt(10.7), LeaseStep::Create);
    }

    TEST_F(RestoredLeaseTest, AnEarlierLeaseOfAnOlderCopyDoesNotEndTheTerm)
    {
        const auto held = *m_state.m_lastRecord;
        EXPECT_EQ(judgeHeldLease(held, found("other", 6, 2)), HeldLease::Outdated);
        EXPECT_EQ(judgeHeldLease(held, found("self", 5, 2)), HeldLease::Outdated);
        EXPECT_EQ(judgeHeldLease(held, found("self", 7, 2)), HeldLease::Kept);
    }

    TEST_F(RestoredLeaseTest, ALaterLeaseOrAnyOtherOfTheSameEraEndsTheTerm)
    {
        const auto held = *m_state.m_lastRecord;
        EXPECT_EQ(judgeHeldLease(held, found("other", 8, 2)), HeldLease::Lost);
        EXPECT_EQ(judgeHeldLease(held, found("other", 7, 2)), HeldLease::Lost);
        EXPECT_EQ(judgeHeldLease(held, found("other", 6, 1)), HeldLease::Lost);
    }

    TEST_F(RestoredLeaseTest, NoFenceIsBelowOneThatIsKnown)
    {
        m_state = LeaseState();
        applyLeaseRecord(m_state, found("other", 3, 2), seconds(10));
        EXPECT_EQ(nextFence(m_state, m_context), 8U) << "peers know of a holder with fence 7";
        m_context.m_highestFence = 0;
        EXPECT_EQ(nextFence(m_state, m_context), 4U);
    }

    TEST_F(RestoredLeaseTest, AFenceReadBeforeTheRestoreStillCounts)
    {
        m_state = LeaseState();
        m_context.m_highestFence = 0;
        applyLeaseRecord(m_state, found("other", 4, 1), seconds(10));
        applyLeaseRecord(m_state, found("other", 3, 2), seconds(11));
        EXPECT_EQ(nextFence(m_state, m_context), 5U);
    }

    TEST_F(RestoredLeaseTest, ANodeWithoutTheLeaseReadsItInTheNewEraBeforeItTakesOver)
    {
        m_state = LeaseState();
        applyLeaseRecord(m_state, found("other", 7, 1), seconds(10));
        EXPECT_EQ(stepAt(20), LeaseStep::Read);
        applyLeaseRecord(m_state, found("other", 6, 2), seconds(20));
        EXPECT_EQ(stepAt(20.1), LeaseStep::Read);
        EXPECT_EQ(stepAt(24.7), LeaseStep::TakeOver);
    }

    TEST_F(RestoredLeaseTest, AHolderReadsAnOutdatedLeaseTwiceWithoutLosingItsTerm)
    {
        auto held = *m_state.m_lastRecord;
        applyLeaseRecord(m_state, found("other", 6, 2), seconds(10.6));
        held.m_era = m_state.m_heldEra;
        EXPECT_EQ(judgeHeldLease(held, found("other", 6, 2)), HeldLease::Outdated);
        EXPECT_EQ(judgeHeldLease(held, LeaseRecord()), HeldLease::Outdated);
    }

    TEST_F(RestoredLeaseTest, AMissingLeaseWithAKnownHolderIsCreatedOnlyOnceThatHoldersTimeIsOver)
    {
        m_state = LeaseState();
        auto missing = LeaseRecord();
        missing.m_era = 2;
        applyLeaseRecord(m_state, missing, seconds(10));
        EXPECT_EQ(stepAt(11.6), LeaseStep::Read);
        EXPECT_EQ(stepAt(14.7), LeaseStep::Create);
    }

    TEST_F(RestoredLeaseTest, ARestartedNodeDoesNotTakeOverByAnOldLeaseOfItsOwn)
    {
        m_state = LeaseState();
        applyLeaseRecord(m_state, found("self", 5, 2), seconds(10));
        EXPECT_EQ(stepAt(10.1), LeaseStep::Read) << "a holder with a higher fence is known";
        m_context.m_highestFence = 0;
        m_context.m_startedAt = seconds(10);
        EXPECT_EQ(stepAt(10.1), LeaseStep::Read) << "the peers have not told yet of a later holder";
        EXPECT_EQ(stepAt(10.6), LeaseStep::TakeOver);
    }

} // namespace
} // namespace marigoldladder::relay
