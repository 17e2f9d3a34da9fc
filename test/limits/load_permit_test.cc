#include "limits/load_permit.h"

#include <gtest/gtest.h>

namespace marigoldladder {
namespace {

    using namespace std::chrono_literals;

    // Two nodes with half of the store's rate each, whose tokens travel by direct calls.
    class LoadPermitTest : public ::testing::Test {
    protected:
        LoadPermitTest()
            : m_first(m_blackboard, VmName("a"), transportTo(m_second), clock(), { account() })
            , m_second(m_blackboard, VmName("b"), transportTo(m_first), clock(), { account() })
        {
            auto halves = GroupFractions();
            halves.fill(0.5);
            m_first.setFractions(halves);
            m_second.setFractions(halves);
            m_blackboard.m_shares.write([](ShareTable& table) {
                table.m_slots.assign(slotCount, VmName("a"));
                for (auto i = std::size_t { 0 }; i < table.m_slots.size(); i += 2)
                    table.m_slots[i] = VmName("b");
            });
            for (const auto* vm : { "a", "b" })
                m_blackboard.m_membership.write(
                    [&](Membership& value) { value.m_members[VmName(vm)].m_vm = VmName(vm); });
        }

        static auto account() -> Organisation { return weightStoreAccount({ 4, 8 }); }

        static auto transportTo(Allowance& peer) -> TokenTransport
        {
            return { [&peer](const VmName&, const TokenTransfer& transfer) { return peer.give(transfer); },
                [&peer](const VmName&, const TokenTransfer& transfer) { peer.takeBack(transfer); } };
        }

        auto clock() -> MonotonicClock
        {
            return [this] { return m_now; };
        }

        // Permits that the first node gets alone within the time, asking every 10 ms.
        auto permitsWithin(std::chrono::milliseconds time) -> int
        {
            auto permits = 0;
            for (const auto end = m_now + time; m_now < end; m_now += 10ms)
                permits += takeLoadPermit(m_first).count() == 0 ? 1 : 0;
            return permits;
        }

        Blackboard m_blackboard;
        MonotonicTime m_now { std::chrono::hours(1) };
        Allowance m_first;
        Allowance m_second;
    };

    TEST_F(LoadPermitTest, LetOneNodeUseTheWholeRateWhenTheOthersLoadNothing)
    {
        EXPECT_GE(permitsWithin(10s), 38) << "expected nearly 4 loads a second of one node";
    }

    TEST_F(LoadPermitTest, NeverExceedTheRateAndBurstOfTheFleet)
    {
        EXPECT_LE(permitsWithin(10s), 4 + 4 * 10) << "expected at most the burst and 4 loads a second";
    }

    TEST_F(LoadPermitTest, LeaveOrganisationsOfAnotherNameAlone)
    {
        EXPECT_FALSE(m_first.admit(OrganisationName("aare"), 1))
            << "expected an organisation unknown to be refused";
    }

} // namespace
} // namespace marigoldladder
