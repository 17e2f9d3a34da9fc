// The owner's half that runs one admitted call on its upstream and learns from how it goes.
#include "routing/owner_state.h"

#include <utility>

namespace marigoldladder {

namespace {

    auto secondsSince(MonotonicTime begun) -> double
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    }

} // namespace

auto Owner::runExchange(UpstreamState& state, PendingCall& pending, const Upstream& upstream) -> AnswerEnd
{
    const auto sink = [&](AnswerEvent event) {
        observe(state, pending, event);
        pending.m_sink(std::move(event));
    };
    auto call = pending.m_call;
    call.m_deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
        pending.m_deadline - std::chrono::steady_clock::now());
    auto exchange = runCall(upstream, call, pending.m_control, m_blackboard.m_metrics, sink);
    noteEnd(state, pending, upstream, exchange);
    return std::move(exchange.m_end);
}

// Learns from an event on its way to the entry.
auto Owner::observe(UpstreamState& state, PendingCall& pending, const AnswerEvent& event) -> void
{
    if (const auto* head = std::get_if<AnswerHead>(&event))
        noteBoot(state, pending, head->m_bootId);
    if (const auto* chunk = std::get_if<AnswerChunk>(&event))
        pending.m_progress = chunk->m_offset;
    if (pending.m_alone && pending.m_call.m_stream && pending.m_progress >= pending.m_clearAt)
        endSolitude(state, pending);
}

auto Owner::noteBoot(UpstreamState& state, PendingCall& pending, const std::string& bootId) -> void
{
    if (std::exchange(pending.m_answered, true))
        return;
    auto restarted = false;
    {
        const auto lock = std::lock_guard(m_mutex);
        restarted = rampAnswered(state.m_ramp, pending.m_epoch, bootId, secondsSince(pending.m_startedAt));
        startCalls(state);
    }
    if (restarted)
        m_adapters.forgetAll(pending.m_call.m_upstream);
}

// Clears a suspect that survived, and lets others run beside it.
auto Owner::endSolitude(UpstreamState& state, PendingCall& pending) -> void
{
    m_poison.reportCleared(pending.m_call.m_fingerprint);
    const auto lock = std::lock_guard(m_mutex);
    pending.m_alone = false;
    state.m_alone = false;
    startCalls(state);
}

auto Owner::noteEnd(
    UpstreamState& state, PendingCall& pending, const Upstream& upstream, ExchangeEnd& exchange) -> void
{
    if (!exchange.m_bootId.empty())
        noteBoot(state, pending, exchange.m_bootId);
    auto bootId = std::string();
    {
        const auto lock = std::lock_guard(m_mutex);
        bootId = state.m_ramp.m_bootId;
        const auto took = secondsSince(pending.m_startedAt);
        if (exchange.m_end.m_completed) {
            noteServed(state.m_queue, pending.m_call.m_costTokens, took, state.m_inFlight);
            rampSucceeded(state.m_ramp, pending.m_epoch);
        } else if (exchange.m_outcome == ExchangeOutcome::Overloaded
            || exchange.m_outcome == ExchangeOutcome::Silent) {
            rampOverloaded(state.m_ramp, pending.m_epoch);
        } else if (exchange.m_outcome == ExchangeOutcome::Lost
            || exchange.m_outcome == ExchangeOutcome::Unreachable) {
            rampBroken(state.m_ramp, pending.m_epoch);
        }
    }
    if (exchange.m_notLoaded)
        m_adapters.forget(pending.m_call.m_upstream, pending.m_call.m_adapter);
    if (exchange.m_end.m_completed && pending.m_alone)
        m_poison.reportCleared(pending.m_call.m_fingerprint);
    if (exchange.m_outcome == ExchangeOutcome::Lost && noteLoss(pending, upstream, bootId))
        exchange.m_end = failedEnd(mayHaveRun(FailureType::Unavailable, "the upstream went down"));
}

// Finds out whether the upstream went down under the call, or just the connection was lost.
auto Owner::noteLoss(PendingCall& pending, const Upstream& upstream, const std::string& bootId) -> bool
{
    const auto probe = probeUpstream(upstream);
    const auto restarted = !probe.m_bootId.empty() && !bootId.empty() && probe.m_bootId != bootId;
    const auto crashed = probe.m_refused || restarted;
    if (crashed && pending.m_call.m_fingerprint != 0)
        m_poison.reportCrash(pending.m_call.m_fingerprint, pending.m_progress);
    return crashed;
}

} // namespace marigoldladder
