#include "relay/request_needs.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto minTotalWeight = 1e-9; // The distribution's range must not be empty.

    auto drawPool(const std::vector<WeightedPool>& pools, std::mt19937& random) -> const PoolName&
    {
        auto total = 0.0;
        for (const auto& pool : pools)
            total += pool.m_weight;
        auto left = std::uniform_real_distribution<double>(0, std::max(total, minTotalWeight))(random);
        for (const auto& pool : pools) {
            left -= pool.m_weight;
            if (left < 0)
                return pool.m_pool;
        }
        return pools.back().m_pool;
    }

} // namespace

auto needsOf(const CallState& state, const Organisation* organisation, std::mt19937& random) -> UpstreamNeeds
{
    auto needs = UpstreamNeeds();
    needs.m_pool = drawPool(state.m_route->m_pools, random);
    needs.m_routeRegions = state.m_route->m_regions;
    if (organisation)
        needs.m_organisationRegions = organisation->m_regions;
    needs.m_model = state.m_request.m_model;
    needs.m_adapter = state.m_request.m_adapter;
    needs.m_tokens = state.m_request.m_promptTokens + state.m_request.m_outputTokens;
    return needs;
}

} // namespace marigoldladder::relay
