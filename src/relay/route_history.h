// Which pools routes have led to lately. A stream goes on only in the pool that it began in, though its route
// may lead to another one by now.
#pragma once

#include "relay/routing_configuration.h"

#include "core/blackboard.h"

#include <memory>
#include <set>
#include <vector>

namespace marigoldladder::relay {

// The pools of one route, in the order of their names.
using RoutePools = std::set<PoolName>;

auto poolsOf(const Route&) -> RoutePools;

// The pools that a route of streams leads to, and those that requests for it went to before.
struct RouteChange {
    RoutePools m_pools;
    RoutePools m_former;
    MonotonicTime m_changedAt {};
};

struct RouteHistory {
    std::shared_ptr<const RoutingConfiguration> m_configuration; // The latest one recorded.
    std::set<RoutePools> m_current; // Of each route whose streams may be taken up.
    std::vector<RouteChange> m_changes; // Within a stream's lifetime.
};

// Records the configuration in force; null: none is.
auto recordRoutes(RouteHistory&, const std::shared_ptr<const RoutingConfiguration>&, MonotonicTime now)
    -> void;

// Returns the pools in which a stream may have begun that is taken up on a route to these pools.
auto withFormerPools(const RouteHistory&, RoutePools, MonotonicTime now) -> RoutePools;

} // namespace marigoldladder::relay
