#include "relay/adapter_plan.h"

#include "relay/load_speed.h"

#include <algorithm>
#include <limits>
#include <set>

namespace marigoldladder::relay {

namespace {

    constexpr auto copiesShare
        = 0.6; // What copies may take of the loads at full speed; the rest is for adapters waited for.
    constexpr auto modelsAtOnce = std::size_t { 2 }; // Over all engines; the weight store is slow with more.
    constexpr auto loadsAtOnce = std::size_t { 4 }; // At one engine.
    constexpr auto reservedPlaces = std::size_t { 3 }; // At each engine, for adapters nobody has yet.
    constexpr auto rateForCopy = 1.0; // Requests a second for each copy that make one more worth a place.
    constexpr auto returnRate = 0.15; // Requests a second above which a lost adapter comes back unasked.
    constexpr auto spareMargin = std::size_t { 1 }; // Place kept free, as a listing may lag behind.

    auto modelOf(const std::string& adapter) -> std::string
    {
        return adapter.substr(0, adapter.find('/'));
    }

    // One engine while orders are planned for it.
    struct Engine {
        UpstreamPointer m_upstream;
        const EnginePool* m_pool = nullptr;
        std::size_t m_places = 0;
        bool m_loadingModel = false;
        std::set<std::string> m_held; // Loaded, loading, or perhaps loading.
        std::size_t m_replacing = 0; // Of these, on their way beside an older version: one place more each.
        std::size_t m_loading = 0;
        double m_load = 0; // Requests a second that its adapters draw, each by its copies.
        bool m_dropping = false; // An adapter is on its way out, so a place comes free.
    };

    class Planner {
    public:
        explicit Planner(const PlanInput& input)
            : m_input(input)
            , m_fullSpeed(loadsAtFullSpeed(*input.m_configuration))
        {
            for (const auto& wish : input.m_wishes)
                m_wishes[wish.m_adapter] = &wish;
            for (const auto& [name, upstream] : input.m_table->m_upstreams)
                addEngine(upstream);
            for (auto& engine : m_engines) {
                for (const auto& adapter : engine.m_held)
                    engine.m_load += rateOf(adapter) / static_cast<double>(m_copies[adapter]);
            }
        }

        auto plan() -> AdapterPlan
        {
            auto plan = AdapterPlan();
            for (const auto& wish : m_input.m_wishes)
                plan.m_waited += wish.m_waiting > 0 && m_copies[wish.m_adapter] == 0 ? 1 : 0;
            plan.m_placesComing = m_placesComing;
            planModels();
            planWaited();
            planVersions();
            planCopies();
            plan.m_loading = m_loading;
            plan.m_engines = m_engines.size();
            for (const auto& engine : m_engines) {
                plan.m_openEngines += takesOrders(engine) ? 1 : 0;
                if (isSound(engine) && engine.m_places > placesTaken(engine))
                    plan.m_freePlaces += engine.m_places - placesTaken(engine);
            }
            plan.m_orders = std::move(m_orders);
            return plan;
        }

    private:
        auto rateOf(const std::string& adapter) const -> double
        {
            const auto found = m_wishes.find(adapter);
            return found == m_wishes.end() ? 0.0 : found->second->m_rate;
        }

        auto newestVersion(const std::string& adapter) const -> std::uint64_t
        {
            const auto found = m_input.m_table->m_newestVersions.find(adapter);
            return found == m_input.m_table->m_newestVersions.end() ? 0 : found->second;
        }

        auto addEngine(const UpstreamPointer& upstream) -> void
        {
            const auto pool = m_input.m_configuration->m_pools.find(upstream->m_record.m_pool);
            if (pool == m_input.m_configuration->m_pools.end() || !pool->second.m_engine)
                return;
            if (upstream->m_gone || upstream->m_record.m_leaving)
                return;
            auto engine = Engine();
            engine.m_upstream = upstream;
            const auto places = pool->second.m_engine->m_adapterPlaces;
            engine.m_places = places > spareMargin ? places - spareMargin : places;
            for (const auto& [adapter, presence] : upstream->m_adapters) {
                if (presence.m_dropped && !presence.m_occupies)
                    continue;
                engine.m_held.insert(adapter);
                m_placesComing += presence.m_dropped ? 1 : 0;
                engine.m_dropping = engine.m_dropping || presence.m_dropped;
            }
            engine.m_pool = &*pool->second.m_engine;
            const auto book = m_input.m_book->find(upstream->m_record.m_name);
            if (book != m_input.m_book->end())
                readBook(book->second, engine);
            // A copy counts for what it can serve: not where no work goes, nor at an older version.
            for (const auto& adapter : engine.m_held) {
                const auto presence = upstream->m_adapters.find(adapter);
                const auto outdated = presence != upstream->m_adapters.end()
                    && (presence->second.m_dropped || presence->second.m_missing
                        || presence->second.m_version < newestVersion(adapter));
                const auto out = m_input.m_table->m_evacuated.contains(upstream->m_record.m_dataCentre)
                    || upstream->m_health.m_avoidUntil > m_input.m_now;
                if (outdated || out)
                    continue;
                ++m_copies[adapter];
                if (presence != upstream->m_adapters.end() && presence->second.m_readyAt <= m_input.m_now)
                    m_serving.insert(adapter);
            }
            m_loading += engine.m_loading;
            m_engines.push_back(std::move(engine));
        }

        auto readBook(const EngineOrders& orders, Engine& engine) -> void
        {
            for (const auto& adapter : orders.m_unanswered) {
                engine.m_held.insert(adapter);
                engine.m_loading += orders.m_loading.contains(adapter) ? 0 : 1;
            }
            for (const auto& [adapter, until] : orders.m_loading) {
                engine.m_held.insert(adapter);
                engine.m_loading += until > m_input.m_now ? 1 : 0;
            }
            engine.m_replacing = orders.m_replacing.size();
            m_placesComing += orders.m_unloading.size();
            engine.m_loadingModel = orders.m_modelUntil > m_input.m_now;
            m_loadingModels += engine.m_loadingModel ? 1 : 0;
            engine.m_dropping
                = engine.m_dropping || !orders.m_unloading.empty() || orders.m_keepsUntil > m_input.m_now;
            for (const auto& [adapter, order] : orders.m_doubtful) {
                if (order.m_until > m_input.m_now)
                    engine.m_held.insert(adapter);
            }
        }

        static auto placesTaken(const Engine& engine) -> std::size_t
        {
            return engine.m_held.size() + engine.m_replacing;
        }

        auto takesOrders(const Engine& engine) const -> bool
        {
            return engine.m_loading < loadsAtOnce && isSound(engine);
        }

        // Whether the engine takes orders at all, and what it loads can serve requests.
        auto isSound(const Engine& engine) const -> bool
        {
            const auto book = m_input.m_book->find(engine.m_upstream->m_record.m_name);
            if (book == m_input.m_book->end() || book->second.m_reportedAt == MonotonicTime()
                || book->second.m_avoidUntil > m_input.m_now)
                return false;
            return engine.m_upstream->m_health.m_avoidUntil <= m_input.m_now
                && !m_input.m_table->m_evacuated.contains(engine.m_upstream->m_record.m_dataCentre);
        }

        auto servesModel(const Engine& engine, const std::string& adapter) const -> bool
        {
            const auto model = modelOf(adapter);
            const auto& models = engine.m_upstream->m_record.m_models;
            return std::find(models.begin(), models.end(), model) != models.end();
        }

        // Returns the engine that draws the least load among those with more than `reserved` free places.
        auto engineFor(const std::string& adapter, std::size_t reserved) -> Engine*
        {
            auto* best = static_cast<Engine*>(nullptr);
            for (auto& engine : m_engines) {
                if (placesTaken(engine) + reserved >= engine.m_places || !takesOrders(engine)
                    || engine.m_held.contains(adapter) || !servesModel(engine, adapter))
                    continue;
                const auto cost = engine.m_load + static_cast<double>(engine.m_loading);
                if (!best || cost < best->m_load + static_cast<double>(best->m_loading))
                    best = &engine;
            }
            return best;
        }

        // Whether an engine has room, even if it takes no order just now.
        auto anyFreePlace() const -> bool
        {
            return std::any_of(m_engines.begin(), m_engines.end(), [this](const Engine& engine) {
                return placesTaken(engine) < engine.m_places && isSound(engine)
                    && !engine.m_upstream->m_record.m_models.empty();
            });
        }

        auto orderLoad(Engine& engine, const std::string& adapter) -> void
        {
            const auto replaces = !engine.m_held.insert(adapter).second;
            engine.m_replacing += replaces ? 1 : 0;
            m_orders.push_back({ AdapterOrderKind::Load, engine.m_upstream, modelOf(adapter), adapter,
                newestVersion(adapter), replaces, {} });
            ++engine.m_loading;
            ++m_loading;
            const auto copies = static_cast<double>(++m_copies[adapter]);
            engine.m_load += rateOf(adapter) / copies;
        }

        // Whether an order for the adapter is under way at the engine.
        auto isBooked(const Engine& engine, const std::string& adapter) const -> bool
        {
            const auto book = m_input.m_book->find(engine.m_upstream->m_record.m_name);
            return book != m_input.m_book->end()
                && (book->second.m_unanswered.contains(adapter) || book->second.m_loading.contains(adapter)
                    || book->second.m_unloading.contains(adapter)
                    || book->second.m_doubtful.contains(adapter));
        }

        auto isUsed(const std::string& adapter) const -> bool
        {
            const auto found = m_wishes.find(adapter);
            return found != m_wishes.end() && (found->second->m_inFlight > 0 || found->second->m_waiting > 0);
        }

        // What keeping this adapter at this engine is worth: requests a second that would go elsewhere.
        auto keepingValue(const Engine& engine, const std::string& adapter) const -> double
        {
            const auto copies = m_copies.find(adapter);
            const auto others = copies == m_copies.end() ? 0.0 : static_cast<double>(copies->second) - 1;
            const auto presence = engine.m_upstream->m_adapters.find(adapter);
            if (presence == engine.m_upstream->m_adapters.end() || presence->second.m_readyAt > m_input.m_now
                || presence->second.m_dropped || presence->second.m_missing || isBooked(engine, adapter))
                return std::numeric_limits<double>::infinity();
            // An engine that waits for an adapter's requests to end takes no other order meanwhile.
            constexpr auto usedPenalty = 100.0;
            const auto used = isUsed(adapter) ? usedPenalty : 0.0;
            constexpr auto lastCopyFactor = 4.0;
            return used + (others > 0 ? rateOf(adapter) / (others + 1) : rateOf(adapter) * lastCopyFactor);
        }

        // Makes room at the engine where the least is lost by it.
        auto orderUnload(const std::string& adapter, double mostValue) -> void
        {
            auto* from = static_cast<Engine*>(nullptr);
            auto victim = std::string();
            auto least = mostValue;
            for (auto& engine : m_engines) {
                if (!takesOrders(engine) || engine.m_dropping || !servesModel(engine, adapter)
                    || engine.m_held.contains(adapter))
                    continue;
                for (const auto& held : engine.m_held) {
                    const auto value = keepingValue(engine, held);
                    if (value < least) {
                        least = value;
                        from = &engine;
                        victim = held;
                    }
                }
            }
            if (!from)
                return;
            from->m_dropping = true;
            m_orders.push_back(
                { AdapterOrderKind::Unload, from->m_upstream, modelOf(victim), victim, 0, false, {} });
        }

        // Gives engines without any model, such as those that restarted, the one that is asked for most.
        auto planModels() -> void
        {
            for (auto& engine : m_engines) {
                if (!engine.m_upstream->m_record.m_models.empty() || engine.m_loadingModel
                    || m_loadingModels >= modelsAtOnce || !takesOrders(engine))
                    continue;
                const auto* model = mostWanted(engine);
                if (!model)
                    continue;
                ++m_loadingModels;
                engine.m_loadingModel = true;
                m_orders.push_back(
                    { AdapterOrderKind::Load, engine.m_upstream, model->m_name, "", 0, false, {} });
            }
        }

        auto mostWanted(const Engine& engine) const -> const EngineModel*
        {
            const auto* best = static_cast<const EngineModel*>(nullptr);
            auto most = -1.0;
            for (const auto& model : engine.m_pool->m_models) {
                if (model.m_megabytes > engine.m_pool->m_megabytes)
                    continue;
                auto rate = 0.0;
                for (const auto& wish : m_input.m_wishes)
                    rate += modelOf(wish.m_adapter) == model.m_name ? wish.m_rate : 0.0;
                if (rate > most) {
                    most = rate;
                    best = &model;
                }
            }
            return best;
        }

        auto planWaited() -> void
        {
            auto waited = std::vector<const AdapterWish*>();
            for (const auto& wish : m_input.m_wishes) {
                if (m_copies[wish.m_adapter] == 0)
                    waited.push_back(&wish);
            }
            std::sort(waited.begin(), waited.end(), [](const AdapterWish* left, const AdapterWish* right) {
                return std::pair(left->m_waiting, left->m_rate) > std::pair(right->m_waiting, right->m_rate);
            });
            for (const auto* wish : waited) {
                if (m_loading >= m_fullSpeed)
                    return;
                if (wish->m_waiting == 0 && wish->m_rate < returnRate)
                    continue;
                if (auto* engine = engineFor(wish->m_adapter, 0))
                    orderLoad(*engine, wish->m_adapter);
                else if (wish->m_waiting > 0 && m_placesComing > 0)
                    --m_placesComing;
                else if (wish->m_waiting > 0 && !anyFreePlace())
                    orderUnload(wish->m_adapter, std::numeric_limits<double>::infinity());
            }
        }

        // Replaces older versions where a newer one serves elsewhere, so that nobody waits for it.
        auto planVersions() -> void
        {
            for (auto& engine : m_engines) {
                for (const auto& [adapter, presence] : engine.m_upstream->m_adapters) {
                    if (presence.m_dropped || presence.m_missing
                        || presence.m_version >= newestVersion(adapter) || !takesOrders(engine)
                        || isBooked(engine, adapter))
                        continue;
                    if (!m_serving.contains(adapter) || m_loading >= m_fullSpeed)
                        continue;
                    if (placesTaken(engine) >= engine.m_places + spareMargin)
                        continue;
                    orderLoad(engine, adapter);
                }
            }
        }

        // Gives each adapter that is asked for much one more copy at most, those asked for most first.
        auto planCopies() -> void
        {
            auto wanted = std::vector<std::pair<double, const AdapterWish*>>();
            for (const auto& wish : m_input.m_wishes) {
                const auto copies = m_copies[wish.m_adapter];
                const auto value = wish.m_rate / static_cast<double>(std::max<std::size_t>(copies, 1));
                if (copies > 0 && value > rateForCopy)
                    wanted.emplace_back(value, &wish);
            }
            std::sort(wanted.begin(), wanted.end(),
                [](const auto& left, const auto& right) { return left.first > right.first; });
            for (const auto& [value, wish] : wanted) {
                if (static_cast<double>(m_loading) >= copiesShare * static_cast<double>(m_fullSpeed))
                    return;
                if (auto* engine = engineFor(wish->m_adapter, reservedPlaces))
                    orderLoad(*engine, wish->m_adapter);
            }
        }

        const PlanInput& m_input;
        std::size_t m_fullSpeed;
        std::map<std::string, const AdapterWish*> m_wishes;
        std::vector<Engine> m_engines;
        std::map<std::string, std::size_t> m_copies;
        std::set<std::string> m_serving; // Adapters that some engine can run now, at their newest version.
        std::size_t m_loading = 0;
        std::size_t m_loadingModels = 0;
        std::size_t m_placesComing = 0; // Adapters on their way out.
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
