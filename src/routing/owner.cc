#include "routing/owner.h"

#include "core/posix_thread.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto concurrencyCap = std::size_t { 16 };
    constexpr auto maxQueuedCalls = std::size_t { 256 };
    constexpr auto sweepPeriod = std::chrono::milliseconds(50);

} // namespace

struct Owner::PendingCall {
    ServeCall m_call;
    AnswerSink m_sink;
    MonotonicTime m_deadline;
    PinHandle m_pin; // Null for plain services.
    CancelFlag m_cancelled { false };
};

struct Owner::UpstreamState {
    std::deque<std::shared_ptr<PendingCall>> m_queue;
    std::size_t m_inFlight = 0;
};

Owner::Owner(Blackboard& blackboard)
    : m_blackboard(blackboard)
    , m_adapters(blackboard, [this](const UpstreamName&) { startAllCalls(); })
    , m_sweep("owner-sweep", sweepPeriod, [this] { startAllCalls(); })
{
}

Owner::~Owner()
{
    m_sweep.stop();
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

auto Owner::serve(ServeCall call, AnswerSink sink) -> void
{
    auto pending = std::make_shared<PendingCall>();
    pending->m_deadline = std::chrono::steady_clock::now() + call.m_deadline;
    pending->m_call = std::move(call);
    pending->m_sink = std::move(sink);
    if (!enqueue(pending)) {
        m_blackboard.m_metrics.add(Counter::QueueRefusals);
        pending->m_sink(failedEnd(notRun(FailureType::Overloaded, "the upstream's queue is full")));
        return;
    }
    startAllCalls();
}

auto Owner::enqueue(const std::shared_ptr<PendingCall>& pending) -> bool
{
    const auto& call = pending->m_call;
    if (!call.m_adapter.m_name.empty())
        pending->m_pin = m_adapters.want(call.m_upstream, call.m_adapter, call.m_adapterPath);
    const auto lock = std::lock_guard(m_mutex);
    auto& state = m_states[call.m_upstream];
    if (!state)
        state = std::make_unique<UpstreamState>();
    if (state->m_queue.size() >= maxQueuedCalls)
        return false;
    state->m_queue.push_back(pending);
    m_calls[call.m_requestId] = pending;
    return true;
}

auto Owner::cancel(const RequestId& id) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_calls.find(id);
    if (found != m_calls.end())
        found->second->m_cancelled = true;
}

auto Owner::callsInProgress() -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_calls.size();
}

auto Owner::startAllCalls() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    for (const auto& [name, state] : m_states)
        startCalls(*state);
}

// Whether the call has what it needs to run, or has failed and only needs its answer.
auto Owner::readyToStart(const PendingCall& pending) -> bool
{
    if (pending.m_cancelled || std::chrono::steady_clock::now() >= pending.m_deadline)
        return true;
    return !pending.m_pin || m_adapters.stateOf(*pending.m_pin) != PinState::Waiting;
}

// Starts queued calls while the upstream bears more; call it with the lock held.
auto Owner::startCalls(UpstreamState& state) -> void
{
    for (auto next = state.m_queue.begin();
         next != state.m_queue.end() && state.m_inFlight < concurrencyCap;) {
        if (!readyToStart(**next)) {
            ++next;
            continue;
        }
        auto pending = *next;
        next = state.m_queue.erase(next);
        ++state.m_inFlight;
        ++m_running;
        runDetached("owner-call", [this, &state, pending] { runPending(state, pending); });
    }
}

auto Owner::runPending(UpstreamState& state, const std::shared_ptr<PendingCall>& pending) -> void
{
    auto end = runAdmitted(*pending);
    doubtAdapter(*pending, end);
    pending->m_pin.reset();
    pending->m_sink(std::move(end));
    const auto lock = std::lock_guard(m_mutex);
    m_calls.erase(pending->m_call.m_requestId);
    --state.m_inFlight;
    startCalls(state);
    --m_running;
    m_changed.notify_all();
}

// An engine that does not have an adapter loaded for the call has restarted or lost it.
auto Owner::doubtAdapter(const PendingCall& pending, const AnswerEnd& end) -> void
{
    const auto refused = !end.m_completed && end.m_failure.m_type == FailureType::UpstreamFailed
        && end.m_failure.m_verdict == Verdict::NotRun;
    if (refused && pending.m_pin && m_adapters.stateOf(*pending.m_pin) == PinState::Ready)
        m_adapters.forgetAll(pending.m_call.m_upstream);
}

auto Owner::runAdmitted(const PendingCall& pending) -> AnswerEnd
{
    if (pending.m_cancelled)
        return failedEnd(notRun(FailureType::UpstreamFailed, "the caller hung up"));
    if (std::chrono::steady_clock::now() >= pending.m_deadline)
        return failedEnd(notRun(FailureType::DeadlineExceeded, "no upstream was free in time"));
    if (pending.m_pin && m_adapters.stateOf(*pending.m_pin) == PinState::Failed)
        return failedEnd(m_adapters.failureOf(*pending.m_pin));
    const auto upstream = findUpstream(pending.m_call.m_upstream);
    if (!upstream)
        return failedEnd(notRun(FailureType::Unavailable, "the upstream is gone"));
    return runCall(*upstream, pending.m_call, pending.m_cancelled, m_blackboard.m_metrics, pending.m_sink);
}

} // namespace marigoldladder
