// The part of the request runner that decides what a request does while its upstream is silent.
#include "relay/brittle_pools.h"
#include "relay/request_log_lines.h"
#include "relay/request_runner.h"
#include "relay/taken_up_stream.h"
#include "relay/upstream_health.h"

#include <utility>

namespace marigoldladder::relay {

namespace {

    using Clock = std::chrono::steady_clock;

} // namespace

// An upstream's silence alone doesn't end a call, since a sound one may be silent for a while.
auto RequestRunner::handleSilence(
    CallState& state, RequestAttempts& attempts, const UpstreamPointer& upstream) -> SilenceHandling
{
    attempts.m_isSilenceNoted = false;
    if (!mayRetry(*state.m_route))
        return {};
    auto handling = SilenceHandling();
    handling.m_tryMove = [this, &state, &attempts, upstream] {
        const auto stayReason = tryMove(state, attempts, upstream);
        if (!std::exchange(attempts.m_isSilenceNoted, true))
            noteSilence(state, *upstream, stayReason);
        return !stayReason;
    };
    handling.m_stay = [this, &state, &attempts] { giveUpMove(state, attempts); };
    return handling;
}

auto RequestRunner::noteSilence(
    const CallState& state, Upstream& upstream, std::optional<AttemptsEnd> stayReason) -> void
{
    const auto now = Clock::now();
    const auto& call = state.m_call;
    if (call.m_via || !isPathBlocked(m_board, upstream))
        recordCallEnd(upstream.m_health, call.m_answerBegan ? CallEnd::Broken : CallEnd::TimedOut, now);
    logSilence(m_log, state, upstream, stayReason, now);
}

auto RequestRunner::tryMove(CallState& state, RequestAttempts& attempts, const UpstreamPointer& silent)
    -> std::optional<AttemptsEnd>
{
    if (attempts.m_move && attempts.m_move->m_hedge) {
        const auto& hedge = *attempts.m_move->m_hedge;
        if (hedge.m_isAccepted)
            return std::nullopt;
        if (isOpen(hedge))
            return AttemptsEnd::AwaitsUpstream;
        recordHedge(state, attempts);
    }
    if (const auto obstacle = obstacleToMove(state, attempts))
        return obstacle;
    const auto now = Clock::now();
    if (attempts.m_move && !maySendTo(m_board.m_upstreams, *attempts.m_move->m_slot.upstream(), now))
        attempts.m_move = nullptr;
    attempts.m_needs.m_software = neededSoftware(state, m_board.m_upstreams);
    if (!attempts.m_move)
        attempts.m_move = beginMove(attempts, silent);
    if (!attempts.m_move || attempts.m_move->m_asksForPermit)
        return AttemptsEnd::NoUpstream;
    return sendHedge(state, attempts);
}

auto RequestRunner::obstacleToMove(const CallState& state, const RequestAttempts& attempts) const
    -> std::optional<AttemptsEnd>
{
    const auto now = Clock::now();
    if (attempts.m_hedgesEnd)
        return attempts.m_hedgesEnd;
    if (attempts.m_runs + 1 >= state.m_route->m_maxUpstreams)
        return AttemptsEnd::AttemptsSpent;
    if (now + state.m_route->m_targetLatency >= state.m_deadline)
        return AttemptsEnd::DeadlineReached;
    if (!allowsRetry(
            m_board.m_retryBudget, attempts.m_needs.m_pool, m_settings.m_bounds, m_board.m_nodes, now))
        return AttemptsEnd::RetryBudgetSpent;
    return std::nullopt;
}

// Returns null if no other upstream has room.
auto RequestRunner::beginMove(const RequestAttempts& attempts, const UpstreamPointer& silent)
    -> std::shared_ptr<PreparedMove>
{
    auto needs = attempts.m_needs;
    needs.m_tried.push_back(silent);
    auto slot = m_waitList.tryAcquireOther(std::move(needs));
    if (!slot)
        return nullptr;
    auto move = std::make_shared<PreparedMove>(PreparedMove { std::move(slot) });
    const auto& upstream = *move->m_slot.upstream();
    if (isLimited(upstream.m_requestLimit) || brittlenessOf(m_board.m_upstreams, upstream.m_record.m_pool)) {
        move->m_asksForPermit = true; // Until the task, which begins later, has ended.
        runTask(m_executor, "permit", m_board.m_metrics, acquirePermit(move));
    }
    return move;
}

// The move may have been given up when the permit arrives.
auto RequestRunner::acquirePermit(std::shared_ptr<PreparedMove> move) -> Awaitable<void>
{
    const auto asking = RaisedFlag(move->m_asksForPermit);
    move->m_isPermitted = co_await acquirePermits(move->m_slot);
}

// Returns why the request stays: it does in any case until the hedge is accepted.
auto RequestRunner::sendHedge(CallState& state, RequestAttempts& attempts) -> std::optional<AttemptsEnd>
{
    auto& move = *attempts.m_move;
    auto shared = state.weak_from_this().lock();
    auto obstacle = std::optional(AttemptsEnd::NoUpstream);
    if (move.m_isPermitted && shared)
        obstacle = obstacleToSend(state, attempts);
    if (obstacle) {
        attempts.m_move = nullptr;
        return obstacle;
    }
    ++attempts.m_sends;
    move.m_hedge = std::make_shared<HedgedCall>(m_executor, move.m_slot.upstream());
    runTask(m_executor, "hedge", m_board.m_metrics, m_upstreamCaller.hedge(std::move(shared), move.m_hedge));
    return AttemptsEnd::AwaitsUpstream;
}

auto RequestRunner::awaitMove(CallState& state, RequestAttempts& attempts)
    -> Awaitable<std::shared_ptr<PreparedMove>>
{
    if (!attempts.m_move || !attempts.m_move->m_hedge) {
        attempts.m_move = nullptr;
        co_return nullptr;
    }
    const auto hedge = attempts.m_move->m_hedge;
    state.m_cancelUpstream = [hedge] { hedge->m_changed.cancel(); };
    auto ignored = ErrorCode(); // The timer only ever ends by being cancelled.
    while (isOpen(*hedge) && !state.m_callerDisconnected)
        co_await hedge->m_changed.async_wait(errorTo(ignored));
    state.m_cancelUpstream = nullptr;
    if (hedge->m_isAccepted && !state.m_callerDisconnected)
        co_return std::exchange(attempts.m_move, nullptr);
    giveUpMove(state, attempts);
    co_return nullptr;
}

auto RequestRunner::giveUpMove(const CallState& state, RequestAttempts& attempts) -> void
{
    if (!attempts.m_move || !attempts.m_move->m_hedge) {
        attempts.m_move = nullptr;
        return;
    }
    auto& hedge = *attempts.m_move->m_hedge;
    hedge.m_isGivenUp = true;
    if (!hedge.m_outcome && hedge.m_call.m_connection)
        hedge.m_call.m_connection->m_stream.close();
    if (!hedge.m_outcome)
        hedge.m_outcome = hedge.m_isSent ? UpstreamCallOutcome::NotNeeded : UpstreamCallOutcome::NotSent;
    recordHedge(state, attempts);
}

auto RequestRunner::recordHedge(const CallState& state, RequestAttempts& attempts) -> void
{
    const auto move = std::exchange(attempts.m_move, nullptr);
    const auto& hedge = *move->m_hedge;
    const auto upstream = move->m_slot.upstream();
    if (auto* room = move->m_slot.room())
        room->setEnd(hedge.m_progress.m_roomEnd);
    attempts.m_hedgesEnd = recordCall(state, hedge.m_progress, attempts, upstream, *hedge.m_outcome);
    logAttempt(m_log, state, hedge.m_progress, *upstream, *hedge.m_outcome, {}, attempts.m_hedgesEnd);
}

} // namespace marigoldladder::relay
