#include "routing/adapter_slots.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldladder {
namespace {

    constexpr auto start = MonotonicTime(std::chrono::hours(1));
    const auto first = AdapterRef { "damp", "1" };
    const auto second = AdapterRef { "card", "1" };

    auto at(const AdapterRef& ref) -> LoadedAdapter
    {
        return { ref, "path" };
    }

    auto emptySlots(std::size_t capacity) -> AdapterSlots
    {
        auto slots = AdapterSlots();
        slots.m_capacity = capacity;
        slots.m_listNeeded = false;
        return slots;
    }

    auto loadedSlots(std::size_t capacity) -> AdapterSlots
    {
        auto slots = emptySlots(capacity);
        beginLoad(slots, at(first));
        finishLoad(slots, first, OrderOutcome::Done);
        return slots;
    }

    auto stepFor(const AdapterSlots& slots, const AdapterRef& ref, MonotonicTime now = start) -> SlotStep
    {
        return planSlot(slots, at(ref), true, now).m_step;
    }

    TEST(AdapterSlotsTest, ReadsTheEnginesListBeforeTheFirstOrder)
    {
        auto slots = AdapterSlots();
        slots.m_capacity = 2;
        EXPECT_EQ(stepFor(slots, first), SlotStep::List);
        beginList(slots);
        EXPECT_EQ(stepFor(slots, first), SlotStep::Wait);
        finishList(slots, { { at(first) } });
        EXPECT_EQ(stepFor(slots, first), SlotStep::Use);
        EXPECT_EQ(stepFor(slots, second), SlotStep::Load);
    }

    TEST(AdapterSlotsTest, NeverEvictsAPinnedAdapter)
    {
        auto slots = loadedSlots(1);
        const auto generation = pin(slots, first, start);
        EXPECT_EQ(stepFor(slots, second), SlotStep::Full);
        unpin(slots, first, generation);
        EXPECT_EQ(planSlot(slots, at(second), true, start).m_victim, first);
    }

    TEST(AdapterSlotsTest, EvictsNothingWithoutTheRight)
    {
        EXPECT_EQ(planSlot(loadedSlots(1), at(second), false, start).m_step, SlotStep::Refuse);
    }

    TEST(AdapterSlotsTest, KeepsASlotInDoubtUntilTheListSettlesIt)
    {
        auto slots = emptySlots(1);
        beginLoad(slots, at(first));
        finishLoad(slots, first, OrderOutcome::Unknown);
        EXPECT_EQ(stepFor(slots, first), SlotStep::List);
        EXPECT_EQ(stepFor(slots, second), SlotStep::List) << "expected the slot not to count as free";
        beginList(slots);
        finishList(slots, { { at(first) } });
        EXPECT_EQ(stepFor(slots, first), SlotStep::Use);
    }

    TEST(AdapterSlotsTest, UsesNoAdapterWhoseEvictionMayStillLand)
    {
        auto slots = loadedSlots(1);
        beginEviction(slots, first);
        finishEviction(slots, first, OrderOutcome::Unknown, start);
        const auto later = start + std::chrono::seconds(1);
        EXPECT_EQ(stepFor(slots, first, later), SlotStep::Refuse);
        EXPECT_EQ(planSlot(slots, at(second), true, later).m_victim, first) << "expected a second eviction";
        beginEviction(slots, first);
        finishEviction(slots, first, OrderOutcome::Done, later);
        EXPECT_EQ(stepFor(slots, first, later), SlotStep::Refuse)
            << "expected no new load under a late order";
        EXPECT_EQ(stepFor(slots, second, later), SlotStep::Load);
        EXPECT_EQ(stepFor(slots, first, later + std::chrono::minutes(1)), SlotStep::Load);
    }

    TEST(AdapterSlotsTest, KeepsARefusedVictimInUse)
    {
        auto slots = loadedSlots(1);
        beginEviction(slots, first);
        finishEviction(slots, first, OrderOutcome::Refused, start);
        EXPECT_EQ(stepFor(slots, first), SlotStep::Use);
        EXPECT_EQ(stepFor(slots, second), SlotStep::Wait) << "expected a pause before the next try";
    }

    TEST(AdapterSlotsTest, IgnoresAPinOfAnEarlierLoad)
    {
        auto slots = loadedSlots(1);
        const auto stale = pin(slots, first, start);
        doubtAll(slots);
        beginList(slots);
        finishList(slots, { std::vector<LoadedAdapter>() });
        beginLoad(slots, at(first));
        finishLoad(slots, first, OrderOutcome::Done);
        (void)pin(slots, first, start);
        unpin(slots, first, stale);
        EXPECT_EQ(stepFor(slots, second), SlotStep::Full) << "expected the later load to stay pinned";
    }

    TEST(AdapterSlotsTest, KeepsPinsOverADoubtThatWasFalse)
    {
        auto slots = loadedSlots(1);
        (void)pin(slots, first, start);
        doubtAll(slots);
        beginList(slots);
        finishList(slots, { { at(first) } });
        EXPECT_EQ(stepFor(slots, second), SlotStep::Full);
    }

    TEST(AdapterSlotsTest, DoubtsALoadThatEndedAfterARestart)
    {
        auto slots = emptySlots(1);
        beginLoad(slots, at(first));
        doubtAll(slots);
        finishLoad(slots, first, OrderOutcome::Done);
        EXPECT_EQ(stepFor(slots, first), SlotStep::List);
    }

    TEST(AdapterSlotsTest, ReadsAgainAListThatADoubtOvertook)
    {
        auto slots = loadedSlots(1);
        doubtAll(slots);
        beginList(slots);
        doubtAll(slots);
        finishList(slots, { { at(first) } });
        EXPECT_EQ(stepFor(slots, first), SlotStep::List);
    }

    TEST(AdapterSlotsTest, EvictsWithdrawnAdaptersFirst)
    {
        auto slots = loadedSlots(2);
        beginLoad(slots, at(second));
        finishLoad(slots, second, OrderOutcome::Done);
        unpin(slots, second, pin(slots, second, start));
        markWithdrawn(slots, [](const AdapterRef& ref) { return ref == second; });
        EXPECT_EQ(planSlot(slots, at({ "third", "1" }), true, start).m_victim, second);
    }

    TEST(AdapterSlotsTest, LoadsAgainFromAnotherPathOnceUnused)
    {
        auto slots = loadedSlots(2);
        const auto changed = LoadedAdapter { first, "other path" };
        const auto generation = pin(slots, first, start);
        EXPECT_EQ(planSlot(slots, changed, true, start).m_step, SlotStep::Wait);
        unpin(slots, first, generation);
        EXPECT_EQ(planSlot(slots, changed, true, start).m_victim, first);
    }

    // Draws an engine's history at random and checks the promise at each step.
    RC_GTEST_PROP(AdapterSlotsPropertyTest, NoVictimIsEverPinned, (const std::vector<std::uint8_t>& draws))
    {
        auto slots = emptySlots(3);
        auto now = start;
        for (const auto draw : draws) {
            const auto ref = AdapterRef { "adapter", std::to_string(draw % 5) };
            const auto outcome = static_cast<OrderOutcome>(draw / 5 % 3);
            const auto plan = planSlot(slots, at(ref), true, now += std::chrono::milliseconds(250));
            if (plan.m_step == SlotStep::Use)
                (void)pin(slots, ref, now);
            if (plan.m_step == SlotStep::Load) {
                beginLoad(slots, at(ref));
                finishLoad(slots, ref, outcome);
            }
            if (plan.m_step == SlotStep::Evict) {
                RC_ASSERT(slots.m_slots.at(plan.m_victim).m_pins == 0U);
                beginEviction(slots, plan.m_victim);
                finishEviction(slots, plan.m_victim, outcome, now);
            }
            if (plan.m_step == SlotStep::List) {
                beginList(slots);
                finishList(slots, { { at(ref) } });
            }
            RC_ASSERT(slots.m_slots.size() <= 4U);
        }
    }

} // namespace
} // namespace marigoldladder
