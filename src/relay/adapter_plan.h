// Plans which engines load and drop which adapters. No input or output: a function of what is known.
//
// The load pattern it answers: few adapters get most requests, many get one now and then, and which these
// are moves within seconds. An adapter that requests wait for goes first; free places then take further
// copies of those that are asked for most, and some places stay free for the next rare one.
#pragma once

#include "relay/plan_view.h"

#include <vector>

namespace marigoldladder::relay {

struct AdapterPlan {
    std::vector<AdapterOrder> m_orders; // To give now, the most urgent first.
    std::size_t m_unservedAdapters = 0; // Adapters that requests wait for and no engine has.
    std::size_t m_loading = 0; // Loads under way, those ordered now included.
    std::size_t m_engines = 0;
    std::size_t m_availableEngines = 0; // Those that take orders now.
    std::size_t m_freeAdapterSlots = 0; // At engines that are sound.
    std::size_t m_pendingUnloads = 0; // Adapters on their way out.
};

auto planAdapterOrders(const PlanInput&) -> AdapterPlan;

} // namespace marigoldladder::relay
