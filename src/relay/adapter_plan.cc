#include "relay/adapter_plan.h"

#include "relay/load_speed.h"

#include <algorithm>
#include <limits>

namespace marigoldladder::relay {

namespace {

    constexpr auto copiesShare
        = 0.6; // What copies may take of the loads at full speed; the rest is for adapters waited for.
    constexpr auto leastModelsAtOnce
        = std::size_t { 2 }; // Over all engines; some come from engines' own disks.
    constexpr auto loadsAtOnce = std::size_t { 4 }; // At one engine.
    constexpr auto reservedPlaces = std::size_t { 3 }; // At each engine, for adapters nobody has yet.
    constexpr auto enginesForOneWaiting
        = std::size_t { 16 }; // Of so many, one more may wait for requests on what it drops.
    constexpr auto rateForCopy = 1.0; // Requests a second for each copy that make one more worth a place.
    constexpr auto rateForUrgentCopy = 4.0; // Requests a second for each copy that soon fill an engine.
    constexpr auto idleValue = 0.3; // Of keeping an adapter that was asked for once some seconds ago.
    constexpr auto atHandGain = 8.0; // Requests a second; nothing is brought from the weight store.
    constexpr auto returnRate = 0.15; // Requests a second above which a lost adapter comes back unasked.

    auto isWaitedFor(const PlannedAdapter& adapter) -> bool
    {
        return adapter.m_demand && adapter.m_demand->m_waiting > 0;
    }

    auto isUsed(const PlannedAdapter& adapter) -> bool
    {
        return adapter.m_demand && (adapter.m_demand->m_inFlight > 0 || adapter.m_demand->m_waiting > 0);
    }

    auto takesOrders(const PlannedEngine& engine) -> bool
    {
        return engine.m_loading < loadsAtOnce && engine.m_healthy;
    }

    auto servesModel(const PlannedEngine& engine, const PlannedAdapter& adapter) -> bool
    {
        const auto& models = engine.m_upstream->m_record.m_models;
        return std::find(models.begin(), models.end(), adapter.m_model) != models.end();
    }

    // What loading the adapter at the engine costs others there.
    auto loadingCost(const PlannedEngine& engine, const PlannedAdapter& adapter) -> double
    {
        const auto atHand = engine.m_orders && isCachedAtEngine(*engine.m_orders, *adapter.m_name);
        return engine.m_load + static_cast<double>(engine.m_loading) - (atHand ? atHandGain : 0);
    }

    // What one more copy of the adapter gains: requests that need not wait. 0: it is not urgent.
    auto gainOfCopy(const PlannedAdapter& adapter) -> double
    {
        if (!adapter.m_demand)
            return 0;
        const auto waiting = static_cast<double>(adapter.m_demand->m_waiting);
        const auto rate = rateOf(adapter);
        if (adapter.m_copies == 0)
            return waiting > 0 ? waiting : (rate >= returnRate ? rate : 0);
        // While the first copy is on its way, requests wait for that one.
        if (!adapter.m_serving)
            return 0;
        const auto copies = static_cast<double>(adapter.m_copies);
        const auto gain = std::max(waiting / (copies + 1), rate / copies / rateForUrgentCopy);
        return gain >= 1 ? gain : 0;
    }

    class Planner {
    public:
        explicit Planner(const PlanInput& input)
            : m_input(input)
            , m_view(makePlanView(input))
            , m_fullSpeed(loadsAtFullSpeed(*input.m_configuration))
            , m_modelsAtOnce(std::max(leastModelsAtOnce, modelsAtFullSpeed(*input.m_configuration)))
        {
        }

        auto plan() -> AdapterPlan
        {
            auto plan = AdapterPlan();
            for (const auto& adapter : m_view.m_adapters)
                plan.m_unservedAdapters += isWaitedFor(adapter) && adapter.m_copies == 0 ? 1 : 0;
            plan.m_pendingUnloads = m_view.m_pendingUnloads;
            planModels();
            planUrgent();
            planVersions();
            planCopies();
            planRoom();
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
        // Returns the engine that draws the least load among those with more than `reserved` free places,
        // rather one that has the adapter at hand.
        auto engineFor(AdapterIndex number, std::size_t reserved) -> PlannedEngine*
        {
            const auto& adapter = m_view.m_adapters[number];
            auto* best = static_cast<PlannedEngine*>(nullptr);
            auto lowest = std::numeric_limits<double>::infinity();
            for (auto& engine : m_view.m_engines) {
                if (usedAdapterSlots(engine) + reserved >= engine.m_adapterSlots || !takesOrders(engine))
                    continue;
                const auto cost = loadingCost(engine, adapter);
                if (cost >= lowest || findHeld(engine, number) || !servesModel(engine, adapter))
                    continue;
                best = &engine;
                lowest = cost;
            }
            return best;
        }

        // Whether an engine has room, even if it takes no order just now.
        auto anyFreePlace() const -> bool
        {
            const auto& engines = m_view.m_engines;
            return std::any_of(engines.begin(), engines.end(), [](const PlannedEngine& engine) {
                return usedAdapterSlots(engine) < engine.m_adapterSlots && engine.m_healthy
                    && !engine.m_upstream->m_record.m_models.empty();
            });
        }

        auto orderLoad(PlannedEngine& engine, AdapterIndex number) -> void
        {
            auto& adapter = m_view.m_adapters[number];
            const auto replaces = findHeld(engine, number) != nullptr;
            if (replaces)
                ++engine.m_replacing;
            else
                engine.m_held.push_back({ number, nullptr, true });
            m_orders.push_back({ AdapterOrderKind::Load, engine.m_upstream, std::string(adapter.m_model),
                *adapter.m_name, adapter.m_newestVersion, replaces, {} });
            ++engine.m_loading;
            ++m_view.m_loading;
            ++adapter.m_copies;
            engine.m_load += rateOf(adapter) / static_cast<double>(adapter.m_copies);
        }

        // What keeping this adapter at its engine is worth: requests a second that would go elsewhere.
        auto keepingValue(const HeldAdapter& held) const -> double
        {
            const auto* presence = held.m_presence;
            if (!presence || presence->m_readyAt > m_input.m_now || presence->m_evicted || presence->m_missing
                || held.m_orderPending)
                return std::numeric_limits<double>::infinity();
            const auto& adapter = m_view.m_adapters[held.m_adapter];
            // An engine that waits for an adapter's requests to end takes no other order meanwhile.
            constexpr auto usedPenalty = 100.0;
            constexpr auto lastCopyFactor = 4.0;
            const auto used = isUsed(adapter) ? usedPenalty : 0.0;
            if (adapter.m_copies <= 1)
                return used + rateOf(adapter) * lastCopyFactor;
            return used + rateOf(adapter) / static_cast<double>(adapter.m_copies);
        }

        // Makes room for the adapter at the engine where the least is lost by it. An engine that drops an
        // adapter in use takes no other order until that one's requests have ended, so few do so at a time.
        auto orderUnload(AdapterIndex number) -> void
        {
            auto victim = leastWorthKeeping(number, [](const PlannedAdapter& held) { return !isUsed(held); });
            const auto mayWait
                = m_view.m_unloadingEngines < 1 + m_view.m_engines.size() / enginesForOneWaiting;
            if (!victim.m_engine && mayWait)
                victim = leastWorthKeeping(number, [](const PlannedAdapter&) { return true; });
            if (victim.m_engine)
                orderDrop(*victim.m_engine, *victim.m_held);
        }

        // What an engine may lose.
        struct Victim {
            PlannedEngine* m_engine = nullptr; // Null: there is none.
            const HeldAdapter* m_held = nullptr;
        };

        // Returns what an engine that could load the adapter holds and may best lose, among those adapters
        // that may go.
        template <typename MayGo> auto leastWorthKeeping(AdapterIndex wanted, MayGo mayGo) -> Victim
        {
            const auto& adapter = m_view.m_adapters[wanted];
            auto victim = Victim();
            auto least = std::numeric_limits<double>::infinity();
            for (auto& engine : m_view.m_engines) {
                if (!takesOrders(engine) || engine.m_isUnloading || !servesModel(engine, adapter)
                    || findHeld(engine, wanted))
                    continue;
                for (const auto& held : engine.m_held) {
                    const auto value = keepingValue(held);
                    if (value >= least || !mayGo(m_view.m_adapters[held.m_adapter]))
                        continue;
                    least = value;
                    victim = { &engine, &held };
                }
            }
            return victim;
        }

        auto orderDrop(PlannedEngine& engine, const HeldAdapter& held) -> void
        {
            engine.m_isUnloading = true;
            ++m_view.m_unloadingEngines;
            const auto& dropped = m_view.m_adapters[held.m_adapter];
            m_orders.push_back({ AdapterOrderKind::Unload, engine.m_upstream, std::string(dropped.m_model),
                *dropped.m_name, 0, false, {} });
        }

        // Gives engines without any model, such as those that restarted, the one that is asked for most.
        auto planModels() -> void
        {
            for (auto& engine : m_view.m_engines) {
                if (!engine.m_upstream->m_record.m_models.empty() || engine.m_loadingModel
                    || m_view.m_loadingModels >= m_modelsAtOnce || !takesOrders(engine))
                    continue;
                const auto* model = mostWanted(engine);
                if (!model)
                    continue;
                ++m_view.m_loadingModels;
                engine.m_loadingModel = true;
                m_orders.push_back(
                    { AdapterOrderKind::Load, engine.m_upstream, model->m_name, "", 0, false, {} });
            }
        }

        auto mostWanted(const PlannedEngine& engine) const -> const EngineModel*
        {
            const auto* best = static_cast<const EngineModel*>(nullptr);
            auto most = -1.0;
            for (const auto& model : engine.m_pool->m_models) {
                if (model.m_megabytes > engine.m_pool->m_megabytes)
                    continue;
                auto rate = 0.0;
                for (const auto& adapter : m_view.m_adapters)
                    rate += adapter.m_model == model.m_name ? rateOf(adapter) : 0.0;
                if (rate > most) {
                    most = rate;
                    best = &model;
                }
            }
            return best;
        }

        // Returns the adapters of which requests need one more copy soon, those that gain most first.
        auto urgentAdapters() const -> std::vector<AdapterIndex>
        {
            auto urgent = std::vector<std::pair<std::pair<double, double>, AdapterIndex>>();
            for (auto number = AdapterIndex { 0 }; number < m_view.m_adapters.size(); ++number) {
                const auto& adapter = m_view.m_adapters[number];
                if (const auto gain = gainOfCopy(adapter); gain > 0)
                    urgent.push_back({ { gain, rateOf(adapter) }, number });
            }
            std::sort(urgent.begin(), urgent.end(),
                [](const auto& left, const auto& right) { return left.first > right.first; });
            auto numbers = std::vector<AdapterIndex>();
            for (const auto& [gain, number] : urgent)
                numbers.push_back(number);
            return numbers;
        }

        auto planUrgent() -> void
        {
            for (const auto number : urgentAdapters()) {
                if (m_view.m_loading >= m_fullSpeed)
                    return;
                const auto& adapter = m_view.m_adapters[number];
                if (auto* engine = engineFor(number, 0))
                    orderLoad(*engine, number);
                else if (adapter.m_copies > 0 || adapter.m_demand->m_waiting == 0)
                    continue;
                else if (m_view.m_pendingUnloads > 0)
                    --m_view.m_pendingUnloads;
                else if (!anyFreePlace())
                    orderUnload(number);
            }
        }

        // Drops adapters that are hardly asked for any more before their places are needed.
        auto planRoom() -> void
        {
            for (auto& engine : m_view.m_engines) {
                if (!takesOrders(engine) || engine.m_isUnloading
                    || usedAdapterSlots(engine) + reservedPlaces <= engine.m_adapterSlots)
                    continue;
                const auto least = std::min_element(engine.m_held.begin(), engine.m_held.end(),
                    [this](const HeldAdapter& left, const HeldAdapter& right) {
                        return keepingValue(left) < keepingValue(right);
                    });
                if (least != engine.m_held.end() && keepingValue(*least) < idleValue)
                    orderDrop(engine, *least);
            }
        }

        // Replaces older versions where a newer one serves elsewhere, so that nobody waits for it.
        auto planVersions() -> void
        {
            for (auto& engine : m_view.m_engines) {
                for (const auto& held : engine.m_held)
                    planVersion(engine, held);
            }
        }

        auto planVersion(PlannedEngine& engine, const HeldAdapter& held) -> void
        {
            const auto& adapter = m_view.m_adapters[held.m_adapter];
            const auto* presence = held.m_presence;
            if (!presence || presence->m_evicted || presence->m_missing || held.m_orderPending
                || presence->m_version >= adapter.m_newestVersion)
                return;
            if (!adapter.m_serving || m_view.m_loading >= m_fullSpeed || !takesOrders(engine)
                || usedAdapterSlots(engine) >= engine.m_adapterSlots)
                return;
            orderLoad(engine, held.m_adapter);
        }

        // Gives each adapter that is asked for much one more copy at most, those asked for most first.
        auto planCopies() -> void
        {
            auto wanted = std::vector<std::pair<double, AdapterIndex>>();
            for (auto number = AdapterIndex { 0 }; number < m_view.m_adapters.size(); ++number) {
                const auto& adapter = m_view.m_adapters[number];
                const auto value
                    = rateOf(adapter) / static_cast<double>(std::max<std::size_t>(adapter.m_copies, 1));
                if (adapter.m_copies > 0 && value > rateForCopy)
                    wanted.emplace_back(value, number);
            }
            std::sort(wanted.begin(), wanted.end(),
                [](const auto& left, const auto& right) { return left.first > right.first; });
            for (const auto& [value, number] : wanted) {
                if (static_cast<double>(m_view.m_loading) >= copiesShare * static_cast<double>(m_fullSpeed))
                    return;
                if (auto* engine = engineFor(number, reservedPlaces))
                    orderLoad(*engine, number);
            }
        }

        const PlanInput& m_input;
        PlanView m_view;
        std::size_t m_fullSpeed;
        std::size_t m_modelsAtOnce;
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
