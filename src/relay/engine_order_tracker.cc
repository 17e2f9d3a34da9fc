#include "relay/engine_order_tracker.h"

#include <algorithm>
#include <utility>

namespace marigoldladder::relay {

namespace {

    constexpr auto unconfirmedTime = Milliseconds(16'000); // An unanswered order may take effect until then.
    constexpr auto busyPause = Milliseconds(80); // By then, one of the loads under way has usually ended.
    constexpr auto refusedPause = Milliseconds(500); // Before the next order to an engine that refused one.
    constexpr auto reportValidity = Milliseconds(3'000); // Tolerates the loss of two successive reports.
    constexpr auto maxCachedAdapters = std::size_t { 64 }; // Per engine; an engine caches about 100.
    constexpr auto maxReportAge = Milliseconds(2'000); // Of the data in a report, with a margin.

    auto removePending(EngineOrders& orders, const AdapterOrder& order) -> void
    {
        orders.m_unansweredLoads.erase(order.m_adapter);
        orders.m_unloading.erase(order.m_adapter);
        if (order.m_kind == AdapterOrderKind::Load)
            orders.m_loading.erase(order.m_adapter);
        if (order.m_replaces)
            orders.m_replacing.erase(order.m_adapter);
    }

    // Removes unconfirmed orders that can no longer take effect: the engine compares the count before it
    // carries an order out, and the count only grows within a run.
    auto eraseVoidOrders(EngineOrders& orders) -> void
    {
        std::erase_if(orders.m_unconfirmed, [&](const auto& entry) {
            const auto& before = entry.second.m_acceptedBefore;
            return before && orders.m_acceptedCount && *before < *orders.m_acceptedCount;
        });
    }

    // For an order whose outcome is unknown: the engine's state has to be fetched before its next order.
    auto requireReport(EngineOrders& orders) -> void
    {
        orders.m_reportedAt = {};
    }

    auto countAccepted(EngineOrders& orders, const AdapterOrder& order, OrderAnswer answer, MonotonicTime now)
        -> void
    {
        orders.m_lastAcceptedAt = now;
        if (!order.m_acceptedBefore)
            return;
        orders.m_acceptedCount = std::max(orders.m_acceptedCount.value_or(0), *order.m_acceptedBefore + 1);
        if (answer == OrderAnswer::Accepted)
            orders.m_confirmedCount = std::max(orders.m_confirmedCount, *orders.m_acceptedCount);
        eraseVoidOrders(orders);
    }

    // Updates the engine's cached adapters for an order that it carries out.
    auto updateCached(EngineOrders& orders, const AdapterOrder& order, MonotonicTime now) -> void
    {
        if (order.m_kind == AdapterOrderKind::Load) {
            orders.m_unloadedAt.erase(order.m_adapter);
            return;
        }
        orders.m_unloadedAt[order.m_adapter] = now;
        if (orders.m_unloadedAt.size() <= maxCachedAdapters)
            return;
        const auto oldest = std::min_element(orders.m_unloadedAt.begin(), orders.m_unloadedAt.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        orders.m_unloadedAt.erase(oldest);
    }

    auto applyModelAnswer(
        EngineOrders& orders, const AdapterOrder& order, OrderAnswer answer, MonotonicTime now) -> void
    {
        if (answer == OrderAnswer::Accepted)
            countAccepted(orders, order, answer, now);
        else
            requireReport(orders);
        if (answer == OrderAnswer::Busy || answer == OrderAnswer::Refused)
            orders.m_modelLoadingUntil = now + refusedPause;
    }

} // namespace

auto isOfRun(const EngineOrders& orders, const Upstream& upstream) -> bool
{
    return orders.m_run.lock().get() == &upstream;
}

auto ordersOf(EngineOrderTracker& tracker, const Upstream& upstream) -> EngineOrders&
{
    auto& entry = tracker[upstream.m_record.m_name];
    if (isOfRun(entry, upstream))
        return entry;
    auto unconfirmed = std::move(entry.m_unconfirmed);
    entry = EngineOrders();
    entry.m_run = upstream.weak_from_this();
    entry.m_unconfirmed = std::move(unconfirmed);
    return entry;
}

auto enqueueOrder(EngineOrders& orders, const AdapterOrder& order, MonotonicTime now, MonotonicTime until)
    -> void
{
    orders.m_queue.push_back(order);
    if (order.m_adapter.empty()) {
        orders.m_modelLoadingUntil = until;
        return;
    }
    if (order.m_kind == AdapterOrderKind::Unload) {
        orders.m_unloading.insert(order.m_adapter);
        return;
    }
    orders.m_unansweredLoads.insert(order.m_adapter);
    orders.m_loading[order.m_adapter] = until;
    if (order.m_replaces)
        orders.m_replacing[order.m_adapter] = now;
}

auto cancelQueuedOrders(EngineOrders& orders) -> void
{
    for (const auto& order : std::exchange(orders.m_queue, {}))
        removePending(orders, order);
}

auto dequeueOrder(EngineOrders& orders) -> std::optional<AdapterOrder>
{
    if (orders.m_sending)
        return std::nullopt;
    if (orders.m_reportedAt == MonotonicTime())
        cancelQueuedOrders(orders);
    if (orders.m_queue.empty())
        return std::nullopt;
    auto order = std::move(orders.m_queue.front());
    orders.m_queue.pop_front();
    order.m_acceptedBefore = orders.m_acceptedCount;
    orders.m_sending = true;
    return order;
}

auto applyOrderAnswer(EngineOrders& orders, const AdapterOrder& order, OrderAnswer answer, MonotonicTime now)
    -> void
{
    orders.m_sending = false;
    if (order.m_adapter.empty()) {
        applyModelAnswer(orders, order, answer, now);
        return;
    }
    const auto isLoad = order.m_kind == AdapterOrderKind::Load;
    switch (answer) {
    case OrderAnswer::Accepted:
        countAccepted(orders, order, answer, now);
        updateCached(orders, order, now);
        orders.m_unansweredLoads.erase(order.m_adapter);
        orders.m_unloading.erase(order.m_adapter);
        break;
    case OrderAnswer::AlreadyDone:
        // An engine counts an unload that it completes at once, but not a load of an adapter that it holds.
        // Whether it had the adapter that it was to unload, its count shows when the next order depends on
        // it.
        if (!isLoad)
            countAccepted(orders, order, answer, now);
        updateCached(orders, order, now);
        removePending(orders, order);
        if (isLoad)
            orders.m_loading[order.m_adapter] = now;
        break;
    case OrderAnswer::Busy:
        removePending(orders, order);
        requireReport(orders);
        (isLoad ? orders.m_avoidUntil : orders.m_noUnloadsUntil) = now + (isLoad ? busyPause : refusedPause);
        break;
    case OrderAnswer::Refused:
        removePending(orders, order);
        orders.m_avoidUntil = now + refusedPause;
        break;
    case OrderAnswer::Unknown:
        removePending(orders, order);
        requireReport(orders);
        orders.m_unconfirmed[order.m_adapter]
            = UnconfirmedOrder { unconfirmedOrderExpiry(now), order.m_acceptedBefore };
        orders.m_avoidUntil = now + refusedPause;
        break;
    }
}

auto applyAcceptedCount(
    EngineOrders& orders, std::optional<std::uint64_t> accepted, MonotonicTime requestedAt) -> bool
{
    const auto isRequired = orders.m_reportedAt == MonotonicTime();
    const auto known = isRequired ? orders.m_confirmedCount : orders.m_acceptedCount.value_or(0);
    const auto older = accepted && orders.m_acceptedCount && *accepted < known
        && orders.m_lastAcceptedAt + maxReportAge > requestedAt;
    if (older) {
        // The orders since the report are known, and so is what the engine holds.
        if (!isRequired)
            orders.m_reportedAt = requestedAt;
        return false;
    }
    orders.m_acceptedCount = accepted;
    orders.m_confirmedCount = accepted.value_or(0);
    orders.m_reportedAt = requestedAt;
    eraseVoidOrders(orders);
    return true;
}

auto applyReplacing(EngineOrders& orders, const std::set<std::string>& adapters, MonotonicTime requestedAt)
    -> void
{
    std::erase_if(
        orders.m_replacing, [&](const auto& entry) { return entry.second + maxReportAge <= requestedAt; });
    for (const auto& adapter : adapters)
        orders.m_replacing.try_emplace(adapter, requestedAt);
}

auto isCachedAtEngine(const EngineOrders& orders, const std::string& adapter) -> bool
{
    return orders.m_unloadedAt.contains(adapter);
}

auto hasFreshReport(const EngineOrders& orders, MonotonicTime now) -> bool
{
    return orders.m_reportedAt != MonotonicTime() && orders.m_reportedAt + reportValidity > now;
}

auto requireReports(EngineOrderTracker& tracker) -> void
{
    for (auto& [upstream, orders] : tracker)
        requireReport(orders);
}

auto eraseExpiredEntries(EngineOrderTracker& tracker, const UpstreamTable& table, MonotonicTime now) -> void
{
    std::erase_if(tracker, [&](const auto& entry) {
        return !table.m_upstreams.contains(entry.first) && entry.second.m_unconfirmed.empty();
    });
    for (auto& [upstream, orders] : tracker) {
        std::erase_if(orders.m_loading, [&](const auto& entry) { return entry.second <= now; });
        std::erase_if(
            orders.m_unconfirmed, [&](const auto& entry) { return entry.second.m_expiresAt <= now; });
    }
}

auto unconfirmedOrderExpiry(MonotonicTime now) -> MonotonicTime
{
    return now + unconfirmedTime;
}

} // namespace marigoldladder::relay
