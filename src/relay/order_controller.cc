#include "relay/order_controller.h"

#include "core/log.h"
#include "relay/blackboard_updates.h"
#include "relay/load_speed.h"
#include "relay/order_effects.h"
#include "relay/upstream_notices.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

    // After this time, or this multiple of the model's usual load time if that is longer, an engine that does
    // not list a model it was ordered to load gets the order again.
    constexpr auto minModelLoadTimeout = Milliseconds(2'000);
    constexpr auto modelLoadTimeoutFactor = 3;
    constexpr auto requiredReportPause = Milliseconds(100); // An engine's report is about as old.
    constexpr auto reportInterval = Milliseconds(1'500);
    constexpr auto planLogInterval = Milliseconds(1'000);
    constexpr auto planInterval = Milliseconds(200);
    // Demand of a large fleet arrives hundreds of times per second, and each plan scans all engines. The
    // pause of four times a plan's duration limits planning to a fifth of the processor; otherwise the
    // answers to orders are read too late.
    constexpr auto planPauseFactor = 4;
    constexpr auto minPlanPause = Milliseconds(2);
    // After a longer time without a plan, because the process was frozen or had no right to send orders,
    // engines have to report before they get orders.
    constexpr auto maxTimeWithoutPlan = Milliseconds(1'000);
    constexpr auto maxPlanPause = Milliseconds(60);
    constexpr auto recentOrderRetention = Milliseconds(3'000); // For reports to the other nodes.

    // An engine that is being asked for a report during the object's lifetime.
    class Reporting {
    public:
        Reporting(std::set<UpstreamPointer>& reporting, UpstreamPointer engine)
            : m_reporting(reporting)
            , m_engine(std::move(engine))
        {
            m_reporting.insert(m_engine);
        }
        ~Reporting() { m_reporting.erase(m_engine); }
        Reporting(const Reporting&) = delete;
        auto operator=(const Reporting&) -> Reporting& = delete;

    private:
        std::set<UpstreamPointer>& m_reporting;
        UpstreamPointer m_engine;
    };

} // namespace

OrderController::OrderController(Executor executor, const RelaySettings& settings, RelayBoard& board,
    const ObjectStore& store, const EngineCalls& engines, PeerExchange& peers)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_board(board)
    , m_store(store)
    , m_engines(engines)
    , m_peers(peers)
{
}

auto OrderController::start(std::function<bool()> isReady) -> void
{
    m_isReady = std::move(isReady);
    m_startedAt = bootClockNow();
    runLoop(m_executor, "order_lease", m_board.m_metrics, [this] { return runLeaseLoop(); });
    runLoop(m_executor, "order_plans", m_board.m_metrics, [this] { return runPlanLoop(); });
}

auto OrderController::planSoon() -> void
{
    if (m_planPending || !m_lease.m_holding)
        return;
    m_planPending = true;
    runAfter(m_executor, "order_plan", m_board.m_metrics, m_planPause, [this] {
        m_planPending = false;
        plan();
    });
}

auto OrderController::runPlanLoop() -> Awaitable<void>
{
    for (;;) {
        co_await sleepFor(planInterval);
        if (m_lease.m_holding)
            plan();
    }
}

auto OrderController::plan() -> void
{
    if (!mayOrderNow() || !m_board.m_configuration)
        return;
    if (m_lastPlannedAt + maxTimeWithoutPlan < bootClockNow())
        requireReports(m_orderTracker);
    m_lastPlannedAt = bootClockNow();
    const auto startedAt = Clock::now();
    planAndSendOrders();
    const auto time = std::chrono::duration_cast<Milliseconds>((Clock::now() - startedAt) * planPauseFactor);
    m_planPause = std::clamp(time, minPlanPause, maxPlanPause);
}

auto OrderController::planAndSendOrders() -> void
{
    const auto now = Clock::now();
    eraseExpiredEntries(m_orderTracker, m_board.m_upstreams, now);
    std::erase_if(m_board.m_orders.m_recent,
        [&](const OrderedAdapter& order) { return order.m_orderedAt + recentOrderRetention <= now; });
    m_board.m_fleetDemand.m_byNode[m_settings.m_vm] = m_board.m_adapterRates;
    requestReports(now);
    auto input = PlanInput();
    input.m_table = &m_board.m_upstreams;
    input.m_configuration = m_board.m_configuration.get();
    input.m_orderTracker = &m_orderTracker;
    input.m_demands = totalDemand(m_board.m_fleetDemand, now);
    input.m_loadSpeed = m_board.m_loadSpeed;
    input.m_now = now;
    auto planned = planAdapterOrders(input);
    logPlan(planned, now);
    for (const auto& order : planned.m_orders) {
        enqueueOrder(ordersOf(m_orderTracker, *order.m_upstream), order, now, expectedEnd(order, now));
        runTask(m_executor, "engine_orders", m_board.m_metrics, sendQueued(order.m_upstream));
    }
}

auto OrderController::requestReports(MonotonicTime now) -> void
{
    for (const auto& [name, upstream] : m_board.m_upstreams.m_upstreams) {
        const auto* pool = findEnginePool(*m_board.m_configuration, upstream->m_record.m_pool);
        if (!pool || upstream->m_record.m_leaving || upstream->m_pausedUntil > now)
            continue;
        // Answers that come slowly must not pile up.
        if (m_reporting.contains(upstream))
            continue;
        auto& orders = ordersOf(m_orderTracker, *upstream);
        const auto pause = orders.m_reportedAt == MonotonicTime() ? requiredReportPause : reportInterval;
        if (orders.m_reportRequestedAt != MonotonicTime() && orders.m_reportRequestedAt + pause > now)
            continue;
        orders.m_reportRequestedAt = now;
        runTask(m_executor, "engine_report", m_board.m_metrics, fetchReport(upstream));
    }
}

auto OrderController::fetchReport(UpstreamPointer upstream) -> Awaitable<void>
{
    const auto reporting = Reporting(m_reporting, upstream);
    const auto requestedAt = Clock::now();
    const auto answer = co_await m_engines.m_report(upstream);
    applyNotices(m_board, *upstream, answer.m_notices, Clock::now());
    const auto& report = answer.m_report;
    const auto found = m_orderTracker.find(upstream->m_record.m_name);
    if (!report || found == m_orderTracker.end() || !isOfRun(found->second, *upstream))
        co_return;
    if (report->m_startedAt != 0 && upstream->m_record.m_startedAt != 0
        && report->m_startedAt != upstream->m_record.m_startedAt)
        co_return;
    const auto wasRequired = found->second.m_reportedAt == MonotonicTime();
    const auto isNew = applyReport(found->second, *upstream, *report, requestedAt);
    if (wasRequired && isNew)
        planSoon();
}

auto OrderController::logPlan(const AdapterPlan& plan, MonotonicTime now) -> void
{
    if (plan.m_unservedAdapters == 0 || m_planLoggedAt + planLogInterval > now)
        return;
    m_planLoggedAt = now;
    logChange("adapters_waited_for",
        { { "adapters", std::to_string(plan.m_unservedAdapters) },
            { "ordered", std::to_string(plan.m_orders.size()) },
            { "loading", std::to_string(plan.m_loading) }, { "engines", std::to_string(plan.m_engines) },
            { "open", std::to_string(plan.m_availableEngines) },
            { "free_places", std::to_string(plan.m_freeAdapterSlots) },
            { "places_coming", std::to_string(plan.m_pendingUnloads) } });
}

auto OrderController::modelLoadTimeout(const AdapterOrder& order) const -> Milliseconds
{
    const auto* pool = findEnginePool(*m_board.m_configuration, order.m_upstream->m_record.m_pool);
    auto timeout = minModelLoadTimeout;
    if (!pool)
        return timeout;
    for (const auto& model : pool->m_models) {
        if (model.m_name == order.m_model)
            timeout = std::max(timeout, model.m_loadTime * modelLoadTimeoutFactor);
    }
    return timeout;
}

auto OrderController::expectedEnd(const AdapterOrder& order, MonotonicTime now) const -> MonotonicTime
{
    if (order.m_adapter.empty())
        return now + modelLoadTimeout(order);
    const auto tracked = m_orderTracker.find(order.m_upstream->m_record.m_name);
    if (tracked != m_orderTracker.end() && isCachedAtEngine(tracked->second, order.m_adapter))
        return now + expectedReloadTime();
    auto loading = std::size_t { 0 };
    for (const auto& [upstream, orders] : m_orderTracker)
        loading += orders.m_loading.size();
    return now
        + expectedLoadTime(loading, observedLoadsAtFullSpeed(*m_board.m_configuration, m_board.m_loadSpeed));
}

auto OrderController::sendQueued(UpstreamPointer upstream) -> Awaitable<void>
{
    for (;;) {
        const auto found = m_orderTracker.find(upstream->m_record.m_name);
        if (found == m_orderTracker.end() || !isOfRun(found->second, *upstream))
            co_return;
        if (!mayOrderNow() || upstream->m_pausedUntil > Clock::now()) {
            cancelQueuedOrders(found->second);
            co_return;
        }
        auto order = dequeueOrder(found->second);
        if (!order)
            co_return;
        co_await send(std::move(*order));
    }
}

auto OrderController::send(AdapterOrder order) -> Awaitable<void>
{
    const auto sender = OrderSender { m_settings.m_vm, m_board.m_orders.m_fence };
    const auto maySend
        = [this, fence = sender.m_fence] { return mayOrderNow() && m_board.m_orders.m_fence == fence; };
    auto answered = EngineOrderAnswer();
    try {
        answered = co_await m_engines.m_order(order, sender, maySend);
    } catch (...) {
        // The engine may have received the order, and waits for the next one.
        recordFailure("engine_order", m_board.m_metrics, std::current_exception());
    }
    const auto answer = answered.m_answer;
    const auto now = Clock::now();
    applyNotices(m_board, *order.m_upstream, answered.m_notices, now);
    m_board.m_metrics.add(Counter::EngineOrders);
    logOrder(order, sender, answer);
    const auto found = m_orderTracker.find(order.m_upstream->m_record.m_name);
    if (found == m_orderTracker.end() || !isOfRun(found->second, *order.m_upstream)) {
        // The engine was restarted or removed meanwhile. Its next run may still receive the order.
        if (answer == OrderAnswer::Unknown)
            m_orderTracker[order.m_upstream->m_record.m_name].m_unconfirmed[order.m_adapter]
                = UnconfirmedOrder { unconfirmedOrderExpiry(now), order.m_acceptedBefore };
        co_return;
    }
    applyOrderAnswer(found->second, order, answer, now);
    if (order.m_adapter.empty())
        co_return;
    if (answer == OrderAnswer::Accepted || answer == OrderAnswer::AlreadyDone)
        publishCompletedOrder(found->second, order, answer, now);
    planSoon();
}

auto OrderController::logOrder(const AdapterOrder& order, const OrderSender& sender, OrderAnswer answer)
    -> void
{
    const auto before = order.m_acceptedBefore ? std::to_string(*order.m_acceptedBefore) : "unknown";
    logChange("engine_order",
        { { "upstream", order.m_upstream->m_record.m_name.value() },
            { "kind", std::string(nameOf(adapterOrderKindNames, order.m_kind)) }, { "model", order.m_model },
            { "adapter", order.m_adapter }, { "version", std::to_string(order.m_version) },
            { "accepted_before", before }, { "fence", std::to_string(sender.m_fence) },
            { "answer", std::string(nameOf(orderAnswerNames, answer)) } });
}

auto OrderController::publishCompletedOrder(
    EngineOrders& orders, const AdapterOrder& order, OrderAnswer answer, MonotonicTime now) -> void
{
    m_board.m_orders.m_recent.push_back(applyCompletedOrder(orders, *order.m_upstream, order, answer, now));
    m_peers.scheduleSendToAll();
    m_board.m_capacityChanged();
}

} // namespace marigoldladder::relay
