#include "routing/adapter_slots.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto evictionRetryDelay = std::chrono::milliseconds(200);

    // The longest that an order may be on its way to an engine.
    constexpr auto orderQuarantine = std::chrono::seconds(30);

    // Whether `left` should be evicted rather than `right`.
    auto goesFirst(const AdapterSlot& left, const AdapterSlot& right) -> bool
    {
        if (left.m_withdrawn != right.m_withdrawn)
            return left.m_withdrawn;
        return left.m_usedAt < right.m_usedAt;
    }

    auto chooseVictim(const AdapterSlots& slots) -> std::optional<AdapterRef>
    {
        const std::pair<const AdapterRef, AdapterSlot>* best = nullptr;
        for (const auto& row : slots.m_slots) {
            if (row.second.m_state != SlotState::Ready || row.second.m_pins > 0)
                continue;
            if (!best || goesFirst(row.second, best->second))
                best = &row;
        }
        return best ? std::optional(best->first) : std::nullopt;
    }

    auto findState(const AdapterSlots& slots, SlotState state) -> std::optional<AdapterRef>
    {
        for (const auto& [ref, slot] : slots.m_slots) {
            if (slot.m_state == state)
                return ref;
        }
        return std::nullopt;
    }

    auto planVictim(const AdapterSlots& slots, AdapterRef victim, bool mayEvict, MonotonicTime now)
        -> SlotPlan
    {
        if (!mayEvict)
            return { SlotStep::Refuse, {} };
        if (now < slots.m_evictNotBefore)
            return { SlotStep::Wait, {} };
        return { SlotStep::Evict, std::move(victim) };
    }

    auto planEviction(const AdapterSlots& slots, bool mayEvict, MonotonicTime now) -> SlotPlan
    {
        auto victim = findState(slots, SlotState::Condemned);
        if (!victim)
            victim = chooseVictim(slots);
        if (!victim)
            return { SlotStep::Full, {} };
        return planVictim(slots, std::move(*victim), mayEvict, now);
    }

    // Plans for an adapter that has a slot, but not one to be used as it is.
    auto planKnown(const AdapterSlots& slots, const AdapterRef& ref, bool mayEvict, MonotonicTime now)
        -> SlotPlan
    {
        const auto& slot = slots.m_slots.at(ref);
        switch (slot.m_state) {
        case SlotState::Ready: // From another path.
            return slot.m_pins > 0 ? SlotPlan { SlotStep::Wait, {} } : planVictim(slots, ref, mayEvict, now);
        case SlotState::Loading:
        case SlotState::Evicting:
        case SlotState::InDoubt:
            return { SlotStep::Wait, {} };
        case SlotState::Condemned:
            return { SlotStep::Refuse, {} };
        }
        return { SlotStep::Wait, {} };
    }

    auto doubtSlot(AdapterSlot& slot) -> void
    {
        if (slot.m_state == SlotState::Ready)
            slot.m_state = SlotState::InDoubt;
        else
            slot.m_doubted = true;
    }

    auto needList(AdapterSlots& slots) -> void
    {
        slots.m_listNeeded = true;
        slots.m_doubtedWhileListing = slots.m_listing;
    }

} // namespace

auto planSlot(const AdapterSlots& slots, const LoadedAdapter& wanted, bool mayEvict, MonotonicTime now)
    -> SlotPlan
{
    const auto& ref = wanted.m_ref;
    if (slots.m_listing)
        return { SlotStep::Wait, {} };
    const auto found = slots.m_slots.find(ref);
    if (found != slots.m_slots.end() && found->second.m_state == SlotState::Ready
        && found->second.m_path == wanted.m_path)
        return { SlotStep::Use, {} };
    if (slots.m_listNeeded)
        return { slots.m_runningOrders == 0 ? SlotStep::List : SlotStep::Wait, {} };
    if (found != slots.m_slots.end())
        return planKnown(slots, ref, mayEvict, now);
    const auto barred = slots.m_notBefore.find(ref);
    if (barred != slots.m_notBefore.end() && now < barred->second)
        return { SlotStep::Refuse, {} };
    if (slots.m_runningOrders > 0)
        return { SlotStep::Wait, {} };
    if (slots.m_slots.size() < slots.m_capacity)
        return { SlotStep::Load, {} };
    return planEviction(slots, mayEvict, now);
}

auto beginLoad(AdapterSlots& slots, const LoadedAdapter& adapter) -> void
{
    auto& slot = slots.m_slots[adapter.m_ref];
    slot.m_path = adapter.m_path;
    slot.m_state = SlotState::Loading;
    slot.m_generation = ++slots.m_lastGeneration;
    ++slots.m_runningOrders;
}

auto finishLoad(AdapterSlots& slots, const AdapterRef& ref, OrderOutcome outcome) -> void
{
    --slots.m_runningOrders;
    auto& slot = slots.m_slots.at(ref);
    const auto doubted = std::exchange(slot.m_doubted, false);
    if (doubted || outcome == OrderOutcome::Unknown) {
        slot.m_state = SlotState::InDoubt;
        needList(slots);
        return;
    }
    if (outcome == OrderOutcome::Done) {
        slot.m_state = SlotState::Ready;
        return;
    }
    slots.m_slots.erase(ref);
    needList(slots);
}

auto beginEviction(AdapterSlots& slots, const AdapterRef& ref) -> void
{
    slots.m_slots.at(ref).m_state = SlotState::Evicting;
    ++slots.m_runningOrders;
}

auto finishEviction(AdapterSlots& slots, const AdapterRef& ref, OrderOutcome outcome, MonotonicTime now)
    -> void
{
    --slots.m_runningOrders;
    auto& slot = slots.m_slots.at(ref);
    const auto doubted = std::exchange(slot.m_doubted, false);
    switch (outcome) {
    case OrderOutcome::Done:
        slots.m_slots.erase(ref);
        return;
    case OrderOutcome::Refused:
        slot.m_state = doubted ? SlotState::InDoubt : SlotState::Ready;
        if (doubted)
            needList(slots);
        break;
    case OrderOutcome::Unknown:
        slot.m_state = SlotState::Condemned;
        std::erase_if(slots.m_notBefore, [&](const auto& row) { return row.second <= now; });
        slots.m_notBefore[ref] = now + orderQuarantine;
        break;
    }
    slots.m_evictNotBefore = now + evictionRetryDelay;
}

auto pin(AdapterSlots& slots, const AdapterRef& ref, MonotonicTime now) -> SlotGeneration
{
    auto& slot = slots.m_slots.at(ref);
    ++slot.m_pins;
    slot.m_usedAt = now;
    return slot.m_generation;
}

auto unpin(AdapterSlots& slots, const AdapterRef& ref, SlotGeneration generation) -> void
{
    const auto found = slots.m_slots.find(ref);
    if (found != slots.m_slots.end() && found->second.m_generation == generation && found->second.m_pins > 0)
        --found->second.m_pins;
}

auto doubt(AdapterSlots& slots, const AdapterRef& ref) -> void
{
    const auto found = slots.m_slots.find(ref);
    if (found == slots.m_slots.end())
        return;
    doubtSlot(found->second);
    needList(slots);
}

auto doubtAll(AdapterSlots& slots) -> void
{
    for (auto& [ref, slot] : slots.m_slots)
        doubtSlot(slot);
    needList(slots);
}

auto beginList(AdapterSlots& slots) -> void
{
    slots.m_listing = true;
    slots.m_doubtedWhileListing = false;
}

auto finishList(AdapterSlots& slots, const std::optional<std::vector<LoadedAdapter>>& listed) -> void
{
    slots.m_listing = false;
    if (!listed || slots.m_doubtedWhileListing)
        return;
    slots.m_listNeeded = false;
    std::erase_if(slots.m_slots, [&](const auto& row) {
        return std::none_of(
            listed->begin(), listed->end(), [&](const auto& adapter) { return adapter.m_ref == row.first; });
    });
    for (const auto& [ref, path] : *listed) {
        auto [slot, isNew] = slots.m_slots.try_emplace(ref);
        slot->second.m_path = path;
        if (isNew)
            slot->second.m_generation = ++slots.m_lastGeneration;
        const auto condemned = isNew && slots.m_notBefore.contains(ref);
        if (condemned)
            slot->second.m_state = SlotState::Condemned;
        else if (slot->second.m_state != SlotState::Condemned)
            slot->second.m_state = SlotState::Ready;
    }
}

auto markWithdrawn(AdapterSlots& slots, const std::function<bool(const AdapterRef&)>& isWithdrawn) -> void
{
    for (auto& [ref, slot] : slots.m_slots)
        slot.m_withdrawn = isWithdrawn(ref);
}

} // namespace marigoldladder
