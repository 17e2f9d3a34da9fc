// Which adapters one engine has loaded, and what has to happen before a request can use one.
//
// A slot whose order got no answer is in doubt: it is neither used nor counted as free until the engine's
// own list of adapters was read. An eviction in doubt may still land late, so its adapter is condemned: it
// is used by nobody, evicted again until that is confirmed, and not loaded again for a while.
#pragma once

#include "core/blackboard.h"
#include "marigoldladder/ids.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marigoldladder {

// Tells one load of an adapter from a later one, so that a pin of the former never counts for the latter.
using SlotGeneration = std::uint64_t;

enum class SlotState {
    Loading,
    Ready,
    Evicting,
    InDoubt, // Loaded or not: the engine's list will tell.
    Condemned, // An eviction of it may still land.
};

// An adapter as an engine lists it.
struct LoadedAdapter {
    AdapterRef m_ref;
    std::string m_path; // Where its weights came from.
};

struct AdapterSlot {
    std::string m_path;
    SlotState m_state = SlotState::Loading;
    SlotGeneration m_generation = 0;
    std::uint32_t m_pins = 0; // Requests queued or running on it; a pinned adapter is never evicted.
    MonotonicTime m_usedAt {};
    bool m_withdrawn = false; // No longer in the configuration; evicted before others.
    bool m_doubted = false; // The engine may have restarted since the running order was given.
};

struct AdapterSlots {
    std::size_t m_capacity = 0;
    std::unordered_map<AdapterRef, AdapterSlot> m_slots;
    std::unordered_map<AdapterRef, MonotonicTime> m_notBefore; // Adapters not to be loaded until then.
    MonotonicTime m_evictNotBefore {};
    SlotGeneration m_lastGeneration = 0;
    std::size_t m_runningOrders = 0;
    bool m_listNeeded = true; // The engine's list has to be read before anything else.
    bool m_listing = false;
    bool m_doubtedWhileListing = false;
};

enum class SlotStep {
    Use, // Loaded: go ahead.
    Wait, // Something under way has to end first.
    Load, // There is a free slot: load it.
    Evict, // Evict `m_victim` first.
    List, // Read the engine's list first.
    Full, // Every slot is in use.
    Refuse, // It can't be had here for a while.
};

struct SlotPlan {
    SlotStep m_step = SlotStep::Full;
    AdapterRef m_victim; // Set for `Evict`.
};

enum class OrderOutcome {
    Done,
    Refused, // Certainly without effect.
    Unknown,
};

// Returns the next step towards using the adapter. The victim is a withdrawn or else the least recently
// used adapter without pins.
// An adapter loaded from another path than the one given is evicted before it is loaded again.
auto planSlot(const AdapterSlots&, const LoadedAdapter& wanted, bool mayEvict, MonotonicTime now) -> SlotPlan;

auto beginLoad(AdapterSlots&, const LoadedAdapter&) -> void;
auto finishLoad(AdapterSlots&, const AdapterRef&, OrderOutcome) -> void;
auto beginEviction(AdapterSlots&, const AdapterRef&) -> void;
auto finishEviction(AdapterSlots&, const AdapterRef&, OrderOutcome, MonotonicTime now) -> void;

// Pins a ready adapter and returns the generation to give back with `unpin`.
auto pin(AdapterSlots&, const AdapterRef&, MonotonicTime now) -> SlotGeneration;
auto unpin(AdapterSlots&, const AdapterRef&, SlotGeneration) -> void;

// Notes that the engine seems not to have the adapter, or to have restarted.
auto doubt(AdapterSlots&, const AdapterRef&) -> void;
auto doubtAll(AdapterSlots&) -> void;

auto beginList(AdapterSlots&) -> void;

// Settles all doubts by what the engine listed, or keeps them when the list could not be read or is out
// of date already.
auto finishList(AdapterSlots&, const std::optional<std::vector<LoadedAdapter>>& listed) -> void;

// Marks the adapters that `isWithdrawn` names, so that they are evicted first.
auto markWithdrawn(AdapterSlots&, const std::function<bool(const AdapterRef&)>& isWithdrawn) -> void;

} // namespace marigoldladder
