#include "relay/routing_configuration.h"

#include <algorithm>
#include <xxhash.h>

namespace marigoldladder::relay {

auto mayBeTakenUp(const Route& route) -> bool
{
    return route.m_kind == CallKind::Stream && mayRetry(route);
}

auto mayRetry(const Route& route) -> bool
{
    switch (route.m_kind) {
    case CallKind::Idempotent:
        return true;
    case CallKind::AtMostOnce:
        return false;
    case CallKind::Stream:
        return route.m_resumable;
    }
    return false;
}

auto digestOf(std::string_view key) -> KeyDigest
{
    const auto hash = XXH3_128bits(key.data(), key.size());
    return KeyDigest { hash.low64, hash.high64 };
}

auto sortRoutes(RoutingConfiguration& configuration) -> void
{
    for (auto& [host, routes] : configuration.m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route& left, const Route& right) {
            return left.m_pathPrefix.size() > right.m_pathPrefix.size();
        });
    }
}

auto findRoute(const RoutingConfiguration& configuration, std::string_view host, std::string_view path)
    -> const Route*
{
    const auto found = configuration.m_routesByHost.find(std::string(host));
    if (found == configuration.m_routesByHost.end())
        return nullptr;
    for (const auto& route : found->second) {
        if (path.starts_with(route.m_pathPrefix))
            return &route;
    }
    return nullptr;
}

auto findEnginePool(const RoutingConfiguration& configuration, const PoolName& name) -> const EnginePool*
{
    const auto found = configuration.m_pools.find(name);
    if (found == configuration.m_pools.end() || !found->second.m_engine)
        return nullptr;
    return &*found->second.m_engine;
}

auto findOrganisation(const RoutingConfiguration& configuration, std::string_view key) -> const Organisation*
{
    const auto found = configuration.m_keys.find(digestOf(key));
    if (found == configuration.m_keys.end())
        return nullptr;
    return &configuration.m_organisations[found->second];
}

} // namespace marigoldladder::relay
