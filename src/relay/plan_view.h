// What a plan of orders looks at: the adapters, numbered, and what each engine holds of them.
//
// A plan compares every adapter that is asked for with every engine, many times a second, so adapters are
// found by number and not by name. A view refers to its input, which has to outlive it.
#pragma once

#include "relay/adapter_demand.h"
#include "relay/engine_order_tracker.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldladder::relay {

struct PlanInput {
    const UpstreamTable* m_table = nullptr;
    const RoutingConfiguration* m_configuration = nullptr;
    const EngineOrderTracker* m_orderTracker = nullptr;
    std::vector<TotalAdapterDemand> m_demands;
    MonotonicTime m_now {};
};

using AdapterIndex = std::size_t;

struct PlannedAdapter {
    const std::string* m_name = nullptr; // `model/adapter`
    std::string_view m_model;
    const TotalAdapterDemand* m_demand = nullptr; // Null: nobody asked for it lately.
    std::uint64_t m_newestVersion = 0; // Announced; 0: none.
    std::size_t m_copies = 0; // Engines that can serve it, or will when a load has ended.
    bool m_serving = false; // Some engine can run it now, at its newest version.
};

// An adapter that takes a place at an engine: loaded, loading, or perhaps loading.
struct HeldAdapter {
    AdapterIndex m_adapter = 0;
    const AdapterPresence* m_presence = nullptr; // Null: the engine hasn't told of it.
    bool m_orderPending = false; // An order for it is under way.
};

struct PlannedEngine {
    UpstreamPointer m_upstream;
    const EnginePool* m_pool = nullptr;
    const EngineOrders* m_orders = nullptr; // Null: nothing is known of it yet.
    std::size_t m_adapterSlots = 0;
    std::vector<HeldAdapter> m_held;
    std::size_t m_replacing = 0; // Of these, on their way beside an older version: one place more each.
    std::size_t m_loading = 0;
    double m_load = 0; // Requests a second that its adapters draw, each by its copies.
    bool m_healthy = false; // It takes orders, and what it loads can serve requests.
    bool m_loadingModel = false;
    bool m_isUnloading = false; // An adapter is on its way out, so a place comes free.
};

struct PlanView {
    std::vector<PlannedAdapter> m_adapters;
    std::unordered_map<std::string_view, AdapterIndex> m_indices; // By `model/adapter`.
    std::vector<PlannedEngine> m_engines;
    std::size_t m_loading = 0; // Over all engines.
    std::size_t m_loadingModels = 0;
    std::size_t m_pendingUnloads = 0; // Adapters on their way out.
    std::size_t m_unloadingEngines = 0; // Engines that let an adapter go.
};

// Returns the view of an input that has a configuration.
auto makePlanView(const PlanInput&) -> PlanView;

// Returns the engine's entry of an adapter; a null pointer when it doesn't hold it.
auto findHeld(const PlannedEngine&, AdapterIndex) -> const HeldAdapter*;

auto usedAdapterSlots(const PlannedEngine&) -> std::size_t;

// Requests a second for the adapter over the fleet.
auto rateOf(const PlannedAdapter&) -> double;

} // namespace marigoldladder::relay
