#include "routing/owner.h"

#include "core/posix_thread.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto concurrencyCap = std::size_t { 16 };
    constexpr auto maxQueuedCalls = std::size_t { 256 };
    constexpr auto adapterSlotsPerEngine = std::size_t { 16 };

} // namespace

struct Owner::PendingCall {
    ServeCall m_call;
    AnswerSink m_sink;
    MonotonicTime m_deadline;
    CancelFlag m_cancelled { false };
};

struct Owner::UpstreamState {
    UpstreamName m_name;
    std::deque<std::shared_ptr<PendingCall>> m_queue;
    std::size_t m_inFlight = 0;
    AdapterSlots m_slots { adapterSlotsPerEngine, {} };
};

Owner::Owner(Blackboard& blackboard)
    : m_blackboard(blackboard)
{
}

Owner::~Owner()
{
    auto lock = std::unique_lock(m_mutex);
    for (const auto& [id, pending] : m_calls)
        pending->m_cancelled = true;
    m_changed.wait(lock, [this] { return m_running == 0; });
}

auto Owner::findUpstream(const UpstreamName& name) const -> std::optional<Upstream>
{
    return m_blackboard.m_upstreams.read([&](const UpstreamTable& table) {
        const auto found = table.m_upstreams.find(name);
        return found == table.m_upstreams.end() ? std::nullopt : std::optional(found->second);
    });
}

auto Owner::fencingOf(const UpstreamName& name) const -> FencingNumber
{
    return m_blackboard.m_assignments.read([&](const AssignmentTable& table) {
        const auto found = table.m_assignments.find(name);
        return found == table.m_assignments.end() ? FencingNumber { 0 } : found->second.m_fencing;
    });
}

auto Owner::serve(ServeCall call, AnswerSink sink) -> void
{
    auto pending = std::make_shared<PendingCall>();
    pending->m_deadline = std::chrono::steady_clock::now() + call.m_deadline;
    pending->m_call = std::move(call);
    pending->m_sink = std::move(sink);
    {
        const auto lock = std::lock_guard(m_mutex);
        auto& state = m_states[pending->m_call.m_upstream];
        if (!state)
            state = std::make_unique<UpstreamState>();
        state->m_name = pending->m_call.m_upstream;
        if (state->m_queue.size() < maxQueuedCalls) {
            state->m_queue.push_back(pending);
            m_calls[pending->m_call.m_requestId] = pending;
            startCalls(*state);
            return;
        }
    }
    m_blackboard.m_metrics.add(Counter::QueueRefusals);
    pending->m_sink(failedEnd(notRun(FailureType::Overloaded, "the upstream's queue is full")));
}

auto Owner::cancel(const RequestId& id) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        found->second->m_cancelled = true;
    m_changed.notify_all();
}

// Starts queued calls while the upstream bears more; call it with the lock held.
auto Owner::startCalls(UpstreamState& state) -> void
{
    while (!state.m_queue.empty() && state.m_inFlight < concurrencyCap) {
        auto pending = std::move(state.m_queue.front());
        state.m_queue.pop_front();
        ++state.m_inFlight;
        ++m_running;
        runDetached("owner-call", [this, &state, pending] { runPending(state, pending); });
    }
}

auto Owner::runPending(UpstreamState& state, const std::shared_ptr<PendingCall>& pending) -> void
{
    const auto& call = pending->m_call;
    const auto usesAdapter = !call.m_adapter.m_name.empty();
    auto failure = usesAdapter ? prepareAdapter(state, *pending) : std::nullopt;
    const auto pinned = usesAdapter && !failure;
    const auto upstream = findUpstream(call.m_upstream);
    if (!failure && !upstream)
        failure = notRun(FailureType::Unavailable, "the upstream is gone");
    auto end = failure
        ? failedEnd(*failure)
        : runCall(*upstream, call, pending->m_cancelled, m_blackboard.m_metrics, pending->m_sink);
    if (pinned)
        unpin(state, call.m_adapter);
    pending->m_sink(std::move(end));
    const auto lock = std::lock_guard(m_mutex);
    m_calls.erase(call.m_requestId);
    --state.m_inFlight;
    --m_running;
    startCalls(state);
    m_changed.notify_all();
}

// Pins the call's adapter once the engine has it, loading it if need be.
auto Owner::prepareAdapter(UpstreamState& state, const PendingCall& pending) -> std::optional<Failure>
{
    const auto& ref = pending.m_call.m_adapter;
    auto lock = std::unique_lock(m_mutex);
    while (std::chrono::steady_clock::now() < pending.m_deadline && !pending.m_cancelled) {
        const auto upstream = findUpstream(state.m_name);
        if (!upstream)
            return notRun(FailureType::Unavailable, "the upstream is gone");
        const auto plan = planSlot(state.m_slots, ref);
        switch (plan.m_step) {
        case SlotStep::Use: {
            auto& slot = state.m_slots.m_slots[ref];
            ++slot.m_pins;
            slot.m_usedAt = std::chrono::steady_clock::now();
            return std::nullopt;
        }
        case SlotStep::Load:
            if (auto failure = load(lock, state, pending))
                return failure;
            break;
        case SlotStep::Evict:
            evict(lock, state, *upstream, plan.m_victim);
            break;
        case SlotStep::Wait:
        case SlotStep::Full:
            m_changed.wait_until(lock, pending.m_deadline);
            break;
        }
    }
    return notRun(FailureType::DeadlineExceeded, "the adapter was not loaded in time");
}

auto Owner::load(std::unique_lock<std::mutex>& lock, UpstreamState& state, const PendingCall& pending)
    -> std::optional<Failure>
{
    const auto& ref = pending.m_call.m_adapter;
    const auto upstream = findUpstream(state.m_name);
    state.m_slots.m_slots[ref].m_state = SlotState::Loading;
    lock.unlock();
    const auto loaded = orderLoad(*upstream, ref, pending.m_call.m_adapterPath, fencingOf(state.m_name));
    lock.lock();
    m_changed.notify_all();
    m_blackboard.m_metrics.add(loaded ? Counter::AdapterLoads : Counter::AdapterLoadFailures);
    if (loaded) {
        state.m_slots.m_slots[ref].m_state = SlotState::Ready;
        return std::nullopt;
    }
    state.m_slots.m_slots.erase(ref);
    return notRun(FailureType::UpstreamFailed, "the adapter can't be loaded: " + loaded.error().m_message);
}

auto Owner::evict(std::unique_lock<std::mutex>& lock, UpstreamState& state, const Upstream& upstream,
    const AdapterRef& victim) -> void
{
    state.m_slots.m_slots[victim].m_state = SlotState::Evicting;
    lock.unlock();
    const auto evicted = orderEvict(upstream, victim, fencingOf(state.m_name));
    lock.lock();
    m_changed.notify_all();
    m_blackboard.m_metrics.add(Counter::AdapterEvictions);
    state.m_slots.m_slots.erase(victim);
}

auto Owner::unpin(UpstreamState& state, const AdapterRef& ref) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    --state.m_slots.m_slots[ref].m_pins;
    m_changed.notify_all();
}

} // namespace marigoldladder
