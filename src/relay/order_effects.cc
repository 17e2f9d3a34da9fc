#include "relay/order_effects.h"

#include "relay/blackboard_updates.h"

#include <algorithm>

namespace marigoldladder::relay {

namespace {

    // Returns the adapters that the engine is loading while it still has an older version of them.
    auto adaptersBeingReplaced(const EngineReport& report) -> std::set<std::string>
    {
        auto pending = std::set<std::string>();
        for (const auto& adapter : report.m_pending)
            pending.insert(adapter.m_key);
        auto replaced = std::set<std::string>();
        for (const auto& adapter : report.m_adapters) {
            if (pending.contains(adapter.m_key))
                replaced.insert(adapter.m_key);
        }
        return replaced;
    }

} // namespace

auto applyReport(
    EngineOrders& orders, Upstream& upstream, const EngineReport& report, MonotonicTime requestedAt) -> bool
{
    if (!applyAcceptedCount(orders, report.m_acceptedOrders, requestedAt)) {
        // The store's entry of the engine is older still, and must not replace what the orders changed.
        upstream.m_reportedAt = requestedAt;
        return false;
    }
    applyReplacing(orders, adaptersBeingReplaced(report), requestedAt);
    const auto state = report.m_acceptedOrders ? ReportedState::Exact : ReportedState::Approximate;
    applyEngineReport(upstream, report, requestedAt, state);
    return true;
}

auto applyCompletedOrder(EngineOrders& orders, Upstream& upstream, const AdapterOrder& order,
    OrderAnswer answer, MonotonicTime now) -> OrderedAdapter
{
    auto ordered = OrderedAdapter { upstream.m_record.m_name, order.m_adapter, 0, now, now };
    if (order.m_kind == AdapterOrderKind::Unload) {
        recordEvictionOrder(upstream, order.m_adapter, answer == OrderAnswer::Accepted, now);
        return ordered;
    }
    ordered.m_version = std::max<std::uint64_t>(order.m_version, 1);
    ordered.m_readyAt = std::max(orders.m_loading[order.m_adapter], now);
    recordLoadOrder(upstream, { order.m_adapter, ordered.m_version }, ordered.m_readyAt, now);
    return ordered;
}

} // namespace marigoldladder::relay
