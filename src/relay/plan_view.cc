#include "relay/plan_view.h"

#include "relay/upstream_health.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // Slots kept free at an engine whose list of adapters may be out of date.
    constexpr auto spareSlots = std::size_t { 1 };

    constexpr auto maxLoadsPerEngine = std::size_t { 4 }; // Adapters that an engine loads concurrently.

    // Returns the slots that the plan may fill. An engine that counts its orders carries out none that was
    // planned on an earlier state, so what it holds is known whenever an order takes effect. Elsewhere a late
    // order could take one more slot than is known, so one stays free, unless the engine has no other.
    auto plannableSlots(const EnginePool& pool, const EngineOrders* orders) -> std::size_t
    {
        const auto isCounted = orders && orders->m_acceptedCount;
        return isCounted || pool.m_adapterSlots <= spareSlots ? pool.m_adapterSlots
                                                              : pool.m_adapterSlots - spareSlots;
    }

    class ViewBuilder {
    public:
        explicit ViewBuilder(const PlanInput& input)
            : m_input(input)
        {
        }

        auto build() -> PlanView
        {
            m_view.m_now = m_input.m_now;
            m_view.m_indices.reserve(m_input.m_demands.size() * 2);
            for (const auto& demand : m_input.m_demands)
                m_view.m_adapters[indexOf(demand.m_adapter)].m_demand = &demand;
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
        // Returns the index of the adapter, which is added to the view if it is new. The view keeps a pointer
        // to `name`, which has to be part of the input.
        auto indexOf(const std::string& name) -> AdapterIndex
        {
            const auto [found, isNew] = m_view.m_indices.try_emplace(name, m_view.m_adapters.size());
            if (isNew) {
                auto adapter = PlannedAdapter();
                adapter.m_name = &name;
                adapter.m_model = std::string_view(name).substr(0, name.find('/'));
                adapter.m_newestVersion = newestVersion(m_input.m_table->m_versions, name).value_or(0);
                m_view.m_adapters.push_back(adapter);
            }
            return found->second;
        }

        // Returns the engine's entry of an adapter, which is added if it is missing.
        auto heldEntry(PlannedEngine& engine, const std::string& name) -> HeldAdapter&
        {
            const auto index = indexOf(name);
            for (auto& held : engine.m_held) {
                if (held.m_adapter == index)
                    return held;
            }
            engine.m_held.push_back({ index, nullptr, false });
            return engine.m_held.back();
        }

        auto addEngine(const UpstreamPointer& upstream) -> void
        {
            const auto* pool = findEnginePool(*m_input.m_configuration, upstream->m_record.m_pool);
            if (!pool || upstream->m_removed || upstream->m_record.m_leaving)
                return;
            auto engine = PlannedEngine();
            engine.m_upstream = upstream;
            engine.m_pool = pool;
            readPresences(engine);
            const auto inService = upstream->m_health.m_avoidUntil <= m_input.m_now
                && !isUnreachable(upstream->m_reachability, m_input.m_now)
                && !m_input.m_table->m_evacuated.contains(upstream->m_record.m_dataCentre);
            const auto tracked = m_input.m_orderTracker->find(upstream->m_record.m_name);
            if (tracked != m_input.m_orderTracker->end()) {
                engine.m_orders = &tracked->second;
                readOrders(tracked->second, engine);
                engine.m_healthy = inService && hasFreshReport(tracked->second, m_input.m_now)
                    && tracked->second.m_avoidUntil <= m_input.m_now
                    && upstream->m_pausedUntil <= m_input.m_now;
            }
            engine.m_adapterSlots = plannableSlots(*engine.m_pool, engine.m_orders);
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
                engine.m_held.push_back({ indexOf(name), &presence, false });
                m_view.m_pendingUnloads += presence.m_evicted ? 1 : 0;
                engine.m_isUnloading = engine.m_isUnloading || presence.m_evicted;
            }
        }

        auto readOrders(const EngineOrders& orders, PlannedEngine& engine) -> void
        {
            for (const auto& name : orders.m_unansweredLoads) {
                heldEntry(engine, name).m_orderPending = true;
                engine.m_loading += orders.m_loading.contains(name) ? 0 : 1;
            }
            for (const auto& [name, until] : orders.m_loading) {
                heldEntry(engine, name).m_orderPending = true;
                engine.m_loading += until > m_input.m_now ? 1 : 0;
            }
            for (const auto& [name, order] : orders.m_unconfirmed) {
                if (order.m_expiresAt > m_input.m_now)
                    heldEntry(engine, name);
            }
            markPendingOrders(orders, engine);
            engine.m_replacing = orders.m_replacing.size();
            m_view.m_pendingUnloads += orders.m_unloading.size();
            const auto listsModel = !engine.m_upstream->m_record.m_models.empty();
            engine.m_loadingModel = orders.m_modelLoadingUntil > m_input.m_now && !listsModel;
            const auto fromStore = engine.m_loadingModel && engine.m_upstream->m_cachedModels.empty();
            m_view.m_storeModelLoads += fromStore ? 1 : 0;
            engine.m_unloadUnanswered = !orders.m_unloading.empty();
            engine.m_isUnloading = engine.m_isUnloading || engine.m_unloadUnanswered
                || orders.m_noUnloadsUntil > m_input.m_now;
        }

        auto markPendingOrders(const EngineOrders& orders, PlannedEngine& engine) -> void
        {
            if (orders.m_unloading.empty() && orders.m_unconfirmed.empty())
                return;
            for (auto& held : engine.m_held) {
                const auto& name = *m_view.m_adapters[held.m_adapter].m_name;
                held.m_orderPending = held.m_orderPending || orders.m_unloading.contains(name)
                    || orders.m_unconfirmed.contains(name);
            }
        }

        // Counts the engine's adapters as copies, except for outdated, unloaded and missing ones, which can't
        // serve requests.
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

auto takesOrders(const PlannedEngine& engine) -> bool
{
    return engine.m_loading < maxLoadsPerEngine && engine.m_healthy;
}

auto hasModelCached(const PlannedEngine& engine, const std::string& model) -> bool
{
    const auto& cached = engine.m_upstream->m_cachedModels;
    return std::find(cached.begin(), cached.end(), model) != cached.end();
}

auto servesModel(const PlannedEngine& engine, const PlannedAdapter& adapter) -> bool
{
    const auto& models = engine.m_upstream->m_record.m_models;
    return std::find(models.begin(), models.end(), adapter.m_model) != models.end();
}

auto hasAdapterCached(const PlannedEngine& engine, const PlannedAdapter& adapter) -> bool
{
    return engine.m_orders && isCachedAtEngine(*engine.m_orders, *adapter.m_name);
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
