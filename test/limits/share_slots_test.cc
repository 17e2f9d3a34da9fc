#include "limits/share_slots.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace marigoldladder {
namespace {

    const auto vmA = VmName("a");
    const auto vmB = VmName("b");
    const auto vmC = VmName("c");

    auto held(const SlotTable& table, const VmName& vm) -> std::ptrdiff_t
    {
        return std::count(table.m_slots.begin(), table.m_slots.end(), vm);
    }

    auto tableOf(const VmName& holder, const std::vector<VmName>& others) -> SlotTable
    {
        auto table = makeSlotTable(holder, 1);
        for (const auto& vm : others)
            table.m_holders[vm] = 1;
        return table;
    }

    TEST(ShareSlotsTest, AHolderGivesItsSurplusToThoseWithLess)
    {
        const auto planned = planSlots(tableOf(vmA, { vmB, vmC }), { { vmA, vmB, vmC }, {} }, vmA, false);
        EXPECT_EQ(held(planned, vmA), 171);
        EXPECT_GE(held(planned, vmB), 170);
        EXPECT_GE(held(planned, vmC), 170);
        EXPECT_EQ(held(planned, vmB) + held(planned, vmC), 341);
    }

    TEST(ShareSlotsTest, NobodyTakesTheSlotsOfALivingVm)
    {
        const auto table = tableOf(vmA, { vmB });
        const auto planned = planSlots(table, { { vmA, vmB }, {} }, vmB, false);
        EXPECT_EQ(planned.m_slots, table.m_slots);
    }

    TEST(ShareSlotsTest, AnUnreachableVmKeepsItsSlots)
    {
        const auto table = tableOf(vmA, { vmB });
        const auto planned = planSlots(table, { { vmB }, {} }, vmB, false);
        EXPECT_EQ(planned.m_slots, table.m_slots) << "expected a VM that only went silent to keep its part";
    }

    TEST(ShareSlotsTest, SlotsOfAVmThatIsGoneAreGivenOut)
    {
        const auto planned
            = planSlots(tableOf(vmA, { vmB, vmC }), { { vmB, vmC }, { { vmA, 1 } } }, vmB, false);
        EXPECT_EQ(held(planned, vmA), 0);
        EXPECT_EQ(held(planned, vmB), 256);
        EXPECT_FALSE(planned.m_holders.contains(vmA));
    }

    TEST(ShareSlotsTest, AVmThatStartedAgainIsNotGone)
    {
        auto table = tableOf(vmA, { vmB });
        table.m_holders[vmA] = 2;
        const auto planned = planSlots(table, { { vmB }, { { vmA, 1 } } }, vmB, false);
        EXPECT_EQ(held(planned, vmA), 512);
    }

    TEST(ShareSlotsTest, AVmThatLeavesGivesAllAway)
    {
        const auto planned = planSlots(tableOf(vmA, { vmB }), { { vmA, vmB }, {} }, vmA, true);
        EXPECT_EQ(held(planned, vmA), 0);
        EXPECT_EQ(held(planned, vmB), 512);
    }

    TEST(ShareSlotsTest, AFleetOf350NodesSpreadsAnOrganisationOver8)
    {
        auto table = makeSlotTable(VmName("vm-0"), 1);
        auto fleet = FleetView();
        for (auto i = 0; i < 350; ++i) {
            table.m_holders[VmName("vm-" + std::to_string(i))] = 1;
            fleet.m_serving.insert(VmName("vm-" + std::to_string(i)));
        }
        const auto planned = planSlots(table, fleet, VmName("vm-0"), false);
        EXPECT_EQ(holdersOf(planned.m_slots, 0).size(), slotsPerGroup);
        EXPECT_LE(held(planned, VmName("vm-0")), 2);
        EXPECT_LT(writeSlotTable(planned).dump().size(), 20'000U) << "expected the object to stay small";
    }

    TEST(ShareSlotsTest, ATableIsReadBackAsItWasWritten)
    {
        const auto table = tableOf(vmA, { vmB });
        const auto read = readSlotTable(writeSlotTable(table));
        ASSERT_TRUE(read);
        EXPECT_EQ(read->m_slots, table.m_slots);
        EXPECT_EQ(read->m_holders, table.m_holders);
        EXPECT_FALSE(readSlotTable({ { "slots", 3 } }));
    }

} // namespace
} // namespace marigoldladder
