// The blackboard of a relay node: what its controllers read and write, all on the event loop's thread.
#pragma once

#include "core/metrics.h"
#include "relay/adapter_demand.h"
#include "relay/fleet_view.h"
#include "relay/object_cache.h"
#include "relay/retry_budget.h"
#include "relay/upstream.h"
#include "routing/poison.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace marigoldladder::relay {

// An order that an engine accepted, kept for a while to tell it to the other nodes.
struct OrderedAdapter {
    UpstreamName m_upstream;
    std::string m_adapter;
    std::uint64_t m_version = 0; // 0: dropped.
    MonotonicTime m_orderedAt {};
    MonotonicTime m_readyAt {};
};

// An adapter that an engine turned out not to have, kept for a moment to tell it to the node that gives
// orders.
struct MissingAdapter {
    UpstreamName m_upstream;
    std::string m_adapter;
    MonotonicTime m_noticedAt {};
};

// What the node that gives orders does.
struct OrderState {
    bool m_holdsLease = false;
    std::uint64_t m_fence = 0;
    std::vector<OrderedAdapter> m_recent; // Oldest first.
};

struct RelayBoard {
    std::shared_ptr<const RoutingConfiguration>
        m_configuration; // Null until one is known. By the store's sync.
    UpstreamTable m_upstreams; // By the store's sync, the runner (in flight, health) and the orders.
    RetryBudget m_retryBudget; // By the runner.
    PoisonTable m_poison; // By the runner and the peer exchange.
    FleetView m_fleet; // By the peer exchange.
    AdapterRates m_adapterRates; // Of this node's requests. By the runner and the wait list.
    FleetDemand m_fleetDemand; // While this node gives orders. By the peer exchange.
    std::vector<MissingAdapter> m_missingAdapters; // By the runner and the peer exchange.
    OrderState m_orders; // By the order keeper.
    Metrics m_metrics; // Added to by all.
    std::size_t m_nodes = 1; // That share the fleet's bounds. By the peer exchange.
    std::size_t m_requestsInFlight = 0; // By the runner.
    bool m_storeReachable = false; // By the store's sync.
    MonotonicTime m_storeRecoveredAt {}; // When a node last reached it again. By the store's sync and the
                                         // peer exchange.
    ObjectCache m_objects; // By the store's sync.
    bool m_leaving = false; // By the node's stop.
    // False when the node stops too soon to end a new stream, or any new request. By the node's stop.
    bool m_acceptsStreams = true;
    MonotonicTime m_exitsAt {}; // When this node ends at the latest; zero: it doesn't stop.
    bool m_acceptsRequests = true;

    // Called when a request that waits may find an upstream now.
    std::function<void()> m_capacityChanged = [] {};

    // Called when the store has told of a change that other nodes wait for.
    std::function<void()> m_storeChangeReceived = [] {};

    // Called when nobody listens at an upstream any more.
    std::function<void(const Upstream&)> m_upstreamUnreachable = [](const Upstream&) {};

    // Called when a request waits for an adapter that no engine has.
    std::function<void()> m_adapterWanted = [] {};
};

} // namespace marigoldladder::relay
