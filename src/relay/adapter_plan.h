// Plans which engines load and drop which adapters. No input or output: a function of what is known.
//
// The load pattern it answers: few adapters get most requests, many get one now and then, and which these
// are moves within seconds. An adapter that requests wait for goes first; free places then take further
// copies of those that are asked for most, and some places stay free for the next rare one.
#pragma once

#include "relay/adapter_demand.h"
#include "relay/upstream.h"

#include <set>
#include <vector>

namespace marigoldladder::relay {

enum class AdapterOrderKind {
    Load, // Also replaces an older version.
    Unload,
};

inline constexpr auto adapterOrderKindNames = std::array {
    EnumName<AdapterOrderKind> { AdapterOrderKind::Load, "load" },
    EnumName<AdapterOrderKind> { AdapterOrderKind::Unload, "unload" },
};

struct AdapterOrder {
    AdapterOrderKind m_kind = AdapterOrderKind::Load;
    UpstreamPointer m_upstream;
    std::string m_model;
    std::string m_adapter; // `model/adapter`; empty: the model itself.
    std::uint64_t m_version = 0; // 0: the newest.
};

// What the node that gives orders believes of one engine.
struct EngineOrders {
    const Upstream* m_run = nullptr; // Only compared.
    std::map<std::string, MonotonicTime> m_loading; // Accepted, until when they are expected to take.
    std::set<std::string> m_unanswered; // Ordered to be loaded, not yet answered.
    std::set<std::string> m_unloading; // Ordered to go, not yet answered.
    std::map<std::string, MonotonicTime> m_doubtful; // Unanswered; may be carried out until then.
    MonotonicTime
        m_reportedAt {}; // When it last told what it holds; zero: not since this node holds the lease.
    MonotonicTime m_askedAt {};
    MonotonicTime m_modelUntil {}; // It loads a model until about then.
    MonotonicTime m_keepsUntil {}; // It lets no adapter go, since it waits for another's requests to end.
    MonotonicTime m_avoidUntil {}; // It took no orders.
};

// By the engine's name, since orders that got no answer may reach its next run under the same name.
using EngineOrderBook = std::map<UpstreamName, EngineOrders>;

// Returns the engine's entry; of an earlier run only what may still be carried out is kept.
auto ordersOf(EngineOrderBook&, const Upstream&) -> EngineOrders&;

struct PlanInput {
    const UpstreamTable* m_table = nullptr;
    const RoutingConfiguration* m_configuration = nullptr;
    const EngineOrderBook* m_book = nullptr;
    std::vector<AdapterWish> m_wishes;
    MonotonicTime m_now {};
};

struct AdapterPlan {
    std::vector<AdapterOrder> m_orders; // To give now, the most urgent first.
    std::size_t m_waited = 0; // Adapters that requests wait for and no engine has.
    std::size_t m_loading = 0; // Loads under way, those ordered now included.
    std::size_t m_engines = 0;
    std::size_t m_openEngines = 0; // Those that take orders now.
    std::size_t m_freePlaces = 0; // At engines that are sound.
    std::size_t m_placesComing = 0; // Adapters on their way out.
};

auto planAdapterOrders(const PlanInput&) -> AdapterPlan;

// Returns how many adapters may be on their way over all engines before loads take longer.
auto loadsAtFullSpeed(const RoutingConfiguration&) -> std::size_t;

// Returns how long a load takes while `loading` others are under way over all engines.
auto expectedLoadTime(std::size_t loading, std::size_t fullSpeed) -> Milliseconds;

} // namespace marigoldladder::relay
