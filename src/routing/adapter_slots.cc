#include "routing/adapter_slots.h"

namespace marigoldladder {

namespace {

    auto oldestUnpinned(const AdapterSlots& slots) -> std::optional<AdapterRef>
    {
        auto oldest = std::optional<AdapterRef>();
        auto oldestUse = MonotonicTime::max();
        for (const auto& [ref, slot] : slots.m_slots) {
            if (slot.m_state != SlotState::Ready || slot.m_pins > 0 || slot.m_usedAt >= oldestUse)
                continue;
            oldest = ref;
            oldestUse = slot.m_usedAt;
        }
        return oldest;
    }

} // namespace

auto planSlot(const AdapterSlots& slots, const AdapterRef& ref) -> SlotPlan
{
    const auto found = slots.m_slots.find(ref);
    if (found != slots.m_slots.end()) {
        const auto ready = found->second.m_state == SlotState::Ready;
        return { ready ? SlotStep::Use : SlotStep::Wait, {} };
    }
    if (slots.m_slots.size() < slots.m_capacity)
        return { SlotStep::Load, {} };
    if (auto victim = oldestUnpinned(slots))
        return { SlotStep::Evict, std::move(*victim) };
    return { SlotStep::Full, {} };
}

} // namespace marigoldladder
