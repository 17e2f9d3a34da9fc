// The input of a plan of orders, prepared for the planner: adapters by index, and those that each engine
// holds.
//
// A plan compares every requested adapter with every engine, many times a second, so adapters are identified
// by index and not by name. A view refers to its input, which has to outlive it.
#pragma once

#include "relay/adapter_demand.h"
#include "relay/engine_order_tracker.h"
#include "relay/load_speed.h"

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
    LoadSpeed m_loadSpeed;
    MonotonicTime m_now {};
};

using AdapterIndex = std::size_t;

struct PlannedAdapter {
    const std::string* m_name = nullptr; // `model/adapter`
    std::string_view m_model;
    const TotalAdapterDemand* m_demand = nullptr; // Null if there were no recent requests for it.
    std::uint64_t m_newestVersion = 0; // The newest announced version; 0 if none was announced.
    std::size_t m_copies = 0; // Engines that can serve it, or can once a load has ended.
    bool m_serving = false; // Some engine can run it now, at its newest version.
};

// An adapter that occupies a slot at an engine: loaded, loading, or possibly loading.
struct HeldAdapter {
    AdapterIndex m_adapter = 0;
    const AdapterPresence* m_presence = nullptr; // Null if the engine has not reported it.
    bool m_orderPending = false; // An order for it is queued, sent or unconfirmed.
};

struct PlannedEngine {
    UpstreamPointer m_upstream;
    const EnginePool* m_pool = nullptr;
    const EngineOrders* m_orders = nullptr; // Null if no orders are tracked for it yet.
    std::size_t m_adapterSlots = 0; // That the plan may fill.
    std::vector<HeldAdapter> m_held;
    std::size_t m_replacing = 0; // Of these, loading beside an older version; each takes one more slot.
    std::size_t m_loading = 0;
    double m_load = 0; // Requests per second for its adapters, each divided by the adapter's copies.
    bool m_healthy = false; // It accepts orders, and adapters loaded there can serve requests.
    bool m_loadingModel = false; // It was ordered to load a model and does not list one yet.
    // It is unloading an adapter, which will free a slot, or accepts no unload at present.
    bool m_isUnloading = false;
    bool m_unloadUnanswered = false; // An unload was ordered and has no answer yet.
};

struct PlanView {
    std::vector<PlannedAdapter> m_adapters;
    std::unordered_map<std::string_view, AdapterIndex> m_indices; // By `model/adapter`.
    std::vector<PlannedEngine> m_engines;
    MonotonicTime m_now {};
    std::size_t m_loading = 0; // Over all engines.
    std::size_t m_storeModelLoads = 0; // Models that engines load from the weight store.
    std::size_t m_pendingUnloads = 0; // Adapters being unloaded.
    std::size_t m_unloadingEngines = 0; // Engines with `m_isUnloading` set.
};

// Returns the view of the input, whose configuration must not be null.
auto makePlanView(const PlanInput&) -> PlanView;

// Returns the engine's entry of an adapter; null if the engine doesn't hold it.
auto findHeld(const PlannedEngine&, AdapterIndex) -> const HeldAdapter*;

// Whether the engine accepts another order to load something.
auto takesOrders(const PlannedEngine&) -> bool;

// Whether the engine has the model in its own memory or on its own disk, and so loads it without the weight
// store.
auto hasModelCached(const PlannedEngine&, const std::string& model) -> bool;

// Whether the engine lists the adapter's model.
auto servesModel(const PlannedEngine&, const PlannedAdapter&) -> bool;

// Whether the engine unloaded the adapter lately, and so loads it again without the weight store.
auto hasAdapterCached(const PlannedEngine&, const PlannedAdapter&) -> bool;

// Returns the slots in use, including those of replacements that are loading.
auto usedAdapterSlots(const PlannedEngine&) -> std::size_t;

// Returns the rate of requests for the adapter over the fleet, per second.
auto rateOf(const PlannedAdapter&) -> double;

} // namespace marigoldladder::relay
