#include "relay/adapter_plan.h"

#include "relay/eviction_choice.h"
#include "relay/load_speed.h"
#include "relay/model_plan.h"

#include <algorithm>
#include <limits>

namespace marigoldladder::relay {

namespace {

    // Share of the concurrent loads at full speed that additional copies may use. The rest is reserved for
    // adapters that requests wait for.
    constexpr auto copiesShare = 0.6;
    constexpr auto reservedSlots = std::size_t { 3 }; // Per engine, for adapters that no engine has yet.
    // One engine, and one more for each so many engines, may unload an adapter that is in use.
    constexpr auto enginesPerUnloadInUse = std::size_t { 16 };
    constexpr auto copyRateThreshold = 1.0; // Requests per second and copy that justify another copy.
    constexpr auto urgentCopyRate = 4.0; // Requests per second and copy that soon saturate an engine.
    constexpr auto idleValue = 0.3; // Keeping value of an adapter requested once, some seconds ago.
    constexpr auto cachedBonus = 8.0; // Requests per second; a cached adapter needs no weight store load.
    // Keeping value up to which an adapter leaves for one that its engine has cached; the last copy of an
    // adapter that is requested once a second has it.
    constexpr auto maxDisplacedValue = 1.0 * lastCopyFactor;
    constexpr auto reloadRate = 0.15; // Requests per second that justify a load without a waiting request.

    auto isWaitedFor(const PlannedAdapter& adapter) -> bool
    {
        return adapter.m_demand && adapter.m_demand->m_waiting > 0;
    }

    // Returns the cost of loading the adapter at the engine: the work there that the load would slow down,
    // less a bonus if the adapter is cached there.
    auto loadingCost(const PlannedEngine& engine, const PlannedAdapter& adapter) -> double
    {
        return engine.m_load + static_cast<double>(engine.m_loading)
            - (hasAdapterCached(engine, adapter) ? cachedBonus : 0);
    }

    // Returns the urgency of one more copy of the adapter, roughly the number of requests that would not have
    // to wait. 0 means that another copy is not urgent.
    auto copyUrgency(const PlannedAdapter& adapter) -> double
    {
        if (!adapter.m_demand)
            return 0;
        const auto waiting = static_cast<double>(adapter.m_demand->m_waiting);
        const auto rate = rateOf(adapter);
        if (adapter.m_copies == 0)
            return waiting > 0 ? waiting : (rate >= reloadRate ? rate : 0);
        // While the first copy is loading, requests wait for it.
        if (!adapter.m_serving)
            return 0;
        const auto copies = static_cast<double>(adapter.m_copies);
        const auto urgency = std::max(waiting / (copies + 1), rate / copies / urgentCopyRate);
        return urgency >= 1 ? urgency : 0;
    }

    class Planner {
    public:
        explicit Planner(const PlanInput& input)
            : m_input(input)
            , m_view(makePlanView(input))
            , m_maxLoads(observedLoadsAtFullSpeed(*input.m_configuration, input.m_loadSpeed))
        {
        }

        auto plan() -> AdapterPlan
        {
            auto plan = AdapterPlan();
            for (const auto& adapter : m_view.m_adapters)
                plan.m_unservedAdapters += isWaitedFor(adapter) && adapter.m_copies == 0 ? 1 : 0;
            plan.m_pendingUnloads = m_view.m_pendingUnloads;
            m_orders = planModelLoads(m_view, *m_input.m_configuration);
            planUrgentCopies();
            planVersions();
            planCopies();
            planEvictions();
            plan.m_loading = m_view.m_loading;
            plan.m_engines = m_view.m_engines.size();
            for (const auto& engine : m_view.m_engines) {
                plan.m_availableEngines += takesOrders(engine) ? 1 : 0;
                if (engine.m_healthy && engine.m_adapterSlots > usedAdapterSlots(engine))
                    plan.m_freeAdapterSlots += engine.m_adapterSlots - usedAdapterSlots(engine);
            }
            plan.m_orders = std::move(m_orders);
            return plan;
        }

    private:
        // Returns the engine with the lowest loading cost among those with more than `reserved` free slots.
        // An engine that has the adapter cached costs less. Null if no engine qualifies.
        auto engineFor(AdapterIndex index, std::size_t reserved) -> PlannedEngine*
        {
            const auto& adapter = m_view.m_adapters[index];
            auto* best = static_cast<PlannedEngine*>(nullptr);
            auto lowest = std::numeric_limits<double>::infinity();
            for (auto& engine : m_view.m_engines) {
                if (usedAdapterSlots(engine) + reserved >= engine.m_adapterSlots || !takesOrders(engine))
                    continue;
                const auto cost = loadingCost(engine, adapter);
                if (cost >= lowest || findHeld(engine, index) || !servesModel(engine, adapter))
                    continue;
                best = &engine;
                lowest = cost;
            }
            return best;
        }

        // Whether a healthy engine has a free slot, even if it accepts no order at present.
        auto hasFreeSlot() const -> bool
        {
            const auto& engines = m_view.m_engines;
            return std::any_of(engines.begin(), engines.end(), [](const PlannedEngine& engine) {
                return usedAdapterSlots(engine) < engine.m_adapterSlots && engine.m_healthy
                    && !engine.m_upstream->m_record.m_models.empty();
            });
        }

        auto orderLoad(PlannedEngine& engine, AdapterIndex index) -> void
        {
            auto& adapter = m_view.m_adapters[index];
            const auto replaces = findHeld(engine, index) != nullptr;
            if (replaces)
                ++engine.m_replacing;
            else
                engine.m_held.push_back({ index, nullptr, true });
            m_orders.push_back({ AdapterOrderKind::Load, engine.m_upstream, std::string(adapter.m_model),
                *adapter.m_name, adapter.m_newestVersion, replaces, {} });
            ++engine.m_loading;
            m_view.m_loading += hasAdapterCached(engine, adapter) ? 0 : 1;
            ++adapter.m_copies;
            engine.m_load += rateOf(adapter) / static_cast<double>(adapter.m_copies);
        }

        // Unloads the least valuable adapter at the engines that could load this one. An engine that unloads
        // an adapter in use accepts no other order until the adapter's requests have ended, so only a few
        // engines may do so at a time.
        auto evictForLoad(AdapterIndex index) -> void
        {
            auto candidate = leastValuable(m_view, index, {});
            const auto mayWait
                = m_view.m_unloadingEngines < 1 + m_view.m_engines.size() / enginesPerUnloadInUse;
            if (!candidate.m_engine && mayWait)
                candidate = leastValuable(m_view, index, { .m_used = true });
            if (candidate.m_engine)
                orderEviction(*candidate.m_engine, *candidate.m_held);
        }

        // Unloads an adapter with little demand at an engine that has this one cached and no free slot.
        // Returns whether a slot is about to become free there, so that the adapter waits for it.
        auto evictWhereCached(AdapterIndex index) -> bool
        {
            if (isSlotComingWhereCached(m_view, index))
                return true;
            const auto candidate = leastValuable(
                m_view, index, { .m_onlyWhereCached = true, .m_maxValue = maxDisplacedValue });
            if (candidate.m_engine)
                orderEviction(*candidate.m_engine, *candidate.m_held);
            return candidate.m_engine != nullptr;
        }

        auto orderEviction(PlannedEngine& engine, const HeldAdapter& held) -> void
        {
            engine.m_isUnloading = true;
            ++m_view.m_unloadingEngines;
            const auto& evicted = m_view.m_adapters[held.m_adapter];
            engine.m_unloadUnanswered = engine.m_unloadUnanswered || !isUsed(evicted);
            m_orders.push_back({ AdapterOrderKind::Unload, engine.m_upstream, std::string(evicted.m_model),
                *evicted.m_name, 0, false, {} });
        }

        // Returns the adapters that urgently need one more copy, the most urgent first.
        auto urgentAdapters() const -> std::vector<AdapterIndex>
        {
            auto urgent = std::vector<std::pair<std::pair<double, double>, AdapterIndex>>();
            for (auto index = AdapterIndex { 0 }; index < m_view.m_adapters.size(); ++index) {
                const auto& adapter = m_view.m_adapters[index];
                if (const auto urgency = copyUrgency(adapter); urgency > 0)
                    urgent.push_back({ { urgency, rateOf(adapter) }, index });
            }
            std::sort(urgent.begin(), urgent.end(),
                [](const auto& left, const auto& right) { return left.first > right.first; });
            auto indices = std::vector<AdapterIndex>();
            for (const auto& [urgency, index] : urgent)
                indices.push_back(index);
            return indices;
        }

        auto planUrgentCopies() -> void
        {
            for (const auto index : urgentAdapters()) {
                const auto& adapter = m_view.m_adapters[index];
                auto* engine = engineFor(index, 0);
                const auto isCached = engine && hasAdapterCached(*engine, adapter);
                if (!isCached && adapter.m_copies == 0 && isWaitedFor(adapter) && evictWhereCached(index))
                    continue;
                if (!isCached && m_view.m_loading >= m_maxLoads)
                    continue;
                if (engine)
                    orderLoad(*engine, index);
                else if (adapter.m_copies > 0 || adapter.m_demand->m_waiting == 0)
                    continue;
                else if (m_view.m_pendingUnloads > 0)
                    --m_view.m_pendingUnloads;
                else if (!hasFreeSlot())
                    evictForLoad(index);
            }
        }

        // Evicts adapters with almost no demand from engines that are short of free slots, before a load
        // needs the slot.
        auto planEvictions() -> void
        {
            for (auto& engine : m_view.m_engines) {
                if (!takesOrders(engine) || engine.m_isUnloading
                    || usedAdapterSlots(engine) + reservedSlots <= engine.m_adapterSlots)
                    continue;
                const auto least = std::min_element(engine.m_held.begin(), engine.m_held.end(),
                    [&](const HeldAdapter& left, const HeldAdapter& right) {
                        return keepingValue(m_view, engine, left) < keepingValue(m_view, engine, right);
                    });
                if (least != engine.m_held.end() && keepingValue(m_view, engine, *least) < idleValue)
                    orderEviction(engine, *least);
            }
        }

        // Unloads versions that may no longer be used, and replaces other old ones.
        auto planVersions() -> void
        {
            for (auto& engine : m_view.m_engines) {
                for (const auto& held : engine.m_held) {
                    if (isOutdated(held))
                        evictOutdated(engine, held);
                    else
                        replaceOldVersion(engine, held);
                }
            }
        }

        // Whether no request may be sent to this version of the adapter any more.
        auto isOutdated(const HeldAdapter& held) const -> bool
        {
            const auto& adapter = *m_view.m_adapters[held.m_adapter].m_name;
            const auto lowest = lowestVersionToSend(m_input.m_table->m_versions, adapter, m_view.m_now);
            return lowest && held.m_presence && held.m_presence->m_version < *lowest;
        }

        // The engine refuses the requests that wait for the adapter there, so that they don't begin on it
        // later.
        auto evictOutdated(PlannedEngine& engine, const HeldAdapter& held) -> void
        {
            if (takesOrders(engine) && !engine.m_isUnloading && isEvictable(m_view, engine, held))
                orderEviction(engine, held);
        }

        // Replaces an older version once another engine serves the newest one, so that no request has to wait
        // for the replacement.
        auto replaceOldVersion(PlannedEngine& engine, const HeldAdapter& held) -> void
        {
            const auto& adapter = m_view.m_adapters[held.m_adapter];
            const auto* presence = held.m_presence;
            if (!presence || presence->m_evicted || presence->m_missing || held.m_orderPending
                || presence->m_version >= adapter.m_newestVersion)
                return;
            if (!adapter.m_serving || m_view.m_loading >= m_maxLoads || !takesOrders(engine)
                || usedAdapterSlots(engine) >= engine.m_adapterSlots)
                return;
            orderLoad(engine, held.m_adapter);
        }

        // Orders at most one additional copy for each adapter with a high rate per copy, the highest first.
        auto planCopies() -> void
        {
            auto wanted = std::vector<std::pair<double, AdapterIndex>>();
            for (auto index = AdapterIndex { 0 }; index < m_view.m_adapters.size(); ++index) {
                const auto& adapter = m_view.m_adapters[index];
                const auto value
                    = rateOf(adapter) / static_cast<double>(std::max<std::size_t>(adapter.m_copies, 1));
                if (adapter.m_copies > 0 && value > copyRateThreshold)
                    wanted.emplace_back(value, index);
            }
            std::sort(wanted.begin(), wanted.end(),
                [](const auto& left, const auto& right) { return left.first > right.first; });
            for (const auto& [value, index] : wanted) {
                if (static_cast<double>(m_view.m_loading) >= copiesShare * static_cast<double>(m_maxLoads))
                    return;
                if (auto* engine = engineFor(index, reservedSlots))
                    orderLoad(*engine, index);
            }
        }

        const PlanInput& m_input;
        PlanView m_view;
        std::size_t m_maxLoads;
        std::vector<AdapterOrder> m_orders;
    };

} // namespace

auto planAdapterOrders(const PlanInput& input) -> AdapterPlan
{
    if (!input.m_configuration)
        return {};
    return Planner(input).plan();
}

} // namespace marigoldladder::relay
