// The fixture of the tests of plans: engines with five slots, demands, and the plan for them.
#pragma once

#include "relay/adapter_plan.h"
#include "relay/relay_fixtures.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace marigoldladder::relay {

inline auto loadsOf(const AdapterPlan& plan) -> std::vector<AdapterOrder>
{
    auto loads = std::vector<AdapterOrder>();
    std::copy_if(plan.m_orders.begin(), plan.m_orders.end(), std::back_inserter(loads),
        [](const AdapterOrder& order) { return order.m_kind == AdapterOrderKind::Load; });
    return loads;
}

class AdapterPlanTest : public testing::Test {
protected:
    AdapterPlanTest()
        : m_configuration(configurationWith(enginePool()))
    {
    }

    auto addEngine(const std::string& name, const std::vector<std::string>& adapters = {}) -> Upstream&
    {
        applyUpstreamRecord(m_table, engineRecord(name, adapters), at(-100));
        auto& upstream = *m_table.m_upstreams.at(UpstreamName(name));
        ordersOf(m_orderTracker, upstream).m_reportedAt = at(0);
        return upstream;
    }

    // Adds an engine that counts its orders and unloaded the adapter `back` a moment ago.
    auto addCachingEngine(const std::string& name, const std::vector<std::string>& adapters) -> void
    {
        auto& orders = ordersOf(m_orderTracker, addEngine(name, adapters));
        orders.m_acceptedCount = 3;
        const auto unload = AdapterOrder { AdapterOrderKind::Unload,
            m_table.m_upstreams.at(UpstreamName(name)), "model", "model/back", 0, false, 3 };
        applyOrderAnswer(orders, unload, OrderAnswer::AlreadyDone, at(0.5));
    }

    auto addDemand(const std::string& adapter, double rate, std::size_t waiting = 0, std::size_t inFlight = 0)
        -> void
    {
        m_demands.push_back({ "model/" + adapter, rate, waiting, inFlight });
    }

    auto plan() -> AdapterPlan
    {
        auto input = PlanInput();
        input.m_table = &m_table;
        input.m_configuration = &m_configuration;
        input.m_orderTracker = &m_orderTracker;
        input.m_demands = m_demands;
        input.m_now = at(1);
        return planAdapterOrders(input);
    }

    RoutingConfiguration m_configuration;
    UpstreamTable m_table;
    EngineOrderTracker m_orderTracker;
    std::vector<TotalAdapterDemand> m_demands;
};

} // namespace marigoldladder::relay
