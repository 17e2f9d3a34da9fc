// Chooses the adapter that an engine unloads so that it can load another one. Functions of the plan view,
// without I/O.
//
// They are designed for a load that asks for more different adapters than there are slots: what is needed
// least leaves first, and an adapter whose requests run stays as long as anything else can leave.
#pragma once

#include "relay/plan_view.h"

#include <limits>

namespace marigoldladder::relay {

// The last copy of an adapter counts this many times its request rate, since its loss costs a load.
inline constexpr auto lastCopyFactor = 4.0;

// An adapter that may be unloaded at an engine.
struct EvictionCandidate {
    PlannedEngine* m_engine = nullptr; // Null if there is no candidate.
    const HeldAdapter* m_held = nullptr;
};

// Whether requests wait for the adapter or run on it.
auto isUsed(const PlannedAdapter&) -> bool;

// Whether the engine can be ordered to unload the adapter: it is loaded there, and no order for it is
// pending.
auto isEvictable(const PlanView&, const PlannedEngine&, const HeldAdapter&) -> bool;

// Returns the value of keeping this adapter at its engine, in requests per second that another engine would
// have to serve. Infinity if the adapter must not be unloaded now.
auto keepingValue(const PlanView&, const PlannedEngine&, const HeldAdapter&) -> double;

// Selects the adapters and engines that an eviction may affect.
struct EvictionScope {
    bool m_used
        = false; // Also adapters in use: the engine then unloads nothing else until their requests end.
    bool m_onlyWhereCached = false; // Only engines that have the wanted adapter cached.
    double m_maxValue
        = std::numeric_limits<double>::infinity(); // Only adapters of at most this keeping value.
};

// Returns the adapter with the lowest keeping value in the scope, over the engines that could load the wanted
// adapter once they have a free slot.
auto leastValuable(PlanView&, AdapterIndex wanted, const EvictionScope&) -> EvictionCandidate;

// Whether an engine that has the wanted adapter cached is about to free a slot: an unload of an adapter that
// is not in use has been ordered there and is not answered yet.
auto isSlotComingWhereCached(const PlanView&, AdapterIndex wanted) -> bool;

} // namespace marigoldladder::relay
