// Which adapters one engine has loaded, and what has to happen before a request can use one.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/ids.h"

#include <optional>
#include <unordered_map>

namespace marigoldladder {

enum class SlotState {
    Loading,
    Ready,
    Evicting,
};

struct AdapterSlot {
    SlotState m_state = SlotState::Loading;
    std::uint32_t m_pins = 0; // Requests queued or running on it; a pinned adapter is never evicted.
    MonotonicTime m_usedAt {};
};

struct AdapterSlots {
    std::size_t m_capacity = 0;
    std::unordered_map<AdapterRef, AdapterSlot> m_slots;
};

enum class SlotStep {
    Use, // Loaded: go ahead.
    Wait, // Another request loads or evicts it right now.
    Load, // There is a free slot: load it.
    Evict, // Evict `m_victim` first.
    Full, // Every slot is in use.
};

struct SlotPlan {
    SlotStep m_step = SlotStep::Full;
    AdapterRef m_victim; // Set for `Evict`.
};

// Returns the next step towards using the adapter. The victim is the unpinned one unused for longest.
auto planSlot(const AdapterSlots&, const AdapterRef&) -> SlotPlan;

} // namespace marigoldladder
