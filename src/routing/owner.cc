#include "routing/owner.h"

#include "core/posix_thread.h"
#include "routing/owner_state.h"
#include "routing/upstream_lookup.h"

#include <utility>

namespace marigoldladder {

namespace {

    constexpr auto sweepPeriod = std::chrono::milliseconds(50);

    // A call sent with less time left would mostly end as one that may have run.
    constexpr auto shortestRun = std::chrono::milliseconds(100);

    // Slots that overnight and batch calls leave to interactive ones: one in this many.
    constexpr auto slotsPerReserved = std::size_t { 4 };

    auto now() -> MonotonicTime
    {
        return std::chrono::steady_clock::now();
    }

    auto secondsSince(MonotonicTime begun) -> double
    {
        return std::chrono::duration<double>(now() - begun).count();
    }

    // Overnight and batch calls give way to interactive ones; returns 1 for them.
    auto isLower(const ServeCall& call) -> std::size_t
    {
        return call.m_priority == Priority::Interactive ? 0 : 1;
    }

    auto poisonRefusal() -> Failure
    {
        auto failure = notRun(
            FailureType::UpstreamFailed, "upstreams crashed under this request; it is refused for now");
        failure.m_retryAfter = refusalTime;
        return failure;
    }

    auto queueRefusal(std::chrono::milliseconds retryAfter) -> Failure
    {
        auto failure = notRun(FailureType::Overloaded, "the upstream's queue is full");
        failure.m_retryAfter = retryAfter;
        return failure;
    }

} // namespace

Owner::Owner(Blackboard& blackboard, PoisonWatch& poison, EngineOrders orders)
    : m_blackboard(blackboard)
    , m_poison(poison)
    , m_adapters(
          blackboard, [this](const UpstreamName&) { startAllCalls(); }, std::move(orders))
    , m_sweep("owner-sweep", sweepPeriod, [this] { sweep(); })
{
}

Owner::~Owner()
{
    m_sweep.stop();
    auto lock = std::unique_lock(m_mutex);
    for (const auto& [id, pending] : m_calls)
        pending->m_control.cancel();
    m_changed.wait(lock, [this] { return m_running == 0; });
    auto queued = std::exchange(m_calls, {}); // Their pins go before the adapter manager does.
    for (const auto& [name, state] : m_states)
        state->m_reserved.reset();
    lock.unlock();
    queued.clear();
}

auto Owner::serve(ServeCall call, AnswerSink sink, WantedCheck wanted) -> void
{
    auto pending = std::make_shared<PendingCall>();
    pending->m_queuedAt = now();
    pending->m_deadline = pending->m_queuedAt + call.m_deadline;
    pending->m_id = attemptId(call);
    pending->m_progress = call.m_resumeOffset;
    pending->m_call = std::move(call);
    pending->m_sink = std::move(sink);
    pending->m_wanted = std::move(wanted);
    if (!enterCall(pending))
        return;
    const auto& entered = pending->m_call;
    if (!entered.m_adapter.m_name.empty())
        pending->m_pin = m_adapters.want(entered.m_upstream, entered.m_adapter, entered.m_adapterPath);
    enqueue(pending);
}

// Returns false for a call that is dead or known already.
auto Owner::enterCall(const PendingHandle& pending) -> bool
{
    auto known = std::optional<AttemptState>();
    {
        const auto lock = std::lock_guard(m_mutex);
        known = enterAttempt(m_attempts, pending->m_id, pending->m_queuedAt);
        if (!known)
            m_calls[pending->m_id] = pending;
    }
    if (known == AttemptState::Dead)
        pending->m_sink(failedEnd(notRun(FailureType::Unavailable, "the entry gave this try up")));
    return !known;
}

auto Owner::enqueue(const PendingHandle& pending) -> void
{
    const auto& call = pending->m_call;
    const auto lock = std::lock_guard(m_mutex);
    auto& state = m_states[call.m_upstream];
    if (!state)
        state = std::make_unique<UpstreamState>();
    const auto queued = QueuedCall { pending->m_id, call.m_organisation, call.m_weight, call.m_priority,
        call.m_costTokens, pending->m_deadline };
    const auto decision = enqueueCall(state->m_queue, queued, pending->m_queuedAt);
    if (!decision.m_accepted)
        refuseQueued(pending, queueRefusal(decision.m_retryAfter));
    if (decision.m_displaced)
        refuseQueued(m_calls.at(*decision.m_displaced), queueRefusal(decision.m_retryAfter));
    startCalls(*state);
}

// Ends a call that is in no queue any longer and never ran; call it with the lock held.
auto Owner::refuseQueued(const PendingHandle& pending, Failure failure) -> void
{
    if (failure.m_type == FailureType::Overloaded)
        m_blackboard.m_metrics.add(Counter::QueueRefusals);
    noteAttempt(m_attempts, pending->m_id, AttemptState::EndedNotRun);
    m_calls.erase(pending->m_id);
    ++m_running;
    // The sink may have to wait for the network, so it gets a thread of its own.
    runDetached("owner-refuse", [this, pending, end = failedEnd(std::move(failure))] {
        pending->m_pin.reset();
        pending->m_sink(end);
        const auto lock = std::lock_guard(m_mutex);
        --m_running;
        m_changed.notify_all();
    });
}

// Returns whether the call was queued; call it with the lock held.
auto Owner::takeFromQueue(const PendingHandle& pending) -> bool
{
    const auto state = m_states.find(pending->m_call.m_upstream);
    if (pending->m_started || state == m_states.end())
        return false;
    if (state->second->m_reserved == pending) {
        state->second->m_reserved.reset();
        return true;
    }
    return removeCall(state->second->m_queue, pending->m_id);
}

auto Owner::cancel(const RequestId& attempt) -> void
{
    auto running = PendingHandle();
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_calls.find(attempt);
        if (found == m_calls.end())
            return;
        const auto pending = found->second;
        if (takeFromQueue(pending))
            refuseQueued(pending, notRun(FailureType::UpstreamFailed, "the caller hung up"));
        else if (pending->m_call.m_idempotent)
            running = pending;
    }
    if (running)
        running->m_control.cancel();
}

auto Owner::resolve(const RequestId& attempt) -> Verdict
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_calls.find(attempt);
    if (found != m_calls.end()) {
        const auto pending = found->second;
        if (takeFromQueue(pending))
            refuseQueued(pending, notRun(FailureType::Unavailable, "the entry withdrew this try"));
    }
    return resolveAttempt(m_attempts, attempt, now());
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

auto Owner::mayStartCall(const UpstreamState& state) const -> bool
{
    if (state.m_alone)
        return false;
    return state.m_reserved ? state.m_inFlight == 0 : state.m_inFlight < rampLimit(state.m_ramp);
}

// Whether the call has what it needs to run, or has failed and only needs its answer.
auto Owner::readyToStart(const UpstreamState& state, const QueuedCall& queued) const -> bool
{
    const auto limit = rampLimit(state.m_ramp);
    if (queued.m_priority != Priority::Interactive
        && state.m_inFlightLower >= limit - limit / slotsPerReserved)
        return false;
    const auto& pending = *m_calls.at(queued.m_id);
    return !pending.m_pin || m_adapters.stateOf(*pending.m_pin) != PinState::Waiting;
}

auto Owner::nextCall(UpstreamState& state) -> PendingHandle
{
    if (state.m_reserved)
        return std::exchange(state.m_reserved, nullptr);
    const auto next
        = takeNextCall(state.m_queue, [&](const QueuedCall& queued) { return readyToStart(state, queued); });
    return next ? m_calls.at(next->m_id) : nullptr;
}

// Starts queued calls while the upstream bears more; call it with the lock held.
auto Owner::startCalls(UpstreamState& state) -> void
{
    while (mayStartCall(state)) {
        const auto pending = nextCall(state);
        if (!pending)
            return;
        pending->m_alone = m_poison.stateOf(pending->m_call.m_fingerprint) == PoisonState::Suspect;
        if (pending->m_alone && state.m_inFlight > 0) {
            state.m_reserved = pending;
            return;
        }
        startCall(state, pending);
    }
}

auto Owner::startCall(UpstreamState& state, const PendingHandle& pending) -> void
{
    pending->m_started = true;
    pending->m_startedAt = now();
    pending->m_clearAt = m_poison.clearingProgressOf(pending->m_call.m_fingerprint);
    pending->m_epoch = rampStarted(state.m_ramp, state.m_inFlight, pending->m_startedAt);
    state.m_alone = pending->m_alone;
    noteAttempt(m_attempts, pending->m_id, AttemptState::Started);
    ++state.m_inFlight;
    state.m_inFlightLower += isLower(pending->m_call);
    ++m_running;
    runDetached("owner-call", [this, &state, pending] { runPending(state, pending); });
}

auto Owner::runPending(UpstreamState& state, const PendingHandle& pending) -> void
{
    m_blackboard.m_metrics.observe(Latency::QueueWait, secondsSince(pending->m_queuedAt));
    auto end = runAdmitted(state, *pending);
    pending->m_pin.reset();
    finishCall(state, pending, std::move(end));
}

auto Owner::finishCall(UpstreamState& state, const PendingHandle& pending, AnswerEnd end) -> void
{
    const auto notRun = !end.m_completed && end.m_failure.m_verdict == Verdict::NotRun;
    {
        const auto lock = std::lock_guard(m_mutex);
        noteAttempt(m_attempts, pending->m_id, notRun ? AttemptState::EndedNotRun : AttemptState::Ended);
    }
    pending->m_sink(std::move(end));
    const auto lock = std::lock_guard(m_mutex);
    m_calls.erase(pending->m_id);
    if (pending->m_alone)
        state.m_alone = false;
    state.m_inFlightLower -= isLower(pending->m_call);
    if (--state.m_inFlight == 0)
        rampIdle(state.m_ramp, now());
    startCalls(state);
    --m_running;
    m_changed.notify_all();
}

// Whether the upstream is to get no new work, also not from calls that were queued before.
auto Owner::isOutOfService(const Upstream& upstream) const -> bool
{
    const auto vm = VmName(upstream.m_name.value());
    return upstream.m_leaving || m_blackboard.m_configuration.read([&](const Configuration& configuration) {
        return isOut(configuration, vm, upstream.m_dataCentre);
    });
}

auto Owner::runAdmitted(UpstreamState& state, PendingCall& pending) -> AnswerEnd
{
    if (pending.m_control.cancelled())
        return failedEnd(notRun(FailureType::UpstreamFailed, "the caller hung up"));
    if (now() + shortestRun > pending.m_deadline)
        return failedEnd(notRun(FailureType::DeadlineExceeded, "no upstream was free in time"));
    if (pending.m_pin && m_adapters.stateOf(*pending.m_pin) == PinState::Failed)
        return failedEnd(m_adapters.failureOf(*pending.m_pin));
    if (m_poison.stateOf(pending.m_call.m_fingerprint) == PoisonState::Refused) {
        m_blackboard.m_metrics.add(Counter::PoisonRefusals);
        return failedEnd(poisonRefusal());
    }
    const auto upstream = findUpstream(m_blackboard, pending.m_call.m_upstream);
    if (!upstream)
        return failedEnd(notRun(FailureType::Unavailable, "the upstream is gone"));
    if (isOutOfService(*upstream))
        return failedEnd(notRun(FailureType::Unavailable, "the upstream was taken out of service"));
    return runExchange(state, pending, *upstream);
}

auto Owner::sweep() -> void
{
    auto unwanted = std::vector<PendingHandle>();
    {
        const auto lock = std::lock_guard(m_mutex);
        auto calls = std::vector<PendingHandle>();
        for (const auto& [id, pending] : m_calls)
            calls.push_back(pending);
        for (const auto& pending : calls) {
            const auto wanted = !pending->m_control.cancelled() && pending->m_wanted();
            const auto late = now() >= pending->m_deadline;
            if ((!wanted || late) && takeFromQueue(pending))
                refuseQueued(pending, notRun(FailureType::DeadlineExceeded, "no upstream was free in time"));
            else if (!wanted && pending->m_call.m_idempotent)
                unwanted.push_back(pending);
        }
    }
    for (const auto& pending : unwanted)
        pending->m_control.cancel();
    startAllCalls();
}

} // namespace marigoldladder
