#include "routing/adapter_manager.h"

#include "core/posix_thread.h"
#include "routing/ownership.h"
#include "routing/upstream_lookup.h"

#include <algorithm>
#include <thread>
#include <unordered_map>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto adapterSlotsPerEngine = std::size_t { 16 };
    constexpr auto tickPeriod = std::chrono::milliseconds(20);
    constexpr auto listRetryDelay = std::chrono::milliseconds(300);
    constexpr auto maxBackoffs = std::size_t { 1024 };

    auto now() -> MonotonicTime
    {
        return std::chrono::steady_clock::now();
    }

    auto outcomeOf(const Result<void>& result) -> OrderOutcome
    {
        if (result)
            return OrderOutcome::Done;
        return result.error().m_verdict == Verdict::NotRun ? OrderOutcome::Refused : OrderOutcome::Unknown;
    }

    auto failPin(AdapterPin& pin, const std::string& message, FailureType type = FailureType::Unavailable)
        -> bool
    {
        pin.m_state = PinState::Failed;
        pin.m_failure = notRun(type, message);
        return true;
    }

} // namespace

struct AdapterManager::EngineState {
    UpstreamName m_name;
    AdapterSlots m_slots;
    FencingNumber m_fencing = 0; // Of the assignment that the slots were listed under.
    bool m_served = false; // Whether this node served the upstream when it last looked.
    bool m_closed = false;
    MonotonicTime m_listNotBefore {};
    std::unordered_map<AdapterRef, LoadBackoff> m_backoffs;
    std::list<std::shared_ptr<AdapterPin>> m_waiting; // In the order of their wishes.
};

AdapterManager::AdapterManager(Blackboard& blackboard, ReadinessListener listener, EngineOrders orders)
    : m_blackboard(blackboard)
    , m_listener(std::move(listener))
    , m_orders(std::move(orders))
    , m_tick("adapter-tick", tickPeriod, [this] { advanceAll(); })
{
}

AdapterManager::~AdapterManager()
{
    m_stopping = true;
    m_tick.stop();
    auto lock = std::unique_lock(m_mutex);
    m_changed.wait(lock, [this] { return m_runningOrders == 0; });
}

auto AdapterManager::assignmentOf(const UpstreamName& name) const -> Assignment
{
    return m_blackboard.m_assignments.read([&](const AssignmentTable& table) {
        const auto found = table.m_assignments.find(name);
        return found == table.m_assignments.end() ? Assignment() : found->second;
    });
}

auto AdapterManager::mayEvict(const UpstreamName& name) const -> bool
{
    return mayOrderEviction(assignmentOf(name), now());
}

auto AdapterManager::engineOf(const UpstreamName& name) -> EngineState&
{
    auto& engine = m_engines[name];
    if (!engine) {
        engine = std::make_unique<EngineState>();
        engine->m_name = name;
        engine->m_slots.m_capacity = adapterSlotsPerEngine;
    }
    return *engine;
}

auto AdapterManager::want(const UpstreamName& upstream, const AdapterRef& adapter, const std::string& path)
    -> PinHandle
{
    auto pin = std::make_shared<AdapterPin>();
    pin->m_upstream = upstream;
    pin->m_adapter = { adapter, path };
    {
        const auto lock = std::lock_guard(m_mutex);
        auto& engine = engineOf(upstream);
        const auto assignment = assignmentOf(upstream);
        if (engine.m_closed || !assignment.m_servedHere)
            failPin(*pin, "this node is not owner of the upstream", FailureType::NotOwner);
        else
            engine.m_waiting.push_back(pin);
        advance(engine);
    }
    const auto* raw = pin.get();
    return { raw, [this, pin](const AdapterPin*) { release(*pin); } };
}

auto AdapterManager::stateOf(const AdapterPin& pin) const -> PinState
{
    const auto lock = std::lock_guard(m_mutex);
    return pin.m_state;
}

auto AdapterManager::failureOf(const AdapterPin& pin) const -> Failure
{
    const auto lock = std::lock_guard(m_mutex);
    return pin.m_failure;
}

auto AdapterManager::forget(const UpstreamName& upstream, const AdapterRef& adapter) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    doubt(engineOf(upstream).m_slots, adapter);
}

auto AdapterManager::forgetAll(const UpstreamName& upstream) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    doubtAll(engineOf(upstream).m_slots);
}

auto AdapterManager::failWaitingPins(EngineState& engine) -> void
{
    for (const auto& pin : engine.m_waiting)
        failPin(*pin, "this node may load nothing and hands the upstream over", FailureType::NotOwner);
    engine.m_waiting.clear();
}

auto AdapterManager::close(const UpstreamName& upstream) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    auto& engine = engineOf(upstream);
    engine.m_closed = true;
    if (m_blackboard.m_loadShare.read([](const LoadShare& share) { return share.m_inFlight == 0; }))
        failWaitingPins(engine); // They would wait here for loads that only the next owner can order.
    const auto& slots = engine.m_slots;
    const auto mayLandLate = std::any_of(slots.m_notBefore.begin(), slots.m_notBefore.end(),
        [](const auto& row) { return now() < row.second; });
    const auto pinned = std::any_of(
        slots.m_slots.begin(), slots.m_slots.end(), [](const auto& row) { return row.second.m_pins > 0; });
    return engine.m_waiting.empty() && slots.m_runningOrders == 0 && !slots.m_listing && !pinned
        && !mayLandLate;
}

auto AdapterManager::open(const UpstreamName& upstream) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    engineOf(upstream).m_closed = false;
}

auto AdapterManager::report() const -> std::vector<EngineReport>
{
    const auto lock = std::lock_guard(m_mutex);
    auto reports = std::vector<EngineReport>();
    for (const auto& [name, engine] : m_engines) {
        auto report = EngineReport { name, engine->m_fencing, {}, 0, engine->m_waiting.size() };
        for (const auto& [ref, slot] : engine->m_slots.m_slots) {
            report.m_pins += slot.m_pins;
            if (slot.m_state == SlotState::Ready || slot.m_state == SlotState::Loading)
                report.m_adapters.push_back(ref);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

auto AdapterManager::release(const AdapterPin& pin) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto& engine = *m_engines.at(pin.m_upstream);
    engine.m_waiting.remove_if([&](const auto& waiting) { return waiting.get() == &pin; });
    if (pin.m_state == PinState::Ready)
        unpin(engine.m_slots, pin.m_adapter.m_ref, pin.m_generation);
    advance(engine);
}

// Takes up a change of ownership: what another owner did in between, only the engine's list tells.
auto AdapterManager::followAssignment(EngineState& engine, const Assignment& assignment) -> void
{
    const auto served = std::exchange(engine.m_served, assignment.m_servedHere);
    if (!assignment.m_servedHere || (served && assignment.m_fencing == engine.m_fencing))
        return;
    engine.m_fencing = assignment.m_fencing;
    doubtAll(engine.m_slots);
}

// Serves waiting pins as far as slots allow; call it with the lock held.
auto AdapterManager::advance(EngineState& engine) -> void
{
    followAssignment(engine, assignmentOf(engine.m_name));
    for (auto pin = engine.m_waiting.begin(); pin != engine.m_waiting.end();)
        pin = advancePin(engine, **pin) ? engine.m_waiting.erase(pin) : std::next(pin);
}

// Returns whether the pin waits no longer.
auto AdapterManager::advancePin(EngineState& engine, AdapterPin& pin) -> bool
{
    const auto plan = planSlot(engine.m_slots, pin.m_adapter, mayEvict(engine.m_name), now());
    switch (plan.m_step) {
    case SlotStep::Use:
        pin.m_generation = marigoldladder::pin(engine.m_slots, pin.m_adapter.m_ref, now());
        pin.m_state = PinState::Ready;
        return true;
    case SlotStep::Load:
        return tryStartLoad(engine, pin);
    case SlotStep::Evict:
        markWithdrawnAdapters(engine);
        startEviction(engine, planSlot(engine.m_slots, pin.m_adapter, true, now()).m_victim);
        return false;
    case SlotStep::List:
        return !startList(engine) && failPin(pin, "the engine can't be asked what it has loaded");
    case SlotStep::Refuse:
        return failPin(pin, "the adapter can't be loaded on this upstream now");
    case SlotStep::Wait:
    case SlotStep::Full:
        return false;
    }
    return false;
}

// Starts the load if the budget allows; returns whether the pin failed instead.
auto AdapterManager::tryStartLoad(EngineState& engine, AdapterPin& pin) -> bool
{
    const auto backoff = engine.m_backoffs.find(pin.m_adapter.m_ref);
    if (backoff != engine.m_backoffs.end() && now() < backoff->second.m_notBefore)
        return failPin(pin, "the adapter failed to load on this upstream");
    if (!tryBeginLoad(m_budget, m_blackboard.m_loadShare.copy(), now()))
        return false;
    beginLoad(engine.m_slots, pin.m_adapter);
    ++m_runningOrders;
    runDetached("adapter-load", [this, &engine, adapter = pin.m_adapter, fencing = engine.m_fencing] {
        runLoad(engine, adapter, fencing);
    });
    return false;
}

auto AdapterManager::startEviction(EngineState& engine, const AdapterRef& victim) -> void
{
    beginEviction(engine.m_slots, victim);
    ++m_runningOrders;
    runDetached("adapter-evict",
        [this, &engine, victim, fencing = engine.m_fencing] { runEviction(engine, victim, fencing); });
}

// Returns false when the last attempt failed too short a while ago.
auto AdapterManager::startList(EngineState& engine) -> bool
{
    if (now() < engine.m_listNotBefore)
        return false;
    beginList(engine.m_slots);
    ++m_runningOrders;
    runDetached("adapter-list", [this, &engine, fencing = engine.m_fencing] { runList(engine, fencing); });
    return true;
}

auto AdapterManager::markWithdrawnAdapters(EngineState& engine) const -> void
{
    m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        markWithdrawn(
            engine.m_slots, [&](const AdapterRef& ref) { return !configuration.m_adapters.contains(ref); });
    });
}

// Waits for the fleet's rate to allow one more load; false when this node serves the upstream no longer.
auto AdapterManager::awaitPermit(const UpstreamName& upstream) -> bool
{
    while (!m_stopping && assignmentOf(upstream).m_servedHere) {
        const auto wait = m_orders.m_permitLoad();
        if (wait.count() == 0)
            return true;
        std::this_thread::sleep_for(wait);
    }
    return false;
}

auto AdapterManager::runLoad(EngineState& engine, const LoadedAdapter& adapter, FencingNumber fencing) -> void
{
    const auto permitted = awaitPermit(engine.m_name);
    const auto upstream = findUpstream(m_blackboard, engine.m_name);
    const auto begun = now();
    const auto loaded = permitted && upstream
        ? m_orders.m_load(*upstream, adapter.m_ref, adapter.m_path, fencing,
            [&] { return assignmentOf(engine.m_name).m_servedHere; })
        : Result<void>(notRun(FailureType::Unavailable, "the upstream is gone"));
    const auto took = std::chrono::duration<double>(now() - begun);
    m_blackboard.m_metrics.observe(Latency::AdapterLoad, took.count());
    m_blackboard.m_metrics.add(loaded ? Counter::AdapterLoads : Counter::AdapterLoadFailures);
    const auto outcome = outcomeOf(loaded);
    {
        const auto lock = std::lock_guard(m_mutex);
        finishLoad(engine.m_slots, adapter.m_ref, outcome);
        if (outcome == OrderOutcome::Unknown)
            endLoadInDoubt(m_budget, now());
        else
            endLoad(m_budget);
        if (engine.m_backoffs.size() >= maxBackoffs)
            std::erase_if(engine.m_backoffs, [](const auto& row) { return row.second.m_notBefore < now(); });
        if (loaded) {
            engine.m_backoffs.erase(adapter.m_ref);
        } else {
            auto& backoff = engine.m_backoffs[adapter.m_ref];
            const auto draw = std::uniform_real_distribution<double>(0, 1)(m_random);
            backoff = afterFailedLoad(backoff, draw, now());
        }
    }
    finishOrder(engine);
}

auto AdapterManager::runEviction(EngineState& engine, const AdapterRef& victim, FencingNumber fencing) -> void
{
    const auto upstream = findUpstream(m_blackboard, engine.m_name);
    const auto guard = [&] {
        const auto assignment = assignmentOf(engine.m_name);
        return assignment.m_fencing == fencing && mayOrderEviction(assignment, now());
    };
    const auto evicted = upstream ? m_orders.m_evict(*upstream, victim, fencing, guard)
                                  : Result<void>(notRun(FailureType::Unavailable, "the upstream is gone"));
    m_blackboard.m_metrics.add(Counter::AdapterEvictions);
    {
        const auto lock = std::lock_guard(m_mutex);
        finishEviction(engine.m_slots, victim, outcomeOf(evicted), now());
    }
    finishOrder(engine);
}

auto AdapterManager::runList(EngineState& engine, FencingNumber fencing) -> void
{
    const auto upstream = findUpstream(m_blackboard, engine.m_name);
    auto listed = std::optional<std::vector<LoadedAdapter>>();
    if (upstream && (!upstream->m_checksFencing || m_orders.m_raiseFencing(*upstream, fencing))) {
        if (auto list = m_orders.m_list(*upstream))
            listed = std::move(list.value());
    }
    {
        const auto lock = std::lock_guard(m_mutex);
        finishList(engine.m_slots, listed);
        if (!listed)
            engine.m_listNotBefore = now() + listRetryDelay;
    }
    finishOrder(engine);
}

auto AdapterManager::finishOrder(EngineState& engine) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        advance(engine);
    }
    m_listener(engine.m_name);
    const auto lock = std::lock_guard(m_mutex);
    --m_runningOrders;
    m_changed.notify_all();
}

// Engines take turns in going first, so that none waits forever for a scarce load.
auto AdapterManager::advanceAll() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto engines = std::vector<EngineState*>();
    for (const auto& [name, engine] : m_engines)
        engines.push_back(engine.get());
    if (engines.empty())
        return;
    m_firstEngine = (m_firstEngine + 1) % engines.size();
    std::rotate(engines.begin(), engines.begin() + static_cast<std::ptrdiff_t>(m_firstEngine), engines.end());
    for (auto* engine : engines)
        advance(*engine);
}

} // namespace marigoldladder
