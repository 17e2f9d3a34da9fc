// Plans which engines load and unload which adapters. A pure function of its input, without I/O.
//
// It is designed for a skewed load that shifts within seconds: a few adapters get most requests, and many
// get one now and then. Adapters that requests wait for are loaded first. Free slots then take additional
// copies of the adapters with the highest rates, and some slots stay free for the next rare adapter. Where an
// engine has the adapter cached, it is loaded there, even if another one has to leave first: that takes a
// tenth of the time and doesn't use the weight store.
#pragma once

#include "relay/plan_view.h"

#include <vector>

namespace marigoldladder::relay {

struct AdapterPlan {
    std::vector<AdapterOrder> m_orders; // To be sent now, the most urgent first.
    std::size_t m_unservedAdapters = 0; // Adapters that requests wait for and no engine has or loads.
    std::size_t m_loading = 0; // Loads under way, including those in `m_orders`.
    std::size_t m_engines = 0;
    std::size_t m_availableEngines = 0; // Engines that accept orders now.
    std::size_t m_freeAdapterSlots = 0; // At healthy engines.
    std::size_t m_pendingUnloads = 0; // Adapters being unloaded.
};

// Returns an empty plan while there is no configuration.
auto planAdapterOrders(const PlanInput&) -> AdapterPlan;

} // namespace marigoldladder::relay
