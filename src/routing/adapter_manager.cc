#include "routing/adapter_manager.h"

#include "core/posix_thread.h"

#include <algorithm>
#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto adapterSlotsPerEngine = std::size_t { 16 };

} // namespace

struct AdapterManager::EngineState {
    UpstreamName m_name;
    AdapterSlots m_slots { adapterSlotsPerEngine, {} };
    std::list<std::shared_ptr<AdapterPin>> m_waiting; // In the order of their wishes.
};

AdapterManager::AdapterManager(Blackboard& blackboard, ReadinessListener listener)
    : m_blackboard(blackboard)
    , m_listener(std::move(listener))
{
}

AdapterManager::~AdapterManager()
{
    auto lock = std::unique_lock(m_mutex);
    m_changed.wait(lock, [this] { return m_runningOrders == 0; });
}

auto AdapterManager::findUpstream(const UpstreamName& name) const -> std::optional<Upstream>
{
    return m_blackboard.m_upstreams.read([&](const UpstreamTable& table) {
        const auto found = table.m_upstreams.find(name);
        return found == table.m_upstreams.end() ? std::nullopt : std::optional(found->second);
    });
}

auto AdapterManager::fencingOf(const UpstreamName& name) const -> FencingNumber
{
    return m_blackboard.m_assignments.read([&](const AssignmentTable& table) {
        const auto found = table.m_assignments.find(name);
        return found == table.m_assignments.end() ? FencingNumber { 0 } : found->second.m_fencing;
    });
}

auto AdapterManager::want(const UpstreamName& upstream, const AdapterRef& adapter, const std::string& path)
    -> PinHandle
{
    auto pin = std::make_shared<AdapterPin>();
    pin->m_upstream = upstream;
    pin->m_adapter = adapter;
    pin->m_path = path;
    {
        const auto lock = std::lock_guard(m_mutex);
        auto& engine = m_engines[upstream];
        if (!engine)
            engine = std::make_unique<EngineState>();
        engine->m_name = upstream;
        engine->m_waiting.push_back(pin);
        advance(*engine);
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
    const auto found = m_engines.find(upstream);
    if (found != m_engines.end())
        found->second->m_slots.m_slots.erase(adapter);
}

auto AdapterManager::forgetAll(const UpstreamName& upstream) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_engines.find(upstream);
    if (found != m_engines.end())
        found->second->m_slots.m_slots.clear();
}

auto AdapterManager::release(const AdapterPin& pin) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto& engine = *m_engines.at(pin.m_upstream);
    engine.m_waiting.remove_if([&](const auto& waiting) { return waiting.get() == &pin; });
    const auto slot = engine.m_slots.m_slots.find(pin.m_adapter);
    if (pin.m_state == PinState::Ready && slot != engine.m_slots.m_slots.end() && slot->second.m_pins > 0)
        --slot->second.m_pins;
    advance(engine);
}

// Serves waiting pins as far as slots allow; call it with the lock held.
auto AdapterManager::advance(EngineState& engine) -> void
{
    for (auto pin = engine.m_waiting.begin(); pin != engine.m_waiting.end();)
        pin = advancePin(engine, **pin) ? engine.m_waiting.erase(pin) : std::next(pin);
}

// Returns whether the pin waits no longer.
auto AdapterManager::advancePin(EngineState& engine, AdapterPin& pin) -> bool
{
    const auto plan = planSlot(engine.m_slots, pin.m_adapter);
    switch (plan.m_step) {
    case SlotStep::Use: {
        auto& slot = engine.m_slots.m_slots[pin.m_adapter];
        ++slot.m_pins;
        slot.m_usedAt = std::chrono::steady_clock::now();
        pin.m_state = PinState::Ready;
        return true;
    }
    case SlotStep::Load:
        startLoad(engine, pin);
        return false;
    case SlotStep::Evict:
        startEviction(engine, plan.m_victim);
        return false;
    case SlotStep::Wait:
    case SlotStep::Full:
        return false;
    }
    return false;
}

auto AdapterManager::startLoad(EngineState& engine, const AdapterPin& pin) -> void
{
    engine.m_slots.m_slots[pin.m_adapter].m_state = SlotState::Loading;
    ++m_runningOrders;
    runDetached("adapter-load",
        [this, &engine, adapter = pin.m_adapter, path = pin.m_path] { runLoad(engine, adapter, path); });
}

auto AdapterManager::startEviction(EngineState& engine, const AdapterRef& victim) -> void
{
    engine.m_slots.m_slots[victim].m_state = SlotState::Evicting;
    ++m_runningOrders;
    runDetached("adapter-evict", [this, &engine, victim] { runEviction(engine, victim); });
}

auto AdapterManager::runLoad(EngineState& engine, const AdapterRef& adapter, const std::string& path) -> void
{
    const auto upstream = findUpstream(engine.m_name);
    const auto begun = std::chrono::steady_clock::now();
    const auto loaded = upstream ? orderLoad(*upstream, adapter, path, fencingOf(engine.m_name))
                                 : Result<void>(notRun(FailureType::Unavailable, "the upstream is gone"));
    const auto took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun);
    m_blackboard.m_metrics.observe(Latency::AdapterLoad, took.count());
    m_blackboard.m_metrics.add(loaded ? Counter::AdapterLoads : Counter::AdapterLoadFailures);
    {
        const auto lock = std::lock_guard(m_mutex);
        if (loaded) {
            engine.m_slots.m_slots[adapter].m_state = SlotState::Ready;
        } else {
            engine.m_slots.m_slots.erase(adapter);
            engine.m_waiting.remove_if([&](const auto& pin) {
                if (pin->m_adapter != adapter)
                    return false;
                pin->m_state = PinState::Failed;
                pin->m_failure = notRun(
                    FailureType::UpstreamFailed, "the adapter can't be loaded: " + loaded.error().m_message);
                return true;
            });
        }
    }
    finishOrder(engine);
}

auto AdapterManager::runEviction(EngineState& engine, const AdapterRef& victim) -> void
{
    if (const auto upstream = findUpstream(engine.m_name))
        (void)orderEvict(*upstream, victim, fencingOf(engine.m_name));
    m_blackboard.m_metrics.add(Counter::AdapterEvictions);
    {
        const auto lock = std::lock_guard(m_mutex);
        engine.m_slots.m_slots.erase(victim);
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

} // namespace marigoldladder
