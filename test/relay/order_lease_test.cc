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

} // namespace
} // namespace marigoldladder::relay
