// What one plan of orders to engines costs in a large fleet: the demand of all nodes added up, and orders
// planned for all engines. Prints one line of JSON for each figure; ends with 1 when the bound is missed.
#include "relay/adapter_plan.h"
#include "relay/blackboard_updates.h"

#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>

namespace marigoldladder::relay {

namespace {

    constexpr auto adapters = 10'000;
    constexpr auto popularityExponent = 1.2; // Of the rank of an adapter, as the users' sheets have it.
    constexpr auto adaptersTold = 56; // By each node, the most that a summary holds.
    constexpr auto waitingEach = 2; // Of these, adapters that requests wait for.
    constexpr auto heldEach = 17; // Of 20 places at each engine.
    constexpr auto plans = 50;

    // A node of half a core may plan for a fifth of its time, and 50 plans a second keep first requests for
    // an adapter from waiting for a plan longer than 20 ms.
    constexpr auto planBoundMilliseconds = 2.0;

    const auto origin = MonotonicTime(std::chrono::hours(1));

    struct Fleet {
        RoutingConfiguration m_configuration;
        UpstreamTable m_table;
        EngineOrderTracker m_orderTracker;
        FleetDemand m_demand;
    };

    auto drawAdapter(std::mt19937& random) -> std::string
    {
        const auto draw = 1.0 - std::uniform_real_distribution<double>(0, 1)(random);
        const auto rank = std::pow(draw, -1.0 / (popularityExponent - 1.0));
        return "model/a" + std::to_string(static_cast<int>(std::fmod(rank, adapters)));
    }

    auto makeFleet(int nodes, int engines) -> Fleet
    {
        auto random = std::mt19937(1);
        auto fleet = Fleet();
        auto pool = Pool();
        pool.m_name = PoolName("engines");
        pool.m_engine
            = EnginePool { { { "model", 65'100, Milliseconds(1'400) } }, 20, 67'000, 22, 48, 111'812 };
        fleet.m_configuration.m_version = 1;
        fleet.m_configuration.m_pools[pool.m_name] = pool;
        for (auto engine = 0; engine < engines; ++engine) {
            auto record = UpstreamRecord();
            record.m_name = UpstreamName("i-6acc72ff" + std::to_string(engine));
            record.m_pool = pool.m_name;
            record.m_models = { "model" };
            for (auto held = 0; held < heldEach; ++held)
                record.m_adapters.push_back({ drawAdapter(random), 1 });
            applyUpstreamRecord(fleet.m_table, record, origin);
            ordersOf(fleet.m_orderTracker, *fleet.m_table.m_upstreams.at(record.m_name)).m_reportedAt
                = origin;
        }
        for (auto node = 0; node < nodes; ++node) {
            auto& rates = fleet.m_demand.m_byNode[VmName("vm-" + std::to_string(node))];
            for (auto told = 0; told < adaptersTold; ++told)
                rates[drawAdapter(random)] = AdapterRate { 0.3, origin, told < waitingEach ? 1U : 0U, 1 };
        }
        return fleet;
    }

    auto planTime(const Fleet& fleet) -> double
    {
        const auto begun = std::chrono::steady_clock::now();
        auto orders = std::size_t { 0 };
        for (auto count = 0; count < plans; ++count) {
            auto input
                = PlanInput { &fleet.m_table, &fleet.m_configuration, &fleet.m_orderTracker, {}, {}, origin };
            input.m_demands = totalDemand(fleet.m_demand, origin);
            orders += planAdapterOrders(input).m_orders.size();
        }
        const auto took = std::chrono::steady_clock::now() - begun;
        return orders == 0 ? HUGE_VAL : std::chrono::duration<double, std::milli>(took).count() / plans;
    }

} // namespace

} // namespace marigoldladder::relay

auto main() -> int
{
    using namespace marigoldladder::relay;
    auto kept = true;
    for (const auto& [nodes, engines] : { std::pair(8, 12), std::pair(61, 60), std::pair(68, 90) }) {
        const auto time = planTime(makeFleet(nodes, engines));
        std::printf(
            "{\"name\":\"order_plan.%d_nodes.%d_engines\",\"value\":%.3f,\"unit\":\"ms\",\"bound\":%.1f,"
            "\"at_least\":false}\n",
            nodes, engines, time, planBoundMilliseconds);
        kept = kept && time <= planBoundMilliseconds;
    }
    return kept ? 0 : 1;
}
