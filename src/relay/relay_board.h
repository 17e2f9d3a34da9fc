// The blackboard of a relay node: the state that its controllers read and write, all on the event loop's
// thread. Each member's comment names the controllers that write it.
#pragma once

#include "core/metrics.h"
#include "relay/adapter_demand.h"
#include "relay/calls_in_progress.h"
#include "relay/crash_evidence.h"
#include "relay/fleet_view.h"
#include "relay/load_speed.h"
#include "relay/object_cache.h"
#include "relay/own_links.h"
#include "relay/retry_budget.h"
#include "relay/upstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace marigoldladder::relay {

// An order that an engine accepted, kept for a while to report it to the other nodes.
struct OrderedAdapter {
    UpstreamName m_upstream;
    std::string m_adapter;
    std::uint64_t m_version = 0; // 0: evicted.
    MonotonicTime m_orderedAt {};
    MonotonicTime m_readyAt {};
};

// An adapter that an engine turned out not to have, kept briefly to report it to the order lease holder.
struct MissingAdapter {
    UpstreamName m_upstream;
    std::string m_adapter;
    MonotonicTime m_noticedAt {};
};

// This node's state as the order lease holder.
struct OrderState {
    bool m_holdsLease = false; // As far as this node knows.
    std::uint64_t m_fence = 0;
    std::vector<OrderedAdapter> m_recent; // Oldest first.
};

struct CallState;

struct RelayBoard {
    std::shared_ptr<const RoutingConfiguration>
        m_configuration; // Null until one has been read. By the store's sync.
    UpstreamTable m_upstreams; // By the store's sync, the runner (in flight, health) and the orders.
    OwnLinks m_ownLinks; // By the upstream connector.
    CallsInProgress m_callsInProgress; // By the upstream caller.
    RetryBudget m_retryBudget; // By the runner.
    CrashEvidence m_crashEvidence; // By the crash watch, the upstream caller and the peer exchange.
    FleetView m_fleet; // By the peer exchange.
    AdapterRates m_adapterRates; // Of this node's requests. By the runner and the wait list.
    FleetDemand m_fleetDemand; // While this node holds the order lease. By the peer exchange.
    std::vector<MissingAdapter> m_missingAdapters; // By the runner and the peer exchange.
    LoadSpeed m_loadSpeed; // By the runner.
    OrderState m_orders; // By the order controller.
    Metrics m_metrics; // By all.
    std::size_t m_nodes = 1; // Among which the fleet's bounds are divided. By the peer exchange.
    std::size_t m_requestsInFlight = 0; // By the runner.
    std::size_t m_tunnels = 0; // That this node carries for others. By the tunnel server.
    bool m_storeReachable = false; // By the store's sync.
    MonotonicTime m_storeRecoveredAt {}; // When any node last reached it again. By the store's sync and the
                                         // peer exchange.
    ObjectCache m_objects; // By the store's sync.
    std::optional<std::uint64_t> m_storeEra; // The highest known. By the store's sync.
    bool m_leaving = false; // By the node's stop.
    bool m_acceptsStreams = true; // False if the node exits too soon for a new stream. By the node's stop.
    MonotonicTime m_exitsAt {}; // This node exits by then; zero: it isn't stopping. By the node's stop.
    bool m_acceptsRequests = true; // False if it exits too soon for any new request. By the node's stop.

    // Called when a waiting request may get an upstream slot.
    std::function<void()> m_capacityChanged = [] {};

    // Called when the store reports a change that has to be propagated to other nodes soon.
    std::function<void()> m_storeChangeReceived = [] {};

    // Called when a version of an adapter was announced that is required from the given time on.
    std::function<void(const std::string& adapter, MonotonicTime requiredFrom)> m_versionAnnounced
        = [](const std::string&, MonotonicTime) {};

    // Called when the store turns out to have returned from an older copy.
    std::function<void()> m_storeRestored = [] {};

    // Called when an upstream begins to refuse connections.
    std::function<void(const Upstream&)> m_upstreamUnreachable = [](const Upstream&) {};

    // Called when this node has found that it reaches no upstream by itself, or that it does again.
    std::function<void()> m_strandedChanged = [] {};

    // Called when an upstream names another limit of requests, or none any more.
    std::function<void(const Upstream&)> m_requestLimitChanged = [](const Upstream&) {};

    // Called when there is news on what crashes upstreams that the other nodes should have soon.
    std::function<void()> m_crashEvidenceChanged = [] {};

    // Called before the caller gets the first event of a stream.
    std::function<void(const CallState&)> m_streamBegan = [](const CallState&) {};

    // Called when a request starts to wait for an adapter that no engine has loaded.
    std::function<void()> m_adapterWanted = [] {};
};

// Returns the version of the configuration in force; 0 if none has been read.
inline auto configurationVersion(const RelayBoard& board) -> std::uint64_t
{
    return board.m_configuration ? board.m_configuration->m_version : 0;
}

// Whether this node reaches no upstream by itself, as far as it knows.
inline auto isStranded(const RelayBoard& board) -> bool
{
    return isStranded(board.m_ownLinks, board.m_upstreams.m_upstreams.size());
}

// Whether this node's own path to the upstream counts as blocked.
inline auto isPathBlocked(const RelayBoard& board, const Upstream& upstream) -> bool
{
    return isPathBlocked(board.m_ownLinks, upstream, board.m_upstreams.m_upstreams.size());
}

} // namespace marigoldladder::relay
