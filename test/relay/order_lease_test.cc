#include "relay/order_lease.h"

#include <gtest/gtest.h>

namespace marigoldladder::relay {
namespace {

    auto seconds(double value) -> UninterruptedTime
    {
        return std::chrono::duration_cast<UninterruptedTime>(std::chrono::duration<double>(value));
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

    TEST_F(OrderLeaseTest, ReadsBeforeItCreates)
    {
        EXPECT_EQ(stepAt(10), LeaseStep::Read);
        applyLeaseRecord(m_state, LeaseRecord(), seconds(10));
        EXPECT_EQ(stepAt(11.6), LeaseStep::Create);
    }

    TEST_F(OrderLeaseTest, LeavesTheFirstLeaseToNodesThatComeBeforeIt)
    {
        applyLeaseRecord(m_state, LeaseRecord(), seconds(10));
        EXPECT_EQ(stepAt(11.4), LeaseStep::Nothing) << "others may have started and are not known yet";
        m_context.m_rank = 2;
        EXPECT_EQ(stepAt(12.0), LeaseStep::Nothing) << "two others should hold it";
        EXPECT_EQ(stepAt(12.2), LeaseStep::Create) << "they had their time";
    }

    TEST_F(OrderLeaseTest, TakesOverOnlyAWholeLeaseAfterTheLastPossibleOrder)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 10, 77 }, seconds(10));
        EXPECT_EQ(stepAt(14.3), LeaseStep::Read) << "the holder may order until 11.3 s, a lease lasts 3 s";
        EXPECT_EQ(stepAt(14.7), LeaseStep::TakeOver);
    }

    TEST_F(OrderLeaseTest, ARenewalStartsTheWaitAnew)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 10, 77 }, seconds(10));
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 11, 78 }, seconds(13));
        EXPECT_EQ(stepAt(16), LeaseStep::Read);
    }

    TEST_F(OrderLeaseTest, LeavesAHolderAloneThatAnybodyHears)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("other"), 4, 10, 77 }, seconds(10));
        m_context.m_holderLastSeenAt = seconds(19.5);
        EXPECT_EQ(stepAt(20), LeaseStep::Nothing);
    }

    TEST_F(OrderLeaseTest, ARestartedHolderGoesOnAtOnce)
    {
        applyLeaseRecord(m_state, LeaseRecord { VmName("self"), 4, 10, 77 }, seconds(10));
        EXPECT_EQ(stepAt(10.1), LeaseStep::TakeOver);
    }

    TEST_F(OrderLeaseTest, AFrozenHolderOrdersNoMore)
    {
        m_state.m_holding = true;
        m_state.m_renewedAt = seconds(10);
        EXPECT_TRUE(mayOrder(m_state, false, seconds(11)));
        EXPECT_FALSE(mayOrder(m_state, false, seconds(17)));
    }

    TEST_F(OrderLeaseTest, WhileTheStoreIsAwayAHolderThatAllHearGoesOn)
    {
        m_state.m_holding = true;
        m_state.m_renewedAt = seconds(10);
        EXPECT_TRUE(mayOrder(m_state, true, seconds(17)));
    }

    // Seen on a site: 195 nodes read the object twice a second while its holder was gone.
    TEST_F(OrderLeaseTest, FewNodesOfALargeFleetLookWhileTheHolderIsSilent)
    {
        m_context.m_largeFleet = true;
        m_context.m_holderLastSeenAt = seconds(10);
        auto looking = 0;
        for (auto rank = std::size_t { 0 }; rank < 195; ++rank) {
            m_context.m_rank = rank;
            looking += stepAt(14.6) == LeaseStep::Read ? 1 : 0;
        }
        EXPECT_LE(looking, 5) << "when the first of them takes over";
        EXPECT_GE(looking, 2);
    }

    TEST_F(OrderLeaseTest, LaterNodesLookIfTheFirstOnesDoNot)
    {
        m_context.m_largeFleet = true;
        m_context.m_holderLastSeenAt = seconds(10);
        m_context.m_rank = 12;
        EXPECT_EQ(stepAt(20), LeaseStep::Nothing);
        EXPECT_EQ(stepAt(23), LeaseStep::Read);
    }

} // namespace
} // namespace marigoldladder::relay
