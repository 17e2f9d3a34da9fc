#include "relay/plan_view.h"

#include "relay/upstream_health.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto spareMargin
        = std::size_t { 1 }; // Place kept free at each engine, as a listing may lag behind.

    class ViewBuilder {
    public:
        explicit ViewBuilder(const PlanInput& input)
            : m_input(input)
        {
        }

        auto build() -> PlanView
        {
            m_view.m_indices.reserve(m_input.m_demands.size() * 2);
            for (const auto& wish : m_input.m_demands)
                m_view.m_adapters[numberOf(wish.m_adapter)].m_demand = &wish;
            for (const auto& [name, upstream] : m_input.m_table->m_upstreams)
                addEngine(upstream);
            for (auto& engine : m_view.m_engines) {
                for (const auto& held : engine.m_held) {
                    const auto& adapter = m_view.m_adapters[held.m_adapter];
                    if (adapter.m_copies > 0)
                        engine.m_load += rateOf(adapter) / static_cast<double>(adapter.m_copies);
                }
            }
            return std::move(m_view);
        }

    private:
        // `name` belongs to the input.
        auto numberOf(const std::string& name) -> AdapterIndex
        {
            const auto [found, isNew] = m_view.m_indices.try_emplace(name, m_view.m_adapters.size());
            if (isNew) {
                auto adapter = PlannedAdapter();
                adapter.m_name = &name;
                adapter.m_model = std::string_view(name).substr(0, name.find('/'));
                const auto& versions = m_input.m_table->m_newestVersions;
                const auto newest = versions.find(name);
                adapter.m_newestVersion = newest == versions.end() ? 0 : newest->second;
                m_view.m_adapters.push_back(adapter);
            }
            return found->second;
        }

        // Returns the engine's entry of an adapter, which is added if need be.
        auto hold(PlannedEngine& engine, const std::string& name) -> HeldAdapter&
        {
            const auto number = numberOf(name);
            for (auto& held : engine.m_held) {
                if (held.m_adapter == number)
                    return held;
            }
            engine.m_held.push_back({ number, nullptr, false });
            return engine.m_held.back();
        }

        auto addEngine(const UpstreamPointer& upstream) -> void
        {
            const auto pool = m_input.m_configuration->m_pools.find(upstream->m_record.m_pool);
            if (pool == m_input.m_configuration->m_pools.end() || !pool->second.m_engine)
                return;
            if (upstream->m_removed || upstream->m_record.m_leaving)
                return;
            auto engine = PlannedEngine();
            engine.m_upstream = upstream;
            engine.m_pool = &*pool->second.m_engine;
            const auto places = engine.m_pool->m_adapterSlots;
            engine.m_adapterSlots = places > spareMargin ? places - spareMargin : places;
            readPresences(engine);
            const auto inService = upstream->m_health.m_avoidUntil <= m_input.m_now
                && !isUnreachable(upstream->m_reachability, m_input.m_now)
                && !m_input.m_table->m_evacuated.contains(upstream->m_record.m_dataCentre);
            const auto book = m_input.m_orderTracker->find(upstream->m_record.m_name);
            if (book != m_input.m_orderTracker->end()) {
                engine.m_orders = &book->second;
                readBook(book->second, engine);
                engine.m_healthy = inService && hasFreshReport(book->second, m_input.m_now)
                    && book->second.m_avoidUntil <= m_input.m_now;
            }
            if (inService)
                countCopies(engine);
            m_view.m_loading += engine.m_loading;
            m_view.m_unloadingEngines += engine.m_isUnloading ? 1 : 0;
            m_view.m_engines.push_back(std::move(engine));
        }

        auto readPresences(PlannedEngine& engine) -> void
        {
            for (const auto& [name, presence] : engine.m_upstream->m_adapters) {
                if (presence.m_evicted && !presence.m_occupiesSlot)
                    continue;
                engine.m_held.push_back({ numberOf(name), &presence, false });
                m_view.m_pendingUnloads += presence.m_evicted ? 1 : 0;
                engine.m_isUnloading = engine.m_isUnloading || presence.m_evicted;
            }
        }

        auto readBook(const EngineOrders& orders, PlannedEngine& engine) -> void
        {
            for (const auto& name : orders.m_unansweredLoads) {
                hold(engine, name).m_orderPending = true;
                engine.m_loading += orders.m_loading.contains(name) ? 0 : 1;
            }
            for (const auto& [name, until] : orders.m_loading) {
                hold(engine, name).m_orderPending = true;
                engine.m_loading += until > m_input.m_now ? 1 : 0;
            }
            for (const auto& [name, order] : orders.m_unconfirmed) {
                if (order.m_expiresAt > m_input.m_now)
                    hold(engine, name);
            }
            markBooked(orders, engine);
            engine.m_replacing = orders.m_replacing.size();
            m_view.m_pendingUnloads += orders.m_unloading.size();
            engine.m_loadingModel = orders.m_modelLoadingUntil > m_input.m_now;
            m_view.m_loadingModels += engine.m_loadingModel ? 1 : 0;
            engine.m_isUnloading = engine.m_isUnloading || !orders.m_unloading.empty()
                || orders.m_noUnloadsUntil > m_input.m_now;
        }

        auto markBooked(const EngineOrders& orders, PlannedEngine& engine) -> void
        {
            if (orders.m_unloading.empty() && orders.m_unconfirmed.empty())
                return;
            for (auto& held : engine.m_held) {
                const auto& name = *m_view.m_adapters[held.m_adapter].m_name;
                held.m_orderPending = held.m_orderPending || orders.m_unloading.contains(name)
                    || orders.m_unconfirmed.contains(name);
            }
        }

        // A copy counts for what it can serve: not at an older version.
        auto countCopies(const PlannedEngine& engine) -> void
        {
            for (const auto& held : engine.m_held) {
                auto& adapter = m_view.m_adapters[held.m_adapter];
                const auto* presence = held.m_presence;
                const auto outdated = presence
                    && (presence->m_evicted || presence->m_missing
                        || presence->m_version < adapter.m_newestVersion);
                if (outdated)
                    continue;
                ++adapter.m_copies;
                if (presence && presence->m_readyAt <= m_input.m_now)
                    adapter.m_serving = true;
            }
        }

        const PlanInput& m_input;
        PlanView m_view;
    };

} // namespace

auto makePlanView(const PlanInput& input) -> PlanView
{
    return ViewBuilder(input).build();
}

auto findHeld(const PlannedEngine& engine, AdapterIndex adapter) -> const HeldAdapter*
{
    const auto found = std::find_if(engine.m_held.begin(), engine.m_held.end(),
        [&](const HeldAdapter& held) { return held.m_adapter == adapter; });
    return found == engine.m_held.end() ? nullptr : &*found;
}

auto usedAdapterSlots(const PlannedEngine& engine) -> std::size_t
{
    return engine.m_held.size() + engine.m_replacing;
}

auto rateOf(const PlannedAdapter& adapter) -> double
{
    return adapter.m_demand ? adapter.m_demand->m_rate : 0.0;
}

} // namespace marigoldladder::relay
