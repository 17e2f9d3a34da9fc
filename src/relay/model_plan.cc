#include "relay/model_plan.h"

#include "relay/load_speed.h"

namespace marigoldladder::relay {

namespace {

    // Returns the model with the highest rate of requests for its adapters among those that fit into the
    // engine. Null if none fits.
    auto modelWithHighestRate(const PlanView& view, const PlannedEngine& engine) -> const EngineModel*
    {
        const auto* best = static_cast<const EngineModel*>(nullptr);
        auto most = -1.0;
        for (const auto& model : engine.m_pool->m_models) {
            if (model.m_megabytes > engine.m_pool->m_megabytes)
                continue;
            auto rate = 0.0;
            for (const auto& adapter : view.m_adapters)
                rate += adapter.m_model == model.m_name ? rateOf(adapter) : 0.0;
            if (rate > most) {
                most = rate;
                best = &model;
            }
        }
        return best;
    }

} // namespace

auto planModelLoads(PlanView& view, const RoutingConfiguration& configuration) -> std::vector<AdapterOrder>
{
    const auto maxStoreLoads = modelsAtFullSpeed(configuration);
    auto orders = std::vector<AdapterOrder>();
    for (auto& engine : view.m_engines) {
        if (!engine.m_upstream->m_record.m_models.empty() || engine.m_loadingModel || !takesOrders(engine))
            continue;
        const auto* model = modelWithHighestRate(view, engine);
        if (!model)
            continue;
        const auto fromStore = !hasModelCached(engine, model->m_name);
        if (fromStore && view.m_storeModelLoads >= maxStoreLoads)
            continue;
        view.m_storeModelLoads += fromStore ? 1 : 0;
        engine.m_loadingModel = true;
        orders.push_back({ AdapterOrderKind::Load, engine.m_upstream, model->m_name, "", 0, false, {} });
    }
    return orders;
}

} // namespace marigoldladder::relay
