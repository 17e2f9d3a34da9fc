#include "relay/eviction_choice.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    constexpr auto unevictable = std::numeric_limits<double>::infinity();

    auto canMakeRoom(const PlanView& view, const PlannedEngine& engine, AdapterIndex wanted,
        const EvictionScope& scope) -> bool
    {
        const auto& adapter = view.m_adapters[wanted];
        return takesOrders(engine) && !engine.m_isUnloading && servesModel(engine, adapter)
            && !findHeld(engine, wanted) && (!scope.m_onlyWhereCached || hasAdapterCached(engine, adapter));
    }

    // Whether the adapter's load may still be under way although its expected time is over. An engine answers
    // the unload of such an adapter as done and goes on loading it. Its count shows that, unless an earlier
    // order without an answer is carried out meanwhile.
    auto mayBeLoading(const PlannedEngine& engine, const HeldAdapter& held) -> bool
    {
        return engine.m_orders && !engine.m_orders->m_unconfirmed.empty()
            && (!held.m_presence || !held.m_presence->m_listed);
    }

} // namespace

auto isUsed(const PlannedAdapter& adapter) -> bool
{
    return adapter.m_demand && (adapter.m_demand->m_inFlight > 0 || adapter.m_demand->m_waiting > 0);
}

auto isEvictable(const PlanView& view, const PlannedEngine& engine, const HeldAdapter& held) -> bool
{
    const auto* presence = held.m_presence;
    return presence && presence->m_readyAt <= view.m_now && !presence->m_evicted && !presence->m_missing
        && !held.m_orderPending && !mayBeLoading(engine, held);
}

auto keepingValue(const PlanView& view, const PlannedEngine& engine, const HeldAdapter& held) -> double
{
    if (!isEvictable(view, engine, held))
        return unevictable;
    const auto& adapter = view.m_adapters[held.m_adapter];
    // An engine that unloads an adapter in use accepts no other order until its requests have ended.
    constexpr auto usedPenalty = 100.0;
    const auto used = isUsed(adapter) ? usedPenalty : 0.0;
    if (adapter.m_copies <= 1)
        return used + rateOf(adapter) * lastCopyFactor;
    return used + rateOf(adapter) / static_cast<double>(adapter.m_copies);
}

auto leastValuable(PlanView& view, AdapterIndex wanted, const EvictionScope& scope) -> EvictionCandidate
{
    auto candidate = EvictionCandidate();
    auto least = std::numeric_limits<double>::infinity();
    for (auto& engine : view.m_engines) {
        if (!canMakeRoom(view, engine, wanted, scope))
            continue;
        for (const auto& held : engine.m_held) {
            const auto value = keepingValue(view, engine, held);
            if (value >= least || value > scope.m_maxValue)
                continue;
            if (!scope.m_used && isUsed(view.m_adapters[held.m_adapter]))
                continue;
            least = value;
            candidate = { &engine, &held };
        }
    }
    return candidate;
}

auto isSlotComingWhereCached(const PlanView& view, AdapterIndex wanted) -> bool
{
    const auto& adapter = view.m_adapters[wanted];
    return std::any_of(view.m_engines.begin(), view.m_engines.end(), [&](const PlannedEngine& engine) {
        return engine.m_unloadUnanswered && engine.m_healthy && hasAdapterCached(engine, adapter)
            && !findHeld(engine, wanted);
    });
}

} // namespace marigoldladder::relay
