#include "relay/route_history.h"

#include "relay/stream_origins.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    auto isOver(const RouteChange& change, MonotonicTime now) -> bool
    {
        return change.m_changedAt + streamLifetime <= now;
    }

    // Records where requests on this route went by the configuration before.
    auto recordChange(RouteHistory& history, const std::string& host, const Route& route, MonotonicTime now)
        -> void
    {
        if (!history.m_configuration)
            return;
        const auto* before = findRoute(*history.m_configuration, host, route.m_pathPrefix);
        const auto pools = poolsOf(route);
        if (before && poolsOf(*before) != pools)
            history.m_changes.push_back({ pools, poolsOf(*before), now });
    }

    auto shareAPool(const RoutePools& left, const RoutePools& right) -> bool
    {
        return std::any_of(left.begin(), left.end(), [&](const auto& pool) { return right.contains(pool); });
    }

} // namespace

auto poolsOf(const Route& route) -> RoutePools
{
    auto pools = RoutePools();
    for (const auto& pool : route.m_pools)
        pools.insert(pool.m_pool);
    return pools;
}

auto recordRoutes(RouteHistory& history, const std::shared_ptr<const RoutingConfiguration>& configuration,
    MonotonicTime now) -> void
{
    std::erase_if(history.m_changes, [&](const auto& change) { return isOver(change, now); });
    if (!configuration || configuration == history.m_configuration)
        return;
    history.m_current.clear();
    for (const auto& [host, routes] : configuration->m_routesByHost) {
        for (const auto& route : routes) {
            if (!mayBeTakenUp(route))
                continue;
            history.m_current.insert(poolsOf(route));
            recordChange(history, host, route, now);
        }
    }
    history.m_configuration = configuration;
}

// Newer changes come first, as a route may have led to a third pool before.
auto withFormerPools(const RouteHistory& history, RoutePools pools, MonotonicTime now) -> RoutePools
{
    for (auto change = history.m_changes.rbegin(); change != history.m_changes.rend(); ++change) {
        if (!isOver(*change, now) && shareAPool(change->m_pools, pools))
            pools.insert(change->m_former.begin(), change->m_former.end());
    }
    return pools;
}

} // namespace marigoldladder::relay
