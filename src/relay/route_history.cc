#include "relay/route_history.h"

#include "relay/stream_origins.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    auto isOver(const RouteChange& change, MonotonicTime now) -> bool
    {
        return change.m_changedAt + streamLifetime <= now;
    }

    // Records where requests for this path go now, if they went elsewhere before.
    auto recordChange(RouteHistory& history, const RoutingConfiguration& configuration,
        const std::string& host, const std::string& path, MonotonicTime now) -> void
    {
        const auto* before = findRoute(*history.m_configuration, host, path);
        const auto* after = findRoute(configuration, host, path);
        if (before && after && poolsOf(*before) != poolsOf(*after))
            history.m_changes.push_back({ poolsOf(*after), poolsOf(*before), now });
    }

    // Records it for all paths at which routes begin, by either configuration.
    auto recordChanges(RouteHistory& history, const RoutingConfiguration& configuration, MonotonicTime now)
        -> void
    {
        if (!history.m_configuration)
            return;
        for (const auto* begins : { history.m_configuration.get(), &configuration }) {
            for (const auto& [host, routes] : begins->m_routesByHost) {
                for (const auto& route : routes) {
                    if (mayBeTakenUp(route))
                        recordChange(history, configuration, host, route.m_pathPrefix, now);
                }
            }
        }
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
            if (mayBeTakenUp(route))
                history.m_current.insert(poolsOf(route));
        }
    }
    recordChanges(history, *configuration, now);
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
