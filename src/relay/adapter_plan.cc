#include "relay/adapter_plan.h"

#include "relay/load_speed.h"

#include <algorithm>
#include <limits>

namespace marigoldladder::relay {

namespace {

    constexpr auto copiesShare
        = 0.6; // What copies may take of the loads at full speed; the rest is for adapters waited for.
    constexpr auto modelsAtOnce = std::size_t { 2 }; // Over all engines; the weight store is slow with more.
    constexpr auto loadsAtOnce = std::size_t { 4 }; // At one engine.
    constexpr auto reservedPlaces = std::size_t { 3 }; // At each engine, for adapters nobody has yet.
    constexpr auto rateForCopy = 1.0; // Requests a second for each copy that make one more worth a place.
    constexpr auto returnRate = 0.15; // Requests a second above which a lost adapter comes back unasked.

    auto isWaitedFor(const PlannedAdapter& adapter) -> bool
    {
        return adapter.m_wish && adapter.m_wish->m_waiting > 0;
    }

    auto isUsed(const PlannedAdapter& adapter) -> bool
    {
        return adapter.m_wish && (adapter.m_wish->m_inFlight > 0 || adapter.m_wish->m_waiting > 0);
    }

    auto takesOrders(const PlannedEngine& engine) -> bool
    {
        return engine.m_loading < loadsAtOnce && engine.m_sound;
    }

    auto servesModel(const PlannedEngine& engine, const PlannedAdapter& adapter) -> bool
    {
        const auto& models = engine.m_upstream->m_record.m_models;
        return std::find(models.begin(), models.end(), adapter.m_model) != models.end();
    }

    auto orderingCost(const PlannedEngine& engine) -> double
    {
        return engine.m_load + static_cast<double>(engine.m_loading);
    }

    class Planner {
    public:
        explicit Planner(const PlanInput& input)
            : m_input(input)
            , m_view(viewForPlan(input))
            , m_fullSpeed(loadsAtFullSpeed(*input.m_configuration))
        {
        }

        auto plan() -> AdapterPlan
        {
            auto plan = AdapterPlan();
            for (const auto& adapter : m_view.m_adapters)
                plan.m_waited += isWaitedFor(adapter) && adapter.m_copies == 0 ? 1 : 0;
            plan.m_placesComing = m_view.m_placesComing;
            planModels();
            planWaited();
            planVersions();
            planCopies();
            plan.m_loading = m_view.m_loading;
            plan.m_engines = m_view.m_engines.size();
            for (const auto& engine : m_view.m_engines) {
                plan.m_openEngines += takesOrders(engine) ? 1 : 0;
                if (engine.m_sound && engine.m_places > placesTaken(engine))
                    plan.m_freePlaces += engine.m_places - placesTaken(engine);
            }
            plan.m_orders = std::move(m_orders);
            return plan;
        }

    private:
        // Returns the engine that draws the least load among those with more than `reserved` free places.
        auto engineFor(AdapterNumber number, std::size_t reserved) -> PlannedEngine*
        {
            const auto& adapter = m_view.m_adapters[number];
            auto* best = static_cast<PlannedEngine*>(nullptr);
            for (auto& engine : m_view.m_engines) {
                if (placesTaken(engine) + reserved >= engine.m_places || !takesOrders(engine))
                    continue;
                if (best && orderingCost(engine) >= orderingCost(*best))
                    continue;
                if (findHeld(engine, number) || !servesModel(engine, adapter))
                    continue;
                best = &engine;
            }
            return best;
        }

        // Whether an engine has room, even if it takes no order just now.
        auto anyFreePlace() const -> bool
        {
            const auto& engines = m_view.m_engines;
            return std::any_of(engines.begin(), engines.end(), [](const PlannedEngine& engine) {
                return placesTaken(engine) < engine.m_places && engine.m_sound
                    && !engine.m_upstream->m_record.m_models.empty();
            });
        }

        auto orderLoad(PlannedEngine& engine, AdapterNumber number) -> void
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
            if (!presence || presence->m_readyAt > m_input.m_now || presence->m_dropped || presence->m_missing
                || held.m_booked)
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

        // Makes room for the adapter at the engine where the least is lost by it.
        auto orderUnload(AdapterNumber number) -> void
        {
            const auto& adapter = m_view.m_adapters[number];
            auto* from = static_cast<PlannedEngine*>(nullptr);
            const auto* victim = static_cast<const HeldAdapter*>(nullptr);
            auto least = std::numeric_limits<double>::infinity();
            for (auto& engine : m_view.m_engines) {
                if (!takesOrders(engine) || engine.m_dropping || !servesModel(engine, adapter)
                    || findHeld(engine, number))
                    continue;
                for (const auto& held : engine.m_held) {
                    const auto value = keepingValue(held);
                    if (value < least) {
                        least = value;
                        from = &engine;
                        victim = &held;
                    }
                }
            }
            if (!from)
                return;
            from->m_dropping = true;
            const auto& dropped = m_view.m_adapters[victim->m_adapter];
            m_orders.push_back({ AdapterOrderKind::Unload, from->m_upstream, std::string(dropped.m_model),
                *dropped.m_name, 0, false, {} });
        }

        // Gives engines without any model, such as those that restarted, the one that is asked for most.
        auto planModels() -> void
        {
            for (auto& engine : m_view.m_engines) {
                if (!engine.m_upstream->m_record.m_models.empty() || engine.m_loadingModel
                    || m_view.m_loadingModels >= modelsAtOnce || !takesOrders(engine))
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

        // Returns the adapters asked for that no engine can serve, those that most requests wait for first.
        auto absentAdapters() const -> std::vector<AdapterNumber>
        {
            auto absent = std::vector<AdapterNumber>();
            for (auto number = AdapterNumber { 0 }; number < m_view.m_adapters.size(); ++number) {
                if (m_view.m_adapters[number].m_wish && m_view.m_adapters[number].m_copies == 0)
                    absent.push_back(number);
            }
            const auto rank = [this](AdapterNumber number) {
                const auto& wish = *m_view.m_adapters[number].m_wish;
                return std::pair(wish.m_waiting, wish.m_rate);
            };
            std::sort(absent.begin(), absent.end(),
                [&](AdapterNumber left, AdapterNumber right) { return rank(left) > rank(right); });
            return absent;
        }

        auto planWaited() -> void
        {
            for (const auto number : absentAdapters()) {
                if (m_view.m_loading >= m_fullSpeed)
                    return;
                const auto& wish = *m_view.m_adapters[number].m_wish;
                if (wish.m_waiting == 0 && wish.m_rate < returnRate)
                    continue;
                if (auto* engine = engineFor(number, 0))
                    orderLoad(*engine, number);
                else if (wish.m_waiting > 0 && m_view.m_placesComing > 0)
                    --m_view.m_placesComing;
                else if (wish.m_waiting > 0 && !anyFreePlace())
                    orderUnload(number);
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
            if (!presence || presence->m_dropped || presence->m_missing || held.m_booked
                || presence->m_version >= adapter.m_newestVersion)
                return;
            if (!adapter.m_serving || m_view.m_loading >= m_fullSpeed || !takesOrders(engine)
                || placesTaken(engine) >= engine.m_places + spareMargin)
                return;
            orderLoad(engine, held.m_adapter);
        }

        // Gives each adapter that is asked for much one more copy at most, those asked for most first.
        auto planCopies() -> void
        {
            auto wanted = std::vector<std::pair<double, AdapterNumber>>();
            for (auto number = AdapterNumber { 0 }; number < m_view.m_adapters.size(); ++number) {
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
